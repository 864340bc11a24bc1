"""Long answers that come slowly, on the virtual clock: which are passed on to their end, and when one is given up."""

from __future__ import annotations

import asyncio

import pytest

from passpost import config
from passpost.node import Node
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost, SimTransport
from passpost.rehearsal.stage import listen
from passpost.streams import STREAM_ABOVE_BYTES
from tests.loopback import config_data, member
from tests.virtual import run_simulated

Piece = tuple[float, bytes]  # seconds after the one before


class Giver(asyncio.Protocol):
    """An upstream that gives its answer piece by piece, and says nothing more."""

    def __init__(self, pieces: list[Piece], loop: SimLoop) -> None:
        self.pieces, self.loop = pieces, loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.loop.create_task(self.give())

    async def give(self) -> None:
        for after, piece in self.pieces:
            await asyncio.sleep(after)
            self.transport.write(piece)


class Caller(asyncio.Protocol):
    """Reads what it is given, and notes when it came to an end."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop, self.data, self.ended = loop, bytearray(), asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        transport.write(b"GET /read HTTP/1.1\r\nHost: b\r\nX-Txn: t\r\nX-Remaining: 0.5\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.at = self.loop.time()
        self.ended.set()


def played(pieces: list[Piece], whole: int | None) -> tuple[bytes, float]:
    """The body that a caller with 0.5 s gets, and when: whole, or cut after so many seconds."""
    got: list[tuple[bytes, float]] = []

    async def main(loop: SimLoop, net: Network) -> None:
        loop.spawn("upstream", lambda: listen(SimHost(net), ("10.0.0.9", 1), lambda: Giver(pieces, loop)))
        data = config_data([member("s0", "10.0.0.9:1")])
        data["listen"] = "10.0.0.1:7070"
        node = Node(config.read(data), SimHost(net))
        _, caller = await net.connect(lambda: Caller(loop), "10.0.0.1", 7070)
        began = loop.time()
        while not caller.ended.is_set():
            body = bytes(caller.data).partition(b"\r\n\r\n")[2]
            if whole is not None and len(body) >= whole:
                break
            await asyncio.sleep(0.01)
        got.append((bytes(caller.data).partition(b"\r\n\r\n")[2], loop.time() - began))
        node.discovery.stop()
        node.upstreams.stop()

    run_simulated(main)
    return got[0]


def head(length: int) -> Piece:
    return 0.1, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


@pytest.mark.parametrize("pause", [0.2, 1.9])
def test_a_long_answer_is_not_cut_while_it_is_still_given(pause: float) -> None:
    # A byte a step is far less than any rate: by time for bytes alone it was cut 1.6 s after its request's time.
    body = [(0.1, bytes(STREAM_ABOVE_BYTES + 1)), *[(pause, b"x")] * 20]
    size = STREAM_ABOVE_BYTES + 1 + 20
    got, took = played([head(size), *body], size)
    assert got == bytes(STREAM_ABOVE_BYTES + 1) + b"x" * 20 and took >= 20 * pause


def test_a_long_answer_that_stands_still_is_cut_once_nobody_may_wait_for_more() -> None:
    # Time for its bytes alone would have let its caller wait for 100 s, or until a sweep found it after 10 s.
    got, took = played([head(5_000_000), (0.1, bytes(4_000_000)), (1.0, b"x")], None)
    assert len(got) == 4_000_001 and 3.0 <= took <= 4.0


def test_an_answer_that_may_still_be_short_ends_in_its_requests_time() -> None:
    got, took = played([head(STREAM_ABOVE_BYTES + 1), (0.1, b"x" * 10), *[(0.05, b"x")] * 1000], None)
    assert 0 < len(got) < 20 and 0.5 <= took <= 0.6
