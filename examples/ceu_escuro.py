"""The fleet of Céu Escuro Sistemas: a data service for clubs that measure the night sky.

Late summaries lose volunteers at the telescope, so step-time skew weighs most.

Prints the configuration: ``PYTHONPATH=python python3 examples/ceu_escuro.py``
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

MODEL = "sky-summaries"
SERVICE = "station-data"
LOOKUPS = ("stations", "readings")

CLASSES = (
    Class(
        name="newer",
        speed=1.0,
        prefill="9000tok/s",
        step="32ms",
        cache="420000tok",
        batch=64,
    ),
    Class(
        name="older",
        speed=0.6,
        prefill="5000tok/s",
        step="48ms",
        cache="180000tok",
        batch=32,
    ),
)

SITES = (
    build.Site("santa-maria", "10.10.1.0/24"),
    build.Site("porto-alegre", "10.10.2.0/24"),
    build.Site("florianopolis", "10.10.3.0/24"),
)
# Engines of each site: newer and older ones serve in the same group.
NEWER = (3, 3, 2)
OLDER = (3, 2, 3)


def site(place: build.Site, newer: int, older: int) -> tuple[list[Vm], Group]:
    """The VMs of one data centre and the group that its engines form."""
    entries = place.entries(3)
    engines = place.engines(newer, class_="newer", fencing="checked", models=[MODEL])
    engines += place.engines(older, class_="older", fencing="checked", models=[MODEL])
    group = Group(
        name=f"summaries.{place.data_centre}",
        model=MODEL,
        layers=24,
        experts=64,
        slots=8,
        ranks=build.ranks(engines, per_vm=2),
    )
    return entries + engines + place.services(1, SERVICE), group


def team(name: str, size: float, priority: Priority, routes: tuple[str, ...] = LOOKUPS) -> Team:
    """A team; real configurations carry the digest alone, never the key."""
    return Team(
        name=name,
        keys=[build.digest(f"example key of {name}")],
        priority=priority,
        weight=size,
        limits=Limits(
            requests_per_second=10 * size, burst=int(20 * size), concurrency=int(40 * size)
        ),
        models=[MODEL],
        routes=routes,
    )


def fleet() -> Fleet:
    """The whole fleet."""
    sites = [site(*row) for row in zip(SITES, NEWER, OLDER, strict=True)]
    registers = (*LOOKUPS, "calibrations")
    return Fleet(
        revision=1,
        weights=Weights(skew=4, moves=1),
        data_centres=[DataCentre(name=s.data_centre, region="sul-br") for s in SITES],
        classes=CLASSES,
        vms=[vm for vms, _ in sites for vm in vms],
        models=[
            Model(
                name=MODEL,
                adapters=["station-notes", "brightening", "council-reports"],
                expert_size="88MiB",
            )
        ],
        groups=[group for _, group in sites],
        services=[Service(name=SERVICE)],
        routes=[
            Route(
                name="stations", service=SERVICE, method="GET", path="/stations/*", repeatable=True
            ),
            Route(
                name="readings", service=SERVICE, method="GET", path="/readings/*", repeatable=True
            ),
            Route(
                name="calibrations",
                service=SERVICE,
                method="POST",
                path="/calibrations",
                repeatable=False,
            ),
        ],
        teams=[
            team("planetario-porto-alegre", 8, "high", registers),
            team("universidade-santa-maria", 8, "normal", registers),
            team("rede-estacoes-sul", 6, "high", registers),
            team("planetario-florianopolis", 3, "normal", registers),
            team("universidade-pelotas", 2, "normal", registers),
            team("clube-serra", 1, "normal"),
            team("clube-litoral", 1, "normal"),
            team("clube-fronteira", 1, "normal"),
            team("clube-missoes", 1, "normal"),
            team("relatorios-conselhos", 2, "low"),
        ],
    )


if __name__ == "__main__":
    show(fleet())
