"""The soak of restarts in short: some seeds of it, played by real processes, and how a run is judged.

The long one is run by hand: python benchmarks/restarts.py.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from passpost.rehearsal import live, model
from passpost.rehearsal.restarts import READY_TIMEOUT_S, SIGNALS, RestartCase, draw_case, find_failures
from passpost.rehearsal.script import dump, load, parse
from passpost.rehearsal.watch import Violation
from passpost.rehearsal.world import Night
from tests.loopback import ROOT

SIDECAR = load(str(ROOT / "examples" / "consent-desk" / "rehearsal.toml"))
SOAK = {"platform, asked": 2, "platform, pushed": 7, "sidecar": 4, "workers": 12}


def drawn(seed: int) -> RestartCase:
    return draw_case(seed, SIDECAR)


@pytest.mark.parametrize("seed", SOAK.values(), ids=SOAK.keys())
def test_restarts_under_signals_and_troubles_lose_nothing(seed: int) -> None:
    case = drawn(seed)
    night = live.play(case.scenario, seed, workers=case.workers, ready_within=READY_TIMEOUT_S)
    assert find_failures(night) == [], "\n".join(
        line for v in find_failures(night) for line in (v.what, *v.timeline)
    )
    assert any(job.outcome == "served" for job in night.jobs)


def test_a_seed_draws_the_same_scenario_each_time_and_another_one_another() -> None:
    assert drawn(5) == drawn(5)
    assert drawn(5) != drawn(6)


def test_seeds_draw_all_hosts_both_lists_and_every_signal() -> None:
    scenarios = [drawn(seed) for seed in range(1, 61)]
    assert {s.deployment() for s in scenarios} == {"platform", "sidecar", "2 workers"}
    assert {s.scenario.discovery.mode for s in scenarios} == {"ask", "push"}
    stops = [e for s in scenarios for e in s.scenario.events if isinstance(e, model.Stop)]
    assert {signal for stop in stops for signal in stop.then} == set(SIGNALS)
    assert all(s.scenario.events for s in scenarios)


def test_a_scenario_is_a_script_that_can_be_kept_and_played_again() -> None:
    script = drawn(3).scenario
    assert parse(dump(script), "kept") == script


def test_each_thing_that_must_not_happen_is_a_violation() -> None:
    script = drawn(2).scenario
    assert find_failures(Night(script, 2)) == []
    broken = Night(
        script,
        2,
        breaks=[Violation("lost", 3.0, "t7: closed with no whole answer", ["t7 sent"])],
        faults=["b1 ended with status -15"],
        log=[(2.0, "b1 gets SIGTERM")],
    )
    found = find_failures(broken)
    assert [v.what.partition(":")[0] for v in found] == ["lost", "fault"]
    assert found[0].timeline == ("t7 sent",) and "b1 gets SIGTERM" in found[1].timeline[0]


def test_errors_in_a_log_are_told_by_their_last_line(tmp_path: Path) -> None:
    text = (
        'INFO fine\nTraceback (most recent call last):\n  File "x", line 1, in y\nValueError: no\nINFO on\n'
    )
    (tmp_path / "b1.log").write_text(text)
    (tmp_path / "b2.log").write_text("INFO fine\n")
    assert live.errors_logged(tmp_path) == ["b1: ValueError: no"]
