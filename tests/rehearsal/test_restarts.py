"""A short version of the restart soak: a few seeds on real processes, and the failures found in a run.

The full soak is started by hand: python benchmarks/restarts.py.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from passpost.rehearsal import live, model
from passpost.rehearsal.restarts import READY_TIMEOUT_S, SIGNALS, RestartCase, draw_case, find_failures
from passpost.rehearsal.script import dump, load, parse
from passpost.rehearsal.watch import Violation
from passpost.rehearsal.world import Run
from tests.loopback import ROOT

SIDECAR_SCENARIO = load(str(ROOT / "examples" / "consent-desk" / "rehearsal.toml"))
SOAK_SEEDS = {"platform, asked": 2, "platform, pushed": 7, "sidecar": 4, "workers": 12}


def drawn_case(seed: int) -> RestartCase:
    return draw_case(seed, SIDECAR_SCENARIO)


@pytest.mark.parametrize("seed", SOAK_SEEDS.values(), ids=SOAK_SEEDS.keys())
def test_restarts_under_signals_and_faults_cause_no_failure(seed: int) -> None:
    case = drawn_case(seed)
    run = live.play(case.scenario, seed, workers=case.workers, ready_within=READY_TIMEOUT_S)
    assert find_failures(run) == [], "\n".join(
        line for failure in find_failures(run) for line in (failure.what, *failure.timeline)
    )
    assert any(request.outcome == "served" for request in run.requests)


def test_draws_are_repeatable_and_differ_between_seeds() -> None:
    assert drawn_case(5) == drawn_case(5)
    assert drawn_case(5) != drawn_case(6)


def test_seeds_cover_all_deployments_list_modes_and_signals() -> None:
    cases = [drawn_case(seed) for seed in range(1, 61)]
    assert {case.deployment() for case in cases} == {"platform", "sidecar", "2 workers"}
    assert {case.scenario.discovery.mode for case in cases} == {"ask", "push"}
    stops = [e for case in cases for e in case.scenario.events if isinstance(e, model.Stop)]
    assert {signal for stop in stops for signal in stop.then} == set(SIGNALS)
    assert all(case.scenario.events for case in cases)


def test_a_drawn_scenario_survives_a_round_trip() -> None:
    scenario = drawn_case(3).scenario
    assert parse(dump(scenario), "kept") == scenario


def test_violations_and_faults_are_failures() -> None:
    scenario = drawn_case(2).scenario
    assert find_failures(Run(scenario, 2)) == []
    failed_run = Run(
        scenario,
        2,
        violations=[Violation("lost", 3.0, "t7: closed with no whole answer", ["t7 sent"])],
        faults=["b1 ended with status -15"],
        log=[(2.0, "b1 gets SIGTERM")],
    )
    found = find_failures(failed_run)
    assert [failure.what.partition(":")[0] for failure in found] == ["lost", "fault"]
    assert found[0].timeline == ("t7 sent",) and "b1 gets SIGTERM" in found[1].timeline[0]


def test_a_traceback_in_a_log_is_reported_by_its_last_line(tmp_path: Path) -> None:
    text = (
        'INFO fine\nTraceback (most recent call last):\n  File "x", line 1, in y\nValueError: no\nINFO on\n'
    )
    (tmp_path / "b1.log").write_text(text)
    (tmp_path / "b2.log").write_text("INFO fine\n")
    assert live.logged_exceptions(tmp_path) == ["b1: ValueError: no"]
