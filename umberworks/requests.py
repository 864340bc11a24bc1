"""A request that the module has taken, its attempts and tries (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math
from collections import Counter

from umberworks import interface
from umberworks.interface import Effect
from umberworks.servers import Server

TRY_STEP_MS = 50.0  # tries that give this much the same time are alike; the commonest are first tries


class Attempt:
    """One attempt, as far as its outcome is known."""

    def __init__(self, server: Server, now: float, timeout: float) -> None:
        self.server, self.sent, self.ends = server, now, now + timeout
        self.out, self.ran = True, True  # it may have run until its outcome proves otherwise
        self.counted = False  # its server has it whole: it counts as in flight


class Tries:
    """Tells clients' later tries of a class from first ones by the time that they are given."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def note(self, request: Request, remaining: float) -> None:
        """Move up the aim of a later try: past the first aim it is worth little."""
        counts, step = self._counts, round(remaining / TRY_STEP_MS)
        counts[step] += 1
        if abs(step - max(counts, key=counts.__getitem__)) > 1:
            request.late_by = max(request.cls.deadline_ms - remaining, 0.0)
            request.aim_at -= request.late_by


class Request:
    """One request, from its arrival until it is answered and no attempt is out."""

    def __init__(self, event: interface.RequestArrived, cls: interface.RequestClass, now: float) -> None:
        self.id, self.cls = event.request, cls
        self.deadline, self.aim_at = now + event.remaining_ms, now + cls.aim_ms
        self.late_by = 0.0  # how long before it the first try came
        self.attempts: list[Attempt] = []
        self.owed, self.over_share, self.streaming = True, False, False
        self.spent = False  # part of its body is gone: it can't be sent again
        self.is_coming = event.body_open
        if self.is_coming:
            self.deadline = self.aim_at = math.inf

    def whole(self, now: float, remaining: float) -> None:
        """Its last byte has come."""
        self.is_coming = False
        self.deadline, self.aim_at = now + remaining, now + self.cls.aim_ms - self.late_by

    def may_repeat(self) -> bool:
        """Whether a copy can be sent beside an attempt that is out."""
        return self.cls.effect is not Effect.ONCE and not (self.is_coming or self.spent)

    def timeout(self, now: float) -> float:
        """How long an attempt may take from now on, in milliseconds."""
        return min(self.useful_until() - now, self.cls.attempt_ms or math.inf)

    def is_out(self) -> bool:
        """Whether an attempt is out."""
        return any(a.out for a in self.attempts)

    def useful_until(self) -> float:
        """When an answer stops being worth anything."""
        return self.deadline if self.cls.late_share > 0 else min(self.deadline, self.aim_at)
