"""A request that the module has taken, and its attempts (the contract: umberworks/interface.py)."""

from __future__ import annotations

from umberworks import interface as face
from umberworks.servers import Server


class Attempt:
    """One attempt, as far as its outcome is known."""

    def __init__(self, server: Server, now: float, timeout: float) -> None:
        self.server, self.sent, self.ends = server, now, now + timeout
        self.out, self.ran = True, True  # it may have run until its outcome proves otherwise


class Request:
    """One request, from its arrival until it is answered and no attempt is out."""

    def __init__(self, event: face.RequestArrived, cls: face.RequestClass, now: float) -> None:
        self.id, self.cls = event.request, cls
        self.deadline, self.aim_at = now + event.remaining_ms, now + cls.aim_ms
        self.attempts: list[Attempt] = []
        self.owed, self.over_share, self.streaming = True, False, False

    def is_out(self) -> bool:
        """Whether an attempt is out."""
        return any(a.out for a in self.attempts)

    def useful_until(self) -> float:
        """When an answer stops being worth anything."""
        return self.deadline if self.cls.late_share > 0 else min(self.deadline, self.aim_at)
