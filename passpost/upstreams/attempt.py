"""A request as it is sent to upstreams, and one attempt at it.

Nothing in here retries: every attempt is one that the decision module asked for.
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

DoneCallback = Callable[[Outcome, Answer | None], None]
StartCallback = Callable[[Answer, "int | None", Source], "Sink | None"]


@dataclass(slots=True)
class OutgoingRequest:
    """A request as it is sent, except for the remaining time, which is set when it is written."""

    head: bytes
    body: bytes
    deadline_header: bytes = b"X-Remaining"
    bodyless: bool = False  # the answer has no body, whatever its Content-Length says (HEAD)
    on_sent: Callable[[], None] | None = None  # called for each attempt whose last byte has been sent
    upload: Upload | None = None  # a long body, in place of `body`
    idle_s: float = 0.0  # above 0: the answer is streamed from its head on, and may pause for this long
    max_wait_s: float = math.inf  # the client's wait, in seconds from the last byte of the request
    # Asked before the last byte of a long body is sent, as the client may have left.
    is_wanted: Callable[[], bool] = lambda: True

    def write(self, remaining: float) -> bytes:
        """The bytes to send.

        An attempt has no time-out while its body is still arriving; the header gives the client's wait instead.
        """
        told = min(remaining, self.max_wait_s)
        return b"%b%b: %.3f\r\n\r\n%b" % (self.head, self.deadline_header, told, self.body)


class AttemptConnection(Reader, Protocol):
    """The connection that carries an attempt."""

    unwritten: bool  # part of the request has not been sent

    def answer_deadline(self, due: float) -> float:
        """Until when an answer that has begun may go on if its request's time is up at `due`."""

    def drop(self) -> None:
        """Close at once."""


class Attempt:
    """One attempt. It ends exactly once, and `done` is called with its outcome."""

    def __init__(
        self,
        request: OutgoingRequest,
        timeout: float,
        done: DoneCallback,
        host: Host,
        may_send: Callable[[], bool],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.request, self.may_send = request, may_send
        self.connection: AttemptConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self._monotonic = host.monotonic
        self._deadline = host.monotonic() + timeout
        self._timer: asyncio.TimerHandle | None = None
        if timeout < math.inf:  # infinite while the request's body is still arriving
            self._timer = loop.call_later(timeout, self._timed_out)
        self._done: DoneCallback | None = done
        self.on_answer_start: StartCallback = lambda answer, length, source: None
        self.sink: Sink | None = None  # set once the answer is being streamed

    def limit(self, timeout: float) -> None:
        """Set the time-out to this many seconds from now."""
        if self._done is not None and self.sink is None:
            if self._timer is not None:
                self._timer.cancel()
            self._deadline = self._monotonic() + timeout
            self._timer = asyncio.get_running_loop().call_later(timeout, self._timed_out)

    def start(self, answer: Answer, length: int | None, source: Source) -> bool:
        """Start to stream the answer and stop the time-out; false if nobody wants the answer any more.

        A sink that has been started is always ended: here if the attempt ended meanwhile, otherwise with the attempt.
        """
        if self._timer is not None:
            self._timer.cancel()
        sink = self.on_answer_start(answer, length, source)
        if sink is not None and self.is_over():
            sink.truncate()
            return False
        self.sink = sink
        return sink is not None

    def answer_deadline(self, due: float) -> float:
        """Until when an answer that has begun may go on if its request's time is up at `due`."""
        return self.connection.answer_deadline(due) if self.connection is not None else due

    def remaining(self) -> float:
        """Time left until the time-out, in seconds."""
        return max(self._deadline - self._monotonic(), 0.0)

    def is_over(self) -> bool:
        """Whether the outcome has been reported."""
        return self._done is None

    def is_written(self) -> bool:
        """Whether the last byte of the request has been sent, so that the request may have run."""
        return self.connection is not None and not self.connection.unwritten

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Report the outcome, once; a connection that still waits for the answer is closed."""
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
        """Stop waiting for the answer."""
        self.end(Outcome.CANCELLED)

    def _timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT if self.is_written() else Outcome.UNREACHED)
