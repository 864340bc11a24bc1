"""The module's figures in the log: off by default, and never another decision."""

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


def decide(module: type[Balancer]) -> list[Any]:
    """A crowd at two servers of which one answers for some seconds: all that is decided."""
    one = module(Settings(classes=(READ,), max_attempts=2), 3)
    done = one.handle(ListUpdate(ListKind.WHOLE, (Member("a"), Member("b"))), 1_000.0)
    for number in range(400):
        now = 1_000.0 + 20 * number
        actions = one.handle(RequestArrived(number, "read", 2_000), now)
        for action in actions:
            if isinstance(action, Send) and action.server == "a" and number < 150:
                actions = actions + one.handle(AttemptEnded(number, 0, "a", Outcome.SERVED, True), now + 9)
            if isinstance(action, SetTimer):
                actions = actions + one.handle(TimerDue(action.token), max(action.at_ms, now + 10))
        done += actions
    return done


def test_it_decides_as_the_module_does_and_says_why_it_refuses(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO, "passpost.recorder"):
        assert decide(RecordingBalancer) == decide(Balancer)
    lines = [r.getMessage() for r in caplog.records if r.name == "passpost.recorder"]
    assert len(lines) > 5
    assert any("no_room=" in line for line in lines) and all(" servers a:" in line for line in lines)


def test_it_is_off_unless_asked_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PASSPOST_FIGURES", raising=False)
    assert balancer_class() is Balancer
    monkeypatch.setenv("PASSPOST_FIGURES", "1")
    assert balancer_class() is RecordingBalancer
    code = "import sys, passpost.__main__; print('passpost.recorder' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "False\n"
