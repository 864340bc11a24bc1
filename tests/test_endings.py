"""What is owed at the instant something ends, over loopback sockets. Each crossing is forced, none is hoped for."""

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
    AWAY,
    ROOT,
    Balancer,
    FakeServer,
    Got,
    Writer,
    balancer,
    config_data,
    held,
    member,
    program,
    run,
    silent,
    until,
)
from tests.virtual import run_simulated
from umberworks.interface import ListKind, Readiness


def raw(target: str, txn: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: b\r\nX-Txn: {txn}\r\nX-Remaining: 9.0\r\n\r\n".encode()


def txns(upstream: FakeServer) -> list[str]:
    return [got.headers["x-txn"] for got in upstream.got]


class Gate:
    """Holds back connections to upstreams until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting, self.open = 0, asyncio.Event()
        go_on = Upstreams._connect

        async def connect(*args: object) -> None:
            self.waiting += 1
            await self.open.wait()
            await go_on(*args)  # type: ignore[arg-type]

        monkeypatch.setattr(Upstreams, "_connect", connect)


# ---- callers that leave


@pytest.mark.parametrize("ahead", [1, 3])
def test_of_a_request_and_an_end_that_were_read_together_nothing_is_sent(ahead: int) -> None:
    # A process short of processor time finds both in the kernel: the request was taken, and sent for nobody.
    async def test() -> None:
        upstream = FakeServer()
        async with balancer(upstream) as b:
            other = await b.connect()
            # It leaves a connection to the upstream on which a request goes at once.
            assert await other.ask(X_Txn="before") is not None
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            client.sendall(b"".join(raw("/read", f"gone{i}") for i in range(ahead)))
            client.close()  # all without a turn of the loop
            await until(lambda: b.node.server._tasks == set() and len(b.node.server.connections) == 1)
            answer = await other.ask(X_Txn="here")
            assert answer is not None and answer.status == 200
            assert txns(upstream) == ["before", "here"]
            assert not b.node.server.open_ids and b.node.engine.is_idle()

    run(test())


def test_a_request_behind_another_is_not_sent_once_its_caller_has_left() -> None:
    # Nothing is read while a request waits behind the open one, so that the end went unseen.
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(held(release))
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(raw("/read", "first") + raw("/read", "behind"))
            await until(lambda: len(upstream.got) == 1)
            client.writer.write_eof()
            await until(
                lambda: all(c._transport is not None and c._ending(0) for c in b.node.server.connections)
            )
            release.set()
            await until(lambda: not b.node.server.connections)
            assert txns(upstream) == ["first"] and b.node.engine.is_idle()

    run(test())


@pytest.mark.parametrize("behind", [b"", raw("/read", "behind")])
def test_a_caller_that_leaves_while_its_connection_comes_up_is_not_sent_for(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        gate, upstream = Gate(monkeypatch), FakeServer()
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(raw("/read", "gone") + behind)
            await until(lambda: gate.waiting == 1)
            client.writer.write_eof()
            gate.open.set()
            await until(lambda: not b.node.server.connections)
            answer = await (await b.connect()).ask(X_Txn="here")
            assert answer is not None and answer.status == 200
            assert txns(upstream) == ["here"] and b.node.engine.is_idle()

    run(test())


@pytest.mark.parametrize("behind", [False, True])
def test_a_request_that_comes_again_on_a_new_connection_is_no_copy_of_one_whose_caller_left(
    behind: bool,
) -> None:
    # A client whose connection ended under its request sends it once more; the end of the old one is not read yet.
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(held(release))
        async with balancer(upstream) as b:
            old = await b.connect()
            old.writer.write(raw("/read", "again") + (raw("/read", "behind") if behind else b""))
            await until(lambda: len(upstream.got) == 1)
            reading(b, False)
            (caller,) = b.node.server.connections
            old.writer.close()
            await until(lambda: bool(caller._ending(0)))
            new = await b.connect()
            new.send(X_Txn="again")
            await until(lambda: len(upstream.got) == 2)
            release.set()
            answer = await new.answer()
            assert answer is not None and answer.status == 200
            assert txns(upstream) == ["again", "again"] and upstream.closed == 1  # the first is out no more
            await until(b.node.engine.is_idle)
            assert not b.node.server.open_ids

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_of_a_long_body_whose_last_bytes_and_end_were_read_together_the_last_is_not_sent(
    chunked: bool,
) -> None:
    # A process short of processor time finds both in the kernel: passed on, its request would run for nobody.
    async def test() -> None:
        got, gone = bytearray(), asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: Writer) -> None:
            while data := await reader.read(65536):
                got.extend(data)
            gone.set()
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
            await until(lambda: got.count(b"a") >= part)
            reading(b, False)
            await loop.sock_sendall(client, b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest) if chunked else rest)
            client.close()
            (caller,) = b.node.server.connections
            await until(lambda: bool(caller._ending(0)))
            reading(b, True)
            await gone.wait()
            assert not got.endswith(b"0\r\n\r\n") and (chunked or got.count(b"z") < len(rest))
            await until(lambda: b.node.engine.is_idle() and not b.node.server.connections)
        listener.close()

    run(test())


def test_a_caller_that_left_is_not_sent_for_again_when_its_attempt_fails() -> None:
    # It sent something behind its request, so that its end is not read; the first server turns it away.
    async def test() -> None:
        release = asyncio.Event()
        upstreams = FakeServer(held(release, AWAY)), FakeServer(held(release, AWAY))
        async with balancer(*upstreams) as b:
            client = await b.connect()
            client.writer.write(raw("/read", "first") + raw("/read", "behind"))
            await until(lambda: sum(len(u.got) for u in upstreams) == 1)
            client.writer.write_eof()
            await until(lambda: all(c._ending(0) for c in b.node.server.connections))
            release.set()
            await until(lambda: not b.node.server.connections)
            assert sum(len(u.got) for u in upstreams) == 1 and b.node.engine.is_idle()

    run(test())


# ---- answers that come twice


def test_nobody_gets_the_second_answer_to_the_request_before(monkeypatch: pytest.MonkeyPatch) -> None:
    # It comes some milliseconds late, when the connection may carry the next request already.
    monkeypatch.setattr(upstream_pool, "REST_S", 3_600.0)
    seen: list[Writer] = []

    async def twice(request: Got, writer: Writer) -> None:
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
                answer = await client.ask(X_Txn=txn)
                assert answer is not None and answer.body == txn.encode()

    run(test())


# ---- choice and first byte


def tell(b: Balancer, name: str, host_port: str, phase: str) -> None:
    listing = parse_listing({"revision": 9, "complete": False, "members": [member(name, host_port, phase)]})
    b.node.discovery._apply(listing, ListKind.CHANGES)
    assert (name in b.node.discovery.members) == (phase != "left")


@pytest.mark.parametrize("phase", ["leaving", "left"])
@pytest.mark.parametrize("target", ["/read", "/pay"])
def test_a_server_that_leaves_while_its_connection_comes_up_is_sent_nothing(
    phase: str, target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The drain's grace runs from the news, and a connection may take longer to come up; the module chooses anew.
    async def test() -> None:
        gate, upstreams = Gate(monkeypatch), (FakeServer(), FakeServer())
        async with balancer(*upstreams) as b:
            client = await b.connect()
            client.send(target, method="GET" if target == "/read" else "POST", X_Txn="t")
            await until(lambda: gate.waiting == 1)
            (chosen,) = (n for n, u in b.node.upstreams._pools.items() if u.open)
            index = int(chosen[1:])
            tell(b, chosen, upstreams[index].host_port, phase)
            gate.open.set()
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert txns(upstreams[index]) == [] and txns(upstreams[1 - index]) == ["t"]

    run(test())


def test_a_server_that_is_back_before_its_connection_came_up_is_sent_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        gate, upstream = Gate(monkeypatch), FakeServer()
        async with balancer(upstream) as b:
            client = await b.connect()
            client.send(X_Txn="t")
            await until(lambda: gate.waiting == 1)
            for phase in ("leaving", "active"):
                tell(b, "s0", upstream.host_port, phase)
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
def test_an_answer_that_never_ends_is_cut_in_its_requests_time(
    begun: bytes, drips: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Only a stall of 10 s ended it, and with a byte now and then nothing did.
    monkeypatch.setattr(upstream_connection, "STALL_S", 3_600.0)

    async def never_ends(request: Got, writer: Writer) -> None:
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
            assert not rest.endswith(b"0\r\n\r\n") and len(rest) < 100_000  # the caller can tell
            await until(lambda: upstream.closed == 1 and b.node.engine.is_idle())

    run(test())


def test_a_long_answer_that_comes_may_take_more_than_its_requests_time() -> None:
    # The earlier days have answers of megabytes: cut at the request's time, 186 of 264 broke off there.
    rest = asyncio.Event()

    async def in_two_parts(request: Got, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + bytes(399_999))
        await rest.wait()
        writer.write(b"x")

    async def test() -> None:
        async with balancer(FakeServer(in_two_parts)) as b:
            client = await b.connect()
            client.send(X_Remaining="0.3")
            await client.reader.readuntil(b"\r\n\r\n")
            (request,) = b.node.engine._requests.values()
            await until(
                lambda: (
                    asyncio.get_running_loop().time() > request.due_s and request.deadline_timer is not None
                )
            )
            await asyncio.sleep(0)
            rest.set()
            assert len(await client.reader.readexactly(400_000)) == 400_000
            await until(b.node.engine.is_idle)

    run(test())


# ---- closes that cross a request


def reading(b: Balancer, on: bool) -> None:
    for connection in b.node.server.connections:
        assert connection._transport is not None
        if on:
            connection._transport.resume_reading()
        else:
            connection._transport.pause_reading()


async def unread(b: Balancer) -> None:
    """Until a caller's bytes lie in the kernel."""
    transports = [c._transport for c in b.node.server.connections if c._transport is not None]
    await until(lambda: any(HOST.unread_probe(t)(0) for t in transports))


def test_an_idle_connection_is_not_closed_on_a_request_that_nobody_has_read() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.ask() is not None
            reading(b, False)
            client.send()
            await unread(b)
            for connection in list(b.node.server.connections):
                connection.sweep(connection.since + 1_000.0)  # idle for long
            reading(b, True)
            answer = await client.answer()
            assert answer is not None and answer.status == 200

    run(test())


def test_a_connection_with_an_unread_request_does_not_give_way() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.ask() is not None
            b.node.server.limit(1)
            reading(b, False)
            client.send()
            await unread(b)
            other = await b.connect()
            other.send()
            while b.node.server._accepting:  # it looks for one that can be spared
                await asyncio.sleep(0.005)
            reading(b, True)
            for each in (client, other):
                answer = await each.answer()
                assert answer is not None and answer.status == 200

    run(test())


def test_an_answer_that_closes_is_not_taken_along_by_bytes_unread() -> None:
    async def test() -> None:
        release = asyncio.Event()
        upstream = FakeServer(held(release))
        async with balancer(upstream) as b:
            client = socket.create_connection(("127.0.0.1", b.node.server.port))
            client.sendall(raw("/read", "t").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            await until(lambda: len(upstream.got) == 1)
            reading(b, False)
            client.sendall(b"more")
            release.set()
            await until(lambda: b.node.engine.is_idle())
            await until(lambda: all(c._lingers for c in b.node.server.connections))
            reading(b, True)  # what still comes is thrown away
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 65536)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert await asyncio.get_running_loop().sock_recv(client, 65536) == b""
            client.close()

    run(test())


# ---- drains


def test_a_drain_ends_although_there_is_no_descriptor_for_good() -> None:
    class Full:
        def __init__(self, listener: object) -> None:
            self._listener = listener

        def __getattr__(self, name: str) -> object:
            return getattr(self._listener, name)

        def accept(self) -> None:
            raise OSError(24, "Too many open files")

    async def test() -> None:
        async with balancer(FakeServer()) as b:
            b.node.server._socket = Full(b.node.server._socket)  # type: ignore[assignment]
            await b.node.server.drain(0.3)
            assert b.node.server.listener.fileno() == -1

    run(test())


def test_a_drain_does_not_wait_for_a_body_that_is_still_coming() -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            client = await b.connect()
            head = "POST /order HTTP/1.1\r\nX-Txn: t\r\nX-Remaining: 9\r\nIdempotency-Key: k\r\n"
            client.writer.write(f"{head}Content-Length: 39000000\r\n\r\n".encode())
            await until(lambda: any(c.is_busy() for c in b.node.server.connections))
            slow = next(iter(b.node.server.connections))
            slow._head_at += 1_000.0  # it has sent ahead of its time, and need not end for long
            await b.node.server.drain(0.3)
            await until(lambda: not b.node.server.connections)

    run(test())


def test_a_request_unread_at_the_very_end_of_a_drain_is_answered() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            assert await client.ask() is not None
            b.node.server.draining = b.node.server.closing = True
            b.node.server._ends = b.node.server.monotonic()  # the time is up
            reading(b, False)
            client.send()
            await unread(b)
            ending = asyncio.create_task(b.node.server._finish())
            await asyncio.sleep(0)
            reading(b, True)
            answer = await client.answer()
            assert answer is not None and answer.status == 504  # there is no time for more, and it is said
            await ending

    run(test())


def test_a_drain_is_over_before_the_kill_where_all_deadlines_are_short() -> None:
    # With 0.3 s at most the kill may come 1 s after SIGTERM, and new connections come for 0.4 s.
    marks: list[float] = []

    async def main(loop: SimLoop, net: Network) -> None:
        data = config_data([member("s0", "10.0.0.9:1")])
        data["listen"] = "10.0.0.1:7070"
        for cls in data["settings"]["classes"]:
            cls |= {"target": 150.0, "deadline": 300.0}
        node = Node(config.read(data), SimHost(net))
        ending = asyncio.get_running_loop().create_task(node.stop())
        while not ending.done():
            if node.server.listener.fileno() >= 0:
                marks[:] = [loop.time()]  # still taking callers
            await asyncio.sleep(0.01)
        marks.append(loop.time())

    run_simulated(main)
    taken, over = marks
    assert taken >= 0.45 and over <= 0.8


# ---- signals at a start


def test_a_sighup_before_the_program_hears_signals_does_not_end_it(tmp_path: Path) -> None:
    # The file is read after that, so that nothing is missed. Of the deploy file: no program can see to this itself.
    run_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with program(path, "/bin/sh", "-c", run_line.replace(".venv/bin/python", sys.executable)) as process:
        assert process.stderr is not None
        while b"python" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[0]:
            pass  # still the shell
        process.send_signal(signal.SIGHUP)
        assert any("serves on" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0
