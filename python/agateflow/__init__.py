"""Builds the configuration of an agateflow fleet and prints it.

A program describes its fleet with the types of this package and ends in ``show(fleet)``, which
prints the configuration, or refuses it with the paths of all problems, as ``agatectl check`` does.
"""

from . import build, check, role
from .check import Problem, Refused
from .fleet import (
    Class,
    DataCentre,
    Fleet,
    Group,
    Limits,
    Model,
    Priority,
    Rank,
    Route,
    Service,
    Team,
    Vm,
    Weights,
)
from .output import dumps, show

__all__ = [
    "Class",
    "DataCentre",
    "Fleet",
    "Group",
    "Limits",
    "Model",
    "Priority",
    "Problem",
    "Rank",
    "Refused",
    "Route",
    "Service",
    "Team",
    "Vm",
    "Weights",
    "build",
    "check",
    "dumps",
    "role",
    "show",
]
