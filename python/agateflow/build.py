"""Generators for the repeated parts of a fleet: VMs and ranks."""

import hashlib
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from . import role
from .fleet import Rank, Vm

PORT = 7400
"""Default port for messages between processes."""


@dataclass
class Site:
    """A data centre whose VMs get consecutive addresses of a network."""

    data_centre: str
    network: str
    port: int = PORT
    _used: int = field(default=0, init=False)

    def vm(self, name: str, role: role.Role) -> Vm:
        """A VM at the next address. The data centre's name is its suffix."""
        self._used += 1
        host = ipaddress.ip_network(self.network)[self._used]
        address = f"[{host}]:{self.port}" if host.version == 6 else f"{host}:{self.port}"
        full = f"{name}.{self.data_centre}"
        return Vm(name=full, data_centre=self.data_centre, address=address, role=role)

    def entries(self, count: int) -> list[Vm]:
        """Entry VMs."""
        return [self.vm(f"entry-{i}", role.Entry()) for i in range(1, count + 1)]

    def engines(
        self,
        count: int,
        *,
        class_: str,
        fencing: Literal["checked", "ignored"],
        models: Sequence[str],
    ) -> list[Vm]:
        """Engine VMs of one class."""
        engine = role.Engine(class_=class_, fencing=fencing, models=models)
        return [self.vm(f"{class_}-{i}", engine) for i in range(1, count + 1)]

    def services(self, count: int, service: str) -> list[Vm]:
        """VMs of a plain service."""
        kind = role.Service(service=service)
        return [self.vm(f"{service}-{i}", kind) for i in range(1, count + 1)]


def ranks(vms: Sequence[Vm], per_vm: int = 1) -> list[Rank]:
    """Ranks on engine VMs, equally many on each, numbered in order."""
    places = [vm.name for vm in vms for _ in range(per_vm)]
    return [Rank(name=f"r{i}", vm=vm) for i, vm in enumerate(places)]


def digest(key: str) -> str:
    """The digest of a bearer key, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()
