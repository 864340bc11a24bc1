"""Draws scenarios of restarts by a seed, and judges how one went. No I/O: `live.py` plays them on real processes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from passpost.rehearsal import model
from passpost.rehearsal.model import Class, Clients, Contract, Discovery, Event, NodeKind, Scenario, Tier
from passpost.rehearsal.world import Night

LENGTH_S = 6.0
LAST_STOP_S = 2.5  # later ones would leave the new process no time to be ready
READY_TIMEOUT_S = 10.0  # after its start a balancer has to be ready
BACK_S = (0.05, 0.6)
SOCKETS = (64, 1_024)  # descriptors; of few, callers fill theirs
MOST_SIGNALS = 8
SIGNALS = ("term", "int", "hup", "bad-hup")
SIDECAR_EVERY, WORKERS_EVERY = (
    4,
    3,
)  # of seeds one is played by a sidecar, and of those one by several workers
WORKERS = 2

CLASSES = (
    Class(name="frame", work_ms=40, aim_ms=600, deadline_ms=1_500, share=3),
    Class(name="submit", work_ms=20, aim_ms=400, deadline_ms=1_000, effect="keyed", window_ms=2_000, share=2),
    Class(name="pay", work_ms=20, aim_ms=400, deadline_ms=1_000, effect="unsafe"),
)
NODES = Tier(
    name="render",
    balancers=2,
    kinds=(NodeKind(name="fast", count=2, speed=2.0), NodeKind(name="plain", count=3)),
)


@dataclass(frozen=True, slots=True)
class RestartCase:
    """What one seed plays: a script, and the processes of a sidecar."""

    scenario: Scenario
    workers: int = 1

    def deployment(self) -> str:
        """By which program the balancers run."""
        if self.scenario.sidecar is None:
            return "platform"
        return "sidecar" if self.workers == 1 else f"{self.workers} workers"


@dataclass(frozen=True, slots=True)
class Failure:
    """Something that must not happen, with the timeline of the request that it happened to."""

    what: str
    timeline: tuple[str, ...]


def draw_case(seed: int, sidecar: Scenario) -> RestartCase:
    """The scenario of a seed; `sidecar` is the base of those that a sidecar plays."""
    chance = random.Random(f"restarts {seed}")
    if seed % SIDECAR_EVERY:
        base = Scenario(
            version=1,
            title="Restarts",
            classes=CLASSES,
            tiers=(NODES,),
            contract=Contract(ask_within_ms=3_000),
        )
    else:
        base = sidecar
    names = tuple(n for n in base.node_names() if n.startswith(f"{base.tiers[0].name}-"))
    fronts = tuple(f"b{i + 1}" for i in range(base.tiers[0].balancers))
    events = [*_restarts(chance, fronts), *_troubles(chance, names)]
    if base.sidecar is None:  # else the operator's file says it
        contract = msgspec.structs.replace(base.contract, sockets=chance.choice(SOCKETS))
        base = msgspec.structs.replace(base, contract=contract)
    script = msgspec.structs.replace(
        base,
        title=f"Restarts, seed {seed}",
        seed=seed,
        length_s=LENGTH_S,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
        tiers=tuple(_with_unsized(tier, chance.choice((0.0, 0.3))) for tier in base.tiers),
        discovery=Discovery(mode=chance.choice(("ask", "push")), notice_s=(0.1, 0.6)),
        clients=Clients(
            rate_per_s=chance.choice((30.0, 80.0)),
            processes=chance.choice((2, 8, 40)),  # many keep connections that mostly rest
            impatient=chance.choice((0.0, 0.2)),
            pieces=chance.choice((0.0, 0.3)),
            backoff_ms=20,
        ),
    )
    several = not seed % (SIDECAR_EVERY * WORKERS_EVERY)
    return RestartCase(script, WORKERS if several and script.sidecar is not None else 1)


def _with_unsized(tier: Tier, share: float) -> Tier:
    """The tier, with such a share of answers that tell no length."""
    kinds = tuple(msgspec.structs.replace(kind, unsized=share) for kind in tier.kinds)
    return msgspec.structs.replace(tier, kinds=kinds)


def _restarts(chance: random.Random, fronts: tuple[str, ...]) -> list[Event]:
    """Planned restarts with series of signals, some right after a reload."""
    events: list[Event] = []
    for front in chance.sample(fronts, chance.randint(1, len(fronts))):
        at = round(chance.uniform(0.3, LAST_STOP_S), 3)
        if chance.random() < 0.5:
            events.append(
                model.Reload(at_s=round(max(at - chance.choice((0.0, 0.002, 0.2)), 0.0), 3), balancer=front)
            )
        count = chance.randint(0, MOST_SIGNALS)
        series = tuple(chance.choice(SIGNALS) for _ in range(count))
        events.append(
            model.Stop(
                at_s=at,
                balancer=front,
                back_s=round(chance.uniform(*BACK_S), 3),
                then=series,  # type: ignore[arg-type]
                every_ms=chance.choice((1.0, 20.0, 150.0, 400.0, 800.0)),
            )
        )
    return events


def _troubles(chance: random.Random, names: tuple[str, ...]) -> list[Event]:
    """What upstreams and discovery do meanwhile; hangs may last through a whole drain."""

    def some() -> tuple[str, ...]:
        return tuple(chance.sample(names, chance.randint(1, max(len(names) // 2, 1))))

    at = round(chance.uniform(0.2, LAST_STOP_S), 3)
    span = round(chance.uniform(0.5, 3.0), 3)
    kinds: tuple[Callable[[], Event], ...] = (
        lambda: model.Hang(at_s=at, for_s=span, nodes=some()),
        lambda: model.Silent(at_s=at, for_s=span, nodes=some()),
        lambda: model.Reset(at_s=at, for_s=span, nodes=some(), share=0.5),
        lambda: model.Spoil(at_s=at, for_s=span, nodes=some(), share=0.5),
        lambda: model.Crash(at_s=at, for_s=span, nodes=some()),
        lambda: model.Drain(at_s=at, for_s=span, nodes=some()[:1], back_s=0.5),
        lambda: model.ListDown(at_s=at, for_s=span),
    )
    return [kind() for kind in chance.sample(kinds, chance.randint(0, 3))]


def find_failures(night: Night) -> list[Failure]:
    """All that went wrong: rules, exit statuses, errors in logs, and balancers that were not ready in time."""
    script_log = tuple(f"{at:9.3f}  {text}" for at, text in night.log)
    found = [Failure(f"{b.rule}: {b.text}", tuple(b.timeline)) for b in night.breaks]
    return found + [Failure(f"fault: {text}", script_log) for text in night.faults]
