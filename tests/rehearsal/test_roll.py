"""A roll of the nodes while discovery moves for all balancers at once, and can't answer all of them in time."""

from __future__ import annotations

import pytest

from passpost import discovery
from passpost.rehearsal.model import (
    Clients,
    Contract,
    Discovery,
    Drain,
    Event,
    Kind,
    Reload,
    Script,
    Tier,
)
from passpost.rehearsal.virtual import play
from passpost.rehearsal.world import Night
from tests.rehearsal.nights import FRAME, SUBMIT


def roll(balancers: int, calls_per_s: float) -> Script:
    """All are moved within 2 s; a twelfth of the nodes leaves every second and a half."""
    kinds = (Kind(name="fast", count=24, cores=2, speed=2.0), Kind(name="plain", count=24, cores=2))
    events: list[Event] = [
        Reload(at_s=3.0 + 2.0 * i / balancers, balancer=f"b{i + 1}") for i in range(balancers)
    ]
    for i in range(6):
        leaving = (f"render-*-{4 * i + 1}", f"render-*-{4 * i + 2}")
        events.append(Drain(at_s=4.0 + 1.5 * i, for_s=3.3, nodes=leaving, back_s=0.5))
    return Script(
        version=1,
        title="A roll with a move",
        length_s=14.0,
        contract=Contract(cold_ms=4_000, ask_within_ms=10_000),
        discovery=Discovery(notice_s=(0.1, 0.5), calls_per_s=calls_per_s),
        clients=Clients(rate_per_s=400, processes=60),
        classes=(FRAME, SUBMIT),
        tiers=(Tier(name="render", kinds=kinds, balancers=balancers),),
        events=tuple(events),
    )


def broken(night: Night) -> list[str]:
    assert night.faults == []
    return [b.text for b in night.breaks]


def test_nothing_is_sent_to_nodes_whose_leaving_was_told() -> None:
    assert broken(play(roll(100, 12.5), seed=1)) == []


def test_the_night_shows_calls_that_are_given_up_when_discovery_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "ANSWER_S", 2.0)  # discovery's own bound on a call that waits for its turn
    monkeypatch.setattr(discovery, "SPARE_S", 0.0)
    found = broken(play(roll(100, 12.5), seed=1))
    assert found and all("after it was told of its drain" in text for text in found)
