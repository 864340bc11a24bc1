"""The plan of the workers on a clock of its own."""

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

WITHIN, DRAIN = 30.0, 6.0


class Rig:
    """A plan and workers that do as they are told, when the test says so."""

    def __init__(self, count: int = 3, up: bool = True) -> None:
        self.plan, self.now = Plan(count, WITHIN, DRAIN), 0.0
        self.alive: set[int] = set()
        self.told: list[SendSignal] = []
        self.status: int | None = None
        self.done(self.plan.start_all(0.0))
        if up:
            for slot in range(count):
                self.done(self.plan.worker_ready(slot, self.now))

    def done(self, actions: Iterable[Action]) -> list[Action]:
        found = list(actions)
        for action in found:
            match action:
                case Start(slot):
                    assert slot not in self.alive, "a second process in one slot"
                    self.alive.add(slot)
                case SendSignal(slot, _):
                    assert slot in self.alive, "a signal to nobody"
                    self.told.append(action)
                case Exit(status):
                    assert not self.alive and self.status is None
                    self.status = status
        return found

    def ends(self, slot: int, status: int) -> list[Action]:
        self.alive.discard(slot)
        return self.done(self.plan.worker_ended(slot, status, self.now))

    def ready(self, slot: int) -> list[Action]:
        return self.done(self.plan.worker_ready(slot, self.now))

    def sleep(self, seconds: float) -> list[Action]:
        """Time passes, and the plan is asked at each moment that it named."""
        end, found = self.now + seconds, list[Action]()
        while (at := self.plan.next_at()) is not None and at <= end:
            self.now = max(at, self.now)
            if not (new := self.done(self.plan.due_actions(self.now))):
                break
            found += new
        self.now = end
        return found


def test_one_that_dies_is_started_again_after_a_pause_that_doubles() -> None:
    rig = Rig()
    pause = MIN_RESTART_DELAY_S
    for _ in range(9):
        assert rig.ends(1, -signal.SIGKILL) == []
        assert rig.sleep(min(pause, MAX_RESTART_DELAY_S) * 0.99) == []
        assert rig.sleep(min(pause, MAX_RESTART_DELAY_S) * 0.02) == [Start(1)]
        rig.ready(1)
        pause *= 2
    rig.sleep(RESTART_RESET_S)
    rig.ends(1, 1)
    assert rig.sleep(MIN_RESTART_DELAY_S) == [Start(1)]  # it had run long enough to be forgiven


def test_a_file_that_starts_no_worker_ends_all_with_its_status() -> None:
    rig = Rig(up=False)
    assert rig.ends(0, 2) == [SendSignal(1, signal.SIGTERM), SendSignal(2, signal.SIGTERM)]
    rig.ends(1, 0)
    assert rig.ends(2, 2) == [Exit(2)]
    assert rig.plan.next_at() is None


def test_one_that_is_killed_before_any_is_up_is_started_again() -> None:
    rig = Rig(up=False)
    rig.ends(0, -signal.SIGKILL)
    assert rig.sleep(MIN_RESTART_DELAY_S) == [Start(0)]


def test_a_renewal_takes_one_at_a_time_and_waits_for_its_successor() -> None:
    rig = Rig()
    for slot in range(3):
        assert (rig.done(rig.plan.renew(rig.now)) if slot == 0 else []) in (
            [],
            [SendSignal(0, signal.SIGTERM)],
        )
        assert rig.plan.states()[slot] is State.DRAINING
        assert rig.plan.states().count(State.READY) == 2
        assert rig.ends(slot, 0) == [Start(slot)]
        rig.ready(slot)
    assert rig.plan.states() == [State.READY] * 3 and rig.sleep(100) == []


def test_a_renewal_waits_for_one_that_died_and_forgets_nobody() -> None:
    rig = Rig()
    rig.ends(2, -9)
    assert rig.done(rig.plan.renew(rig.now)) == []  # two would be missing
    rig.sleep(MIN_RESTART_DELAY_S)
    assert rig.ready(2) == [SendSignal(0, signal.SIGTERM)]
    rig.ends(2, -9)  # while the first drains
    rig.sleep(1)
    assert rig.ready(2) == []
    rig.ends(0, 0)
    assert rig.ready(0) == [SendSignal(1, signal.SIGTERM)]
    rig.ends(1, 0)
    assert rig.ready(1) == [SendSignal(2, signal.SIGTERM)]


def test_a_renewal_that_starts_no_worker_leaves_the_others_alone() -> None:
    rig = Rig()
    rig.done(rig.plan.renew(rig.now))
    rig.ends(0, 0)
    for _ in range(6):
        rig.ends(0, 2)
        assert rig.sleep(MAX_RESTART_DELAY_S) == [Start(0)]
    assert rig.plan.states()[1:] == [State.READY] * 2


def test_all_are_told_to_read_the_file_one_after_the_other() -> None:
    rig = Rig()
    assert rig.done(rig.plan.reread_file(rig.now)) == [SendSignal(0, signal.SIGHUP)]
    assert rig.sleep(10) == [SendSignal(1, signal.SIGHUP), SendSignal(2, signal.SIGHUP)]


def test_the_end_drains_one_after_the_other_and_in_time() -> None:
    rig = Rig()
    assert rig.done(rig.plan.stop(rig.now)) == [SendSignal(0, signal.SIGTERM)]
    rig.sleep(2)
    assert rig.ends(0, 0) == [SendSignal(1, signal.SIGTERM)]
    assert rig.sleep(WITHIN - DRAIN) == [
        SendSignal(2, signal.SIGTERM)
    ]  # 1 takes long: the last must have its time
    rig.ends(1, 0)
    assert rig.ends(2, 0) == [Exit(0)]


def test_a_file_read_again_gives_the_end_other_times() -> None:
    rig = Rig(2)
    rig.plan.set_times(5.0, 1.0)
    rig.done(rig.plan.stop(rig.now))
    rig.plan.set_times(500.0, 1.0)  # too late: whoever kills us knows the time from the start of the end
    rig.sleep(5.0)
    assert [t.signal for t in rig.told] == [signal.SIGTERM] * 2 + [signal.SIGKILL] * 2


def test_whoever_does_not_end_is_killed_in_time() -> None:
    rig = Rig(2)
    rig.done(rig.plan.stop(rig.now))
    rig.sleep(WITHIN)
    assert rig.told[-2:] == [SendSignal(0, signal.SIGKILL), SendSignal(1, signal.SIGKILL)]
    rig.ends(0, -9)
    assert rig.ends(1, -9) == [Exit(1)]


@pytest.mark.parametrize("drain", [0.1, 29.0, 500.0])
def test_each_worker_is_told_to_drain_however_little_time_there_is(drain: float) -> None:
    plan = Plan(4, WITHIN, drain)
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
    assert now <= max(WITHIN - drain, 0.0)


class Workers(RuleBasedStateMachine):
    """Whatever happens, in whatever order."""

    @initialize(count=st.integers(1, 4))
    def begin(self, count: int) -> None:
        self.rig = Rig(count, up=False)
        self.stopped = False

    def _over(self) -> bool:
        return self.rig.status is not None

    @precondition(lambda self: not self._over())
    @rule(which=st.integers(0, 3))
    def is_ready(self, which: int) -> None:
        starting = [s for s, x in enumerate(self.rig.plan.states()) if x is State.STARTING]
        if starting:
            self.rig.ready(starting[which % len(starting)])

    @precondition(lambda self: not self._over())
    @rule(which=st.integers(0, 3), status=st.sampled_from([0, 1, 2, -9]))
    def ends(self, which: int, status: int) -> None:
        if self.rig.alive:
            alive = sorted(self.rig.alive)
            self.rig.ends(alive[which % len(alive)], status)

    @rule(seconds=st.floats(0.01, 40))
    def time_passes(self, seconds: float) -> None:
        self.rig.sleep(seconds)

    @precondition(lambda self: not self._over())
    @rule(renews=st.booleans())
    def file_changes(self, renews: bool) -> None:
        plan, now = self.rig.plan, self.rig.now
        if not self.stopped:
            self.rig.done(plan.renew(now) if renews else plan.reread_file(now))

    @precondition(lambda self: not self._over())
    @rule()
    def stop(self) -> None:
        self.stopped = True
        self.rig.done(self.rig.plan.stop(self.rig.now))

    @invariant()
    def at_most_one_is_renewed_at_a_time(self) -> None:
        if hasattr(self, "rig") and not self.stopped and self.rig.plan._stop_at is None:
            assert self.rig.plan.states().count(State.DRAINING) <= 1

    @invariant()
    def nobody_is_forgotten(self) -> None:
        if hasattr(self, "rig"):
            off = State.OFF in self.rig.plan.states()
            stopping = self.rig.plan._stop_at is not None  # then it waits for those that it has told to end
            assert not off or stopping or self.rig.plan.next_at() is not None

    def teardown(self) -> None:
        """In the end all that is told to end has ended, with one status."""
        if hasattr(self, "rig") and not self._over():
            rig = self.rig
            rig.done(rig.plan.stop(rig.now))
            rig.sleep(2 * WITHIN)
            for slot in sorted(rig.alive):
                rig.ends(slot, -9)
            assert rig.status is not None


Workers.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestWorkers = Workers.TestCase
