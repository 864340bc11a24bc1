"""A connection to an upstream: sends requests, reads their answers and reports how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from passpost.host import Host
from passpost.http1 import MAX_EVENTS_PER_TURN, Address, Answer, AnswerReader, BadAnswerError, TooLongError
from passpost.upstreams.attempt import Attempt, OutgoingRequest
from passpost.upstreams.progress import WINDOW_S, AnswerProgress
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

# A long body that makes no progress for this long, while nobody holds it back, is given up.
STALL_TIMEOUT_S = 10.0
# An answer of unknown length is streamed after this, whether or not it will be long.
UNKNOWN_LENGTH_DELAY_S = 0.2


# The most that is read from one connection at once: while it streams an answer in large parts, otherwise, and while the
# parts are small.
LARGE_READ_BYTES, READ_BYTES, SMALL_READ_BYTES = 64 * 1024, 16 * 1024, 4 * 1024


class Pool:
    """The connections to the address of one upstream."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[Connection] = []  # in order of use, the latest last
        # In order of creation: the order of a set would vary between runs.
        self.open: dict[Connection, None] = {}


class Owner(Protocol):
    """The holder of the pools, with the state that all their connections share."""

    host: Host
    max_body: int  # upper bound for an answer's body, in bytes
    read_buffer: memoryview  # that all connections read into, as each uses up at once what it has read
    max_buffered_body: int  # a longer answer may go on past its request's time
    stream_above: int  # answers up to this size are buffered and passed on whole
    too_long: Answer | None  # sent to the client in place of an answer beyond `max_body`
    long: dict[Connection, None]  # connections that carry a long body

    def outcome(self, answer: Answer) -> Outcome:
        """Which outcome an answer means for its attempt."""

    def serves(self, answer: Answer) -> bool:
        """Whether an answer with this head serves its request."""

    def keep_idle(self, connection: Connection, pool: Pool) -> None:
        """Keep a connection for the next attempt."""

    def forget(self, connection: Connection, pool: Pool) -> None:
        """Remove a connection that has closed."""


class Connection(asyncio.BufferedProtocol):
    """A connection to an upstream; it carries one attempt at a time."""

    def __init__(self, pool: Pool, owner: Owner) -> None:
        self._pool, self._owner = pool, owner
        self._last_chunk_buffered = False  # the last chunk of a long body is in the write buffer
        self._attempt: Attempt | None = None
        self._reader: AnswerReader | None = None
        self._transport: asyncio.Transport | None = None
        self._has_unread: Callable[[int], object] = lambda timeout: True  # set once there is a transport
        self.unwritten = True
        self.idle_since = 0.0
        self._write_blocked = False  # the transport has bytes that are not sent yet
        self.progress_at = 0.0  # time of the last progress of a long body
        self.paused = False  # paused by the reader of the answer
        self._yields = False  # others are served before the rest of the answer is read
        self._is_reading_paused = False
        self._read_bytes = READ_BYTES  # of the next read
        self._progress: AnswerProgress | None = None  # of an answer that is streamed
        self._stream_timer: asyncio.TimerHandle | None = None

    def send_request(self, attempt: Attempt) -> None:
        """Write the attempt's request."""
        assert self._transport is not None
        self._attempt, self._progress = attempt, None
        self._read_bytes = READ_BYTES
        owner, request = self._owner, attempt.request
        streams = request.idle_s > 0
        long = owner.stream_above if owner.max_body > owner.max_buffered_body or streams else None
        self._reader = AnswerReader(owner.max_body, request.bodyless, long, owner.serves, streams)
        attempt.connection = self
        if request.upload is not None:
            self._send_long(request, attempt.remaining())
            return
        self._last_chunk_buffered = False
        self.unwritten = False  # pause_writing is called at once if the transport cannot send all of it
        self._transport.write(request.write(attempt.remaining()))
        if not self.unwritten and request.on_sent is not None:
            request.on_sent()

    def _send_long(self, request: OutgoingRequest, remaining: float) -> None:
        """Write the head, and the body as it arrives."""
        assert self._transport is not None and request.upload is not None
        self._last_chunk_buffered, self.unwritten, self.progress_at = (
            False,
            True,
            self._owner.host.monotonic(),
        )
        self._owner.long[self] = None
        self._transport.write(request.write(remaining))
        request.upload.attach(self)

    def ready(self) -> None:
        """Write what has arrived of a long body, as far as the upstream takes it."""
        attempt = self._attempt
        if attempt is None or (upload := attempt.request.upload) is None or self._transport is None:
            return
        while not self._write_blocked and self.unwritten and not self._transport.is_closing():
            if upload.is_ending() and not attempt.request.is_wanted():
                return  # without its last bytes the request never runs
            piece = upload.take()
            if piece is None:
                break
            self.progress_at = self._owner.host.monotonic()
            self._transport.write(
                piece if upload.length is not None else b"%x\r\n%b\r\n" % (len(piece), piece)
            )
        if upload.is_complete and upload.is_empty() and self.unwritten and not self._write_blocked:
            if upload.length is None:
                if not attempt.request.is_wanted():
                    return
                self._transport.write(b"0\r\n\r\n")
                if self._write_blocked:
                    self._last_chunk_buffered = True
                    return
            self._report_written()

    def _report_written(self) -> None:
        self.unwritten = False
        if self._attempt is not None and self._attempt.request.on_sent is not None:
            self._attempt.request.on_sent()

    def hold(self, on: bool) -> None:
        """Pause or resume reading, as the reader of the answer falls behind the upstream or has caught up."""
        now = self._owner.host.monotonic()
        if self.paused and not on and self._progress is not None:
            self._progress.client_caught_up(now)
        self.paused = on
        if self._transport is not None and not self._transport.is_closing():
            self.progress_at = now
        self._update_reading()

    def _update_reading(self) -> None:
        """Read unless the answer's reader is behind, or others are to be served first."""
        transport, paused = self._transport, self.paused or self._yields
        if transport is None or transport.is_closing() or paused is self._is_reading_paused:
            return
        self._is_reading_paused = paused
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _limit_turn(self, events: int) -> None:
        """Serve other connections first after a read that was much work, and let the next read be less."""
        if events <= MAX_EVENTS_PER_TURN:
            limit = LARGE_READ_BYTES if self._progress is not None else READ_BYTES
            self._read_bytes = min(2 * self._read_bytes, limit)
            return
        self._read_bytes = SMALL_READ_BYTES
        if not self._yields:
            self._yields = True
            self._update_reading()
            asyncio.get_running_loop().call_soon(self._end_yield)

    def _end_yield(self) -> None:
        self._yields = False
        self._update_reading()

    def answer_deadline(self, due: float) -> float:
        """Until when an answer that has begun may go on if its request's time is up at `due`, by the monotonic clock.

        It may go on for as long as it makes progress (passpost/upstreams/progress.py), or its reader pauses it.
        """
        now, length = self._owner.host.monotonic(), self._reader.length if self._reader is not None else None
        if self._progress is None or (length is not None and length <= self._owner.max_buffered_body):
            return due
        return now + WINDOW_S if self.paused else max(due, self._progress.deadline(now))

    def sweep(self, now: float) -> None:
        """Give up a long body that has made no progress for too long."""
        attempt = self._attempt
        if attempt is None or self.paused:
            return
        upload, stood = attempt.request.upload, now - self.progress_at
        if attempt.sink is not None:
            if stood >= (attempt.request.idle_s or STALL_TIMEOUT_S):
                attempt.end(Outcome.BROKEN)
        elif (
            upload is not None
            and self.unwritten
            and (self._write_blocked or not upload.is_empty())
            and stood >= STALL_TIMEOUT_S
        ):
            attempt.end(Outcome.UNREACHED)

    def is_unusable(self) -> bool:
        """Whether the connection cannot be reused: it is closing, or data has arrived since the last answer.

        An end of stream, or bytes after the answer, may lie unread in the kernel if the event loop has not run since. A
        request written then would be lost, or the stray bytes would be taken for its answer.
        """
        return self._transport is None or self._transport.is_closing() or bool(self._has_unread(0))

    def _close_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def drop(self) -> None:
        """Close at once; the outcome of an attempt on it has been reported already."""
        self._attempt = None
        self._close_reader()
        self._cancel_stream_timer()
        self._owner.forget(self, self._pool)
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set a high-water mark of 0, so that pause_writing reports every byte that has not been sent."""
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)
        self._has_unread = self._owner.host.unread_probe(transport)

    def pause_writing(self) -> None:
        """Part of the request has not been sent: the upstream cannot have started it."""
        self._write_blocked = self.unwritten = True

    def resume_writing(self) -> None:
        """The write buffer is empty: go on with a long body, or record that the request was sent."""
        self._write_blocked, self.progress_at = False, self._owner.host.monotonic()
        if (
            self._attempt is not None
            and self._attempt.request.upload is not None
            and not self._last_chunk_buffered
        ):
            self.ready()
        else:
            self._report_written()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Read a limited number of bytes, so that one connection does not keep the event loop for long."""
        return self._owner.read_buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has been read into the buffer."""
        self.data_received(bytes(self._owner.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Read a piece of the answer; bytes without an attempt are stray, and the connection is dropped."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self.drop()
            return
        events_before = reader.events
        try:
            answer = reader.feed(data)
        except BadAnswerError as error:
            log.warning("upstream %s: bad answer: %s", self._pool.name, error)
            is_good = (
                isinstance(error, TooLongError) and attempt.sink is None and self._owner.serves(reader.head())
            )
            if is_good and self._owner.too_long is not None:
                attempt.end(Outcome.SERVED, self._owner.too_long)  # no other server's answer would be shorter
            else:
                attempt.end(Outcome.BROKEN)
            return
        self._limit_turn(reader.events - events_before)
        if reader.is_streaming:
            self._pass_on(attempt, reader)
            if self._attempt is not attempt:
                return  # the answer is not wanted, or was cut
        if answer is None:
            if self._stream_timer is None and not reader.is_streaming and reader.has_unknown_length():
                self._stream_timer = asyncio.get_running_loop().call_later(
                    UNKNOWN_LENGTH_DELAY_S, self._start_streaming
                )
            return
        self._cancel_stream_timer()
        reusable = answer.reusable and not self.unwritten
        if reusable:
            self._attempt, attempt.connection = None, None
            self._close_reader()
            self._owner.keep_idle(self, self._pool)
        attempt.end(self._owner.outcome(answer), answer)

    def _pass_on(self, attempt: Attempt, reader: AnswerReader) -> None:
        """Pass on what has arrived of an answer that is streamed."""
        now = self.progress_at = self._owner.host.monotonic()
        if attempt.sink is None:
            self._progress = AnswerProgress(self._owner.max_buffered_body, reader.length is not None, now)
            self._cancel_stream_timer()
            self._owner.long[self] = None
            if not attempt.start(reader.head(), reader.length, self):
                attempt.end(Outcome.CANCELLED)
                return
        if attempt.sink is not None and (data := reader.take_body()):
            if self._progress is not None:
                self._progress.add(now, len(data))
            attempt.sink.write(data)

    def _start_streaming(self) -> None:
        """Start to stream an answer of unknown length that was not complete within UNKNOWN_LENGTH_DELAY_S."""
        self._stream_timer = None
        attempt, reader = self._attempt, self._reader
        if attempt is not None and reader is not None:
            reader.start_streaming()
            if reader.is_streaming:
                self._pass_on(attempt, reader)

    def _cancel_stream_timer(self) -> None:
        if self._stream_timer is not None:
            self._stream_timer.cancel()
            self._stream_timer = None

    def eof_received(self) -> None:
        """Handle the upstream's close: an idle connection must not be reused, and an answer ends here.

        A close-delimited answer is complete by that (RFC 9112, 6.3, rule 8); any other is cut short. A reset completes
        nothing. libuv reports a reset as a close where reading was paused, so the socket itself is asked.
        """
        attempt, reader = self._attempt, self._reader
        answer = None
        if reader is not None and not self.unwritten and not self._was_reset():
            answer = reader.completed_by_close()
        if attempt is not None and answer is not None:
            self._cancel_stream_timer()
            attempt.end(self._owner.outcome(answer), answer)
        else:
            self._handle_close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a close as eof_received does."""
        self._handle_close()

    def _was_reset(self) -> bool:
        return self._transport is not None and self._owner.host.was_reset(self._transport)

    def _handle_close(self) -> None:
        if self._attempt is not None:
            self._attempt.end(Outcome.UNREACHED if self.unwritten else Outcome.BROKEN)
        else:
            self.drop()
