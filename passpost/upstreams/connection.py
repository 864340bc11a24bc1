"""One connection to an upstream: writes requests, reads their answers, and tells how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from passpost.host import Host
from passpost.http1 import Address, Answer, AnswerReader, BadAnswerError, TooLongError
from passpost.upstreams.attempt import Attempt, Outgoing
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

ANSWER_RATE = 40_000  # bytes a second: what an answer has to come at to go on past its request's time
# Of an answer beyond what is kept the first bytes are timed, and it is not cut while it is still given. Whoever stands
# still for as long as nobody may hold the rest of one back (the operators' page of daily service: 2 s) gives no more.
PAUSE_S = 2.0
STALL_S = 10.0  # a long body that makes no step for so long, while nobody holds it back, is given up
SETTLE_S = 0.2  # an answer whose length is not told is passed on after this, whether or not it will be long


class Pool:
    """The connections to one upstream's address."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[Connection] = []  # the most recently used last
        self.open: dict[Connection, None] = {}  # in order: a set's would differ from run to run


class Owner(Protocol):
    """Whoever holds the pools, with what all their connections share."""

    host: Host
    max_body: int  # of an answer, in bytes
    kept: int  # of an answer that is passed on whole
    too_long: Answer | None  # in place of an answer beyond `max_body`
    long: dict[Connection, None]  # those with a long body on its way

    def outcome(self, answer: Answer) -> Outcome:
        """What an answer means for its attempt."""

    def serves(self, answer: Answer) -> bool:
        """Whether an answer with this head serves its request."""

    def rest(self, connection: Connection, pool: Pool) -> None:
        """Keep a connection for the next attempt."""

    def forget(self, connection: Connection, pool: Pool) -> None:
        """A connection is over."""


class Connection(asyncio.Protocol):
    """One connection to an upstream; carries one attempt at a time."""

    def __init__(self, pool: Pool, owner: Owner) -> None:
        self._pool, self._owner = pool, owner
        self._last = False  # the last chunk of a long body is being written
        self._attempt: Attempt | None = None
        self._reader: AnswerReader | None = None
        self._transport: asyncio.Transport | None = None
        self._told: Callable[[int], object] = lambda timeout: True  # until there is a transport
        self.unwritten = True
        self.idle_since = 0.0
        self._blocked = False  # the transport holds bytes that have not gone out
        self.moved_at = 0.0  # when a long body last made a step
        self.held = False  # by whoever reads the answer
        self._passed = 0  # bytes of a long answer
        self._held_for, self._held_at = 0.0, 0.0  # seconds that its reader held it, and since when it does
        self._settle: asyncio.TimerHandle | None = None

    def carry(self, attempt: Attempt) -> None:
        """Write the attempt's request."""
        assert self._transport is not None
        self._attempt, self._passed, self._held_for = attempt, 0, 0.0
        owner, request = self._owner, attempt.request
        streams = request.idle_s > 0
        long = owner.kept if owner.max_body > owner.kept or streams else None
        self._reader = AnswerReader(owner.max_body, request.bodyless, long, owner.serves, streams)
        attempt.connection = self
        if request.upload is not None:
            self._carry_long(request, attempt.remaining())
            return
        self._last = False
        self.unwritten = False  # the transport says at once if it could not write it all: see pause_writing
        self._transport.write(request.write(attempt.remaining()))
        if not self.unwritten and request.written is not None:
            request.written()

    def _carry_long(self, request: Outgoing, remaining: float) -> None:
        """Write the head, and the body as it comes and goes."""
        assert self._transport is not None and request.upload is not None
        self._last, self.unwritten, self.moved_at = False, True, self._owner.host.monotonic()
        self._owner.long[self] = None
        self._transport.write(request.write(remaining))
        request.upload.attach(self)

    def ready(self) -> None:
        """Write what of a long body there is, while the upstream takes it."""
        attempt = self._attempt
        if attempt is None or (upload := attempt.request.upload) is None or self._transport is None:
            return
        while not self._blocked and self.unwritten and not self._transport.is_closing():
            if upload.is_ending() and not attempt.request.is_wanted():
                return  # so that it never runs
            piece = upload.take()
            if piece is None:
                break
            self.moved_at = self._owner.host.monotonic()
            self._transport.write(
                piece if upload.length is not None else b"%x\r\n%b\r\n" % (len(piece), piece)
            )
        if upload.is_complete and upload.is_empty() and self.unwritten and not self._blocked:
            if upload.length is None:
                if not attempt.request.is_wanted():
                    return
                self._transport.write(b"0\r\n\r\n")
                if self._blocked:
                    self._last = True
                    return
            self._is_written()

    def _is_written(self) -> None:
        self.unwritten = False
        if self._attempt is not None and self._attempt.request.written is not None:
            self._attempt.request.written()

    def hold(self, on: bool) -> None:
        """Whoever reads the answer is slower than the upstream, or no more."""
        now = self._owner.host.monotonic()
        if self.held:
            self._held_for += now - self._held_at
        self.held, self._held_at = on, now
        if self._transport is not None and not self._transport.is_closing():
            self.moved_at = now
            if on:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def over_at(self, due: float) -> float:
        """Until when an answer that has begun may go on whose request's time is up at `due`, by the monotonic clock.

        A long one for as long as it comes, whatever its pace. One that may still be short has time by the byte, and for
        as long as its reader held it.
        """
        now = self._owner.host.monotonic()
        if self._passed > self._owner.kept:
            return (now if self.held else self.moved_at) + PAUSE_S
        held = now - self._held_at if self.held else 0.0
        return due + self._passed / ANSWER_RATE + self._held_for + held

    def sweep(self, now: float) -> None:
        """Give up a long body that has made no step for too long."""
        attempt = self._attempt
        if attempt is None or self.held:
            return
        upload, stood = attempt.request.upload, now - self.moved_at
        if attempt.sink is not None:
            if stood >= (attempt.request.idle_s or STALL_S):
                attempt.end(Outcome.BROKEN)
        elif (
            upload is not None
            and self.unwritten
            and (self._blocked or not upload.is_empty())
            and stood >= STALL_S
        ):
            attempt.end(Outcome.UNREACHED)

    def is_spent(self) -> bool:
        """Whether it can carry no more: it is closing, or has been told something since the last answer.

        An end, or bytes behind the answer, may lie in the kernel unread: the loop has had no turn since. What
        is written then is lost, or the stray bytes are taken for its answer.
        """
        return self._transport is None or self._transport.is_closing() or bool(self._told(0))

    def drop(self) -> None:
        """Close at once; an attempt on it has been told its end."""
        self._attempt, self._reader = None, None
        self._unsettle()
        self._owner.forget(self, self._pool)
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """With a high-water mark of 0, pause_writing tells of every byte that has not gone out yet."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it
        self._transport.set_write_buffer_limits(high=0)
        self._told = self._owner.host.unread_probe(transport)

    def pause_writing(self) -> None:
        """Part of the request is still with us: the upstream can't have begun it."""
        self._blocked = self.unwritten = True

    def resume_writing(self) -> None:
        """What there was of the request has gone out."""
        self._blocked, self.moved_at = False, self._owner.host.monotonic()
        if self._attempt is not None and self._attempt.request.upload is not None and not self._last:
            self.ready()
        else:
            self._is_written()

    def data_received(self, data: bytes) -> None:
        """A piece of the answer; without an attempt it is stray, and the connection can't be trusted."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self.drop()
            return
        try:
            answer = reader.feed(data)
        except BadAnswerError as error:
            log.warning("upstream %s: bad answer: %s", self._pool.name, error)
            is_good = (
                isinstance(error, TooLongError) and attempt.sink is None and self._owner.serves(reader.head())
            )
            if is_good and self._owner.too_long is not None:
                attempt.end(Outcome.SERVED, self._owner.too_long)  # no other server's would be shorter
            else:
                attempt.end(Outcome.BROKEN)
            return
        if reader.is_streaming:
            self._pass_on(attempt, reader)
            if self._attempt is not attempt:
                return  # nobody wants it, or it is cut
        if answer is None:
            if self._settle is None and not reader.is_streaming and reader.has_unknown_length():
                self._settle = asyncio.get_running_loop().call_later(SETTLE_S, self._settled)
            return
        self._unsettle()
        reusable = answer.reusable and not self.unwritten
        if reusable:
            self._attempt, self._reader, attempt.connection = None, None, None
            self._owner.rest(self, self._pool)
        attempt.end(self._owner.outcome(answer), answer)

    def _pass_on(self, attempt: Attempt, reader: AnswerReader) -> None:
        """Hand on what has come of an answer that has started."""
        self.moved_at = self._owner.host.monotonic()
        if attempt.sink is None:
            self._unsettle()
            self._owner.long[self] = None
            if not attempt.start(reader.head(), reader.length, self):
                attempt.end(Outcome.CANCELLED)
                return
        if attempt.sink is not None and (data := reader.take_body()):
            self._passed += len(data)
            attempt.sink.write(data)

    def _settled(self) -> None:
        """An answer whose length is not told takes its time: what there is goes on at once."""
        self._settle = None
        attempt, reader = self._attempt, self._reader
        if attempt is not None and reader is not None:
            reader.start_streaming()
            if reader.is_streaming:
                self._pass_on(attempt, reader)

    def _unsettle(self) -> None:
        if self._settle is not None:
            self._settle.cancel()
            self._settle = None

    def eof_received(self) -> None:
        """The upstream has closed: an idle connection must not be used again, and an answer is over.

        A close-delimited one is whole by that (RFC 9112, 6.3, rule 8), any other is cut short. A reset is no end: where
        reading was paused libuv tells of it as of a close, so that the socket is asked.
        """
        attempt, reader = self._attempt, self._reader
        answer = None
        if reader is not None and not self.unwritten and not self._was_reset():
            answer = reader.completed_by_close()
        if attempt is not None and answer is not None:
            self._unsettle()
            attempt.end(self._owner.outcome(answer), answer)
        else:
            self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        """As eof_received."""
        self._ended()

    def _was_reset(self) -> bool:
        return self._transport is not None and self._owner.host.was_reset(self._transport)

    def _ended(self) -> None:
        if self._attempt is not None:
            self._attempt.end(Outcome.UNREACHED if self.unwritten else Outcome.BROKEN)
        else:
            self.drop()
