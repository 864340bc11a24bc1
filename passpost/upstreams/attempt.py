"""A request as it goes on to upstreams, and one attempt at it.

Nothing is ever sent a second time from here: every attempt is one that the module asked for.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from passpost.host import Host
from passpost.http1 import Answer
from passpost.streams import Reader, Sink, Source, Upload
from umberworks.interface import Outcome

Done = Callable[[Outcome, Answer | None], None]
Begin = Callable[[Answer, "int | None", Source], "Sink | None"]


@dataclass(slots=True)
class Outgoing:
    """A request as it goes on, but for the time left, which is known when it is written."""

    head: bytes
    body: bytes
    deadline_header: bytes = b"X-Remaining"
    bodyless: bool = False  # its answer has no body, whatever its length says
    written: Callable[[], None] | None = None  # told of each attempt whose last byte has gone out
    upload: Upload | None = None  # a long body, in place of `body`
    idle_s: float = 0.0  # above 0: its answer is passed on from its head on, and may stand still for so long
    longest: float = math.inf  # that its caller waits, in seconds from its last byte on
    is_wanted: Callable[[], bool] = lambda: (
        True
    )  # asked before the last byte of a long body: its caller may have left

    def write(self, remaining: float) -> bytes:
        """The bytes for the wire. While its body is still coming an attempt has no bound: its caller's wait is told."""
        told = min(remaining, self.longest)
        return b"%b%b: %.3f\r\n\r\n%b" % (self.head, self.deadline_header, told, self.body)


class Carrier(Reader, Protocol):
    """The connection that carries an attempt."""

    unwritten: bool  # part of the request is still with us

    def over_at(self, due: float) -> float:
        """Until when its answer may go on whose request's time is up at `due`."""

    def drop(self) -> None:
        """Close at once."""


class Attempt:
    """One attempt; it ends exactly once, with the outcome that `done` is told."""

    def __init__(
        self, request: Outgoing, timeout: float, done: Done, host: Host, may_go: Callable[[], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.request, self.may_go = request, may_go
        self.connection: Carrier | None = None
        self.connecting: asyncio.Task[None] | None = None
        self._monotonic = host.monotonic
        self._ends = host.monotonic() + timeout
        self._timer: asyncio.TimerHandle | None = None
        if timeout < math.inf:  # else its request's body is still coming
            self._timer = loop.call_later(timeout, self._timed_out)
        self._done: Done | None = done
        self.begin: Begin = lambda answer, length, source: None
        self.sink: Sink | None = None  # its answer is on its way

    def limit(self, timeout: float) -> None:
        """End it after so many seconds from now on."""
        if self._done is not None and self.sink is None:
            if self._timer is not None:
                self._timer.cancel()
            self._ends = self._monotonic() + timeout
            self._timer = asyncio.get_running_loop().call_later(timeout, self._timed_out)

    def start(self, answer: Answer, length: int | None, source: Source) -> bool:
        """Its answer begins; whether anybody still wants it. The time-out runs no more."""
        if self._timer is not None:
            self._timer.cancel()
        self.sink = self.begin(answer, length, source)
        return self.sink is not None

    def over_at(self, due: float) -> float:
        """Until when its answer, which has begun, may go on whose request's time is up at `due`."""
        return self.connection.over_at(due) if self.connection is not None else due

    def remaining(self) -> float:
        """How long we still wait, in seconds."""
        return max(self._ends - self._monotonic(), 0.0)

    def is_over(self) -> bool:
        """Whether the outcome has been told."""
        return self._done is None

    def is_written(self) -> bool:
        """Whether the last byte has gone out, so that it may have run."""
        return self.connection is not None and not self.connection.unwritten

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Tell the outcome, once; a connection that still waits for the answer is of no further use."""
        if self._done is None:
            return
        done, self._done = self._done, None
        if self._timer is not None:
            self._timer.cancel()
        if self.request.upload is not None and self.connection is not None:
            self.request.upload.detach(self.connection)
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.drop()
        if self.sink is not None and outcome is not Outcome.SERVED:
            self.sink.truncate()
        done(outcome, answer)

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.end(Outcome.CANCELLED)

    def _timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT if self.is_written() else Outcome.UNREACHED)
