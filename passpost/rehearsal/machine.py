"""A render node's insides: cores that share, slots, a waiting room, cold starts, crowding. No I/O.

Jobs in work share the cores evenly: with n of them on c cores each gets min(1, c/n) of a core, so that work
advances by one common measure, and the next to finish is the one with the least left. A job keeps its slot
while it waits for the next tier, when it takes no core. A node that has started lately does part of its work
only; sent more than `overload_factor` times that for `overload_ms` it falls over and stays down.

Times are seconds of the night; work is in milliseconds of a core of speed 1.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

from passpost.rehearsal.model import Contract, NodeKind

COLD_STEP_S = 0.05  # a cold node's speed is taken as even for so long
CROWD_OVER_S = 2.0  # crowding is judged by the mean over this
REST_SHARE, REST_S = 0.3, 3.0  # a choked node recovers when its cores were under this busy for so long
SLACK_MS = 60.0  # work beyond the budget of a cold node, for chance: a handful of requests


@dataclass(slots=True)
class Job:
    """A request inside the node; `work` is what is left to do in this phase when it starts."""

    number: int
    work: float


class Machine:
    """One node's cores and queue. `advance` first, then ask: all other calls take that moment as now."""

    def __init__(self, kind: NodeKind, contract: Contract, now: float, cold: bool) -> None:
        self.kind, self._contract = kind, contract
        self.now, self.started = now, now if cold else -math.inf
        self.slower = 1.0  # by faults
        self.choked, self.fallen = False, False
        self.held_up = False  # nothing moves
        self._done = 0.0  # work that each job in work has got since the start
        self._running: list[tuple[float, int]] = []  # (what `_done` is at its end, job)
        self._extra = 0.0  # work on connections
        self._waiting: deque[Job] = deque()
        self.holding = 0  # slots taken
        self._crowd, self._rested = 0.0, 0.0
        self._pressure, self._pressure_by = 0.0, dict[str, float]()

    # ---- measures

    def warmth(self) -> float:
        """The share of its capacity that it has."""
        age, cold = self.now - self.started, self._contract.cold_ms / 1000
        if age >= cold:
            return 1.0
        start = self._contract.cold_from
        return start + (1 - start) * max(age, 0.0) / cold

    def capacity(self) -> float:
        """Work it could do in a second now, in milliseconds; faults not counted."""
        return self.kind.cores * self.kind.speed * self.warmth() * 1000

    def in_work(self) -> int:
        """Jobs that take cores."""
        return len(self._running)

    def queued(self) -> int:
        """Jobs in the waiting room."""
        return len(self._waiting)

    def _rate(self) -> float:
        """Work that each job in work gets in a second."""
        if not self._running or self.held_up or self.fallen:
            return 0.0
        slower = self.slower * (self.kind.crowd_factor if self.choked else 1.0)
        return self.capacity() / max(len(self._running), self.kind.cores) / slower

    # ---- happenings

    def offer(self, job: Job, sender: str) -> bool:
        """A request is there. False: turned away, as slots and waiting room are full."""
        self._press(job.work, sender)
        if self.fallen or self.holding >= self.kind.slots + self.kind.queue:
            return False
        if self.holding - len(self._waiting) >= self.kind.slots:
            self._waiting.append(job)
        else:
            self._start(job)
        self.holding += 1
        return True

    def resume(self, job: Job) -> None:
        """A job that kept its slot without a core has work again."""
        self._start(job)

    def leave(self) -> Job | None:
        """A job that is not in work gives up its slot; the result is the one that takes it over, if any.

        The caller decides whether that one is still wanted, and starts it with `resume` or lets it `leave`.
        """
        self.holding -= 1
        return self._waiting.popleft() if self._waiting else None

    def connected(self) -> None:
        """A new connection costs the cores some work."""
        self._extra += self.kind.connect_work_ms

    def _start(self, job: Job) -> None:
        heappush(self._running, (self._done + job.work + self._extra, job.number))
        self._extra = 0.0

    def advance(self, now: float) -> list[int]:
        """Go on to `now`; the result is the jobs whose work is done. Call it at `next_at` at the latest."""
        gap, self.now = now - self.now, now
        if gap > 0:
            rate = self._rate()
            self._done += rate * gap
            self._note_crowd(gap)
        ended = []
        while self._running and self._running[0][0] <= self._done + 1e-6:
            ended.append(heappop(self._running)[1])
        if not self._running:
            self._done = 0.0  # no drift over long nights
        return ended

    def next_at(self) -> float | None:
        """When something may change by itself."""
        rate = self._rate()
        if not rate:
            return None
        at = self.now + (self._running[0][0] - self._done) / rate
        if self.warmth() < 1 or self.kind.crowd:
            at = min(at, self.now + COLD_STEP_S)
        return max(at, self.now + 1e-6)

    # ---- what overdoes it

    def _press(self, work: float, sender: str) -> None:
        """Work offered to a cold node adds pressure, done or turned away."""
        if self.warmth() >= 1:
            return
        budget = self._contract.overload_factor * self.capacity() / 1000  # a millisecond
        gap = self.now - getattr(self, "_pressed", self.now)
        self._pressed = self.now
        left = max(self._pressure - budget * gap * 1000, 0.0)
        fade = left / self._pressure if self._pressure else 0.0
        self._pressure = left + work
        self._pressure_by = {k: v * fade for k, v in self._pressure_by.items() if v * fade > 1e-9}
        self._pressure_by[sender] = self._pressure_by.get(sender, 0.0) + work
        if self._pressure > budget * self._contract.overload_ms + SLACK_MS:
            self.fallen = True

    def pressure_by(self) -> dict[str, float]:
        """Whose work makes up the pressure, by sender."""
        return dict(self._pressure_by)

    def _note_crowd(self, gap: float) -> None:
        if not self.kind.crowd:
            return
        cores = self.kind.cores
        crowd = self.holding
        fade = math.exp(-gap / CROWD_OVER_S)
        self._crowd = self._crowd * fade + crowd * (1 - fade)
        if not self.choked:
            self.choked = self._crowd > cores + self.kind.crowd * math.sqrt(cores)
            self._rested = 0.0
        else:
            self._rested = self._rested + gap if len(self._running) <= REST_SHARE * cores else 0.0
            self.choked = self._rested < REST_S
