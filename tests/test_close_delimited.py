"""Answers whose end is their connection's (RFC 9112, 6.3, rule 8): a close makes them whole, a reset breaks them.

Over loopback sockets with uvloop, as in service. Each crossing is forced: reading stands still until the end lies in
the kernel. Callers are plain sockets where it matters how they are left, as a stream's reader might hide a reset.
"""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from passpost.host import HOST
from passpost.streams import STREAM_ABOVE_BYTES
from tests.loopback import Balancer, FakeServer, Got, Writer, balancer, run, until
from tests.test_long import PATTERN, answer_of

HEAD = b"HTTP/1.1 200 OK\r\nX-Found: 1\r\n\r\n"


def end(writer: Writer, reset: bool) -> None:
    """End an upstream's connection by FIN or by RST; what was written before goes out first."""
    if reset:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    else:
        writer.close()


class Giver(FakeServer):
    """Gives a close-delimited body: `first` at once; `rest` and the end once told, by a reset or by a close."""

    def __init__(self, first: bytes, rest: bytes = b"", resets: bool = False) -> None:
        super().__init__(self.give)
        self.first, self.rest, self.resets = first, rest, resets
        self.go_on, self.ended = asyncio.Event(), asyncio.Event()

    async def give(self, request: Got, writer: Writer) -> None:
        writer.write(HEAD + self.first)
        await writer.drain()
        await self.go_on.wait()
        writer.write(self.rest)
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.005)
        end(writer, self.resets)
        self.ended.set()


def at_once(body: bytes, resets: bool = False) -> Giver:
    giver = Giver(body, resets=resets)
    giver.go_on.set()
    return giver


def to_upstream(b: Balancer) -> asyncio.Transport:
    """The one connection that an upstream has from the balancer."""
    (connection,) = [c for u in b.node.upstreams._pools.values() for c in u.open]
    assert connection._transport is not None
    return connection._transport


@pytest.mark.parametrize("size", [0, 10, STREAM_ABOVE_BYTES, STREAM_ABOVE_BYTES + 1, len(PATTERN)])
@pytest.mark.parametrize("target", ["/read", "/pay"])
def test_a_close_makes_it_whole(size: int, target: str) -> None:
    # /pay is unsafe to repeat: a second attempt would run it twice.
    async def test() -> None:
        upstream = at_once(PATTERN[:size])
        async with balancer(upstream) as b:
            client = await b.connect()
            for _ in range(2):  # the caller's connection goes on
                client.send(target, "GET" if target == "/read" else "POST")
                head, body = await answer_of(client.reader)
                assert head.startswith(b"HTTP/1.1 200 ") and b"X-Found: 1" in head and body == PATTERN[:size]
            assert len(upstream.got) == 2
            await until(b.node.engine.is_idle)

    run(test())


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_an_end_that_came_while_reading_was_paused_is_told_from_a_reset(resets: bool, version: str) -> None:
    # Its caller was slower than its upstream: the last bytes and the end are read in one turn. libuv then tells of a
    # reset as of a close, and a caller would get half an answer for the whole.
    async def test() -> None:
        upstream = Giver(
            PATTERN[: STREAM_ABOVE_BYTES + 1],
            PATTERN[STREAM_ABOVE_BYTES + 1 : STREAM_ABOVE_BYTES + 1000],
            resets,
        )
        async with balancer(upstream) as b:
            loop = asyncio.get_running_loop()
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            client.setblocking(False)
            head = f"GET /read HTTP/{version}\r\nX-Txn: t\r\nX-Remaining: 9\r\nConnection: close\r\n\r\n"
            await loop.sock_sendall(client, head.encode())
            got = await loop.sock_recv(client, 100)
            transport = to_upstream(b)
            transport.pause_reading()
            upstream.go_on.set()
            await upstream.ended.wait()
            await until(lambda: bool(HOST.end_probe(transport)(0)))
            transport.resume_reading()
            was_reset = False
            try:
                while data := await loop.sock_recv(client, 65536):
                    got += data
            except ConnectionResetError:
                was_reset = True
            client.close()
            if version == "1.0":  # there is no last chunk to be missed
                assert was_reset is resets and (
                    resets or got.endswith(PATTERN[STREAM_ABOVE_BYTES + 1 : STREAM_ABOVE_BYTES + 1000])
                )
            else:
                assert got.endswith(b"\r\n0\r\n\r\n") is not resets
            await until(b.node.engine.is_idle)

    run(test())


@pytest.mark.parametrize("size", [0, 10, STREAM_ABOVE_BYTES])
def test_a_reset_ends_nothing_that_is_still_here(size: int) -> None:
    # Nothing has gone to the caller: another server is asked, but not for what may have run and must not run twice.
    async def test() -> None:
        upstream = FakeServer()

        async def give(request: Got, writer: Writer) -> None:
            if len(upstream.got) == 1:
                await at_once(PATTERN[:size], resets=True).give(request, writer)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        upstream.reply = give
        async with balancer(upstream) as b:
            answer = await (await b.connect()).ask()
            assert answer is not None and (answer.status, answer.body) == (200, b"ok")
            assert len(upstream.got) == 2
            upstream.got.clear()
            answer = await (await b.connect()).ask("/pay", method="POST")
            assert answer is not None and answer.status == 502 and len(upstream.got) == 1

    run(test())
