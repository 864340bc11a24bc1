"""Live runs with real balancer processes on loopback; they assert only what machine load can't change."""

from __future__ import annotations

import pytest

from passpost.rehearsal import model
from passpost.rehearsal.live import UnsupportedScenarioError, check, play
from passpost.rehearsal.model import Class, Clients
from passpost.rehearsal.summary import summarize
from tests.rehearsal.nights import small_scenario

# Times that even a busy machine meets: the tests check that the parts work together, not how fast they are.
LENIENT_CLASS = Class(name="frame", work_ms=5, aim_ms=20_000, deadline_ms=40_000)


def test_short_scenario_with_real_processes_has_no_faults() -> None:
    result = play(
        small_scenario(
            model.Drain(at_s=0.3, for_s=0.6, nodes=("render-plain-1",), back_s=0.2),
            model.Crash(at_s=0.8, for_s=0.3, nodes=("render-plain-2",)),
            model.Reload(at_s=0.5, balancer="b1"),
            model.Kill(at_s=1.0, balancer="b2", back_s=0.1),
            tiers=2,
            length_s=2.0,
            classes=(LENIENT_CLASS,),
            clients=Clients(rate_per_s=30),
        ),
        1,
    )
    assert result.faults == []
    figures = summarize(result)
    assert figures.total.requests > 10 and figures.total.served > 0
    assert [text for _, text in result.log if "b2" in text] == ["b2 killed", "b2 starts again"]


def test_sink_gets_each_attempt_that_a_node_receives() -> None:
    lines: list[str] = []
    result = play(small_scenario(length_s=0.5, classes=(LENIENT_CLASS,)), 1, lines.append)
    assert len(lines) == result.attempts and all(line.split()[3] == "send" for line in lines)


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (model.Clock(at_s=1, balancer="b1", by_s=5), "'clock' can't be played live"),
        (model.Partition(at_s=1, for_s=1, a=("b1",), b=("discovery",)), "must be nodes only"),
        (model.Delay(at_s=1, for_s=1, nodes=("b1",)), "only nodes can be delayed"),
        (model.Pause(at_s=1, for_s=1, nodes=("clients",)), "only nodes and balancers can be paused"),
    ],
)
def test_unsupported_scenario_is_rejected_with_the_reason(event: model.Event, reason: str) -> None:
    with pytest.raises(UnsupportedScenarioError, match=reason):
        check(small_scenario(event))
