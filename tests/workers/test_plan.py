"""The plan of the worker processes, on a simulated clock."""

from __future__ import annotations

import signal
from collections.abc import Iterable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from passpost.workers.plan import (
    MAX_RESTART_DELAY_S,
    MIN_RESTART_DELAY_S,
    RESTART_RESET_S,
    Action,
    Exit,
    Plan,
    SendSignal,
    Start,
    State,
)

KILL_AFTER_S, DRAIN_S = 30.0, 6.0


class PlanHarness:
    """A plan with simulated workers whose events the test triggers."""

    def __init__(self, count: int = 3, up: bool = True) -> None:
        self.plan, self.now = Plan(count, KILL_AFTER_S, DRAIN_S), 0.0
        self.alive: set[int] = set()
        self.signals_sent: list[SendSignal] = []
        self.status: int | None = None
        self.apply(self.plan.start_all(0.0))
        if up:
            for slot in range(count):
                self.apply(self.plan.worker_ready(slot, self.now))

    def apply(self, actions: Iterable[Action]) -> list[Action]:
        found = list(actions)
        for action in found:
            match action:
                case Start(slot):
                    assert slot not in self.alive, "two processes in one slot"
                    self.alive.add(slot)
                case SendSignal(slot, _):
                    assert slot in self.alive, "signal to a worker that is not running"
                    self.signals_sent.append(action)
                case Exit(status):
                    assert not self.alive and self.status is None
                    self.status = status
        return found

    def end_worker(self, slot: int, status: int) -> list[Action]:
        self.alive.discard(slot)
        return self.apply(self.plan.worker_ended(slot, status, self.now))

    def mark_ready(self, slot: int) -> list[Action]:
        return self.apply(self.plan.worker_ready(slot, self.now))

    def advance(self, seconds: float) -> list[Action]:
        """Advance the clock and run the plan at each time that it names."""
        end, found = self.now + seconds, list[Action]()
        while (at := self.plan.next_at()) is not None and at <= end:
            self.now = max(at, self.now)
            if not (new := self.apply(self.plan.due_actions(self.now))):
                break
            found += new
        self.now = end
        return found


def test_crashed_worker_restarts_after_a_doubling_delay() -> None:
    harness = PlanHarness()
    pause = MIN_RESTART_DELAY_S
    for _ in range(9):
        assert harness.end_worker(1, -signal.SIGKILL) == []
        assert harness.advance(min(pause, MAX_RESTART_DELAY_S) * 0.99) == []
        assert harness.advance(min(pause, MAX_RESTART_DELAY_S) * 0.02) == [Start(1)]
        harness.mark_ready(1)
        pause *= 2
    harness.advance(RESTART_RESET_S)
    harness.end_worker(1, 1)
    assert harness.advance(MIN_RESTART_DELAY_S) == [Start(1)]  # ready long enough to reset the delay


def test_failure_of_first_start_ends_all_with_its_status() -> None:
    harness = PlanHarness(up=False)
    assert harness.end_worker(0, 2) == [SendSignal(1, signal.SIGTERM), SendSignal(2, signal.SIGTERM)]
    harness.end_worker(1, 0)
    assert harness.end_worker(2, 2) == [Exit(2)]
    assert harness.plan.next_at() is None


def test_worker_killed_before_any_is_ready_is_restarted() -> None:
    harness = PlanHarness(up=False)
    harness.end_worker(0, -signal.SIGKILL)
    assert harness.advance(MIN_RESTART_DELAY_S) == [Start(0)]


def test_renewal_replaces_one_worker_at_a_time() -> None:
    harness = PlanHarness()
    for slot in range(3):
        assert (harness.apply(harness.plan.renew(harness.now)) if slot == 0 else []) in (
            [],
            [SendSignal(0, signal.SIGTERM)],
        )
        assert harness.plan.states()[slot] is State.DRAINING
        assert harness.plan.states().count(State.READY) == 2
        assert harness.end_worker(slot, 0) == [Start(slot)]
        harness.mark_ready(slot)
    assert harness.plan.states() == [State.READY] * 3 and harness.advance(100) == []


def test_renewal_waits_for_crashed_worker_and_replaces_all() -> None:
    harness = PlanHarness()
    harness.end_worker(2, -9)
    assert harness.apply(harness.plan.renew(harness.now)) == []  # otherwise two workers would be missing
    harness.advance(MIN_RESTART_DELAY_S)
    assert harness.mark_ready(2) == [SendSignal(0, signal.SIGTERM)]
    harness.end_worker(2, -9)  # while worker 0 drains
    harness.advance(1)
    assert harness.mark_ready(2) == []
    harness.end_worker(0, 0)
    assert harness.mark_ready(0) == [SendSignal(1, signal.SIGTERM)]
    harness.end_worker(1, 0)
    assert harness.mark_ready(1) == [SendSignal(2, signal.SIGTERM)]


def test_failed_renewal_leaves_the_other_workers_running() -> None:
    harness = PlanHarness()
    harness.apply(harness.plan.renew(harness.now))
    harness.end_worker(0, 0)
    for _ in range(6):
        harness.end_worker(0, 2)
        assert harness.advance(MAX_RESTART_DELAY_S) == [Start(0)]
    assert harness.plan.states()[1:] == [State.READY] * 2


def test_reload_signals_one_worker_after_the_other() -> None:
    harness = PlanHarness()
    assert harness.apply(harness.plan.reread_file(harness.now)) == [SendSignal(0, signal.SIGHUP)]
    assert harness.advance(10) == [SendSignal(1, signal.SIGHUP), SendSignal(2, signal.SIGHUP)]


def test_shutdown_drains_one_worker_after_the_other_in_time() -> None:
    harness = PlanHarness()
    assert harness.apply(harness.plan.stop(harness.now)) == [SendSignal(0, signal.SIGTERM)]
    harness.advance(2)
    assert harness.end_worker(0, 0) == [SendSignal(1, signal.SIGTERM)]
    # Worker 1 takes long; the last one must still have time to drain.
    assert harness.advance(KILL_AFTER_S - DRAIN_S) == [SendSignal(2, signal.SIGTERM)]
    harness.end_worker(1, 0)
    assert harness.end_worker(2, 0) == [Exit(0)]


def test_reloaded_file_changes_times_of_next_shutdown() -> None:
    harness = PlanHarness(2)
    harness.plan.set_times(5.0, 1.0)
    harness.apply(harness.plan.stop(harness.now))
    harness.plan.set_times(500.0, 1.0)  # no effect: the time of the kill was fixed when the shutdown began
    harness.advance(5.0)
    assert [t.signal for t in harness.signals_sent] == [signal.SIGTERM] * 2 + [signal.SIGKILL] * 2


def test_workers_that_do_not_end_are_killed_in_time() -> None:
    harness = PlanHarness(2)
    harness.apply(harness.plan.stop(harness.now))
    harness.advance(KILL_AFTER_S)
    assert harness.signals_sent[-2:] == [SendSignal(0, signal.SIGKILL), SendSignal(1, signal.SIGKILL)]
    harness.end_worker(0, -9)
    assert harness.end_worker(1, -9) == [Exit(1)]


@pytest.mark.parametrize("drain", [0.1, 29.0, 500.0])
def test_every_worker_drains_even_with_little_time(drain: float) -> None:
    plan = Plan(4, KILL_AFTER_S, drain)
    plan.start_all(0.0)
    for slot in range(4):
        plan.worker_ready(slot, 0.0)
    told, now = [a for a in plan.stop(0.0) if isinstance(a, SendSignal)], 0.0
    while len(told) < 4:
        at = plan.next_at()
        assert at is not None and at > now
        now = at
        told += [a for a in plan.due_actions(now) if isinstance(a, SendSignal)]
    assert [t.signal for t in told] == [signal.SIGTERM] * 4
    assert now <= max(KILL_AFTER_S - drain, 0.0)


class Workers(RuleBasedStateMachine):
    """Random sequences of events."""

    @initialize(count=st.integers(1, 4))
    def begin(self, count: int) -> None:
        self.harness = PlanHarness(count, up=False)
        self.stopped = False

    def _over(self) -> bool:
        return self.harness.status is not None

    @precondition(lambda self: not self._over())
    @rule(which=st.integers(0, 3))
    def is_ready(self, which: int) -> None:
        starting = [s for s, x in enumerate(self.harness.plan.states()) if x is State.STARTING]
        if starting:
            self.harness.mark_ready(starting[which % len(starting)])

    @precondition(lambda self: not self._over())
    @rule(which=st.integers(0, 3), status=st.sampled_from([0, 1, 2, -9]))
    def ends(self, which: int, status: int) -> None:
        if self.harness.alive:
            alive = sorted(self.harness.alive)
            self.harness.end_worker(alive[which % len(alive)], status)

    @rule(seconds=st.floats(0.01, 40))
    def time_passes(self, seconds: float) -> None:
        self.harness.advance(seconds)

    @precondition(lambda self: not self._over())
    @rule(renews=st.booleans())
    def file_changes(self, renews: bool) -> None:
        plan, now = self.harness.plan, self.harness.now
        if not self.stopped:
            self.harness.apply(plan.renew(now) if renews else plan.reread_file(now))

    @precondition(lambda self: not self._over())
    @rule()
    def stop(self) -> None:
        self.stopped = True
        self.harness.apply(self.harness.plan.stop(self.harness.now))

    @invariant()
    def at_most_one_worker_drains(self) -> None:
        if hasattr(self, "harness") and not self.stopped and self.harness.plan._stop_at is None:
            assert self.harness.plan.states().count(State.DRAINING) <= 1

    @invariant()
    def every_worker_that_is_off_has_a_start_time(self) -> None:
        if hasattr(self, "harness"):
            off = State.OFF in self.harness.plan.states()
            stopping = self.harness.plan._stop_at is not None  # then the plan waits for workers to end
            assert not off or stopping or self.harness.plan.next_at() is not None

    def teardown(self) -> None:
        """A shutdown ends all workers and gives one exit status."""
        if hasattr(self, "harness") and not self._over():
            harness = self.harness
            harness.apply(harness.plan.stop(harness.now))
            harness.advance(2 * KILL_AFTER_S)
            for slot in sorted(harness.alive):
                harness.end_worker(slot, -9)
            assert harness.status is not None


Workers.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestWorkers = Workers.TestCase
