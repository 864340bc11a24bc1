"""An operated node on loopback sockets: operators' calls, and the handover between two versions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from passpost import config
from passpost.callers import listener
from passpost.ops import endpoint, handover
from passpost.ops.node import OperatedNode, state_folder, take_over
from tests.loopback import Balancer, FakeServer, ReceivedRequest, Writer, config_data, member, run, wait_until


async def operator_call(node: OperatedNode, method: str, target: str) -> tuple[int, str]:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.endpoint.port)
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    answer = (await reader.read()).decode()
    writer.close()
    head, _, body = answer.partition("\r\n\r\n")
    return int(head.split()[1]), body


async def metrics(node: OperatedNode) -> dict[str, int]:
    status, body = await operator_call(node, "GET", "/_vars")
    assert status == 200
    return {name: int(value) for name, value in (line.split("=") for line in body.splitlines())}


async def start_node(data: dict[str, Any], folder: Path | None) -> OperatedNode:
    read = config.read(data | {"ops": "127.0.0.1:0"})
    # `take_over` blocks until the old version answers, and here that version runs on this event loop.
    handed_over = await asyncio.to_thread(take_over, read, folder)
    return OperatedNode(read, folder, handed_over)


@asynccontextmanager
async def operated_node(
    folder: Path | None, *upstreams: FakeServer
) -> AsyncIterator[tuple[Balancer, OperatedNode]]:
    for upstream in upstreams:
        await upstream.start()
    node = await start_node(
        config_data([member(f"s{i}", u.host_port) for i, u in enumerate(upstreams)]), folder
    )
    balancer = Balancer(node)
    try:
        yield balancer, node
    finally:
        balancer.disconnect_clients()
        node.endpoint.close()
        node.close()
        for upstream in upstreams:
            upstream.stop()


def test_calls_are_answered_while_other_connections_send_no_complete_call(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (_, node):
            silent = [
                await asyncio.open_connection("127.0.0.1", node.endpoint.port)
                for _ in range(endpoint.MAX_CONNECTIONS * 3)
            ]
            incomplete = await asyncio.open_connection("127.0.0.1", node.endpoint.port)
            incomplete[1].write(b"GET /_ready HT")
            assert await operator_call(node, "GET", "/_ready") == (200, "ready\n")
            assert (await operator_call(node, "GET", "/nothing"))[0] == 404
            assert (await operator_call(node, "PUT", "/_ready"))[0] == 405
            assert len(node.endpoint.connections) <= endpoint.MAX_CONNECTIONS
            for _, writer in [*silent, incomplete]:
                writer.close()

    run(test())


def test_a_call_may_arrive_in_pieces_and_a_malformed_one_gets_400(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (_, node):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.endpoint.port)
            for byte in b"GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
            for malformed in (b"\x00\x01\x02\r\n\r\n", b"GET /_ready HTTP/1.1\r\nX: " + b"a" * 20_000):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.endpoint.port)
                writer.write(malformed)
                with contextlib.suppress(ConnectionResetError):
                    assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
            assert (await operator_call(node, "GET", "/_ready"))[0] == 200

    run(test())


def test_a_detached_upstream_gets_no_requests_until_it_is_attached(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = FakeServer(), FakeServer()
        async with operated_node(tmp_path, first, second) as (balancer, node):
            client = await balancer.connect()
            assert (await operator_call(node, "PUT", "/_upstreams/detach?id=s0"))[0] == 200
            assert (await operator_call(node, "PUT", "/_upstreams/detach?id=s9"))[0] == 404
            for _ in range(10):
                assert (await client.fetch()) is not None
            assert (len(first.got), len(second.got)) == (0, 10)
            values = await metrics(node)
            assert (values["edge.upstreams_known"], values["edge.upstreams_excluded"]) == (2, 1)
            assert (await operator_call(node, "PUT", "/_upstreams/detach?id=s1"))[0] == 200
            assert (await operator_call(node, "PUT", "/_upstreams/attach?id=s0"))[0] == 200
            assert (await client.fetch()) is not None
            assert len(first.got) == 1

    run(test())


def test_the_metrics_match_what_callers_and_upstreams_saw(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            if "hold" in request.line:
                await release.wait()
            status = b"500 No" if "bad" in request.line else b"200 OK"
            writer.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)

        upstream = FakeServer(reply)
        async with operated_node(tmp_path, upstream) as (balancer, node):
            client = await balancer.connect()
            for target in ("/read", "/read", "/pay?bad"):
                await client.fetch(target, method="POST" if "pay" in target else "GET")
            waiting = await balancer.connect()
            waiting.send("/read?hold")
            await wait_until(lambda: len(upstream.got) == 4)
            values = await metrics(node)
            assert values["edge.served.read"] == 2 and values["edge.failed.pay"] == 1
            assert values["edge.attempts.read"] == 3 and values["edge.attempts.pay"] == 1
            assert values["edge.in_flight"] == 1
            waiting.writer.close()  # the caller leaves before its answer
            await wait_until(lambda: node.engine.metrics.open_requests == 0)
            release.set()

    run(test())


def test_lameduck_closes_connections_and_can_be_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener, "LAME_DUCK_KEEP_S", 0.3)

    async def ready(balancer: Balancer) -> int:
        client = await balancer.connect()
        client.send("/health/ready", X_Txn=None)
        answer = await client.answer()
        client.writer.close()
        assert answer is not None
        return answer.status

    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (balancer, node):
            client = await balancer.connect()
            assert (await client.fetch()) is not None
            for _ in range(2):
                assert (await operator_call(node, "PUT", "/_lameduck/on"))[0] == 200
            assert await ready(balancer) == 503
            assert (await operator_call(node, "GET", "/_ready"))[0] == 503
            answer = await client.fetch()  # a kept connection still serves requests for a while
            assert answer is not None and answer.status == 200
            assert await client.reader.read() == b""  # then it is closed, although no request was sent on it
            await wait_until(lambda: not node.server.connections)
            late = await balancer.connect()
            answer = await late.fetch()  # a new connection still serves one request
            assert answer is not None and answer.status == 200 and not answer.reusable
            for _ in range(2):
                assert (await operator_call(node, "PUT", "/_lameduck/off"))[0] == 200
            assert await ready(balancer) == 200
            assert (await (await balancer.connect()).fetch()) is not None

    run(test())


def test_a_new_version_takes_over_the_socket_and_the_detached_upstreams(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = FakeServer(), FakeServer()
        async with operated_node(tmp_path, first, second) as (balancer, old):
            assert (await operator_call(old, "PUT", "/_upstreams/detach?id=s0"))[0] == 200
            kept = await balancer.connect()
            assert (await kept.fetch()) is not None
            new = await start_node(
                config_data([member("s0", first.host_port), member("s1", second.host_port)]), tmp_path
            )
            assert new.server.port == old.server.port
            await wait_until(lambda: bool(old._links))
            assert (await operator_call(new, "GET", "/_ready"))[0] == 200
            # A call to one version takes effect in both.
            assert (await operator_call(old, "PUT", "/_upstreams/attach?id=s0"))[0] == 200
            assert (await operator_call(old, "PUT", "/_upstreams/detach?id=s1"))[0] == 200
            await wait_until(lambda: new._applied.detached == {"s1"})
            stopped = asyncio.ensure_future(old.stop())
            answer = await kept.fetch()  # an open connection serves one more request and is closed
            assert answer is not None and answer.status == 200 and not answer.reusable
            for _ in range(30):
                client = await Balancer(new).connect()
                answer = await client.fetch()
                assert answer is not None and answer.status == 200
                client.writer.close()
            await stopped
            await wait_until(lambda: not new._links)
            assert new.server._max_open > old.server._max_open  # the new version has all descriptors
            assert len(first.got) >= 30
            new.endpoint.close()
            new.server.close()
            new.close()

    run(test())


def test_a_third_version_takes_over_from_the_second(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with operated_node(tmp_path, upstream) as (_, node):
            data = config_data([member("s0", upstream.host_port)])
            for _ in range(2):
                new = await start_node(data, tmp_path)
                await node.stop()
                await wait_until(lambda new=new: not new._links)  # type: ignore[misc]
                node = new
                client = await Balancer(node).connect()
                assert (await client.fetch()) is not None
                client.writer.close()
            await node.stop()
            assert sorted(p.suffix for p in tmp_path.iterdir()) == []

    run(test())


def test_files_of_a_dead_version_do_not_stop_a_new_one_and_its_detached_upstreams_are_kept(
    tmp_path: Path,
) -> None:
    dead_socket = socket.socket(socket.AF_UNIX)
    dead_socket.bind(str(tmp_path / "passpost-n0.sock"))
    dead_socket.close()
    (tmp_path / "passpost-n0.bans").write_text(json.dumps({"out": ["s0"], "back": {}}))

    async def test() -> None:
        first, second = FakeServer(), FakeServer()
        async with operated_node(tmp_path, first, second) as (balancer, _):
            assert (await (await balancer.connect()).fetch()) is not None
            assert (len(first.got), len(second.got)) == (0, 1)

    run(test())


@pytest.mark.parametrize("answer", [b"", b"no\n", b"passpost 9\n"])
def test_an_unrecognized_handover_answer_is_ignored(tmp_path: Path, answer: bytes) -> None:
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(tmp_path / "x.sock"))
    listener.listen()

    async def test() -> None:
        result = asyncio.get_running_loop().run_in_executor(
            None, handover.request_handover, tmp_path / "x.sock"
        )
        connection, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
        connection.send(answer)
        connection.close()
        assert await result is None

    run(test())
    listener.close()


def test_a_handover_works_in_a_folder_with_a_long_path(tmp_path: Path) -> None:
    long_path = tmp_path / ("a" * 120)
    long_path.mkdir()

    async def test() -> None:
        async with operated_node(long_path, FakeServer()) as (_, old):
            new = await start_node(config_data([]), long_path)
            assert new.server.port == old.server.port
            new.endpoint.close()
            new.server.close()
            new.close()

    run(test())


def test_without_a_state_folder_it_serves_and_logs_a_warning(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with operated_node(None, FakeServer()) as (balancer, node):
            assert (await operator_call(node, "PUT", "/_upstreams/detach?id=s0"))[0] == 200
            assert (await (await balancer.connect()).fetch()) is not None

    run(test())
    assert "TMPDIR" in caplog.text


def test_the_state_folder_is_tmpdir(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert state_folder() == tmp_path
    for unusable in ("", str(tmp_path / "none")):
        monkeypatch.setenv("TMPDIR", unusable)
        assert state_folder() is None


def test_the_operators_address_may_come_from_the_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    assert config.read(config_data([])).ops is None
    monkeypatch.setenv("EDGE_OPS", "127.0.0.1:12000")
    assert config.read(config_data([])).ops == ("127.0.0.1", 12000)
    assert config.read(config_data([]) | {"ops": "127.0.0.1:12001"}).ops == ("127.0.0.1", 12001)


def test_after_a_new_version_dies_the_old_one_serves_with_all_its_descriptors(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with operated_node(tmp_path, upstream) as (balancer, old):
            callers, upstreams = old.server._max_open, old.upstreams._max_open
            new = await start_node(config_data([member("s0", upstream.host_port)]), tmp_path)
            await wait_until(lambda: old._successors == 1)
            assert old.server._max_open < callers and old.upstreams._max_open < upstreams
            new.endpoint.close()
            new.server._stop_accepting()
            new.server.close()
            new.close()
            for link in new._links:
                link.close()  # as the kernel does when its process dies
            await wait_until(lambda: old._successors == 0 and not old._links)
            assert (old.server._max_open, old.upstreams._max_open) == (callers, upstreams)
            answer = await (await balancer.connect()).fetch()
            assert answer is not None and answer.status == 200
            again = await start_node(config_data([member("s0", upstream.host_port)]), tmp_path)
            assert again.server.port == old.server.port
            balancer.disconnect_clients()
            await old.stop()
            assert (await (await Balancer(again).connect()).fetch()) is not None
            again.endpoint.close()
            again.server._stop_accepting()
            again.server.close()
            again.close()

    run(test())


def test_a_balancer_in_lameduck_stops_on_sigterm(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "LAME_DUCK_KEEP_S", 0.0)
    monkeypatch.setattr(listener, "ACCEPT_AFTER_STOP_S", 0.0)

    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (balancer, node):
            client = await balancer.connect()
            assert (await client.fetch()) is not None
            assert (await operator_call(node, "PUT", "/_lameduck/on"))[0] == 200
            assert await client.reader.read() == b""
            await node.stop()
            assert node.server._lame_duck_task is None

    run(test())


def test_reloads_are_counted(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (_, node):
            node.reload(node._config)
            node.reload_failed()
            node.reload_failed()
            values = await metrics(node)
            assert (values["edge.reloads_ok"], values["edge.reloads_failed"]) == (1, 2)

    run(test())
