"""The listener for operators' calls: HTTP/1.1, one call per connection. Makes no decisions.

A connection that does not send a complete call holds a descriptor for up to CALL_TIMEOUT_S. With
MAX_CONNECTIONS open, a new connection replaces the oldest one, so that incomplete calls can't keep another
call out.
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

MAX_CONNECTIONS = 24
MAX_CALL_BYTES = 8 * 1024  # received on a connection before its reply
CALL_TIMEOUT_S = 5.0  # from the connection's start until its call must be complete
BACKLOG = 128

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class Endpoint:
    """Listens at an address and replies to calls with `handle`; raises OSError if it can't listen there."""

    def __init__(self, address: Address, handle: Callable[[Request], Reply], host: Host) -> None:
        self.handle = handle
        self.connections: dict[_Connection, None] = {}  # in the order of their start
        self._socket = host.listen(address, BACKLOG)
        self._server: asyncio.Server | None = None
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._start(loop))

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._socket.getsockname()[1])

    async def _start(self, loop: asyncio.AbstractEventLoop) -> None:
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=cast(socket.socket, self._socket)
        )

    def close(self) -> None:
        """Stop listening and disconnect all open connections."""
        self._task.cancel()
        if self._server is not None:
            self._server.close()
        else:
            self._socket.close()
        for connection in list(self.connections):
            connection.disconnect()

    def make_room(self) -> None:
        """Disconnect the oldest connection if MAX_CONNECTIONS are open."""
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).disconnect()


class _Connection(asyncio.Protocol):
    """One connection and the one call on it."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target, self._received_bytes, self._replied = b"", 0, False

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make room for the connection and start its time-out."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.make_room()
        self._endpoint.connections[self] = None
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.disconnect)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection's place and its timer."""
        self._endpoint.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Parse a part of the call; everything after the reply is ignored."""
        if self._replied:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._send_reply(Reply(400, f"not a call: {error}"))
        if self._received_bytes > MAX_CALL_BYTES:
            self._send_reply(Reply(400, f"a call has {MAX_CALL_BYTES} bytes at most"))

    # ---- httptools' callbacks

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Handle the complete call; if the handler raises, the reply is 500 and the error is logged."""
        path, _, query = self._target.decode("latin-1").partition("?")
        request = Request(self._parser.get_method().decode("latin-1"), path, query)
        try:
            reply = self._endpoint.handle(request)
        except Exception:
            log.exception("failed to handle %s %s", request.method, request.path)
            reply = Reply(500, "failed; the log has more")
        self._send_reply(reply)

    def _send_reply(self, reply: Reply) -> None:
        if self._replied or self._transport is None:
            return
        self._replied = True
        body = reply.text.encode() + (b"" if reply.text.endswith("\n") else b"\n")
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b"
            % (reply.status, _REASONS.get(reply.status, "").encode(), len(body), body)
        )
        if self._transport.can_write_eof():  # closing with unread bytes after the call would send a reset
            self._transport.write_eof()
        else:
            self._transport.close()

    def disconnect(self) -> None:
        """Abort the connection, without waiting for unsent data."""
        self._endpoint.connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()
