"""A rolling restart of the nodes while discovery moves for all balancers and can't answer all calls in time."""

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
from passpost.rehearsal.world import Run
from tests.rehearsal.nights import FRAME, SUBMIT


def rolling_restart(
    balancers: int,
    calls_per_s: float,
    *more_events: Event,
    move_within_s: float = 2.0,
    ask_within_ms: float = 10_000,
    length_s: float = 14.0,
    mode: Literal["ask", "push"] = "ask",
    latency_ms: float = 0.3,
) -> Scenario:
    """Return a scenario in which discovery moves for all balancers within `move_within_s` seconds.

    A twelfth of the nodes drains every 1.5 s and returns after 3.8 s; the last do not return before the end.
    """
    kinds = (NodeKind(name="fast", count=24, cores=2, speed=2.0), NodeKind(name="plain", count=24, cores=2))
    events: list[Event] = [
        Reload(at_s=3.0 + move_within_s * i / balancers, balancer=f"b{i + 1}") for i in range(balancers)
    ]
    for i in range(6):
        draining = (f"render-*-{4 * i + 1}", f"render-*-{4 * i + 2}")
        events.append(Drain(at_s=4.0 + 1.5 * i, for_s=3.3, nodes=draining, back_s=0.5))
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
        events=(*events, *more_events),
    )


def violation_texts(run: Run) -> list[str]:
    assert run.faults == []
    return [b.text for b in run.violations]


def test_nothing_is_sent_to_nodes_after_the_balancer_was_notified_of_their_drain() -> None:
    assert violation_texts(play(rolling_restart(100, 12.5, latency_ms=5.0), seed=1)) == []


def test_the_scenario_detects_calls_that_time_out_just_as_discovery_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # 2 s is the registry's own limit for a call that waits for its turn.
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 2.0)
    monkeypatch.setattr(discovery, "QUEUE_MARGIN_S", 0.0)
    texts = violation_texts(play(rolling_restart(100, 12.5, latency_ms=5.0), seed=1))
    assert texts and all("after it was told of its drain" in text for text in texts)


HARD_CASES = {
    "all moved at one moment": rolling_restart(40, 5.0, move_within_s=0.0),
    "moved twice": rolling_restart(
        30, 8.0, *(Reload(at_s=4.0 + 0.05 * i, balancer=f"b{i + 1}") for i in range(30))
    ),
    "polled every few seconds": rolling_restart(40, 6.0, ask_within_ms=3_000, length_s=12.0),
    "registry unreachable at the start": rolling_restart(30, 8.0, ListDown(at_s=0.0, for_s=3.0)),
    "registry unreachable during the restart": rolling_restart(30, 8.0, ListDown(at_s=4.5, for_s=3.0)),
    "registry unreachable until the end": rolling_restart(30, 8.0, ListDown(at_s=9.0, for_s=4.0)),
    "paused balancers": rolling_restart(
        30,
        8.0,
        Pause(at_s=4.2, for_s=2.0, nodes=("b1", "b2", "b3")),
        Pause(at_s=7.0, for_s=2.0, nodes=("b4",)),
    ),
    "balancers restarted at the same time": rolling_restart(
        30, 8.0, *(Stop(at_s=3.5 + 0.5 * i, balancer=f"b{i + 1}", back_s=0.3) for i in range(12))
    ),
    "pushed by an agent that stops responding": rolling_restart(
        10, 50.0, ListDown(at_s=4.0, for_s=3.0), mode="push", length_s=10.0
    ),
}


@pytest.mark.parametrize("scenario", HARD_CASES.values(), ids=HARD_CASES.keys())
def test_drains_are_kept(scenario: Scenario) -> None:
    assert violation_texts(play(scenario, seed=2)) == []
