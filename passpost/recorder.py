"""The module's own figures in the log, second by second: for a day that went wrong and nobody knows why.

Off by default and not imported then: `PASSPOST_FIGURES=1` in the environment of `python -m passpost` turns it on. What
it writes is what the decisions go by (room, times in service, the waiting line, what is known of each server), and
why requests were given up, so that a stretch of refusals can be put down to its cause.
"""

from __future__ import annotations

import logging
from collections import Counter

from umberworks import interface
from umberworks.requests import Request
from umberworks.rules import Balancer

log = logging.getLogger(__name__)

EVERY_MS = 1_000.0


class Recorded(Balancer):
    """Decides as its base does, and writes a line of figures each second in which something happens."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._next_line = 0.0
        self._counts: Counter[str] = Counter()
        self._for_room = False
        self._event: interface.Event | None = None

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """As the base; counts what it decides."""
        self._event = event
        match event:
            case interface.RequestArrived():
                self._counts["arrived"] += 1
            case interface.AttemptEnded():
                self._counts[event.outcome.value.replace(" ", "_")] += 1
        actions = super().handle(event, now)
        self._counts["sent"] += sum(isinstance(action, interface.Send) for action in actions)
        if now >= self._next_line:
            self._next_line = now + EVERY_MS
            log.info("figures %s", self.line(now))
            self._counts.clear()
        return actions

    def line(self, now: float) -> str:
        """The figures as words of the form name=value; times in aims but for those that say so."""
        room, ready = self._load, self._fleet.ready
        usual = self._median or 1.0
        parts: dict[str, object] = {
            "now_ms": round(now),
            "open": len(self._requests),
            "waiting": len(self._wait_queue),
            "out": room.in_flight,
            "size": f"{room.limit(len(ready)):.1f}",
            "mean": f"{room.mean_service_time:.3f}",
            "base": f"{room.base_service_time:.3f}",
            "aims_ms": f"{room._served_aims_ms:.0f}",
            "spent_ms": f"{room._in_flight_time_ms:.0f}",
            "savings": f"{self._retries:.1f}",
            "counted": int(self._counts_usable),
            "cold": sum(self._slow_start.warmth(s, now) < 1 for s in ready),
            **self._counts,
        }
        each = " ".join(
            f"{s.member.server}:{s.in_flight}/{s.served:.0f}/{s.capacity(usual, now) * 1000:.1f}"
            for s in sorted(ready, key=lambda s: s.member.server)[:32]
        )
        return " ".join(f"{name}={value}" for name, value in parts.items()) + f" servers {each}"

    def _refuse_overload(self, request: Request, now: float) -> None:
        self._for_room = True
        try:
            super()._refuse_overload(request, now)
        finally:
            self._for_room = False

    def _refuse_or_fail(self, request: Request) -> None:
        match self._event:
            case interface.RequestArrived():
                why = "no_crowd" if self._for_room else "no_connection"
            case interface.TimerDue():
                why = "no_room"
            case _:
                why = "no_savings" if self._retries < 1 else "no_try_left"
        self._counts[why] += 1
        super()._refuse_or_fail(request)
