"""Roles of VMs."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Literal

from . import rule


@dataclass(frozen=True, kw_only=True)
class Entry:
    """Accepts requests of callers."""

    kind: Literal["entry"] = field(default="entry", init=False)


@dataclass(frozen=True, kw_only=True)
class Engine:
    """Runs a model engine of a class; ``fencing`` is ``checked`` or ``ignored``."""

    kind: Literal["engine"] = field(default="engine", init=False)
    class_: Annotated[str, rule.name]
    fencing: Annotated[Literal["checked", "ignored"], rule.one_of("checked", "ignored")]
    models: Sequence[Annotated[str, rule.name]]


@dataclass(frozen=True, kw_only=True)
class Service:
    """Runs a plain service."""

    kind: Literal["service"] = field(default="service", init=False)
    service: Annotated[str, rule.name]


Role = Entry | Engine | Service
