"""The operators' listener: HTTP/1.1, one call a connection. Decides nothing.

Callers that keep a connection without a whole call cost a descriptor each for GIVE_UP_S; past MAX_OPEN the oldest of
them gives way, so that none of them keeps another call out.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

import httptools

from passpost.host import Address, Host
from passpost.ops.model import Reply, Request

log = logging.getLogger(__name__)

MAX_OPEN = 24
MAX_CALL = 8 * 1024  # bytes of a whole call
GIVE_UP_S = 5.0  # a whole call must be there so long after connecting
BACKLOG = 128

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class Endpoint:
    """Listens at an address and hands each call to `answer`; OSError if the address can't be had."""

    def __init__(self, address: Address, answer: Callable[[Request], Reply], host: Host) -> None:
        self.answer = answer
        self.open: dict[_Call, None] = {}  # the oldest first
        self._socket = host.listen(address, BACKLOG)
        self._server: asyncio.Server | None = None
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._start(loop))

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._socket.getsockname()[1])

    async def _start(self, loop: asyncio.AbstractEventLoop) -> None:
        self._server = await loop.create_server(lambda: _Call(self), sock=cast(socket.socket, self._socket))

    def close(self) -> None:
        """Listen no more and drop whoever has not called yet."""
        self._task.cancel()
        if self._server is not None:
            self._server.close()
        else:
            self._socket.close()
        for call in list(self.open):
            call.drop()

    def make_room(self) -> None:
        """Let the oldest go that keeps a connection without a whole call."""
        if len(self.open) >= MAX_OPEN:
            next(iter(self.open)).drop()


class _Call(asyncio.Protocol):
    """One connection and the one call on it."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target, self._size, self._told = b"", 0, False

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """An operator, or a tool of theirs, has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.make_room()
        self._endpoint.open[self] = None
        self._timer = asyncio.get_running_loop().call_later(GIVE_UP_S, self.drop)

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self._endpoint.open.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """A piece of the call; once it is told, nothing behind it counts."""
        if self._told:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._tell(Reply(400, f"not a call: {error}"))
        if self._size > MAX_CALL:
            self._tell(Reply(400, f"a call has {MAX_CALL} bytes at most"))

    # ---- httptools' callbacks

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        path, _, query = self._target.decode("latin-1").partition("?")
        request = Request(self._parser.get_method().decode("latin-1"), path, query)
        try:
            reply = self._endpoint.answer(request)
        except Exception:
            log.exception("could not answer %s %s", request.method, request.path)
            reply = Reply(500, "failed; the log has more")
        self._tell(reply)

    def _tell(self, reply: Reply) -> None:
        if self._told or self._transport is None:
            return
        self._told = True
        body = reply.text.encode() + (b"" if reply.text.endswith("\n") else b"\n")
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b"
            % (reply.status, _REASONS.get(reply.status, "").encode(), len(body), body)
        )
        if self._transport.can_write_eof():  # unread bytes behind the call would turn a close into a reset
            self._transport.write_eof()
        else:
            self._transport.close()

    def drop(self) -> None:
        """Close at once."""
        self._endpoint.open.pop(self, None)
        if self._transport is not None:
            self._transport.abort()
