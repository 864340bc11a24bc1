"""Idle clients fill the descriptor table of a real process, limited by the kernel, while discovery is down."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
from pathlib import Path

import pytest

from tests.loopback import (
    Client,
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    config_data,
    listing,
    member,
    run,
    start_process,
    wait_until,
)

IDLE_CLIENTS = 300


@pytest.mark.parametrize("sockets", [64, 256])
def test_descriptors_are_reserved_for_discovery_and_upstreams(sockets: int, tmp_path: Path) -> None:
    async def test() -> None:
        listed_server, added_server = FakeServer(), FakeServer()
        await listed_server.start()
        await added_server.start()
        discovery_socket = socket.socket()
        discovery_socket.bind(("127.0.0.1", 0))  # bound but not listening: discovery is down
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        data = config_data(
            [member("s0", listed_server.host_port)], f"127.0.0.1:{discovery_socket.getsockname()[1]}"
        )
        data["listen"] = f"127.0.0.1:{port}"
        data["limits"]["sockets"] = sockets
        data["settings"]["discovery"] = "ask"
        path = tmp_path / "config.json"
        path.write_text(json.dumps(data))
        with start_process(path) as process:
            try:
                assert process.stderr is not None
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
                assert any("serves on" in line for line in process.stderr)
                idle = [socket.create_connection(("127.0.0.1", port)) for _ in range(IDLE_CLIENTS)]

                async def ask() -> int:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    answer = await Client(reader, writer).fetch()
                    writer.close()
                    return answer.status if answer is not None else 0

                assert [await ask() for _ in range(20)] == [200] * 20

                async def reply_with_list(request: ReceivedRequest, writer: Writer) -> None:
                    if "wait_ms" not in request.line or "after=1&" in request.line:
                        writer.write(answer_json(listing(2, member("s1", added_server.host_port))))

                registry = FakeServer(reply_with_list)
                discovery_socket.listen()
                discovery_socket.setblocking(False)
                registry._server = await asyncio.start_server(registry._serve, sock=discovery_socket)
                idle += [socket.create_connection(("127.0.0.1", port)) for _ in range(IDLE_CLIENTS)]
                # Discovery is up again, and is called although clients fill the descriptor table.
                await wait_until(lambda: bool(registry.got))
                while not added_server.got:
                    assert await ask() == 200
                for connection in idle:
                    connection.close()
                registry.stop()
            finally:
                process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
        listed_server.stop()
        added_server.stop()

    run(test())
