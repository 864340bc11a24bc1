"""HTTP as the stand-ins speak it: requests as nodes and the list read them, calls as clients make them."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from passpost.host import Address
from passpost.http1 import Answer, AnswerReader, BadAnswerError
from passpost.rehearsal.stage import Ending, Stage

MOST_PAUSE_S = 0.05  # between the pieces of a request
GRACE_S = 0.15  # a client that has given up still listens for so long, for the rule on answers


@dataclass(slots=True)
class Request:
    """One request as it was read. `begun` and `written`: when its first and last byte were sent."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    begun: float
    written: float


class RequestConnection(asyncio.Protocol):
    """A connection on which requests come, one at a time; subclasses take them in `request_came`."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._headers, self._body = b"", dict[str, str](), b""
        self._begun = math.nan

    def request_came(self, request: Request) -> None:
        """A whole request is there."""
        raise NotImplementedError

    def gone(self) -> None:
        """The connection is over."""

    def reply(
        self, status: int, body: bytes = b"", more: str = "", close: bool = False, sized: bool = True
    ) -> None:
        """Answer; one without a length ends with its connection."""
        close = close or not sized
        if close:
            more += "Connection: close\r\n"
        length = f"Content-Length: {len(body)}\r\n" if sized else ""
        head = f"HTTP/1.1 {status} X\r\n{length}{more}\r\n".encode()
        self.write(head + body)
        if close and self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, if there still is somebody."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Reset."""
        if self.transport is not None:
            self.transport.abort()

    # ---- asyncio's and httptools' callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self.transport = None
        self.gone()

    def data_received(self, data: bytes) -> None:
        """Bytes."""
        assert self.transport is not None
        if math.isnan(self._begun):
            self._begun = self.stage.written_at(self.transport)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reply(400, close=True)

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """The request is whole."""
        assert self.transport is not None
        path, _, query = self._url.decode("latin-1").partition("?")
        method = self._parser.get_method().decode()
        written = self.stage.written_at(self.transport)
        request = Request(method, path, query, self._headers, self._body, self._begun, written)
        self._url, self._headers, self._body, self._begun = b"", {}, b"", math.nan
        self.request_came(request)


@dataclass(frozen=True, slots=True)
class Result:
    """How a call ended: `answer`, or why there is none.

    `unreached`: no connection; `crossed`: the other side closed it unread; `ended`: closed with no whole
    answer; `silent`: nothing came in time; `spoilt`: what came was no answer.
    """

    how: str
    answer: Answer | None = None

    def retry_after_s(self) -> float:
        """The advice in Retry-After; 0 without."""
        for name, value in self.answer.headers if self.answer is not None else []:
            if name.lower() == b"retry-after":
                return float(value)
        return 0.0


class Call:
    """A request that is out."""

    def __init__(self, done: Callable[[Result], None]) -> None:
        self._done: Callable[[Result], None] | None = done
        self.timer: asyncio.TimerHandle | None = None
        self.line: _Line | None = None

    def end(self, result: Result) -> None:
        """Tell how it ended, once."""
        if self._done is None:
            return
        done, self._done = self._done, None
        if self.timer is not None:
            self.timer.cancel()
        line, self.line = self.line, None
        if line is not None:
            line.over(result.how == "answer")
        done(result)

    def is_over(self) -> bool:
        """Whether it has been told."""
        return self._done is None


class _Line(asyncio.Protocol):
    """A connection of ours."""

    def __init__(self, pool: Pool, balancer: str) -> None:
        self.pool, self.balancer = pool, balancer
        self.call: Call | None = None
        self._reader: AnswerReader | None = None
        self._transport: asyncio.Transport | None = None
        self._calls = 0
        self._unwritten: asyncio.TimerHandle | None = None  # the rest of a request that is sent in two pieces
        self._written_at = 0.0
        self._answer_begun = False
        self._in_pieces = False  # the request that is out
        self._ended_early = False  # the other side had ended before the last piece was written

    def carry(self, call: Call, data: bytes) -> None:
        """Send a request, now and then in two pieces."""
        assert self._transport is not None
        self.call, call.line, self._reader = call, self, AnswerReader()
        self._calls += 1
        self._answer_begun, self._ended_early = False, False
        cut = self.pool.cut(len(data))
        self._transport.write(data[:cut])
        self._in_pieces = cut < len(data)
        if self._in_pieces:
            pause = self.pool.pause_s()
            self._unwritten = asyncio.get_running_loop().call_later(pause, self._write_rest, data[cut:])
        else:
            self._written_at = self.pool.stage.now()

    def _write_rest(self, data: bytes) -> None:
        self._unwritten = None
        if self._transport is not None:
            self._ended_early = bool(self.pool.stage.host.end_probe(self._transport)(0))
            self._transport.write(data)
            self._written_at = self.pool.stage.now()

    def over(self, answered: bool) -> None:
        """The call on it has ended; without a whole answer the connection is of no use."""
        self.call = None
        unwritten, self._unwritten = self._unwritten, None
        if unwritten is not None:
            unwritten.cancel()
        if not answered or unwritten is not None:
            self.drop()

    def drop(self) -> None:
        """Close."""
        self.pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The balancer has closed it."""
        self.pool.forget(self)
        transport, self._transport = self._transport, None
        if self.call is not None and transport is not None:
            self.call.end(Result("crossed" if self._crossed(transport, exc) else "ended"))

    def _crossed(self, transport: asyncio.Transport, exc: Exception | None) -> bool:
        """Whether the request on it was not taken: not written whole, or not read."""
        if self._unwritten is not None or self._ended_early:
            return True
        if self._answer_begun:
            return False
        ending = Ending(
            balancer=self.balancer,
            known=self._calls > 1 or self._in_pieces,
            was_reset=isinstance(exc, ConnectionResetError),
            written_at=self._written_at,
            ended_at=self.pool.stage.now(),
        )
        return self.pool.stage.crossed(transport, ending)

    def data_received(self, data: bytes) -> None:
        """Bytes of the answer."""
        call, reader = self.call, self._reader
        if call is None or reader is None:
            self.drop()
            return
        self._answer_begun = True
        try:
            answer = reader.feed(data)
        except BadAnswerError:
            call.end(Result("spoilt"))
            return
        if answer is None:
            return
        if answer.reusable:
            self.pool.rest(self)
        call.end(Result("answer", answer))
        if not answer.reusable:
            self.drop()


class Pool:
    """Connections of one process to balancers, kept while they are open. One request at a time on each."""

    def __init__(self, stage: Stage, pieces: float = 0.0, seed: str = "") -> None:
        """So large a share of requests, drawn by the seed, is sent in two pieces."""
        self.stage = stage
        self.idle: dict[_Line, None] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._pieces, self._chance = pieces, random.Random(f"pieces {seed}")

    def cut(self, length: int) -> int:
        """How much of a request is sent at once."""
        if not self._pieces or self._chance.random() >= self._pieces:
            return length
        return self._chance.randrange(1, length)

    def pause_s(self) -> float:
        """The time between two pieces."""
        return self._chance.uniform(0.001, MOST_PAUSE_S)

    def idle_balancer(self) -> str | None:
        """The balancer at the other end of the connection that was used last; None if none is free."""
        return next(reversed(self.idle)).balancer if self.idle else None

    def call(
        self,
        balancer: str,
        address: Address,
        data: Callable[[], bytes],
        wait: float,
        done: Callable[[Result], None],
        fresh: bool = False,
    ) -> Call:
        """Send a request on an idle connection to this balancer or on a new one, and wait so many seconds.

        `data` is asked for the bytes at the moment when they are written.
        """
        call = Call(done)
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(wait, call.end, Result("silent"))
        line = None if fresh else next((x for x in reversed(self.idle) if x.balancer == balancer), None)
        if line is not None:
            del self.idle[line]
            line.carry(call, data())
        else:
            task = loop.create_task(self._connect(balancer, address, call, data))
            self._tasks[task] = None
            task.add_done_callback(lambda t: self._tasks.pop(t, None))
        return call

    async def _connect(self, balancer: str, address: Address, call: Call, data: Callable[[], bytes]) -> None:
        line = _Line(self, balancer)
        try:
            await asyncio.get_running_loop().create_connection(lambda: line, *address)
        except OSError:
            call.end(Result("unreached"))
            return
        if call.is_over():
            line.drop()
        else:
            line.carry(call, data())

    def rest(self, line: _Line) -> None:
        """A connection is free again."""
        self.idle[line] = None

    def forget(self, line: _Line) -> None:
        """A connection is over."""
        self.idle.pop(line, None)

    def close(self) -> None:
        """Drop what is idle."""
        for line in list(self.idle):
            line.drop()


def write_request(
    cls: str, effect: str, txn: str, remaining: float, tenant: str, key: str, topic: str = ""
) -> bytes:
    """A request in the balancer's protocol."""
    body = b"" if effect == "safe" else b"model=%b" % txn.encode()
    lines = [
        f"{'GET' if effect == 'safe' else 'POST'} /{cls}{'?key=' + topic if topic else ''} HTTP/1.1",
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
