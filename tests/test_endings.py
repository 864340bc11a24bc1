"""Events that cross: a connection, a drain or a server ends while a request is on its way. All crossings are forced.

The tests use loopback sockets.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import tomllib
from pathlib import Path

import pytest

from passpost import config
from passpost.host import HOST
from passpost.listing import parse_listing
from passpost.node import Node
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost
from passpost.upstreams import connection as upstream_connection
from passpost.upstreams import pool as upstream_pool
from passpost.upstreams.pool import Upstreams
from tests.loopback import (
    ROOT,
    TURNED_AWAY_ANSWER,
    Balancer,
    FakeServer,
    ReceivedRequest,
    Writer,
    balancer,
    config_data,
    member,
    never_reply,
    reply_when_released,
    run,
    start_process,
    wait_until,
)
from tests.virtual import run_simulated
from umberworks.interface import ListKind, Readiness


def request_bytes(target: str, txn: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: b\r\nX-Txn: {txn}\r\nX-Remaining: 9.0\r\n\r\n".encode()


def received_ids(upstream: FakeServer) -> list[str]:
    return [got.headers["x-txn"] for got in upstream.got]


class ConnectGate:
    """Delays connections to upstreams until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting, self.open = 0, asyncio.Event()
        original_connect = Upstreams._connect

        async def connect(*args: object) -> None:
            self.waiting += 1
            await self.open.wait()
            await original_connect(*args)  # type: ignore[arg-type]

        monkeypatch.setattr(Upstreams, "_connect", connect)


# ---- clients that disconnect


@pytest.mark.parametrize("ahead", [1, 3])
def test_request_read_together_with_eof_is_not_sent(ahead: int) -> None:
    # A balancer short of CPU time reads the request and the end of the stream together; the request used to be sent.
    async def test() -> None:
        upstream = FakeServer()
        async with balancer(upstream) as b:
            other = await b.connect()
            # It leaves an idle connection to the upstream, on which a request would be sent at once.
            assert await other.fetch(X_Txn="before") is not None
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            client.sendall(b"".join(request_bytes("/read", f"gone{i}") for i in range(ahead)))
            client.close()  # before the event loop runs again
            await wait_until(lambda: b.node.server._tasks == set() and len(b.node.server.connections) == 1)
            answer = await other.fetch(X_Txn="here")
            assert answer is not None and answer.status == 200
            assert received_ids(upstream) == ["before", "here"]
            assert not b.node.server.open_ids and b.node.engine.is_idle()

    run(test())


def test_pipelined_request_is_not_sent_after_client_disconnect() -> None:
    # Reading is paused while a request waits behind the open one, so the end of the stream used to go unseen.
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(reply_when_released(release))
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(request_bytes("/read", "first") + request_bytes("/read", "behind"))
            await wait_until(lambda: len(upstream.got) == 1)
            client.writer.write_eof()
            await wait_until(
                lambda: all(c._transport is not None and c._peer_closed(0) for c in b.node.server.connections)
            )
            release.set()
            await wait_until(lambda: not b.node.server.connections)
            assert received_ids(upstream) == ["first"] and b.node.engine.is_idle()

    run(test())


@pytest.mark.parametrize("behind", [b"", request_bytes("/read", "behind")])
def test_client_disconnect_during_upstream_connect_sends_nothing(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        gate, upstream = ConnectGate(monkeypatch), FakeServer()
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(request_bytes("/read", "gone") + behind)
            await wait_until(lambda: gate.waiting == 1)
            client.writer.write_eof()
            gate.open.set()
            await wait_until(lambda: not b.node.server.connections)
            answer = await (await b.connect()).fetch(X_Txn="here")
            assert answer is not None and answer.status == 200
            assert received_ids(upstream) == ["here"] and b.node.engine.is_idle()

    run(test())


@pytest.mark.parametrize("behind", [False, True])
def test_retry_on_new_connection_is_not_refused_as_duplicate(
    behind: bool,
) -> None:
    # A client that lost its connection sends its request again before the end of the old connection has been read.
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(reply_when_released(release))
        async with balancer(upstream) as b:
            old = await b.connect()
            old.writer.write(
                request_bytes("/read", "again") + (request_bytes("/read", "behind") if behind else b"")
            )
            await wait_until(lambda: len(upstream.got) == 1)
            set_reading(b, False)
            (caller,) = b.node.server.connections
            old.writer.close()
            await wait_until(lambda: bool(caller._peer_closed(0)))
            new = await b.connect()
            new.send(X_Txn="again")
            await wait_until(lambda: len(upstream.got) == 2)
            release.set()
            answer = await new.answer()
            assert answer is not None and answer.status == 200
            # The first attempt was cancelled.
            assert received_ids(upstream) == ["again", "again"] and upstream.closed == 1
            await wait_until(b.node.engine.is_idle)
            assert not b.node.server.open_ids

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_last_bytes_of_long_body_read_together_with_eof_are_not_sent(
    chunked: bool,
) -> None:
    # A balancer short of CPU time reads the last bytes and the end of the stream together. With its last byte sent, the
    # request would run although nobody waits for it.
    async def test() -> None:
        got, connection_ended = bytearray(), asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: Writer) -> None:
            while data := await reader.read(65536):
                got.extend(data)
            connection_ended.set()
            writer.close()

        listener = await asyncio.start_server(take, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with balancer(
            change=lambda d: d["known"]["members"].append(member("s0", f"{host}:{port}"))
        ) as b:
            size, part = 200_000, 150_000
            framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            head = b"POST /order HTTP/1.1\r\nX-Txn: gone\r\nX-Remaining: 9\r\nIdempotency-Key: k\r\n"
            client.sendall(head + framing + b"\r\n\r\n")
            first, rest = b"a" * part, b"z" * (size - part)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, b"%x\r\n%b\r\n" % (part, first) if chunked else first)
            await wait_until(lambda: got.count(b"a") >= part)
            set_reading(b, False)
            await loop.sock_sendall(client, b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest) if chunked else rest)
            client.close()
            (caller,) = b.node.server.connections
            await wait_until(lambda: bool(caller._peer_closed(0)))
            set_reading(b, True)
            await connection_ended.wait()
            assert not got.endswith(b"0\r\n\r\n") and (chunked or got.count(b"z") < len(rest))
            await wait_until(lambda: b.node.engine.is_idle() and not b.node.server.connections)
        listener.close()

    run(test())


def test_failed_attempt_is_not_repeated_after_client_disconnect() -> None:
    # The client has sent more behind its request, so the end of its stream is not read. The first server turns the
    # request away.
    async def test() -> None:
        release = asyncio.Event()
        upstreams = (
            FakeServer(reply_when_released(release, TURNED_AWAY_ANSWER)),
            FakeServer(reply_when_released(release, TURNED_AWAY_ANSWER)),
        )
        async with balancer(*upstreams) as b:
            client = await b.connect()
            client.writer.write(request_bytes("/read", "first") + request_bytes("/read", "behind"))
            await wait_until(lambda: sum(len(u.got) for u in upstreams) == 1)
            client.writer.write_eof()
            await wait_until(lambda: all(c._peer_closed(0) for c in b.node.server.connections))
            release.set()
            await wait_until(lambda: not b.node.server.connections)
            assert sum(len(u.got) for u in upstreams) == 1 and b.node.engine.is_idle()

    run(test())


# ---- surplus answers


def test_second_answer_is_not_taken_for_the_next_requests_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    # It arrives some milliseconds late, when the connection may carry the next request already.
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 3_600.0)
    seen: list[Writer] = []

    async def twice(request: ReceivedRequest, writer: Writer) -> None:
        txn = request.headers["x-txn"].encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
        if writer in seen:
            writer.write(answer % (5, b"stale"))
        seen.append(writer)
        writer.write(answer % (len(txn), txn))

    async def test() -> None:
        async with balancer(FakeServer(twice)) as b:
            client = await b.connect()
            for txn in ("one", "two", "three"):
                answer = await client.fetch(X_Txn=txn)
                assert answer is not None and answer.body == txn.encode()

    run(test())


# ---- list changes between the choice of a server and the first byte


def apply_list_change(b: Balancer, name: str, host_port: str, phase: str) -> None:
    listing = parse_listing({"revision": 9, "complete": False, "members": [member(name, host_port, phase)]})
    b.node.discovery._apply(listing, ListKind.CHANGES)
    assert (name in b.node.discovery.members) == (phase != "left")


@pytest.mark.parametrize("phase", ["leaving", "left"])
@pytest.mark.parametrize("target", ["/read", "/pay"])
def test_server_that_leaves_during_connect_is_sent_nothing(
    phase: str, target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The drain's grace period starts with the list's change, and a connection may take longer to open. The decision
    # module chooses another server.
    async def test() -> None:
        gate, upstreams = ConnectGate(monkeypatch), (FakeServer(), FakeServer())
        async with balancer(*upstreams) as b:
            client = await b.connect()
            client.send(target, method="GET" if target == "/read" else "POST", X_Txn="t")
            await wait_until(lambda: gate.waiting == 1)
            (chosen,) = (n for n, u in b.node.upstreams._pools.items() if u.open)
            index = int(chosen[1:])
            apply_list_change(b, chosen, upstreams[index].host_port, phase)
            gate.open.set()
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert received_ids(upstreams[index]) == [] and received_ids(upstreams[1 - index]) == ["t"]

    run(test())


def test_server_that_returns_during_connect_is_sent_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        gate, upstream = ConnectGate(monkeypatch), FakeServer()
        async with balancer(upstream) as b:
            client = await b.connect()
            client.send(X_Txn="t")
            await wait_until(lambda: gate.waiting == 1)
            for phase in ("leaving", "active"):
                apply_list_change(b, "s0", upstream.host_port, phase)
            assert b.node.discovery.members["s0"].readiness is Readiness.READY
            gate.open.set()
            answer = await client.answer()
            assert answer is not None and answer.status == 200

    run(test())


# ---- answers that never end


@pytest.mark.parametrize(
    "begun",
    [
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"Content-Length: 100000\r\n\r\nok",
    ],
)
@pytest.mark.parametrize("drips", [False, True])
def test_endless_answer_is_cut_at_its_requests_deadline(
    begun: bytes, drips: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Only a stall of 10 s used to end such an answer, and with a byte now and then nothing did.
    monkeypatch.setattr(upstream_connection, "STALL_TIMEOUT_S", 3_600.0)

    async def never_ends(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + begun)
        while drips and not writer.is_closing():
            writer.write(b"1\r\nx\r\n" if b"chunked" in begun else b"x")
            await asyncio.sleep(0.01)

    async def test() -> None:
        upstream = FakeServer(never_ends)
        async with balancer(upstream) as b:
            client = await b.connect()
            client.send(X_Remaining="0.4")
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            try:
                rest = await client.reader.read(-1)
            except ConnectionResetError:
                rest = b""
            # The client can tell that the answer is incomplete.
            assert not rest.endswith(b"0\r\n\r\n") and len(rest) < 100_000
            await wait_until(lambda: upstream.closed == 1 and b.node.engine.is_idle())

    run(test())


def test_long_answer_in_progress_may_exceed_its_requests_deadline() -> None:
    # The daily benchmarks have answers of megabytes: when they were cut at the request's time, 186 of 264 broke off.
    rest = asyncio.Event()

    async def in_two_parts(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + bytes(399_999))
        await rest.wait()
        writer.write(b"x")

    async def test() -> None:
        async with balancer(FakeServer(in_two_parts)) as b:
            client = await b.connect()
            client.send(X_Remaining="0.3")
            await client.reader.readuntil(b"\r\n\r\n")
            (request,) = b.node.engine._requests.values()
            await wait_until(
                lambda: (
                    asyncio.get_running_loop().time() > request.due_s and request.deadline_timer is not None
                )
            )
            await asyncio.sleep(0)
            rest.set()
            assert len(await client.reader.readexactly(400_000)) == 400_000
            await wait_until(b.node.engine.is_idle)

    run(test())


# ---- closes that cross a request


def set_reading(b: Balancer, on: bool) -> None:
    for connection in b.node.server.connections:
        assert connection._transport is not None
        if on:
            connection._transport.resume_reading()
        else:
            connection._transport.pause_reading()


async def wait_for_unread_bytes(b: Balancer) -> None:
    """Wait until bytes from a client lie in the kernel."""
    transports = [c._transport for c in b.node.server.connections if c._transport is not None]
    await wait_until(lambda: any(HOST.unread_probe(t)(0) for t in transports))


def test_idle_timeout_spares_connection_with_unread_request() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.fetch() is not None
            set_reading(b, False)
            client.send()
            await wait_for_unread_bytes(b)
            for connection in list(b.node.server.connections):
                connection.sweep(connection.state_since + 1_000.0)  # idle for long
            set_reading(b, True)
            answer = await client.answer()
            assert answer is not None and answer.status == 200

    run(test())


def test_connection_with_unread_request_is_not_evicted() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.fetch() is not None
            b.node.server.set_max_open(1)
            set_reading(b, False)
            client.send()
            await wait_for_unread_bytes(b)
            other = await b.connect()
            other.send()
            while b.node.server._accepting:  # it looks for a connection to evict
                await asyncio.sleep(0.005)
            set_reading(b, True)
            for each in (client, other):
                answer = await each.answer()
                assert answer is not None and answer.status == 200

    run(test())


def test_closing_answer_is_not_lost_to_unread_bytes() -> None:
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(reply_when_released(release))
        async with balancer(upstream) as b:
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            client.sendall(request_bytes("/read", "t").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            await wait_until(lambda: len(upstream.got) == 1)
            set_reading(b, False)
            client.sendall(b"more")
            release.set()
            await wait_until(lambda: b.node.engine.is_idle())
            await wait_until(lambda: all(c._lingering for c in b.node.server.connections))
            set_reading(b, True)  # the rest is read and discarded
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 65536)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert await asyncio.get_running_loop().sock_recv(client, 65536) == b""
            client.close()

    run(test())


# ---- drains


def test_drain_ends_without_free_descriptors() -> None:
    class FailingListener:
        def __init__(self, listener: object) -> None:
            self._listener = listener

        def __getattr__(self, name: str) -> object:
            return getattr(self._listener, name)

        def accept(self) -> None:
            raise OSError(24, "Too many open files")

    async def test() -> None:
        async with balancer(FakeServer()) as b:
            b.node.server._socket = FailingListener(b.node.server._socket)  # type: ignore[assignment]
            await b.node.server.drain(0.3)
            assert b.node.server.listener.fileno() == -1

    run(test())


def test_drain_does_not_wait_for_unfinished_request_body() -> None:
    async def test() -> None:
        upstream = FakeServer(never_reply)
        async with balancer(upstream) as b:
            client = await b.connect()
            head = "POST /order HTTP/1.1\r\nX-Txn: t\r\nX-Remaining: 9\r\nIdempotency-Key: k\r\n"
            client.writer.write(f"{head}Content-Length: 39000000\r\n\r\n".encode())
            await wait_until(lambda: any(c.is_busy() for c in b.node.server.connections))
            slow = next(iter(b.node.server.connections))
            slow._body_since += 1_000.0  # it has sent faster than the minimum rate, and may take long to end
            await b.node.server.drain(0.3)
            await wait_until(lambda: not b.node.server.connections)

    run(test())


def test_request_unread_at_end_of_drain_is_answered() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.fetch() is not None
            b.node.server.draining = b.node.server.closing = True
            b.node.server._deadline = b.node.server.monotonic()  # the time is up
            set_reading(b, False)
            client.send()
            await wait_for_unread_bytes(b)
            ending = asyncio.create_task(b.node.server._finish_requests())
            await asyncio.sleep(0)
            set_reading(b, True)
            answer = await client.answer()
            # No time is left to serve it, but it is answered.
            assert answer is not None and answer.status == 504
            await ending

    run(test())


def test_drain_with_short_deadlines_ends_before_the_kill() -> None:
    # With deadlines of 0.3 s at most the kill may come 1 s after SIGTERM; new connections arrive for 0.4 s of that.
    times: list[float] = []

    async def main(loop: SimLoop, net: Network) -> None:
        data = config_data([member("s0", "10.0.0.9:1")])
        data["listen"] = "10.0.0.1:7070"
        for cls in data["settings"]["classes"]:
            cls |= {"target": 150.0, "deadline": 300.0}
        node = Node(config.read(data), SimHost(net))
        ending = asyncio.get_running_loop().create_task(node.stop())
        while not ending.done():
            if node.server.listener.fileno() >= 0:
                times[:] = [loop.time()]  # still accepting connections
            await asyncio.sleep(0.01)
        times.append(loop.time())

    run_simulated(main)
    taken, over = times
    assert taken >= 0.45 and over <= 0.8


# ---- signals at startup


def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    # The file is read after the signal handlers are set, so no change is missed. The deploy file's run line has to
    # ignore SIGHUP until then: the program cannot do that itself.
    run_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with start_process(
        path, "/bin/sh", "-c", run_line.replace(".venv/bin/python", sys.executable)
    ) as process:
        assert process.stderr is not None
        while b"python" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[0]:
            pass  # still the shell
        process.send_signal(signal.SIGHUP)
        assert any("serves on" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0
