"""Validation rules for single values. Each returns an error message, or ``None``."""

import ipaddress
import re
from collections.abc import Callable

Rule = Callable[[object], str | None]

MAX_NUMBER = (1 << 53) - 1
"""Largest integer accepted: the largest that every JSON parser represents exactly."""

MAX_PATH_CHARACTERS = 256


def whole(low: int, high: int) -> Rule:
    """A whole number from ``low`` to ``high``."""

    def check(value: object) -> str | None:
        good = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return None if good else f"expected a whole number from {low} to {high}, found {value!r}"

    return check


def positive(high: float) -> Rule:
    """A positive number of at most ``high``."""

    def check(value: object) -> str | None:
        if isinstance(value, int | float) and not isinstance(value, bool):
            if 0 < value <= high:
                return None
        return f"expected a number over 0 and at most {high:g}, found {value!r}"

    return check


def text(pattern: str, expected: str) -> Rule:
    """A text that matches the whole of ``pattern``."""
    compiled = re.compile(pattern, re.ASCII)

    def check(value: object) -> str | None:
        if isinstance(value, str) and compiled.fullmatch(value):
            return None
        return f"expected {expected}, found {value!r}"

    return check


def one_of(*words: str) -> Rule:
    """One of a set of words."""

    def check(value: object) -> str | None:
        good = isinstance(value, str) and value in words
        return None if good else f"expected one of {', '.join(words)}, found {value!r}"

    return check


def quantity(expected: str, least: int = 1, **units: int) -> Rule:
    """A text of a whole number and a unit; ``units`` gives the factor of each."""
    pattern = re.compile(r"([0-9]+)(.*)", re.ASCII | re.DOTALL)

    def check(value: object) -> str | None:
        found = pattern.fullmatch(value) if isinstance(value, str) else None
        factor = units.get(found[2]) if found else None
        if found is None or factor is None:
            return f"expected {expected}, found {value!r}"
        digits = found[1].lstrip("0")
        short = len(digits) <= len(str(MAX_NUMBER))
        good = short and least <= int(digits or "0") * factor <= MAX_NUMBER
        return None if good else f"{value} is out of range"

    return check


def address(value: object) -> str | None:
    """An IP address and a port."""
    if parse_address(value) is None:
        return f'expected an address such as "10.0.0.1:7400", found {value!r}'
    return None


def parse_address(value: object) -> tuple[str, int] | None:
    """The IP address in its usual form and the port; ``None`` if the value is no address."""
    pattern = r"(?:([0-9.]+)|\[([0-9a-fA-F:.]+)\]):([0-9]+)"
    found = re.fullmatch(pattern, value, re.ASCII) if isinstance(value, str) else None
    if found is None:
        return None
    port = found[3].lstrip("0") or "0"
    if len(port) > 5 or int(port) > 0xFFFF:
        return None
    try:
        if found[1]:
            return str(ipaddress.IPv4Address(found[1])), int(port)
        return str(ipaddress.IPv6Address(found[2])), int(port)
    except ValueError:
        return None


def path(value: object) -> str | None:
    """A path, or a prefix that ends in ``/*``."""
    pattern = r'/([^?#*"\\\s]*/)?(\*|[^?#*"\\\s]*)'
    if isinstance(value, str) and value.isascii() and value.isprintable():
        if len(value) <= MAX_PATH_CHARACTERS and re.fullmatch(pattern, value):
            return None
    return f'expected a path such as "/orders" or "/stations/*", found {value!r}'


def digest(value: object) -> str | None:
    """The SHA-256 digest of a key. Errors do not show the value, as it may be the key itself."""
    if isinstance(value, str) and re.fullmatch("[0-9a-fA-F]{64}", value):
        return None
    return "expected the SHA-256 digest of a key in 64 hexadecimal digits"


name = text(r"[A-Za-z0-9_./-]{1,64}", "a name of 1 to 64 letters, digits and - _ . /")
time = quantity('a time such as "900us" or "35ms"', us=1, ms=1000, s=1_000_000)
size = quantity('a size such as "64KiB"', B=1, KiB=1 << 10, MiB=1 << 20, GiB=1 << 30)
tokens = quantity('a count of tokens such as "400000tok"', least=0, tok=1)
token_rate = quantity('a rate of tokens such as "8000tok/s"', **{"tok/s": 1})


def boolean(value: object) -> str | None:
    """True or false."""
    return None if isinstance(value, bool) else f"expected true or false, found {value!r}"
