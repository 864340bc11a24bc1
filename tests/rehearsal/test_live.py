"""Live nights: real balancer processes on loopback. Only what no busy machine can change is held."""

from __future__ import annotations

import pytest

from passpost.rehearsal import model
from passpost.rehearsal.live import UnplayableError, check, play
from passpost.rehearsal.model import Class, Clients
from passpost.rehearsal.summary import summarize
from tests.rehearsal.nights import script

# Times that no busy machine misses: what is tested is that the parts work together.
PATIENT = Class(name="frame", work_ms=5, aim_ms=20_000, deadline_ms=40_000)


def test_a_short_night_with_real_processes() -> None:
    night = play(
        script(
            model.Drain(at_s=0.3, for_s=0.6, nodes=("render-plain-1",), back_s=0.2),
            model.Crash(at_s=0.8, for_s=0.3, nodes=("render-plain-2",)),
            model.Reload(at_s=0.5, balancer="b1"),
            model.Kill(at_s=1.0, balancer="b2", back_s=0.1),
            tiers=2,
            length_s=2.0,
            classes=(PATIENT,),
            clients=Clients(rate_per_s=30),
        ),
        1,
    )
    assert night.faults == []
    figures = summarize(night)
    assert figures.total.requests > 10 and figures.total.served > 0
    assert [text for _, text in night.log if "b2" in text] == ["b2 killed", "b2 starts again"]


def test_attempts_are_written_down_as_nodes_see_them() -> None:
    lines: list[str] = []
    night = play(script(length_s=0.5, classes=(PATIENT,)), 1, lines.append)
    assert len(lines) == night.attempts and all(line.split()[3] == "send" for line in lines)


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (model.Clock(at_s=1, balancer="b1", by_s=5), "'clock' can't be played live"),
        (model.Partition(at_s=1, for_s=1, a=("b1",), b=("discovery",)), "must be nodes only"),
        (model.Delay(at_s=1, for_s=1, nodes=("b1",)), "only nodes can be delayed"),
        (model.Pause(at_s=1, for_s=1, nodes=("clients",)), "only nodes and balancers can be paused"),
    ],
)
def test_what_can_not_be_played_live_is_refused(event: model.Event, reason: str) -> None:
    with pytest.raises(UnplayableError, match=reason):
        check(script(event))
