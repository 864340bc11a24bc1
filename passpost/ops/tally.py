"""The figures: counts for each class, and how they are written. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Counts:
    """Of one class, since the process started."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0  # written whole to upstreams


class Tally:
    """Counts by class, and the requests that are open."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: Counts() for name in classes}
        self.open = 0  # taken and not ended
        self.reloads_ok, self.reloads_failed = 0, 0

    def write(self, known: int, excluded: int) -> str:
        """One line `edge.NAME=NUMBER` for each figure; those by class end in `.CLASS`.

        `known`: upstreams in the list. `excluded`: those of them that are avoided now.
        """
        figures = {
            f"{kind}.{name}": getattr(counts, kind)
            for kind in ("served", "refused", "failed", "attempts")
            for name, counts in self.classes.items()
        } | {
            "in_flight": self.open,
            "upstreams_known": known,
            "upstreams_excluded": excluded,
            "reloads_ok": self.reloads_ok,
            "reloads_failed": self.reloads_failed,
        }
        return "".join(f"edge.{name}={value}\n" for name, value in figures.items())
