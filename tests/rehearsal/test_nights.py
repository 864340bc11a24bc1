"""Whole nights: the same seed gives the same bytes, rules hold, and a broken balancer is caught."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from passpost.callers import connection, listener
from passpost.callers.connection import Connection
from passpost.rehearsal import explore as exploring
from passpost.rehearsal import model
from passpost.rehearsal.model import Clients, Contract, Network, Scenario
from passpost.rehearsal.report import render_html
from passpost.rehearsal.script import dump, load, parse
from passpost.rehearsal.summary import outcomes_by_second, summarize
from passpost.rehearsal.virtual import play
from tests.rehearsal import nights
from tests.rehearsal.nights import NIGHT_FAULTS, decisions, script

ROOT = Path(__file__).parent.parent.parent
SHIPPED = sorted((ROOT / "rehearsals").glob("*.toml"))

DECIDE = """
import sys
from passpost.rehearsal.script import load
from passpost.rehearsal.virtual import play
night = play(load(sys.argv[1]), int(sys.argv[2]), lambda line: print(line))
"""


def rules(night: Any) -> set[str]:
    return {b.rule for b in night.breaks}


def test_a_calm_night_serves_all_through_two_tiers() -> None:
    night = play(script(tiers=2), 1)
    figures = summarize(night)
    assert night.is_good(), (night.faults, night.breaks)
    assert figures.total.served == 1.0 and figures.total.requests > 150
    assert figures.attempts_each == 2.0  # one at each tier
    assert sum(sum(c.values()) for c in outcomes_by_second(night)) == figures.total.requests


def test_the_same_seed_gives_the_same_bytes_whatever_the_hash_seed(tmp_path: Path) -> None:
    path = tmp_path / "night.toml"
    path.write_text(dump(script(*NIGHT_FAULTS, tiers=1, clients=Clients(rate_per_s=250))))

    def lines(seed: int, hashing: str) -> bytes:
        done = subprocess.run(
            [sys.executable, "-c", DECIDE, str(path), str(seed)],
            env=os.environ | {"PYTHONHASHSEED": hashing},
            cwd=ROOT,
            capture_output=True,
            check=True,
        )
        return done.stdout

    first = lines(5, "1")
    assert first.count(b"\n") > 1_000
    assert first == lines(5, "2") == lines(5, "77")
    assert first != lines(6, "1")


@pytest.mark.parametrize("path", SHIPPED, ids=lambda p: p.stem)
def test_shipped_nights_keep_the_rules(path: Path) -> None:
    night = load(str(path))
    light = msgspec.structs.replace(
        night, clients=msgspec.structs.replace(night.clients, rate_per_s=night.clients.rate_per_s / 4)
    )
    played = play(light, night.seed)
    assert played.is_good(), (played.faults, played.breaks)
    assert summarize(played).total.served > 0.5


@pytest.mark.parametrize("path", sorted((ROOT / "rehearsals" / "found").glob("*.toml")), ids=lambda p: p.stem)
def test_nights_that_once_broke_a_rule_keep_it_now(path: Path) -> None:
    night = load(str(path))
    played = play(night, night.seed)
    assert played.is_good(), (played.faults, played.breaks)


def test_there_are_ten_bad_nights_and_each_kind_of_failure_is_in_one() -> None:
    bad = [load(str(p)) for p in SHIPPED if load(str(p)).events]
    assert len(bad) >= 10
    seen = {type(event) for night in bad for event in night.events}
    assert seen >= {
        *(model.Slow, model.Silent, model.Hang, model.Pause, model.Reset, model.Spoil, model.Crash),
        *(model.Drain, model.ListDown, model.SharedSlow, model.Partition, model.Delay),
        *(model.Stop, model.Reload, model.Kill, model.Rush),
    }


# ---- balancers broken on purpose: each must be caught, with the rule named


def test_one_that_sends_twice_is_caught() -> None:
    night, _ = decisions(script(), 1, nights.ServesTwice)
    assert "twice" in rules(night)
    story = next(b for b in night.breaks if b.rule == "twice").timeline
    assert any("invoice, unsafe" in line for line in story)
    assert sum("attempt" in line for line in story) >= 2


def test_one_that_sends_after_a_drain_is_caught() -> None:
    drain = model.Drain(at_s=0.5, for_s=4.0, nodes=("render-plain-1",))
    assert play(script(drain), 1).is_good()
    night, _ = decisions(script(drain), 1, nights.IgnoresDrains)
    assert rules(night) == {"drain"}
    assert "render-plain-1" in night.breaks[0].text


def test_one_that_floods_a_cold_node_is_caught() -> None:
    crash = model.Crash(at_s=0.5, for_s=0.5, nodes=("render-plain-1",))
    busy = script(crash, clients=Clients(rate_per_s=120))
    assert play(busy, 1).is_good()
    night, _ = decisions(busy, 1, nights.FloodsTheCold)
    assert rules(night) == {"cold"}


def test_one_that_drops_a_request_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    finish, count = connection.Connection._answer_open, 0

    def drop(self: Any, status: int, *more: Any) -> None:
        nonlocal count
        count += status == 200
        if status == 200 and count % 50 == 0:
            self._open_request = None
            self.abort()
        else:
            finish(self, status, *more)

    monkeypatch.setattr(connection.Connection, "_answer_open", drop)
    night = play(script(), 1)
    assert rules(night) == {"lost"}
    assert "closed with no whole answer" in night.breaks[0].text


def test_one_that_makes_up_answers_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    serve = connection.Connection.serve

    def other(self: Any, answer: Any) -> None:
        serve(self, type(answer)(200, answer.headers, b"made up", answer.reusable))

    monkeypatch.setattr(connection.Connection, "serve", other)
    assert rules(play(script(), 1)) == {"lost"}


def test_a_crash_of_the_program_is_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: Any, *_: Any) -> None:
        raise ZeroDivisionError("on purpose")

    monkeypatch.setattr(connection.Connection, "_submit", fail)
    night = play(script(), 1)
    assert any("on purpose" in fault for fault in night.faults) and not night.is_good()


# ---- hard cases


def test_bytes_split_anywhere_change_no_outcome() -> None:
    night = play(script(network=Network(split=1.0)), 2)
    assert night.is_good() and summarize(night).total.served == 1.0


def test_a_node_that_returns_under_its_name_meets_attempts_that_are_out() -> None:
    crashes = tuple(
        model.Crash(at_s=0.5 + i, for_s=0.05, nodes=("render-*",), count=1, back_as="same") for i in range(4)
    )
    night = play(script(*crashes, clients=Clients(rate_per_s=120)), 3)
    assert night.is_good(), (night.faults, night.breaks)


def test_a_wall_clock_that_is_set_back_changes_no_promise() -> None:
    steps = tuple(
        model.Clock(at_s=at, balancer="b1", by_s=by) for at, by in ((0.5, -5_000.0), (2.0, 9_000.0))
    )
    night = play(script(*steps, model.Stop(at_s=1.0, balancer="b1", back_s=0.1)), 1)
    assert night.is_good(), (night.faults, night.breaks)
    assert summarize(night).total.served == 1.0


def test_a_restart_lets_callers_go_before_the_kill_however_long_their_deadlines_are() -> None:
    # Of the longest deadline the platform waits 3 s at most: a drain that reckons with 8 s never came to its end.
    patient = (msgspec.structs.replace(nights.FRAME, deadline_ms=8_000), nights.SUBMIT)
    night = play(script(model.Stop(at_s=1.0, balancer="b1", back_s=0.1), length_s=7.0, classes=patient), 1)
    assert night.is_good(), (night.faults, night.breaks)
    assert not any("killed" in said for _, said in night.log), night.log


def test_the_list_may_be_pushed() -> None:
    night = play(
        script(
            model.ListDown(at_s=1.0, for_s=1.5),
            model.Drain(at_s=1.2, for_s=1.0, nodes=("render-fast-1",), back_s=0.5),
            discovery=model.Discovery(mode="push", notice_s=(0.1, 0.2)),
        ),
        1,
    )
    assert night.is_good(), (night.faults, night.breaks)
    assert summarize(night).total.served > 0.9


def test_a_fleet_that_is_gone_refuses_and_ends() -> None:
    gone = model.Crash(at_s=0.5, for_s=60, nodes=("render-*",), back_as="never")
    night = play(script(gone), 1)
    assert night.is_good(), (night.faults, night.breaks)
    assert 0 < summarize(night).total.served < 0.5


def test_balancers_that_never_get_ready_end_the_night(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener.Server, "is_ready", lambda self: False)
    night = play(script(), 1)
    assert night.faults == ["the balancers did not get ready"]


def test_refused_clients_are_told_when_to_return_and_some_keep_to_it() -> None:
    rush = script(clients=Clients(rate_per_s=900, honour=1.0), contract=Contract())
    night = play(msgspec.structs.replace(rush, length_s=2.0), 1)
    assert night.is_good(), (night.faults, night.breaks)
    assert summarize(night).total.refused > 0


# ---- exploring


def test_exploring_finds_a_broken_balancer_and_shrinks_the_night() -> None:
    base = script(model.Slow(at_s=1.0, for_s=1.0, nodes=("render-plain-2",)))
    base = msgspec.structs.replace(
        base, events=(*base.events, model.Drain(at_s=0.5, for_s=4.0, nodes=("render-plain-1",)))
    )
    found, played = exploring.explore(base, range(1, 4), 1, 2, module=nights.IgnoresDrains)
    assert found is not None and played == 1
    assert found.problem.startswith("drain: ")
    assert [type(e) for e in found.scenario.events] == [model.Drain] and found.drawn_events >= 3
    again = parse(dump(found.scenario), "found.toml")
    assert rules(play(again, again.seed, module=nights.IgnoresDrains)) == {"drain"}
    assert play(again, again.seed).is_good()


def test_exploring_gives_the_same_result_with_any_number_of_processes() -> None:
    base: Scenario = msgspec.structs.replace(script(), length_s=1.0)
    assert (
        exploring.explore(base, range(1, 7), 1, 3) == exploring.explore(base, range(1, 7), 3, 3) == (None, 6)
    )


# ---- the report


def test_the_report_needs_nothing_else_and_shows_what_happened() -> None:
    drain = model.Drain(at_s=0.5, for_s=4.0, nodes=("render-plain-1",))
    night, _ = decisions(script(drain, title="Fish & <chips>"), 1, nights.IgnoresDrains)
    page = render_html(night)
    assert not re.search(r"(src|href)=|https?://|@import|url\(", page)
    assert "Fish &amp; &lt;chips&gt;" in page and "<chips>" not in page
    assert page.count("<svg") == 2 and "render-plain-1 drains" in page
    assert "drains are kept" in page and "after it was told of its drain" in page


def test_the_report_of_a_calm_night_says_so() -> None:
    page = render_html(play(script(), 1))
    assert "all rules kept" in page and "<p>No events.</p>" in page


def test_nothing_is_sent_for_clients_that_left_while_a_balancer_stood_still(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    night = load(str(ROOT / "rehearsals" / "impatient.toml"))
    played = play(night, 2)
    assert played.left_waiting > 10 and played.sent_after == 0
    monkeypatch.setattr(
        Connection, "has_left", lambda self: False
    )  # the request is read before the end behind it
    assert play(night, 2).sent_after > 0
