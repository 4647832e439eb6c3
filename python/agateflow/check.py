"""Validates a configuration: each value, and the references between its parts."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from . import rule, shape
from .fleet import Fleet, Group, Route, Vm

MAX_BYTES = 1 << 20
"""Largest configuration accepted, in bytes."""

UNIQUE = (
    ("", "data_centres/*/name"),
    ("", "classes/*/name"),
    ("", "vms/*/name"),
    ("", "models/*/name"),
    ("", "groups/*/name"),
    ("", "services/*/name"),
    ("", "routes/*/name"),
    ("", "teams/*/name"),
    ("models/*", "adapters/*"),
    ("groups/*", "ranks/*/name"),
    ("vms/*", "role/models/*"),
    ("teams/*", "models/*"),
    ("teams/*", "routes/*"),
)
"""Lists whose elements must have distinct values, below each match of the first pattern."""

REFERENCES = (
    ("vms/*/data_centre", "data centre", "data_centres/*/name"),
    ("vms/*/role/class", "class", "classes/*/name"),
    ("vms/*/role/models/*", "model", "models/*/name"),
    ("vms/*/role/service", "service", "services/*/name"),
    ("groups/*/model", "model", "models/*/name"),
    ("groups/*/ranks/*/vm", "VM", "vms/*/name"),
    ("routes/*/service", "service", "services/*/name"),
    ("teams/*/models/*", "model", "models/*/name"),
    ("teams/*/routes/*", "route", "routes/*/name"),
)
"""References to elements of lists: their pattern, the kind of element, and the list."""


@dataclass(frozen=True, order=True)
class Problem:
    """One error. The path of the whole file is ``.``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class Refused(ValueError):
    """The configuration has problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True)
class Place:
    """A value and its path."""

    path: str
    value: object

    def select(self, pattern: str) -> list["Place"]:
        """The descendants that match ``pattern``, such as ``groups/*/ranks/*/vm``."""
        places = [self]
        for segment in pattern.split("/") if pattern else []:
            places = [child for place in places for child in place.children(segment)]
        return places

    def children(self, segment: str) -> Iterator["Place"]:
        """The elements of a list, or the field named ``segment``."""
        if segment == "*" and isinstance(self.value, list):
            for index, element in enumerate(self.value):
                yield Place(f"{self.path}[{index}]", element)
        elif isinstance(self.value, dict) and segment in self.value:
            yield Place(shape.below(self.path, segment), self.value[segment])

    def fits(self, hint: type) -> bool:
        """Whether the value has the type ``hint``, ignoring unknown fields."""
        found: list[str] = []
        report = shape.Report(lambda path, _: found.append(path), lambda path, message: None)
        shape.walk(self.value, hint, "", report)
        return not found

    def get(self, name: str) -> object:
        """A field of an object, or ``None`` if absent."""
        return self.value.get(name) if isinstance(self.value, dict) else None


def text(source: str) -> list[Problem]:
    """The problems of a configuration in plain JSON."""
    if len(source.encode(errors="replace")) > MAX_BYTES:
        return [Problem(".", f"the file is larger than {MAX_BYTES} bytes")]
    try:
        return data(json.loads(source, object_pairs_hook=shape.Object))
    except (ValueError, RecursionError) as error:
        return [Problem(".", str(error))]


def data(document: object) -> list[Problem]:
    """The problems of a configuration as plain data."""
    problems: list[Problem] = []

    def report(path: str, message: str) -> None:
        problems.append(Problem(path or ".", message))

    shape.walk(document, Fleet, "", shape.Report(report, report))
    root = Place("", document)
    problems.extend(_between(root))
    return sorted(problems)


def _between(root: Place) -> Iterator[Problem]:
    for scope, pattern in UNIQUE:
        for place in root.select(scope):
            texts = place.select(pattern)
            yield from _unique((p.value, p) for p in texts if isinstance(p.value, str))
    for pattern, what, listed in REFERENCES:
        known = {p.value for p in root.select(listed) if isinstance(p.value, str)}
        for place in root.select(pattern):
            if isinstance(place.value, str) and place.value not in known:
                yield Problem(place.path, f"there is no {what} {place.value}")
    yield from _addresses(root)
    yield from _keys(root)
    yield from _routes(root)
    yield from _groups(root)


def _unique(keyed: Iterable[tuple[object, Place]]) -> Iterator[Problem]:
    first: dict[object, str] = {}
    for key, place in keyed:
        if key in first:
            yield Problem(place.path, f"{key} is given twice, first at {first[key]}")
        else:
            first[key] = place.path


def _addresses(root: Place) -> Iterator[Problem]:
    parsed = [(rule.parse_address(p.value), p) for p in root.select("vms/*/address")]
    for address, place in parsed:
        if address is not None and address[1] == 0:
            yield Problem(place.path, "port 0 cannot be reached")
    yield from _unique((address, p) for address, p in parsed if address and address[1] != 0)


def _keys(root: Place) -> Iterator[Problem]:
    keys = (p for p in root.select("teams/*/keys/*") if rule.digest(p.value) is None)
    return _unique((str(p.value).lower(), p) for p in keys)


def _routes(root: Place) -> Iterator[Problem]:
    routes = (p for p in root.select("routes/*") if p.fits(Route))
    return _unique((f"{p.get('method')} {p.get('path')}", p.select("path")[0]) for p in routes)


def _groups(root: Place) -> Iterator[Problem]:
    models = {p.value for p in root.select("models/*/name") if isinstance(p.value, str)}
    vms = {p.get("name"): p for p in root.select("vms/*") if p.fits(Vm)}
    homes: dict[object, object] = {}
    for group in root.select("groups/*"):
        if not group.fits(Group):
            continue
        yield from _slots(group)
        for rank in group.select("ranks/*"):
            if group.get("model") in models:
                yield from _rank(rank, group, vms)
            yield from _home(rank, group, homes)


def _slots(group: Place) -> Iterator[Problem]:
    (slots,), (experts,) = group.select("slots"), group.select("experts")
    ranks = len(group.select("ranks/*"))
    if isinstance(slots.value, int) and isinstance(experts.value, int):
        if ranks * slots.value < experts.value:
            room = f"{ranks} ranks with {slots.value} slots"
            yield Problem(slots.path, f"{room} have no room for {experts.value} experts")


def _rank(rank: Place, group: Place, vms: dict[object, Place]) -> Iterator[Problem]:
    vm = vms.get(rank.get("vm"))
    if vm is None:
        return
    path, model = shape.below(rank.path, "vm"), group.get("model")
    if vm.select("role/kind")[0].value != "engine":
        yield Problem(path, f"VM {vm.get('name')} runs no engine")
    elif model not in [p.value for p in vm.select("role/models/*")]:
        yield Problem(path, f"VM {vm.get('name')} may not load model {model}")


def _home(rank: Place, group: Place, homes: dict[object, object]) -> Iterator[Problem]:
    home = homes.setdefault(rank.get("vm"), group.get("name"))
    if home != group.get("name"):
        path = shape.below(rank.path, "vm")
        yield Problem(path, f"the VM already runs ranks of group {home}")
