"""Counts the calls in flight and records their outcomes (interface: umberworks/interface.py)."""

from __future__ import annotations

from heapq import heappop, heappush

from umberworks import interface
from umberworks.admission import AdmissionControl
from umberworks.concurrency import ConcurrencyLimits
from umberworks.interface import Outcome
from umberworks.requests import Attempt
from umberworks.servers import Fleet, Server


class CallTracker:
    """Counts a call as in flight from when its server has received it until it ends.

    A failed call keeps its slot until its full timeout: a server that fails fast must not look idle.
    """

    def __init__(self, load: AdmissionControl, fleet: Fleet, limits: ConcurrencyLimits) -> None:
        self._load, self._fleet, self._limits = load, fleet, limits
        # Heap of failed calls' slots: release time, number (servers can't be compared), server.
        self._held: list[tuple[float, int, Server]] = []
        self._held_count = 0

    def out(self, attempt: Attempt, now: float) -> None:
        """Count an attempt as in flight: its server has received the whole request."""
        server, attempt.counted = attempt.server, True
        server.catch_up(now)
        server.in_flight += 1
        server.calls_out += 1
        self._load.in_flight += 1

    def ended(
        self, attempt: Attempt, outcome: Outcome, cls: interface.RequestClass, median: float, now: float
    ) -> None:
        """Record the end of an attempt; `median` is the median capacity of servers, in calls per ms."""
        if not attempt.counted:
            return
        server, attempt.counted = attempt.server, False
        server.catch_up(now)
        server.calls_out -= 1
        self._load.in_flight -= 1
        if outcome is Outcome.SERVED:
            server.served += 1
            server.last_served_at = now
            self._fleet.served(server, median, now)
            self._load.record_served(cls.aim_ms, now)
            self._limits.record_served(server, cls.aim_ms, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and attempt.times_out_at > now:
            self._held_count += 1
            heappush(self._held, (attempt.times_out_at, self._held_count, server))
            return
        server.in_flight -= 1

    def release(self, now: float) -> None:
        """Free the slots of failed calls whose timeout has passed."""
        while self._held and self._held[0][0] <= now:
            server = heappop(self._held)[2]
            server.catch_up(now)
            server.in_flight -= 1
