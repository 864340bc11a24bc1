"""What becomes of each worker and when: starts, restarts with back-off, renewals in turn, the end. No I/O.

A worker is off, starting, ready or draining. The plan is told what happened and answers with what to do; `next_at`
says when it wants to be asked again. Times are seconds on a clock that never goes back.

Its rules. A worker that ends unasked is started again, after a pause that doubles while it keeps ending soon. Before
the first worker is ready, one that ends with a status of its own (a file or port that can't be used) ends all with
that status. A renewal drains one worker at a time and goes on when its successor is ready, so that a file that
starts no worker takes down one of them only. At the end workers drain one after the other as far as the time
allows; whoever is left when it is over is killed.
"""

from __future__ import annotations

import signal
from collections import deque
from dataclasses import dataclass
from enum import Enum

FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 10.0  # before a worker that ended unasked is started again
CALM_S = 30.0  # a worker that ran so long has not failed "again"
TOLD_GAP_S = 0.2  # between two workers that are told to read their file again
SPARE_S = 0.3  # of the time until the kill, for ending ourselves


class State(Enum):
    """What a worker does."""

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
    """Send a worker a signal."""

    slot: int
    signal: int


@dataclass(frozen=True, slots=True)
class End:
    """All workers are off: end with this status."""

    status: int


Action = Start | Tell | End


class _Slot:
    def __init__(self) -> None:
        self.state, self.since = State.OFF, 0.0
        self.failures, self.start_at = 0, 0.0  # start_at: 0 while none is due
        self.has_served = False


class Plan:
    """The workers' states, by slot."""

    def __init__(self, count: int, kill_after_s: float, drain_s: float) -> None:
        """`drain_s`: how long one worker may take to drain; `kill_after_s`: until the supervisor is killed."""
        self._slots = [_Slot() for _ in range(count)]
        self._within, self._drain = kill_after_s, drain_s
        self._renewals: deque[int] = deque()  # slots that are to be replaced, the first of them in hand
        self._told: deque[int] = deque()  # slots that are to read their file again
        self._next_tell = 0.0
        self._was_up = False
        self._stop_at: float | None = None
        self._next_drain = 0.0
        self._status = 0
        self._killed, self._over = False, False

    def states(self) -> list[State]:
        """Each worker's state."""
        return [s.state for s in self._slots]

    def allow(self, kill_after_s: float, drain_s: float) -> None:
        """Other times for the end, from a file read again; an end that has begun keeps those it began with."""
        if self._stop_at is None:
            self._within, self._drain = kill_after_s, drain_s

    # ---- what happens

    def begin(self, now: float) -> list[Action]:
        """Start all."""
        return [self._start(i, now) for i in range(len(self._slots))]

    def ready(self, slot: int, now: float) -> list[Action]:
        """A worker serves."""
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
            # In its start it has no handler yet: our own signal ends it, and it has taken nothing.
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
        """The file has changed in what workers can take over as they run."""
        self._told = deque(range(len(self._slots)))
        return self.due(now)

    def renew(self, now: float) -> list[Action]:
        """The file has changed in what only new workers take over."""
        in_hand = list(self._renewals)[:1]
        self._told.clear()
        self._renewals = deque(in_hand + [i for i in range(len(self._slots))])
        return self.due(now)

    def stop(self, now: float) -> list[Action]:
        """End: drain all, one after the other as far as the time allows."""
        if self._stop_at is None:
            self._stop_at = self._next_drain = now
            self._renewals.clear()
            self._told.clear()
        return self.due(now)

    def due(self, now: float) -> list[Action]:
        """Whatever is to be done by now."""
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
            if self._slots[slot].state is State.READY:  # one that starts reads it anyway
                found.append(Tell(slot, signal.SIGHUP))
        if self._renewals:
            slot = self._renewals[0]
            others = [s for i, s in enumerate(self._slots) if i != slot]
            if self._slots[slot].state is State.READY and all(s.state is State.READY for s in others):
                found.append(self._drain_one(slot, now))
        return found

    def next_at(self) -> float | None:
        """When `due` wants to be asked again, whatever happens; None: not before something does."""
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
        """Whether all workers end or have ended, and none will be started."""
        return self._stop_at is not None and all(s.state in (State.DRAINING, State.OFF) for s in self._slots)

    # ---- what is done

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
            # The last one must begin early enough to be through.
            spare = self._stop_at + self._within - SPARE_S - self._drain - now
            self._next_drain = now + max(spare, 0.0) / max(len(waiting) - 1, 1)
            if spare <= 0:
                found += [self._drain_one(i, now) for i in waiting[1:]]
        return found
