"""The simulated network behaves like a kernel's TCP sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost, SimTransport
from passpost.rehearsal.stage import listen

ADDRESS = ("10.0.0.1", 80)


class RecordingProtocol(asyncio.Protocol):
    """A protocol that records its events."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.data = b""
        self.keep_open = True
        self.transport = cast(SimTransport, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.log.append("eof")
        return self.keep_open

    def pause_writing(self) -> None:
        self.log.append("pause")

    def resume_writing(self) -> None:
        self.log.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.log.append("reset" if exc else "closed")


ConnectionTest = Callable[[Network, RecordingProtocol, RecordingProtocol], Coroutine[Any, Any, None]]


def run_connected(test: ConnectionTest, seed: int = 1, split: float = 0.0, window: int = 1000) -> None:
    """Run a test with the network and the protocols of the client and the server of a connection."""
    loop = SimLoop(seed)  # type: ignore[abstract]
    network = Network(loop, seed, 0.001, 0.0005, split, window)

    async def main() -> None:
        server = RecordingProtocol()
        loop.spawn("server", lambda: listen(SimHost(network), ADDRESS, lambda: server))
        client = RecordingProtocol()
        await loop.create_connection(lambda: client, *ADDRESS)
        await asyncio.sleep(0.1)
        await test(network, client, server)

    loop.run(main())
    assert loop.faults == []


def test_write_beyond_the_window_pauses_the_writer_before_write_returns() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        client.transport.set_write_buffer_limits(high=0)
        server.transport.pause_reading()
        client.transport.write(b"x" * 1000)
        assert client.log == []
        client.transport.write(b"y")
        assert client.log == ["pause"]  # before `write` returned
        await asyncio.sleep(1)
        assert client.log == ["pause"] and server.data == b""
        server.transport.resume_reading()
        await asyncio.sleep(1)
        assert client.log == ["pause", "resume"] and server.data == b"x" * 1000 + b"y"

    run_connected(test)


def test_data_still_arrives_from_the_peer_after_write_eof() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        client.transport.write(b"question")
        client.transport.write_eof()
        await asyncio.sleep(0.1)
        assert (server.data, server.log) == (b"question", ["eof"])
        server.transport.write(b"answer")
        server.transport.close()
        await asyncio.sleep(0.1)
        assert (client.data, client.log) == (b"answer", ["eof"])

    run_connected(test)


def test_close_sends_the_buffered_data_first() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        client.transport.write(b"z" * 5000)  # five times the window
        client.transport.close()
        await asyncio.sleep(1)
        assert len(server.data) == 5000 and server.log == ["eof"]
        assert client.log == ["closed"] or client.log[-1] == "closed"

    run_connected(test)


def test_abort_discards_the_buffered_data() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        client.transport.write(b"z" * 5000)
        client.transport.abort()
        await asyncio.sleep(1)
        assert len(server.data) == 1000 and client.log[-1] == "closed"

    run_connected(test)


def test_close_with_unread_data_resets_and_a_reset_discards_unread_data() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        server.transport.pause_reading()
        client.transport.pause_reading()
        client.transport.write(b"never read")
        server.transport.write(b"lost with the reset")
        await asyncio.sleep(0.1)
        server.transport.close()
        await asyncio.sleep(0.1)
        client.transport.resume_reading()
        await asyncio.sleep(0.1)
        assert (client.data, client.log) == (b"", ["reset"])
        assert client.transport.endpoint.in_flight_bytes > 0  # it was never read

    run_connected(test)


def test_data_sent_while_the_peer_closes_counts_as_unread() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        client.keep_open = False
        server.transport.close()
        client.transport.write(b"crosses it")
        await asyncio.sleep(0.1)
        assert client.log[0] == "eof" and client.log[-1] in ("closed", "reset")
        assert client.transport.endpoint.in_flight_bytes > 0

    run_connected(test)


def test_write_to_a_connection_closed_by_the_peer_causes_a_reset() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        server.transport.close()
        await asyncio.sleep(0.1)
        assert client.log == ["eof"]
        client.transport.write(b"too late")
        await asyncio.sleep(0.1)
        assert client.log == ["eof", "reset"]

    run_connected(test)


def test_killed_process_resets_its_connections_and_refuses_new_ones() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        process = server.transport.endpoint.process
        network.loop.kill(process)
        network.drop_process(process)
        await asyncio.sleep(0.1)
        assert client.log == ["reset"] and server.log == []
        with pytest.raises(ConnectionRefusedError):
            await network.loop.create_connection(RecordingProtocol, *ADDRESS)

    run_connected(test)


def test_data_sent_during_a_partition_arrives_in_order_after_it() -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        network.partition("world", "server")
        network.partition("world", "server")
        client.transport.write(b"one ")
        client.transport.write(b"two")
        pending_connection = asyncio.ensure_future(
            network.loop.create_connection(RecordingProtocol, *ADDRESS)
        )
        await asyncio.sleep(5)
        network.heal("world", "server")  # ends one of the two partitions
        await asyncio.sleep(5)
        assert server.data == b"" and not pending_connection.done()
        network.heal("world", "server")
        await asyncio.sleep(0.1)
        assert server.data == b"one two" and pending_connection.done()

    run_connected(test)


def test_connection_attempt_waits_while_the_accept_queue_is_full() -> None:
    loop = SimLoop(1)  # type: ignore[abstract]
    network = Network(loop, 1, 0.001, 0.0, 0.0)

    async def main() -> None:
        listener = network.listen(ADDRESS, 2)
        waiting = [
            asyncio.ensure_future(loop.create_connection(RecordingProtocol, *ADDRESS)) for _ in range(3)
        ]
        await asyncio.sleep(1)
        assert [w.done() for w in waiting].count(True) == 2  # established before they are accepted
        listener.accept()
        await asyncio.sleep(1)
        assert all(w.done() for w in waiting)
        listener.accept()
        listener.accept()
        with pytest.raises(BlockingIOError):
            listener.accept()

    loop.run(main())


def test_seed_orders_a_timer_and_a_byte_due_at_the_same_time() -> None:
    def first_event(seed: int) -> str:
        loop = SimLoop(seed)  # type: ignore[abstract]
        network = Network(loop, seed, 1.0, 0.0, 0.0)
        order: list[str] = []

        class ByteRecorder(RecordingProtocol):
            def data_received(self, data: bytes) -> None:
                order.append("byte")

        async def main() -> None:
            listen(SimHost(network), ADDRESS, ByteRecorder)
            client = RecordingProtocol()
            await loop.create_connection(lambda: client, *ADDRESS)
            sent_at = loop.time()
            client.transport.write(b"x")
            loop.call_at(sent_at + 1.0, order.append, "timer")
            await asyncio.sleep(3)

        loop.run(main())
        return order[0]

    firsts = [first_event(seed) for seed in range(24)]
    assert set(firsts) == {"byte", "timer"}
    assert firsts == [first_event(seed) for seed in range(24)]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=3000), max_size=12),
    st.integers(0, 10_000),
    st.sampled_from([0.0, 0.5, 1.0]),
    st.integers(1, 5000),
)
def test_all_bytes_arrive_once_in_order_and_then_eof(
    chunks: list[bytes], seed: int, split: float, window: int
) -> None:
    async def test(network: Network, client: RecordingProtocol, server: RecordingProtocol) -> None:
        for chunk in chunks:
            client.transport.write(chunk)
        client.transport.close()
        await asyncio.sleep(10_000)
        assert server.data == b"".join(chunks)
        assert server.log == ["eof"] and client.log[-1] == "closed"

    run_connected(test, seed, split, window)
