"""HTTP of the simulated clients and servers: connections that receive requests, and calls to balancers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from passpost.host import Address
from passpost.http1 import MAX_STREAM_BYTES, Answer, AnswerReader, BadAnswerError
from passpost.rehearsal.stage import Backend, ConnectionEnd

MAX_PAUSE_S = 0.05  # between the two pieces of a request
# How long a client waits beyond its deadline, so that the invariant checker sees late answers.
LATE_ANSWER_GRACE_S = 0.15


@dataclass(slots=True)
class Request:
    """A received request, with the times at which its first and last bytes were sent."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    first_byte_sent_at: float
    last_byte_sent_at: float


class RequestConnection(asyncio.Protocol):
    """A connection that receives requests, one at a time; subclasses handle them in `request_received`."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._headers, self._body = b"", dict[str, str](), b""
        self._first_byte_sent_at = math.nan

    def request_received(self, request: Request) -> None:
        """Called with each complete request."""
        raise NotImplementedError

    def connection_closed(self) -> None:
        """Called when the connection is lost."""

    def reply(
        self,
        status: int,
        body: bytes = b"",
        extra_headers: str = "",
        close: bool = False,
        with_length: bool = True,
    ) -> None:
        """Send an answer; one without a Content-Length is ended by closing the connection."""
        close = close or not with_length
        if close:
            extra_headers += "Connection: close\r\n"
        length = f"Content-Length: {len(body)}\r\n" if with_length else ""
        head = f"HTTP/1.1 {status} X\r\n{length}{extra_headers}\r\n".encode()
        self.write(head + body)
        if close and self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed or closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks from asyncio and httptools

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is lost."""
        self.transport = None
        self.connection_closed()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; answers 400 and closes the connection if they are no valid request."""
        assert self.transport is not None
        if math.isnan(self._first_byte_sent_at):
            self._first_byte_sent_at = self.backend.written_at(self.transport)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reply(400, close=True)

    def on_url(self, url: bytes) -> None:
        """Part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """The request is complete."""
        assert self.transport is not None
        path, _, query = self._url.decode("latin-1").partition("?")
        method = self._parser.get_method().decode()
        last_byte_sent_at = self.backend.written_at(self.transport)
        request = Request(
            method, path, query, self._headers, self._body, self._first_byte_sent_at, last_byte_sent_at
        )
        self._url, self._headers, self._body, self._first_byte_sent_at = b"", {}, b"", math.nan
        self.request_received(request)


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a call. `end_reason` is `answer`, or why there is no answer:

    `unreached`: the connection could not be established; `crossed`: the peer closed the connection before it
    had read the request; `ended`: the connection closed before a complete answer; `silent`: timed out;
    `spoilt`: the answer was malformed. Callers may finish a call with reasons of their own.
    """

    end_reason: str
    answer: Answer | None = None

    def retry_after_s(self) -> float:
        """The value of Retry-After in seconds; 0 without the header."""
        for name, value in self.answer.headers if self.answer is not None else []:
            if name.lower() == b"retry-after":
                return float(value)
        return 0.0


class Call:
    """An outstanding request."""

    def __init__(self, on_done: Callable[[Result], None]) -> None:
        self._on_done: Callable[[Result], None] | None = on_done
        self.timer: asyncio.TimerHandle | None = None
        self.connection: _ClientConnection | None = None

    def finish(self, result: Result) -> None:
        """Report the result; only the first call has an effect."""
        if self._on_done is None:
            return
        on_done, self._on_done = self._on_done, None
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.call_finished(result.end_reason == "answer")
        on_done(result)

    def is_finished(self) -> bool:
        """Whether the result has been reported."""
        return self._on_done is None


class _ClientConnection(asyncio.Protocol):
    """A client's connection to a balancer."""

    def __init__(self, pool: ConnectionPool, balancer: str) -> None:
        self.pool, self.balancer = pool, balancer
        self.call: Call | None = None
        self._reader: AnswerReader | None = None
        self._transport: asyncio.Transport | None = None
        self._call_count = 0
        self._rest_timer: asyncio.TimerHandle | None = None  # sends the second piece of a request
        self._written_at = 0.0
        self._answer_started = False
        self._sent_in_pieces = False  # of the outstanding request
        self._peer_ended_early = False  # the peer had closed before the second piece was written

    def send(self, call: Call, data: bytes) -> None:
        """Send a request, in two pieces if the pool draws so."""
        assert self._transport is not None
        self.call, call.connection, self._reader = call, self, AnswerReader(MAX_STREAM_BYTES)
        self._call_count += 1
        self._answer_started, self._peer_ended_early = False, False
        first_piece_bytes = self.pool.first_piece_bytes(len(data))
        self._transport.write(data[:first_piece_bytes])
        self._sent_in_pieces = first_piece_bytes < len(data)
        if self._sent_in_pieces:
            pause = self.pool.pause_s()
            self._rest_timer = asyncio.get_running_loop().call_later(
                pause, self._write_rest, data[first_piece_bytes:]
            )
        else:
            self._written_at = self.pool.backend.now()

    def _write_rest(self, data: bytes) -> None:
        self._rest_timer = None
        if self._transport is not None:
            self._peer_ended_early = bool(self.pool.backend.host.end_probe(self._transport)(0))
            self._transport.write(data)
            self._written_at = self.pool.backend.now()

    def call_finished(self, answered: bool) -> None:
        """The call has ended; without a complete answer the connection cannot be reused and is closed."""
        self.call = None
        rest_timer, self._rest_timer = self._rest_timer, None
        if rest_timer is not None:
            rest_timer.cancel()
        if not answered or rest_timer is not None:
            self.discard()

    def discard(self) -> None:
        """Close the connection and remove it from the pool."""
        self.pool.remove_connection(self)
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The balancer has closed the connection, or it was reset."""
        self.pool.remove_connection(self)
        transport, self._transport = self._transport, None
        if self.call is not None and transport is not None:
            self.call.finish(Result("crossed" if self._closed_before_read(transport, exc) else "ended"))

    def _closed_before_read(self, transport: asyncio.Transport, exc: Exception | None) -> bool:
        """Whether the peer did not receive the request: not written completely, or not read."""
        if self._rest_timer is not None or self._peer_ended_early:
            return True
        if self._answer_started:
            return False
        connection_end = ConnectionEnd(
            balancer=self.balancer,
            known_to_peer=self._call_count > 1 or self._sent_in_pieces,
            was_reset=isinstance(exc, ConnectionResetError),
            written_at=self._written_at,
            ended_at=self.pool.backend.now(),
        )
        return self.pool.backend.closed_before_read(transport, connection_end)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        call, reader = self.call, self._reader
        if call is None or reader is None:
            self.discard()
            return
        self._answer_started = True
        try:
            answer = reader.feed(data)
        except BadAnswerError:
            call.finish(Result("spoilt"))
            return
        if answer is None:
            return
        if answer.reusable:
            self.pool.release(self)
        call.finish(Result("answer", answer))
        if not answer.reusable:
            self.discard()


class ConnectionPool:
    """Persistent connections of one process to balancers, with one request at a time on each."""

    def __init__(self, backend: Backend, split_share: float = 0.0, seed: str = "") -> None:
        """`split_share` is the share of requests that are sent in two pieces; the seed decides which."""
        self.backend = backend
        self.idle: dict[_ClientConnection, None] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._split_share, self._random = split_share, random.Random(f"pieces {seed}")

    def first_piece_bytes(self, length: int) -> int:
        """Draw how many bytes of a request are sent at once; `length` if it is not split."""
        if not self._split_share or self._random.random() >= self._split_share:
            return length
        return self._random.randrange(1, length)

    def pause_s(self) -> float:
        """Draw the time between the two pieces, in seconds."""
        return self._random.uniform(0.001, MAX_PAUSE_S)

    def last_idle_balancer(self) -> str | None:
        """The balancer of the most recently used idle connection; None if there is no idle connection."""
        return next(reversed(self.idle)).balancer if self.idle else None

    def call(
        self,
        balancer: str,
        address: Address,
        build_request: Callable[[], bytes],
        timeout_s: float,
        on_done: Callable[[Result], None],
        fresh: bool = False,
    ) -> Call:
        """Send a request on an idle connection to a balancer, or on a new one if none is idle or if `fresh`.

        `build_request` is called when the request is written; `on_done` gets the result within `timeout_s`.
        """
        call = Call(on_done)
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(timeout_s, call.finish, Result("silent"))
        connection = None if fresh else next((x for x in reversed(self.idle) if x.balancer == balancer), None)
        if connection is not None:
            del self.idle[connection]
            connection.send(call, build_request())
        else:
            task = loop.create_task(self._connect(balancer, address, call, build_request))
            self._tasks[task] = None
            task.add_done_callback(lambda t: self._tasks.pop(t, None))
        return call

    async def _connect(
        self, balancer: str, address: Address, call: Call, build_request: Callable[[], bytes]
    ) -> None:
        connection = _ClientConnection(self, balancer)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *address)
        except OSError:
            call.finish(Result("unreached"))
            return
        if call.is_finished():
            connection.discard()
        else:
            connection.send(call, build_request())

    def release(self, connection: _ClientConnection) -> None:
        """Make a connection available for the next call."""
        self.idle[connection] = None

    def remove_connection(self, connection: _ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        self.idle.pop(connection, None)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.discard()


def write_request(
    class_name: str, effect: str, txn: str, remaining: float, tenant: str, key: str, topic: str = ""
) -> bytes:
    """Build a request in the platform's format; `remaining` is the time left in seconds."""
    body = b"" if effect == "safe" else b"model=%b" % txn.encode()
    lines = [
        f"{'GET' if effect == 'safe' else 'POST'} /{class_name}{'?key=' + topic if topic else ''} HTTP/1.1",
        "Host: rehearsal",
        f"X-Txn: {txn}",
        f"X-Remaining: {remaining:.4f}",
    ]
    if tenant:
        lines.append(f"X-Org: {tenant}")
    if effect == "keyed":
        lines.append(f"Idempotency-Key: {key}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
