"""Draws restart scenarios from a seed, and lists the failures of a run.

No I/O: `live.py` runs the scenarios on real processes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from passpost.rehearsal import model
from passpost.rehearsal.model import Class, Clients, Contract, Discovery, Event, NodeKind, Scenario, Tier
from passpost.rehearsal.world import Run

LENGTH_S = 6.0
LAST_STOP_S = 2.5  # a later stop would leave the new process no time to become ready
READY_TIMEOUT_S = 10.0  # from the start of a balancer until it is ready
RESTART_DELAY_RANGE_S = (0.05, 0.6)
SOCKET_LIMITS = (64, 1_024)  # file descriptors; with 64, client connections use up the share meant for them
MAX_SIGNALS = 8
SIGNALS = ("term", "int", "hup", "bad-hup")
# One in SIDECAR_EVERY seeds runs a sidecar, and one in WORKERS_EVERY of those runs several workers.
SIDECAR_EVERY, WORKERS_EVERY = 4, 3
WORKERS = 2

REQUEST_CLASSES = (
    Class(name="frame", work_ms=40, aim_ms=600, deadline_ms=1_500, share=3),
    Class(name="submit", work_ms=20, aim_ms=400, deadline_ms=1_000, effect="keyed", window_ms=2_000, share=2),
    Class(name="pay", work_ms=20, aim_ms=400, deadline_ms=1_000, effect="unsafe"),
)
RENDER_TIER = Tier(
    name="render",
    balancers=2,
    kinds=(NodeKind(name="fast", count=2, speed=2.0), NodeKind(name="plain", count=3)),
)


@dataclass(frozen=True, slots=True)
class RestartCase:
    """What one seed runs: a scenario, and the number of a sidecar's worker processes."""

    scenario: Scenario
    workers: int = 1

    def deployment(self) -> str:
        """How the balancers run: by the platform's program, as a sidecar, or as several workers."""
        if self.scenario.sidecar is None:
            return "platform"
        return "sidecar" if self.workers == 1 else f"{self.workers} workers"


@dataclass(frozen=True, slots=True)
class Failure:
    """A violated invariant with the request's timeline, or a fault with the timeline of the scenario's events."""

    what: str
    timeline: tuple[str, ...]


def draw_case(seed: int, sidecar: Scenario) -> RestartCase:
    """Draws the case of a seed; `sidecar` is the base scenario of cases that run a sidecar."""
    rng = random.Random(f"restarts {seed}")
    if seed % SIDECAR_EVERY:
        base = Scenario(
            version=1,
            title="Restarts",
            classes=REQUEST_CLASSES,
            tiers=(RENDER_TIER,),
            contract=Contract(ask_within_ms=3_000),
        )
    else:
        base = sidecar
    nodes = tuple(n for n in base.node_names() if n.startswith(f"{base.tiers[0].name}-"))
    balancers = tuple(f"b{i + 1}" for i in range(base.tiers[0].balancers))
    events = [*_draw_restarts(rng, balancers), *_draw_faults(rng, nodes)]
    if base.sidecar is None:  # with a sidecar, the operator's file sets the limit
        contract = msgspec.structs.replace(base.contract, sockets=rng.choice(SOCKET_LIMITS))
        base = msgspec.structs.replace(base, contract=contract)
    scenario = msgspec.structs.replace(
        base,
        title=f"Restarts, seed {seed}",
        seed=seed,
        length_s=LENGTH_S,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
        tiers=tuple(_with_unsized(tier, rng.choice((0.0, 0.3))) for tier in base.tiers),
        discovery=Discovery(mode=rng.choice(("ask", "push")), notice_s=(0.1, 0.6)),
        clients=Clients(
            rate_per_s=rng.choice((30.0, 80.0)),
            processes=rng.choice((2, 8, 40)),  # with many, most of their connections are idle
            impatient=rng.choice((0.0, 0.2)),
            pieces=rng.choice((0.0, 0.3)),
            backoff_ms=20,
        ),
    )
    several_workers = not seed % (SIDECAR_EVERY * WORKERS_EVERY)
    return RestartCase(scenario, WORKERS if several_workers and scenario.sidecar is not None else 1)


def _with_unsized(tier: Tier, share: float) -> Tier:
    """The tier, with this share of responses that have no length."""
    kinds = tuple(msgspec.structs.replace(kind, unsized=share) for kind in tier.kinds)
    return msgspec.structs.replace(tier, kinds=kinds)


def _draw_restarts(rng: random.Random, balancers: tuple[str, ...]) -> list[Event]:
    """Draws planned restarts with series of signals, some of them right after a reload."""
    events: list[Event] = []
    for balancer in rng.sample(balancers, rng.randint(1, len(balancers))):
        at_s = round(rng.uniform(0.3, LAST_STOP_S), 3)
        if rng.random() < 0.5:
            events.append(
                model.Reload(at_s=round(max(at_s - rng.choice((0.0, 0.002, 0.2)), 0.0), 3), balancer=balancer)
            )
        count = rng.randint(0, MAX_SIGNALS)
        signals = tuple(rng.choice(SIGNALS) for _ in range(count))
        events.append(
            model.Stop(
                at_s=at_s,
                balancer=balancer,
                back_s=round(rng.uniform(*RESTART_DELAY_RANGE_S), 3),
                then=signals,  # type: ignore[arg-type]
                every_ms=rng.choice((1.0, 20.0, 150.0, 400.0, 800.0)),
            )
        )
    return events


def _draw_faults(rng: random.Random, nodes: tuple[str, ...]) -> list[Event]:
    """Draws faults of upstreams and discovery during the restarts; a hang may last for a whole drain."""

    def draw_nodes() -> tuple[str, ...]:
        return tuple(rng.sample(nodes, rng.randint(1, max(len(nodes) // 2, 1))))

    at_s = round(rng.uniform(0.2, LAST_STOP_S), 3)
    for_s = round(rng.uniform(0.5, 3.0), 3)
    candidates: tuple[Callable[[], Event], ...] = (
        lambda: model.Hang(at_s=at_s, for_s=for_s, nodes=draw_nodes()),
        lambda: model.Silent(at_s=at_s, for_s=for_s, nodes=draw_nodes()),
        lambda: model.Reset(at_s=at_s, for_s=for_s, nodes=draw_nodes(), share=0.5),
        lambda: model.Spoil(at_s=at_s, for_s=for_s, nodes=draw_nodes(), share=0.5),
        lambda: model.Crash(at_s=at_s, for_s=for_s, nodes=draw_nodes()),
        lambda: model.Drain(at_s=at_s, for_s=for_s, nodes=draw_nodes()[:1], back_s=0.5),
        lambda: model.ListDown(at_s=at_s, for_s=for_s),
    )
    return [make_event() for make_event in rng.sample(candidates, rng.randint(0, 3))]


def find_failures(run: Run) -> list[Failure]:
    """All failures of a run: violations, exit statuses, errors in logs, and balancers not ready in time."""
    event_log = tuple(f"{at:9.3f}  {text}" for at, text in run.log)
    found = [Failure(f"{b.rule}: {b.text}", tuple(b.timeline)) for b in run.violations]
    return found + [Failure(f"fault: {text}", event_log) for text in run.faults]
