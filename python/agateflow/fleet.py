"""Types of a fleet's configuration. The annotation of a field is its validation rule."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Literal

from . import rule
from .role import Role

Name = Annotated[str, rule.name]
Weight = Annotated[float, rule.positive(1000)]
Priority = Annotated[Literal["low", "normal", "high"], rule.one_of("low", "normal", "high")]
Method = Annotated[str, rule.one_of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")]


@dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the planner of expert maps."""

    skew: Weight
    moves: Weight


@dataclass(frozen=True, kw_only=True)
class DataCentre:
    """A data centre."""

    name: Name
    region: Name


@dataclass(frozen=True, kw_only=True)
class Class:
    """A class of engine hardware; ``speed`` is relative to the other classes."""

    name: Name
    speed: Annotated[float, rule.positive(1000)]
    prefill: Annotated[str, rule.token_rate]
    step: Annotated[str, rule.time]
    cache: Annotated[str, rule.tokens]
    batch: Annotated[int, rule.whole(1, 65_536)]


@dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM, and the listen address of its process for other processes."""

    name: Name
    data_centre: Name
    address: Annotated[str, rule.address]
    role: Role


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model; ``expert_size`` is the size of one expert of one layer."""

    name: Name
    adapters: Sequence[Name] = ()
    expert_size: Annotated[str, rule.size]


@dataclass(frozen=True, kw_only=True)
class Rank:
    """A rank of a group; one VM may run several ranks of the same group."""

    name: Name
    vm: Name


@dataclass(frozen=True, kw_only=True)
class Group:
    """A group of ranks; ``slots`` are the experts of one layer that one rank holds."""

    name: Name
    model: Name
    layers: Annotated[int, rule.whole(1, 1024)]
    experts: Annotated[int, rule.whole(1, 4096)]
    slots: Annotated[int, rule.whole(1, 4096)]
    ranks: Sequence[Rank]


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service. VMs that run it refer to it in their role."""

    name: Name


@dataclass(frozen=True, kw_only=True)
class Route:
    """A route to a plain service; ``repeatable`` if the same call may run more than once."""

    name: Name
    service: Name
    method: Method
    path: Annotated[str, rule.path]
    repeatable: Annotated[bool, rule.boolean]


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of a team over the whole fleet."""

    requests_per_second: Annotated[float, rule.positive(1_000_000)]
    burst: Annotated[int, rule.whole(1, 1_000_000)]
    concurrency: Annotated[int, rule.whole(1, 1_000_000)]


@dataclass(frozen=True, kw_only=True)
class Team:
    """A customer with its own limits and priority."""

    name: Name
    keys: Sequence[Annotated[str, rule.digest]]
    priority: Priority
    weight: Weight
    limits: Limits
    models: Sequence[Name] = ()
    routes: Sequence[Name] = ()


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """A fleet; ``revision`` grows with each published configuration."""

    revision: Annotated[int, rule.whole(1, rule.MAX_NUMBER)]
    weights: Weights
    data_centres: Sequence[DataCentre]
    classes: Sequence[Class] = ()
    vms: Sequence[Vm]
    models: Sequence[Model] = ()
    groups: Sequence[Group] = ()
    services: Sequence[Service] = ()
    routes: Sequence[Route] = ()
    teams: Sequence[Team]
