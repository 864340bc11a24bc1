"""A roll of the nodes while discovery moves for all balancers at once, and can't answer all of them in time."""

from __future__ import annotations

from typing import Literal

import pytest

from passpost import discovery
from passpost.rehearsal.model import (
    Clients,
    Contract,
    Discovery,
    Drain,
    Event,
    ListDown,
    Network,
    NodeKind,
    Pause,
    Reload,
    Scenario,
    Stop,
    Tier,
)
from passpost.rehearsal.virtual import play
from passpost.rehearsal.world import Night
from tests.rehearsal.nights import FRAME, SUBMIT


def roll(
    balancers: int,
    calls_per_s: float,
    *more: Event,
    within_s: float = 2.0,
    ask_within_ms: float = 10_000,
    length_s: float = 14.0,
    mode: Literal["ask", "push"] = "ask",
    latency_ms: float = 0.3,
) -> Scenario:
    """All are moved within so many seconds; a twelfth of the nodes leaves every second and a half, some for good."""
    kinds = (NodeKind(name="fast", count=24, cores=2, speed=2.0), NodeKind(name="plain", count=24, cores=2))
    events: list[Event] = [
        Reload(at_s=3.0 + within_s * i / balancers, balancer=f"b{i + 1}") for i in range(balancers)
    ]
    for i in range(6):
        leaving = (f"render-*-{4 * i + 1}", f"render-*-{4 * i + 2}")
        events.append(Drain(at_s=4.0 + 1.5 * i, for_s=3.3, nodes=leaving, back_s=0.5))
    return Scenario(
        version=1,
        title="A roll with a move",
        length_s=length_s,
        network=Network(latency_ms=latency_ms),
        contract=Contract(cold_ms=4_000, ask_within_ms=ask_within_ms),
        discovery=Discovery(mode=mode, notice_s=(0.1, 0.5), calls_per_s=calls_per_s),
        clients=Clients(rate_per_s=4 * balancers, processes=max(balancers // 2, 4)),
        classes=(FRAME, SUBMIT),
        tiers=(Tier(name="render", kinds=kinds, balancers=balancers),),
        events=(*events, *more),
    )


def broken(night: Night) -> list[str]:
    assert night.faults == []
    return [b.text for b in night.breaks]


def test_nothing_is_sent_to_nodes_whose_leaving_was_told() -> None:
    assert broken(play(roll(100, 12.5, latency_ms=5.0), seed=1)) == []


def test_the_night_shows_calls_that_are_given_up_when_discovery_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        discovery, "ANSWER_TIMEOUT_S", 2.0
    )  # discovery's own bound on a call that waits for its turn
    monkeypatch.setattr(discovery, "QUEUE_MARGIN_S", 0.0)
    found = broken(play(roll(100, 12.5, latency_ms=5.0), seed=1))
    assert found and all("after it was told of its drain" in text for text in found)


HARD = {
    "all moved at one moment": roll(40, 5.0, within_s=0.0),
    "moved twice": roll(30, 8.0, *(Reload(at_s=4.0 + 0.05 * i, balancer=f"b{i + 1}") for i in range(30))),
    "called every few seconds": roll(40, 6.0, ask_within_ms=3_000, length_s=12.0),
    "no list at the start": roll(30, 8.0, ListDown(at_s=0.0, for_s=3.0)),
    "no list amid the roll": roll(30, 8.0, ListDown(at_s=4.5, for_s=3.0)),
    "no list to the end": roll(30, 8.0, ListDown(at_s=9.0, for_s=4.0)),
    "balancers that stand still": roll(
        30,
        8.0,
        Pause(at_s=4.2, for_s=2.0, nodes=("b1", "b2", "b3")),
        Pause(at_s=7.0, for_s=2.0, nodes=("b4",)),
    ),
    "balancers restarted meanwhile": roll(
        30, 8.0, *(Stop(at_s=3.5 + 0.5 * i, balancer=f"b{i + 1}", back_s=0.3) for i in range(12))
    ),
    "pushed, by an agent that falls silent": roll(
        10, 50.0, ListDown(at_s=4.0, for_s=3.0), mode="push", length_s=10.0
    ),
}


@pytest.mark.parametrize("night", HARD.values(), ids=HARD.keys())
def test_drains_are_kept_through(night: Scenario) -> None:
    assert broken(play(night, seed=2)) == []
