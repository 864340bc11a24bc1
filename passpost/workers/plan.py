"""The state machine of the worker processes: starts, restarts with back-off, rolling renewal and shutdown. No I/O.

A worker is off, starting, ready or draining. The plan is told of events and answers with actions; `next_at` gives the
time at which `due` has to be called again. Times are in seconds on a monotonic clock.

A worker that ends unasked is restarted after a delay that doubles while it keeps ending soon. If a worker exits with
an error before any worker has been ready (its file or port cannot be used), all end with that status. A renewal drains
one worker at a time and goes on when its replacement is ready, so a file with which no worker starts takes down one of
them only. At shutdown the workers drain one after the other as far as the time allows, and those left at its end are
killed.
"""

from __future__ import annotations

import signal
from collections import deque
from dataclasses import dataclass
from enum import Enum

# Delay before a worker that ended unasked is restarted: the first, and the upper bound.
FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 10.0
CALM_S = 30.0  # a worker that was ready for this long starts again with the first delay
TOLD_GAP_S = 0.2  # between two workers that are told to read their file again
SPARE_S = 0.3  # kept of the time until the kill for the supervisor's own exit


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
class Tell:
    """Send a signal to a worker."""

    slot: int
    signal: int


@dataclass(frozen=True, slots=True)
class End:
    """Exit with this status, as all workers are off."""

    status: int


Action = Start | Tell | End


class _Slot:
    def __init__(self) -> None:
        self.state, self.since = State.OFF, 0.0
        self.failures, self.start_at = 0, 0.0  # start_at is 0 while no start is due
        self.has_served = False


class Plan:
    """The state of all workers, by slot."""

    def __init__(self, count: int, kill_after_s: float, drain_s: float) -> None:
        """`drain_s` bounds the drain of one worker; the supervisor itself is killed `kill_after_s` after its SIGTERM."""
        self._slots = [_Slot() for _ in range(count)]
        self._within, self._drain = kill_after_s, drain_s
        self._renewals: deque[int] = deque()  # slots to be renewed; the first is in progress
        self._told: deque[int] = deque()  # slots that have to read their file again
        self._next_tell = 0.0
        self._was_up = False
        self._stop_at: float | None = None
        self._next_drain = 0.0
        self._status = 0
        self._killed, self._over = False, False

    def states(self) -> list[State]:
        """The state of each worker."""
        return [s.state for s in self._slots]

    def allow(self, kill_after_s: float, drain_s: float) -> None:
        """Set other times for the shutdown, from a file read again; one in progress keeps its own."""
        if self._stop_at is None:
            self._within, self._drain = kill_after_s, drain_s

    # ---- events

    def begin(self, now: float) -> list[Action]:
        """Start all workers."""
        return [self._start(i, now) for i in range(len(self._slots))]

    def ready(self, slot: int, now: float) -> list[Action]:
        """A worker has reported that it serves."""
        worker = self._slots[slot]
        if worker.state is State.STARTING:
            worker.state, worker.since, self._was_up = State.READY, now, True
            worker.has_served = True
            if self._renewals and self._renewals[0] == slot:
                self._renewals.popleft()
        return self.due(now)

    def ended(self, slot: int, status: int, now: float) -> list[Action]:
        """A worker's process has ended."""
        worker = self._slots[slot]
        asked = worker.state is State.DRAINING
        lived = now - worker.since if worker.state is State.READY else 0.0
        worker.state = State.OFF
        if self._stop_at is not None:
            # A worker that is starting has no signal handler yet: SIGTERM ends it, and it has accepted nothing.
            ended_in_start = status == -signal.SIGTERM and not worker.has_served
            if status and not ended_in_start and not self._status:
                self._status = 1
        elif asked:
            worker.start_at = now
        elif not self._was_up and status > 0:
            self._status = status
            return self.stop(now)
        else:
            worker.failures = 1 if lived >= CALM_S else worker.failures + 1
            pause = min(FIRST_PAUSE_S * 2 ** min(worker.failures - 1, 20), MOST_PAUSE_S)
            worker.start_at = now + pause
        return self.due(now)

    def reread(self, now: float) -> list[Action]:
        """The file has changed in settings that running workers can apply."""
        self._told = deque(range(len(self._slots)))
        return self.due(now)

    def renew(self, now: float) -> list[Action]:
        """The file has changed in settings that need new workers."""
        in_hand = list(self._renewals)[:1]
        self._told.clear()
        self._renewals = deque(in_hand + [i for i in range(len(self._slots))])
        return self.due(now)

    def stop(self, now: float) -> list[Action]:
        """Shut down: drain all workers, one after the other as far as the time allows."""
        if self._stop_at is None:
            self._stop_at = self._next_drain = now
            self._renewals.clear()
            self._told.clear()
        return self.due(now)

    def due(self, now: float) -> list[Action]:
        """The actions that are due by now."""
        if self._over:
            return []
        if self._stop_at is not None:
            return self._due_at_end(now)
        found: list[Action] = []
        for i, worker in enumerate(self._slots):
            if worker.state is State.OFF and worker.start_at <= now:
                found.append(self._start(i, now))
        if self._told and now >= self._next_tell:
            slot = self._told.popleft()
            self._next_tell = now + TOLD_GAP_S
            if self._slots[slot].state is State.READY:  # a worker that is starting reads the new file anyway
                found.append(Tell(slot, signal.SIGHUP))
        if self._renewals:
            slot = self._renewals[0]
            others = [s for i, s in enumerate(self._slots) if i != slot]
            if self._slots[slot].state is State.READY and all(s.state is State.READY for s in others):
                found.append(self._drain_one(slot, now))
        return found

    def next_at(self) -> float | None:
        """When `due` has to be called again at the latest; None if only an event can make an action due."""
        if self._over or self._killed:
            return None
        if self._stop_at is not None:
            waits = [self._stop_at + self._within - SPARE_S]
            if any(s.state in (State.READY, State.STARTING) for s in self._slots):
                waits.append(self._next_drain)
            return min(waits)
        starts = [s.start_at for s in self._slots if s.state is State.OFF]
        return min(starts + ([self._next_tell] if self._told else []), default=None)

    def starts_none(self) -> bool:
        """Whether all workers end or have ended, and none will be started again."""
        return self._stop_at is not None and all(s.state in (State.DRAINING, State.OFF) for s in self._slots)

    # ---- actions

    def _start(self, slot: int, now: float) -> Action:
        worker = self._slots[slot]
        worker.state, worker.since, worker.has_served = State.STARTING, now, False
        return Start(slot)

    def _drain_one(self, slot: int, now: float) -> Action:
        worker = self._slots[slot]
        worker.state, worker.since = State.DRAINING, now
        return Tell(slot, signal.SIGTERM)

    def _due_at_end(self, now: float) -> list[Action]:
        assert self._stop_at is not None
        found: list[Action] = []
        left = [i for i, s in enumerate(self._slots) if s.state is not State.OFF]
        if not left:
            self._over = True
            return [End(self._status)]
        if now >= self._stop_at + self._within - SPARE_S:
            if self._killed:
                return []
            self._killed, self._status = True, self._status or 1
            return [Tell(i, signal.SIGKILL) for i in left]
        for i in left:
            if self._slots[i].state is State.STARTING:
                found.append(self._drain_one(i, now))
        waiting = [i for i in left if self._slots[i].state is State.READY]
        draining = any(s.state is State.DRAINING for s in self._slots)
        if waiting and (now >= self._next_drain or not draining):
            found.append(self._drain_one(waiting[0], now))
            # The last worker must start to drain early enough to finish.
            spare = self._stop_at + self._within - SPARE_S - self._drain - now
            self._next_drain = now + max(spare, 0.0) / max(len(waiting) - 1, 1)
            if spare <= 0:
                found += [self._drain_one(i, now) for i in waiting[1:]]
        return found
