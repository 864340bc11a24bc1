"""Counters by request class, and the text in which operators get them. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class ClassCounters:
    """Counters of one class since the process started. The metrics are named after these fields."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0  # those written to an upstream in full


class Metrics:
    """Counters by class, the number of open requests, and the numbers of reloads."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: ClassCounters() for name in classes}
        self.open_requests = 0  # accepted and not ended
        self.reloads_ok, self.reloads_failed = 0, 0

    def render(self, known: int, excluded: int) -> str:
        """One line `edge.NAME=NUMBER` for each metric; the names of those by class end in `.CLASS`.

        `known`: upstreams in the server list. `excluded`: those of them that get no requests now.
        """
        values = {
            f"{field}.{name}": getattr(counters, field)
            for field in ("served", "refused", "failed", "attempts")
            for name, counters in self.classes.items()
        } | {
            "in_flight": self.open_requests,
            "upstreams_known": known,
            "upstreams_excluded": excluded,
            "reloads_ok": self.reloads_ok,
            "reloads_failed": self.reloads_failed,
        }
        return "".join(f"edge.{name}={value}\n" for name, value in values.items())
