"""Logs the decision module's internal figures once a second, to diagnose overload and refusals.

Off by default, and not imported then: `PASSPOST_FIGURES=1` in the environment of `python -m passpost` enables it. It
logs the inputs of the decisions (concurrency limit, times in service, the queue, the estimates for each server), and
the reasons for which requests were given up, so that a period of refusals can be traced to its cause.
"""

from __future__ import annotations

import logging
from collections import Counter

from umberworks import interface
from umberworks.requests import Request
from umberworks.rules import Balancer

log = logging.getLogger(__name__)

LINE_INTERVAL_MS = 1_000.0


class RecordingBalancer(Balancer):
    """Decides like its base class, and logs a line of figures in each second in which an event occurs."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._next_line_ms = 0.0
        self._counts: Counter[str] = Counter()
        self._refusing_overload = False
        self._event: interface.Event | None = None

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Handle an event like the base class; count the event and the resulting actions."""
        self._event = event
        match event:
            case interface.RequestArrived():
                self._counts["arrived"] += 1
            case interface.AttemptEnded():
                self._counts[event.outcome.value.replace(" ", "_")] += 1
        actions = super().handle(event, now)
        self._counts["sent"] += sum(isinstance(action, interface.Send) for action in actions)
        if now >= self._next_line_ms:
            self._next_line_ms = now + LINE_INTERVAL_MS
            log.info("figures %s", self.format_figures(now))
            self._counts.clear()
        return actions

    def format_figures(self, now: float) -> str:
        """The figures as words of the form name=value; times are multiples of the aim unless the name has a unit."""
        load, ready = self._load, self._fleet.ready
        usual_time = self._median or 1.0
        figures: dict[str, object] = {
            "now_ms": round(now),
            "open": len(self._requests),
            "waiting": len(self._wait_queue),
            "out": load.in_flight,
            "size": f"{load.limit(len(ready)):.1f}",
            "mean": f"{load.mean_service_time:.3f}",
            "base": f"{load.base_service_time:.3f}",
            "aims_ms": f"{load._served_aims_ms:.0f}",
            "spent_ms": f"{load._in_flight_time_ms:.0f}",
            "savings": f"{self._retries:.1f}",
            "counted": int(self._counts_usable),
            "cold": sum(self._slow_start.warmth(s, now) < 1 for s in ready),
            **self._counts,
        }
        server_figures = " ".join(
            f"{s.member.server}:{s.in_flight}/{s.served:.0f}/{s.capacity(usual_time, now) * 1000:.1f}"
            for s in sorted(ready, key=lambda s: s.member.server)[:32]
        )
        return " ".join(f"{name}={value}" for name, value in figures.items()) + f" servers {server_figures}"

    def _refuse_overload(self, request: Request, now: float) -> None:
        self._refusing_overload = True
        try:
            super()._refuse_overload(request, now)
        finally:
            self._refusing_overload = False

    def _refuse_or_fail(self, request: Request) -> None:
        match self._event:
            case interface.RequestArrived():
                reason = "no_crowd" if self._refusing_overload else "no_connection"
            case interface.TimerDue():
                reason = "no_room"
            case _:
                reason = "no_savings" if self._retries < 1 else "no_try_left"
        self._counts[reason] += 1
        super()._refuse_or_fail(request)
