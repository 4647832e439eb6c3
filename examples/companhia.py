"""The fleet of the Companhia Estadual de Abastecimento de Massas do Nordeste: pasta for schools,
hospitals and grocers.

Demand swings sharply on delivery mornings, so moved experts weigh most.

Prints the configuration: ``PYTHONPATH=python python3 examples/companhia.py``
"""

from agateflow import (
    Class,
    DataCentre,
    Fleet,
    Group,
    Limits,
    Model,
    Priority,
    Route,
    Service,
    Team,
    Vm,
    Weights,
    build,
    show,
)

MODEL = "drafting"
SERVICE = "orders-and-stock"
BUYERS = ("stock", "orders", "confirmations")
DEPOTS = ("stock", "orders")

CLASSES = (
    Class(
        name="newer",
        speed=1.0,
        prefill="8000tok/s",
        step="35ms",
        cache="400000tok",
        batch=64,
    ),
    Class(
        name="older",
        speed=0.5,
        prefill="4000tok/s",
        step="60ms",
        cache="160000tok",
        batch=24,
    ),
)

SITES = (
    build.Site("recife", "10.20.1.0/24"),
    build.Site("fortaleza", "10.20.2.0/24"),
    build.Site("salvador", "10.20.3.0/24"),
)
# Engines of each site. The older ones carry out any order, also an outdated one.
NEWER = (4, 2, 2)
OLDER = (2, 3, 3)


def site(place: build.Site, newer: int, older: int) -> tuple[list[Vm], Group]:
    """The VMs of one data centre and the group that its engines form."""
    entries = place.entries(3)
    engines = place.engines(newer, class_="newer", fencing="checked", models=[MODEL])
    engines += place.engines(older, class_="older", fencing="ignored", models=[MODEL])
    group = Group(
        name=f"drafting.{place.data_centre}",
        model=MODEL,
        layers=32,
        experts=64,
        slots=8,
        ranks=build.ranks(engines, per_vm=2),
    )
    return entries + engines + place.services(1, SERVICE), group


def team(name: str, size: float, priority: Priority, routes: tuple[str, ...]) -> Team:
    """A team; real configurations carry the digest alone, never the key."""
    return Team(
        name=name,
        keys=[build.digest(f"example key of {name}")],
        priority=priority,
        weight=size,
        limits=Limits(
            requests_per_second=12 * size, burst=int(30 * size), concurrency=int(40 * size)
        ),
        models=[MODEL],
        routes=routes,
    )


def fleet() -> Fleet:
    """The whole fleet."""
    sites = [site(*row) for row in zip(SITES, NEWER, OLDER, strict=True)]
    return Fleet(
        revision=1,
        weights=Weights(skew=1, moves=4),
        data_centres=[DataCentre(name=s.data_centre, region="nordeste") for s in SITES],
        classes=CLASSES,
        vms=[vm for vms, _ in sites for vm in vms],
        models=[
            Model(
                name=MODEL,
                adapters=["purchase-notes", "depot-stock", "queries"],
                expert_size="112MiB",
            )
        ],
        groups=[group for _, group in sites],
        services=[Service(name=SERVICE)],
        routes=[
            Route(name="stock", service=SERVICE, method="GET", path="/stock/*", repeatable=True),
            Route(name="orders", service=SERVICE, method="GET", path="/orders/*", repeatable=True),
            Route(
                name="confirmations",
                service=SERVICE,
                method="POST",
                path="/orders/confirmations",
                repeatable=False,
            ),
        ],
        teams=[
            team("compras-escolas", 8, "high", BUYERS),
            team("compras-hospitais", 6, "high", BUYERS),
            team("depositos-recife", 6, "normal", DEPOTS),
            team("depositos-fortaleza", 3, "normal", DEPOTS),
            team("depositos-salvador", 3, "normal", DEPOTS),
            team("motoristas", 2, "high", DEPOTS),
            team("mercearias-capital", 1, "normal", BUYERS),
            team("mercearias-sertao", 1, "normal", BUYERS),
            team("auditoria", 1, "low", DEPOTS),
            team("relatorios", 1, "low", DEPOTS),
        ],
    )


if __name__ == "__main__":
    show(fleet())
