"""Requests, their attempts, and detection of client retries (interface: umberworks/interface.py)."""

from __future__ import annotations

import math
from collections import Counter

from umberworks import interface
from umberworks.interface import Effect
from umberworks.servers import Server

REMAINING_STEP_MS = 50.0  # remaining times are compared in steps of this size


class Attempt:
    """One attempt; `out` until it has ended, and `ran` until its outcome proves that it had no effect.

    `member` is the list entry of its server as of the send. Which servers drop a repeat follows from this
    entry alone: the present one may be of another process or cell, or say only that the server is gone.
    """

    def __init__(self, server: Server, now: float, timeout: float) -> None:
        self.server, self.member = server, server.member
        self.sent, self.times_out_at = now, now + timeout
        self.out, self.ran = True, True
        self.counted = False  # it counts as in flight, as its server has received the whole request


class RetryDetector:
    """Detects the clients' retries within a class by their remaining time: most requests are first tries."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()  # requests by remaining time, in steps

    def observe(self, request: Request, remaining: float) -> None:
        """Count a request; if it is a retry, its target time counts from the first try.

        It is a retry if its remaining time is more than one step from the most frequent one. An answer after
        the first try's target time is worth little.
        """
        counts, step = self._counts, round(remaining / REMAINING_STEP_MS)
        counts[step] += 1
        if abs(step - max(counts, key=counts.__getitem__)) > 1:
            request.since_first_try_ms = max(request.cls.deadline_ms - remaining, 0.0)
            request.aim_at -= request.since_first_try_ms


class Request:
    """One request, from its arrival until it is answered and all of its attempts have ended."""

    def __init__(self, event: interface.RequestArrived, cls: interface.RequestClass, now: float) -> None:
        self.id, self.cls = event.request, cls
        self.deadline, self.aim_at = now + event.remaining_ms, now + cls.aim_ms
        self.since_first_try_ms = 0.0  # time from the client's first try to the arrival of this one
        self.attempts: list[Attempt] = []
        self.unanswered, self.over_share, self.streaming = True, False, False
        self.one_shot = False  # part of the body was sent and not kept: it can't be sent again
        self.body_incomplete = event.body_open  # no deadline and no target time until it is complete
        if self.body_incomplete:
            self.deadline = self.aim_at = math.inf

    def complete_body(self, now: float, remaining: float) -> None:
        """The last byte of the body was received: the deadline and the target time count from now."""
        self.body_incomplete = False
        self.deadline, self.aim_at = now + remaining, now + self.cls.aim_ms - self.since_first_try_ms

    def can_be_duplicated(self) -> bool:
        """Whether a second attempt can be sent while the first one is in flight."""
        return self.cls.effect is not Effect.ONCE and not (self.body_incomplete or self.one_shot)

    def timeout(self, now: float) -> float:
        """The timeout of an attempt that is sent now, in milliseconds."""
        return min(self.useful_until() - now, self.cls.attempt_ms or math.inf)

    def is_out(self) -> bool:
        """Whether an attempt is in flight."""
        return any(a.out for a in self.attempts)

    def useful_until(self) -> float:
        """The time from which an answer has no value."""
        return self.deadline if self.cls.late_share > 0 else min(self.deadline, self.aim_at)
