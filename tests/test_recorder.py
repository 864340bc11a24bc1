"""The figures of the decision module in the log: off by default, and without influence on decisions."""

from __future__ import annotations

import logging
import subprocess
import sys
from typing import Any

import pytest

from passpost.__main__ import balancer_class
from passpost.recorder import RecordingBalancer
from umberworks.interface import (
    AttemptEnded,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerDue,
)
from umberworks.rules import Balancer

READ = RequestClass("read", 500, 2_000, Effect.REPEATABLE)


def run_overload(module: type[Balancer]) -> list[Any]:
    """Overload two servers, of which one answers, and only the first 150 requests; return all actions."""
    balancer = module(Settings(classes=(READ,), max_attempts=2), 3)
    all_actions = balancer.handle(ListUpdate(ListKind.WHOLE, (Member("a"), Member("b"))), 1_000.0)
    for number in range(400):
        now = 1_000.0 + 20 * number
        actions = balancer.handle(RequestArrived(number, "read", 2_000), now)
        for action in actions:
            if isinstance(action, Send) and action.server == "a" and number < 150:
                actions = actions + balancer.handle(
                    AttemptEnded(number, 0, "a", Outcome.SERVED, True), now + 9
                )
            if isinstance(action, SetTimer):
                actions = actions + balancer.handle(TimerDue(action.token), max(action.at_ms, now + 10))
        all_actions += actions
    return all_actions


def test_recording_changes_no_decision_and_logs_why_requests_are_refused(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.INFO, "passpost.recorder"):
        assert run_overload(RecordingBalancer) == run_overload(Balancer)
    lines = [r.getMessage() for r in caplog.records if r.name == "passpost.recorder"]
    assert len(lines) > 5
    assert any("no_room=" in line for line in lines) and all(" servers a:" in line for line in lines)


def test_recorder_is_off_and_not_imported_by_default(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PASSPOST_FIGURES", raising=False)
    assert balancer_class() is Balancer
    monkeypatch.setenv("PASSPOST_FIGURES", "1")
    assert balancer_class() is RecordingBalancer
    code = "import sys, passpost.__main__; print('passpost.recorder' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "False\n"
