"""Compares JSON data with the types of a fleet, and reports mismatches."""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable, Iterator, Mapping, Sequence

from . import role


@dataclasses.dataclass(frozen=True)
class Report:
    """Collects the paths and messages of mismatches and unknown fields."""

    wrong: Callable[[str, str], None]
    extra: Callable[[str, str], None]


class Object(dict[str, object]):
    """A JSON object that records duplicate fields."""

    def __init__(self, pairs: list[tuple[str, object]]) -> None:
        super().__init__()
        self.doubled: list[str] = []
        for name, value in pairs:
            if name in self:
                self.doubled.append(name)
            else:
                self[name] = value


def json_name(field: str) -> str:
    """The name of a field in JSON. Fields named like Python keywords have a trailing underscore."""
    return field.rstrip("_")


def below(path: str, field: str) -> str:
    """The path of a field of the value at ``path``."""
    return f"{path}.{field}" if path else field


def plain(value: object) -> object:
    """Turns a value of the package's types into plain JSON data."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {json_name(f.name): plain(getattr(value, f.name)) for f in fields}
    if isinstance(value, list | tuple):
        return [plain(element) for element in value]
    return value


def walk(value: object, hint: object, path: str, report: Report) -> None:
    """Reports each mismatch between ``value`` at ``path`` and the type ``hint``."""
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        _, rule = typing.get_args(hint)
        if message := rule(value):
            report.wrong(path, message)
    elif origin is Sequence:
        _walk_list(value, typing.get_args(hint)[0], path, report)
    elif origin is types.UnionType:
        _walk_role(value, path, report)
    elif isinstance(hint, type) and dataclasses.is_dataclass(hint):
        _walk_object(value, hint, path, report)


def _walk_list(value: object, hint: object, path: str, report: Report) -> None:
    if not isinstance(value, list):
        report.wrong(path, "expected a list")
        return
    for index, element in enumerate(value):
        walk(element, hint, f"{path}[{index}]", report)


def _walk_object(value: object, hint: type, path: str, report: Report) -> None:
    if not isinstance(value, dict):
        report.wrong(path, "expected an object")
        return
    hints = _hints(hint)
    fields = {json_name(f.name): f for f in dataclasses.fields(hint)}
    for name in _unexpected(value, fields):
        report.extra(below(path, name), f"unknown field, expected {', '.join(fields)}")
    for name in getattr(value, "doubled", ()):
        if name in fields:
            report.extra(below(path, name), "field is given twice")
    for name, field in fields.items():
        if name in value:
            walk(value[name], hints[field.name], below(path, name), report)
        elif field.default is dataclasses.MISSING:
            report.wrong(below(path, name), "field is missing")


@functools.cache
def _hints(hint: type) -> dict[str, object]:
    return typing.get_type_hints(hint, include_extras=True)


def _unexpected(value: dict[str, object], fields: Mapping[str, object]) -> Iterator[str]:
    names = [*value, *getattr(value, "doubled", ())]
    return (name for name in names if name not in fields)


def _walk_role(value: object, path: str, report: Report) -> None:
    if not isinstance(value, dict):
        report.wrong(path, "expected an object")
        return
    kinds = {"entry": role.Entry, "engine": role.Engine, "service": role.Service}
    kind = value.get("kind")
    if "kind" not in value:
        report.wrong(below(path, "kind"), "field is missing")
    elif not isinstance(kind, str) or kind not in kinds:
        report.wrong(below(path, "kind"), f"expected one of {', '.join(kinds)}, found {kind!r}")
    else:
        _walk_object(value, kinds[kind], path, report)
