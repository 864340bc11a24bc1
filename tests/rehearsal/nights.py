"""Shared by the simulator's tests: small scenarios, and balancers with deliberate faults."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from passpost.rehearsal import model
from passpost.rehearsal.model import Class, Clients, Contract, Discovery, Event, NodeKind, Scenario, Tier
from passpost.rehearsal.virtual import play
from passpost.rehearsal.world import Run
from umberworks import interface
from umberworks.rules import Balancer
from umberworks.slow_start import SlowStart

FRAME = Class(name="frame", work_ms=40, aim_ms=600, deadline_ms=2_000)
SUBMIT = Class(name="submit", work_ms=20, aim_ms=400, deadline_ms=1_500, effect="keyed", window_ms=1_000)
INVOICE = Class(name="invoice", work_ms=20, aim_ms=400, deadline_ms=1_500, effect="unsafe")


def small_scenario(*events: Event, tiers: int = 1, **changes: Any) -> Scenario:
    """Return a scenario of five seconds with four nodes per tier."""
    kinds = (NodeKind(name="fast", count=1, speed=2.0), NodeKind(name="plain", count=3))
    last = Tier(name="render", kinds=kinds, balancers=1 if tiers > 1 else 2, part=0.5 if tiers > 1 else 1.0)
    first = Tier(name="front", kinds=kinds, balancers=2, part=0.5)
    base: dict[str, Any] = {
        "version": 1,
        "title": "A small night",
        "length_s": 5.0,
        "contract": Contract(cold_ms=4_000, ask_within_ms=3_000),
        "discovery": Discovery(notice_s=(0.1, 0.3)),
        "clients": Clients(rate_per_s=50),
        "classes": (FRAME, SUBMIT, INVOICE),
        "tiers": (first, last) if tiers > 1 else (last,),
        "events": events,
    }
    return msgspec.convert(msgspec.to_builtins(Scenario(**(base | changes))), Scenario)


def run_with_decisions(
    scenario: Scenario, seed: int, module: type[Balancer] = Balancer
) -> tuple[Run, list[str]]:
    """Run a scenario; return its result and one line for each decision of the balancers."""
    lines: list[str] = []
    return play(scenario, seed, lines.append, module=module), lines


class ServesTwice(Balancer):
    """Sends every tenth request a second time, whatever its class."""

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        actions = []
        for action in super().handle(event, now):
            actions.append(action)
            if isinstance(action, interface.Send) and action.request % 10 == 0:
                actions.append(action)
        return actions


class IgnoresDrains(Balancer):
    """Treats every node in the list as ready, also when it drains."""

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        if isinstance(event, interface.ListUpdate):
            members = tuple(
                replace(m, readiness=interface.Readiness.READY)
                if m.readiness is interface.Readiness.DRAINING
                else m
                for m in event.members
            )
            event = interface.ListUpdate(event.kind, members)
        return super().handle(event, now)


class _AllWarm(SlowStart):
    def warmth(self, server: Any, now: float) -> float:
        return 1.0

    def admits(self, server: Any, now: float) -> bool:
        return True


class FloodsTheCold(Balancer):
    """Prefers a node that started during the run to all others, and ignores all its limits."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._slow_start = _AllWarm(settings, self._random)

    def _below_limit(self) -> bool:
        return True

    def _is_overloaded(self, request: Any) -> bool:
        return False

    def _pick(self, request: Any, now: float) -> Any:
        young = [s for s in self._fleet.ready if s.member.up_since_ms > 0]
        return young[0] if young else super()._pick(request, now)


MIXED_FAULTS: tuple[Event, ...] = (
    model.Slow(at_s=1.0, for_s=2.0, nodes=("render-plain-1",), factor=5.0),
    model.Silent(at_s=1.5, for_s=1.5, nodes=("render-plain-2",)),
    model.Crash(at_s=2.0, for_s=1.0, nodes=("render-fast-1",)),
    model.Kill(at_s=2.5, balancer="b1", back_s=0.5),
    model.ListDown(at_s=2.2, for_s=1.0),
)
