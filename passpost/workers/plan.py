"""The state machine of the worker processes: starts, restarts with back-off, rolling renewal and shutdown. No I/O.

A worker is off, starting, ready or draining. The plan is told of events and answers with actions; `next_at` gives the
time at which `due_actions` has to be called again. Times are in seconds on a monotonic clock.

A worker that ends unasked is restarted after a delay that doubles while it keeps ending soon. If a worker exits with
an error before any worker has been ready (its file or port cannot be used), all end with that status. A renewal drains
one worker at a time and goes on when its replacement is ready, so a file with which no worker starts takes down one of
them only. At shutdown the workers drain one after the other as far as the time allows, and those still running at its
end are killed.
"""

from __future__ import annotations

import signal
from collections import deque
from dataclasses import dataclass
from enum import Enum

# Delay before a worker that ended unasked is restarted: the first, and the upper bound.
MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S = 0.1, 10.0
RESTART_RESET_S = 30.0  # a worker that was ready for this long starts again with the first delay
REREAD_GAP_S = 0.2  # between two workers that are told to read their file again
EXIT_MARGIN_S = 0.3  # kept of the time until the kill for the supervisor's own exit


class State(Enum):
    """The state of a worker."""

    OFF = "off"
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Start:
    """Start a worker."""

    slot: int


@dataclass(frozen=True, slots=True)
class SendSignal:
    """Send a signal to a worker."""

    slot: int
    signal: int


@dataclass(frozen=True, slots=True)
class Exit:
    """Exit with this status, as all workers are off."""

    status: int


Action = Start | SendSignal | Exit


class _Slot:
    def __init__(self) -> None:
        self.state, self.since = State.OFF, 0.0
        self.failures, self.start_at = 0, 0.0  # start_at is 0 while no start is due
        self.was_ready = False


class Plan:
    """The state of all workers, by slot."""

    def __init__(self, count: int, kill_after_s: float, drain_s: float) -> None:
        """`drain_s` bounds the drain of one worker; the supervisor is killed `kill_after_s` after SIGTERM."""
        self._slots = [_Slot() for _ in range(count)]
        self._kill_after_s, self._drain_s = kill_after_s, drain_s
        self._renewals: deque[int] = deque()  # slots to be renewed; the first is in progress
        self._rereads: deque[int] = deque()  # slots that have to read their file again
        self._next_reread_at = 0.0
        self._was_any_ready = False
        self._stop_at: float | None = None
        self._next_drain_at = 0.0
        self._status = 0
        self._killed, self._finished = False, False

    def states(self) -> list[State]:
        """The state of each worker."""
        return [s.state for s in self._slots]

    def set_times(self, kill_after_s: float, drain_s: float) -> None:
        """Set other times for the shutdown, from a file read again; one in progress keeps its own."""
        if self._stop_at is None:
            self._kill_after_s, self._drain_s = kill_after_s, drain_s

    # ---- events

    def start_all(self, now: float) -> list[Action]:
        """Start all workers."""
        return [self._start(i, now) for i in range(len(self._slots))]

    def worker_ready(self, slot: int, now: float) -> list[Action]:
        """A worker has reported that it serves."""
        worker = self._slots[slot]
        if worker.state is State.STARTING:
            worker.state, worker.since, self._was_any_ready = State.READY, now, True
            worker.was_ready = True
            if self._renewals and self._renewals[0] == slot:
                self._renewals.popleft()
        return self.due_actions(now)

    def worker_ended(self, slot: int, status: int, now: float) -> list[Action]:
        """A worker's process has ended."""
        worker = self._slots[slot]
        was_draining = worker.state is State.DRAINING
        ready_s = now - worker.since if worker.state is State.READY else 0.0
        worker.state = State.OFF
        if self._stop_at is not None:
            # A worker that is starting has no signal handler yet: SIGTERM ends it, and it has accepted nothing.
            ended_in_start = status == -signal.SIGTERM and not worker.was_ready
            if status and not ended_in_start and not self._status:
                self._status = 1
        elif was_draining:
            worker.start_at = now
        elif not self._was_any_ready and status > 0:
            self._status = status
            return self.stop(now)
        else:
            worker.failures = 1 if ready_s >= RESTART_RESET_S else worker.failures + 1
            delay = min(MIN_RESTART_DELAY_S * 2 ** min(worker.failures - 1, 20), MAX_RESTART_DELAY_S)
            worker.start_at = now + delay
        return self.due_actions(now)

    def reread_file(self, now: float) -> list[Action]:
        """The file has changed in settings that running workers can apply."""
        self._rereads = deque(range(len(self._slots)))
        return self.due_actions(now)

    def renew(self, now: float) -> list[Action]:
        """The file has changed in settings that need new workers."""
        in_progress = list(self._renewals)[:1]
        self._rereads.clear()
        self._renewals = deque(in_progress + [i for i in range(len(self._slots))])
        return self.due_actions(now)

    def stop(self, now: float) -> list[Action]:
        """Shut down: drain all workers, one after the other as far as the time allows."""
        if self._stop_at is None:
            self._stop_at = self._next_drain_at = now
            self._renewals.clear()
            self._rereads.clear()
        return self.due_actions(now)

    def due_actions(self, now: float) -> list[Action]:
        """The actions that are due by now."""
        if self._finished:
            return []
        if self._stop_at is not None:
            return self._due_at_end(now)
        actions: list[Action] = []
        for i, worker in enumerate(self._slots):
            if worker.state is State.OFF and worker.start_at <= now:
                actions.append(self._start(i, now))
        if self._rereads and now >= self._next_reread_at:
            slot = self._rereads.popleft()
            self._next_reread_at = now + REREAD_GAP_S
            if self._slots[slot].state is State.READY:  # a worker that is starting reads the new file anyway
                actions.append(SendSignal(slot, signal.SIGHUP))
        if self._renewals:
            slot = self._renewals[0]
            others = [s for i, s in enumerate(self._slots) if i != slot]
            if self._slots[slot].state is State.READY and all(s.state is State.READY for s in others):
                actions.append(self._drain_one(slot, now))
        return actions

    def next_at(self) -> float | None:
        """When `due_actions` has to be called again at the latest; None if only an event can make an action due."""
        if self._finished or self._killed:
            return None
        if self._stop_at is not None:
            waits = [self._stop_at + self._kill_after_s - EXIT_MARGIN_S]
            if any(s.state in (State.READY, State.STARTING) for s in self._slots):
                waits.append(self._next_drain_at)
            return min(waits)
        starts = [s.start_at for s in self._slots if s.state is State.OFF]
        return min(starts + ([self._next_reread_at] if self._rereads else []), default=None)

    def starts_no_more(self) -> bool:
        """Whether all workers end or have ended, and none will be started again."""
        return self._stop_at is not None and all(s.state in (State.DRAINING, State.OFF) for s in self._slots)

    # ---- actions

    def _start(self, slot: int, now: float) -> Action:
        worker = self._slots[slot]
        worker.state, worker.since, worker.was_ready = State.STARTING, now, False
        return Start(slot)

    def _drain_one(self, slot: int, now: float) -> Action:
        worker = self._slots[slot]
        worker.state, worker.since = State.DRAINING, now
        return SendSignal(slot, signal.SIGTERM)

    def _due_at_end(self, now: float) -> list[Action]:
        assert self._stop_at is not None
        actions: list[Action] = []
        remaining = [i for i, s in enumerate(self._slots) if s.state is not State.OFF]
        if not remaining:
            self._finished = True
            return [Exit(self._status)]
        if now >= self._stop_at + self._kill_after_s - EXIT_MARGIN_S:
            if self._killed:
                return []
            self._killed, self._status = True, self._status or 1
            return [SendSignal(i, signal.SIGKILL) for i in remaining]
        for i in remaining:
            if self._slots[i].state is State.STARTING:
                actions.append(self._drain_one(i, now))
        waiting = [i for i in remaining if self._slots[i].state is State.READY]
        draining = any(s.state is State.DRAINING for s in self._slots)
        if waiting and (now >= self._next_drain_at or not draining):
            actions.append(self._drain_one(waiting[0], now))
            # The last worker must start to drain early enough to finish.
            margin = self._stop_at + self._kill_after_s - EXIT_MARGIN_S - self._drain_s - now
            self._next_drain_at = now + max(margin, 0.0) / max(len(waiting) - 1, 1)
            if margin <= 0:
                actions += [self._drain_one(i, now) for i in waiting[1:]]
        return actions
