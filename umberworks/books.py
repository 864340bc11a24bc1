"""Calls out and what their ends tell of their servers (the contract: umberworks/interface.py)."""

from __future__ import annotations

from heapq import heappop, heappush

from umberworks import interface as face
from umberworks.admission import AdmissionControl
from umberworks.concurrency import ConcurrencyLimits
from umberworks.interface import Outcome
from umberworks.requests import Attempt
from umberworks.servers import Fleet, Server


class Books:
    """Counts a call from when its server has it until it ends; a failure's slot stays to its time-out."""

    def __init__(self, room: AdmissionControl, fleet: Fleet, crowd: ConcurrencyLimits) -> None:
        self._room, self._fleet, self._crowd = room, fleet, crowd
        self._held: list[tuple[float, int, Server]] = []
        self._held_count = 0

    def out(self, attempt: Attempt, now: float) -> None:
        """A server has the whole of a call."""
        server, attempt.counted = attempt.server, True
        server.catch_up(now)
        server.in_flight += 1
        server.live += 1
        self._room.in_flight += 1

    def ended(
        self, attempt: Attempt, outcome: Outcome, cls: face.RequestClass, usual: float, now: float
    ) -> None:
        """Count a served call; hold a failure's slot to its full time-out: it must not look idle."""
        if not attempt.counted:
            return
        server, attempt.counted = attempt.server, False
        server.catch_up(now)
        server.live -= 1
        self._room.in_flight -= 1
        if outcome is Outcome.SERVED:
            server.served += 1
            server.heard = now
            self._fleet.served(server, usual, now)
            self._room.record_served(cls.aim_ms, now)
            self._crowd.record_served(server, cls.aim_ms, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and attempt.ends > now:
            self._held_count += 1
            heappush(self._held, (attempt.ends, self._held_count, server))
            return
        server.in_flight -= 1

    def release(self, now: float) -> None:
        """Free the slots whose time is up."""
        while self._held and self._held[0][0] <= now:
            server = heappop(self._held)[2]
            server.catch_up(now)
            server.in_flight -= 1
