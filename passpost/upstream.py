"""The upstreams' side: connections, attempts on them, and how each attempt ended.

Nothing is ever sent a second time from here: every attempt is one that the module asked for.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

from passpost.host import HOST, Host
from passpost.http1 import MAX_LONG, Address, Answer, AnswerReader, BadAnswerError, TooLongError
from passpost.streams import LONG, Sink, Source, Upload
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the upstream's idle time after which we close: a request must not cross its close
SWEEP_S = 1.0
REST_S = 0.005  # an upstream that closes behind an answer, or sends more than it, does so within this

ANSWER_RATE = 40_000  # bytes a second: what a long answer has to come at to go on past its request's time
STALL_S = 10.0  # a long body that makes no step for so long, while nobody holds it back, is given up
SETTLE_S = 0.2  # an answer whose length is not told is passed on after this, whether or not it will be long

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

    def write(self, remaining: float) -> bytes:
        """The bytes for the wire."""
        return b"%b%b: %.3f\r\n\r\n%b" % (self.head, self.deadline_header, remaining, self.body)


class Attempt:
    """One attempt; it ends exactly once, with the outcome that `done` is told."""

    def __init__(
        self, request: Outgoing, timeout: float, done: Done, host: Host, may_go: Callable[[], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.request, self.may_go = request, may_go
        self.connection: _Connection | None = None
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

    def earned(self) -> float:
        """How long its answer may take beyond the request's time: by what has come, and while its reader held it."""
        return self.connection.earned() if self.connection is not None else 0.0

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
            self.sink.cut()
        done(outcome, answer)

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.end(Outcome.CANCELLED)

    def _timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT if self.is_written() else Outcome.UNREACHED)


class _Connection(asyncio.Protocol):
    """One connection to an upstream; carries one attempt at a time."""

    def __init__(self, upstream: _Upstream, pool: Upstreams) -> None:
        self._upstream, self._pool = upstream, pool
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
        pool, request = self._pool, attempt.request
        streams = request.idle_s > 0
        long = pool.kept if pool.max_body > pool.kept or streams else None
        self._reader = AnswerReader(pool.max_body, request.bodyless, long, pool.serves, streams)
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
        self._last, self.unwritten, self.moved_at = False, True, self._pool.host.monotonic()
        self._pool.long[self] = None
        self._transport.write(request.write(remaining))
        request.upload.attach(self)

    def ready(self) -> None:
        """Write what of a long body there is, while the upstream takes it."""
        attempt = self._attempt
        if attempt is None or (upload := attempt.request.upload) is None or self._transport is None:
            return
        while not self._blocked and self.unwritten and not self._transport.is_closing():
            piece = upload.take()
            if piece is None:
                break
            self.moved_at = self._pool.host.monotonic()
            self._transport.write(
                piece if upload.length is not None else b"%x\r\n%b\r\n" % (len(piece), piece)
            )
        if upload.whole and upload.is_empty() and self.unwritten and not self._blocked:
            if upload.length is None:
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
        now = self._pool.host.monotonic()
        if self.held:
            self._held_for += now - self._held_at
        self.held, self._held_at = on, now
        if self._transport is not None and not self._transport.is_closing():
            self.moved_at = now
            if on:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def earned(self) -> float:
        """The time that a long answer has earned by coming, or has stood for its reader."""
        held = self._pool.host.monotonic() - self._held_at if self.held else 0.0
        return self._passed / ANSWER_RATE + self._held_for + held

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
        self._pool.forget(self, self._upstream)
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """With a high-water mark of 0, pause_writing tells of every byte that has not gone out yet."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it
        self._transport.set_write_buffer_limits(high=0)
        self._told = self._pool.host.watcher(transport)

    def pause_writing(self) -> None:
        """Part of the request is still with us: the upstream can't have begun it."""
        self._blocked = self.unwritten = True

    def resume_writing(self) -> None:
        """What there was of the request has gone out."""
        self._blocked, self.moved_at = False, self._pool.host.monotonic()
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
            log.warning("upstream %s: bad answer: %s", self._upstream.name, error)
            is_good = (
                isinstance(error, TooLongError) and attempt.sink is None and self._pool.serves(reader.head())
            )
            if is_good and self._pool.too_long is not None:
                attempt.end(Outcome.SERVED, self._pool.too_long)  # no other server's would be shorter
            else:
                attempt.end(Outcome.BROKEN)
            return
        if reader.started:
            self._pass_on(attempt, reader)
            if self._attempt is not attempt:
                return  # nobody wants it, or it is cut
        if answer is None:
            if self._settle is None and not reader.started and reader.is_settling():
                self._settle = asyncio.get_running_loop().call_later(SETTLE_S, self._settled)
            return
        self._unsettle()
        reusable = answer.reusable and not self.unwritten
        if reusable:
            self._attempt, self._reader, attempt.connection = None, None, None
            self._pool.rest(self, self._upstream)
        attempt.end(self._pool.outcome(answer), answer)

    def _pass_on(self, attempt: Attempt, reader: AnswerReader) -> None:
        """Hand on what has come of an answer that has started."""
        self.moved_at = self._pool.host.monotonic()
        if attempt.sink is None:
            self._unsettle()
            self._pool.long[self] = None
            if not attempt.start(reader.head(), reader.length, self):
                attempt.end(Outcome.CANCELLED)
                return
        if attempt.sink is not None and (data := reader.take()):
            self._passed += len(data)
            attempt.sink.write(data)

    def _settled(self) -> None:
        """An answer whose length is not told takes its time: what there is goes on at once."""
        self._settle = None
        attempt, reader = self._attempt, self._reader
        if attempt is not None and reader is not None:
            reader.start()
            if reader.started:
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
            answer = reader.ended()
        if attempt is not None and answer is not None:
            self._unsettle()
            attempt.end(self._pool.outcome(answer), answer)
        else:
            self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        """As eof_received."""
        self._ended()

    def _was_reset(self) -> bool:
        return self._transport is not None and self._pool.host.was_reset(self._transport)

    def _ended(self) -> None:
        if self._attempt is not None:
            self._attempt.end(Outcome.UNREACHED if self.unwritten else Outcome.BROKEN)
        else:
            self.drop()


def platform_outcome(answer: Answer) -> Outcome:
    """What an answer means, by the protocol's table."""
    if answer.status == 200:
        return Outcome.SERVED
    if answer.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


class _Upstream:
    """One upstream's address and connections."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[_Connection] = []  # the most recently used last
        self.open: dict[_Connection, None] = {}  # in order: a set's would differ from run to run


class Upstreams:
    """All upstreams by name, and the connections to them, of which there are `max_open` at most."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_open: int,
        host: Host = HOST,
        outcome: Callable[[Answer], Outcome] = platform_outcome,
        max_body: int = MAX_LONG,
        kept: int = LONG,
        too_long: Answer | None = None,
    ) -> None:
        """Answers of up to `kept` bytes are passed on whole, those beyond as they come, up to `max_body`.

        `too_long`: what callers get for one beyond that; without it the attempt is broken, and another may be made."""
        self.host, self.outcome, self.max_body, self.kept = host, outcome, max_body, kept
        self.too_long = too_long
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_timeout * IDLE_SHARE
        self._max_open = max_open
        self._upstreams: dict[str, _Upstream] = {}
        self.long: dict[_Connection, None] = {}  # those with a long body on its way
        self._open = 0
        self._said_full = False
        self._sweeper: asyncio.TimerHandle | None = None

    def serves(self, answer: Answer) -> bool:
        """Whether an answer with this head serves its request."""
        return self.outcome(answer) is Outcome.SERVED

    def start(self) -> None:
        """Begin to close idle connections in time."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.route({})

    def route(self, addresses: dict[str, Address]) -> None:
        """Take over a list; upstreams that left it or moved lose their idle connections."""
        self.reroute([*self._upstreams, *(n for n in addresses if n not in self._upstreams)], addresses)

    def reroute(self, names: Iterable[str], addresses: dict[str, Address]) -> None:
        """Take over the changes of some; those that have no address any more have left."""
        for name in names:
            upstream, address = self._upstreams.get(name), addresses.get(name)
            if upstream is not None and address != upstream.address:
                del self._upstreams[name]  # attempts that are out go on
                for connection in list(upstream.idle):
                    connection.drop()
            if address is not None and name not in self._upstreams:
                self._upstreams[name] = _Upstream(name, address)

    def let_go(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        if (upstream := self._upstreams.get(server)) is not None:
            for connection in list(upstream.idle):
                connection.drop()

    def limit(self, max_open: int) -> None:
        """Hold so many connections at most from now on; those idle for longest go first."""
        self._max_open = max_open
        while self._open > max_open and self._has_room():
            pass

    def send(
        self,
        server: str,
        request: Outgoing,
        timeout: float,
        done: Done,
        may_go: Callable[[], bool] = lambda: True,
    ) -> Attempt:
        """Make one attempt; `done` is told its outcome once, later or at once.

        `may_go` says whether it may still go out, now and once there is a connection; else it ends as not sent.
        """
        attempt = Attempt(request, timeout, done, self.host, may_go)
        upstream = self._upstreams.get(server)
        if upstream is None or not may_go():
            attempt.end(Outcome.NOT_SENT)
            return attempt
        if (connection := self._idle(upstream)) is not None:
            self._carry(connection, attempt)
        elif self._has_room():
            connection = _Connection(upstream, self)
            upstream.open[connection] = None
            self._open += 1
            attempt.connecting = asyncio.get_running_loop().create_task(
                self._connect(connection, upstream, attempt)
            )
        else:
            if not self._said_full:  # one line a second at most: a shortage must not flood the log
                self._said_full = True
                log.warning("no descriptor left for a connection to %s", server)
            attempt.end(Outcome.UNREACHED)
        return attempt

    def _idle(self, upstream: _Upstream) -> _Connection | None:
        """The idle connection to use: the latest that has rested.

        Never one that has not: a second answer may be on its way there, and be taken for the next request's.
        """
        limit = self.host.monotonic() - REST_S
        for connection in [c for c in reversed(upstream.idle) if c.idle_since <= limit]:
            if not connection.is_spent():
                upstream.idle.remove(connection)
                return connection
            connection.drop()
        return None

    def rest(self, connection: _Connection, upstream: _Upstream) -> None:
        """Keep a connection for the next attempt, unless its upstream has left or moved."""
        if self._upstreams.get(upstream.name) is not upstream:
            connection.drop()
            return
        connection.idle_since = self.host.monotonic()
        if connection.held:
            connection.hold(False)
        self.long.pop(connection, None)
        upstream.idle.append(connection)

    def forget(self, connection: _Connection, upstream: _Upstream) -> None:
        """A connection is over."""
        self.long.pop(connection, None)
        if connection in upstream.open:
            del upstream.open[connection]
            self._open -= 1
            if connection in upstream.idle:
                upstream.idle.remove(connection)

    async def _connect(self, connection: _Connection, upstream: _Upstream, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *upstream.address)
        except asyncio.CancelledError:  # the attempt has ended
            connection.drop()
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("connecting to %s", upstream.name)
            connection.drop()
            attempt.connecting = None
            attempt.end(Outcome.UNREACHED)
        else:
            attempt.connecting = None
            is_there = self._upstreams.get(upstream.name) is upstream  # else it has left or moved
            if not attempt.is_over() and is_there and attempt.may_go():
                self._carry(connection, attempt)
                return
            connection.drop()
            attempt.end(Outcome.NOT_SENT)

    def _carry(self, connection: _Connection, attempt: Attempt) -> None:
        try:
            connection.carry(attempt)
        except Exception:  # the attempt still owes its outcome, and some of it may have gone out
            log.exception("could not write a request")
            attempt.end(Outcome.BROKEN)
            connection.drop()

    def _has_room(self) -> bool:
        """Whether another connection may be opened; the one idle for longest gives way."""
        if self._open < self._max_open:
            return True
        oldest = min(
            (u.idle[0] for u in self._upstreams.values() if u.idle), key=lambda c: c.idle_since, default=None
        )
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        self._said_full = False
        now = self.host.monotonic()
        for connection in list(self.long):
            connection.sweep(now)
        limit = now - self._idle_limit
        for upstream in self._upstreams.values():
            while upstream.idle and upstream.idle[0].idle_since < limit:
                upstream.idle[0].drop()
