"""Idle callers fill the descriptors of a real process, whose limit is the kernel's, while discovery is down."""

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

IDLE = 300


@pytest.mark.parametrize("sockets", [64, 256])
def test_what_discovery_and_upstreams_need_is_kept_free(sockets: int, tmp_path: Path) -> None:
    async def test() -> None:
        known, later = FakeServer(), FakeServer()
        await known.start()
        await later.start()
        place = socket.socket()
        place.bind(("127.0.0.1", 0))  # it does not listen: discovery is down
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        data = config_data([member("s0", known.host_port)], f"127.0.0.1:{place.getsockname()[1]}")
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
                idle = [socket.create_connection(("127.0.0.1", port)) for _ in range(IDLE)]

                async def ask() -> int:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    answer = await Client(reader, writer).request()
                    writer.close()
                    return answer.status if answer is not None else 0

                assert [await ask() for _ in range(20)] == [200] * 20

                async def list_it(request: ReceivedRequest, writer: Writer) -> None:
                    if "wait_ms" not in request.line or "after=1&" in request.line:
                        writer.write(answer_json(listing(2, member("s1", later.host_port))))

                registry = FakeServer(list_it)
                place.listen()
                place.setblocking(False)
                registry._server = await asyncio.start_server(registry._serve, sock=place)
                idle += [socket.create_connection(("127.0.0.1", port)) for _ in range(IDLE)]
                await wait_until(
                    lambda: bool(registry.got)
                )  # it is back, and asked although callers fill the table
                while not later.got:
                    assert await ask() == 200
                for connection in idle:
                    connection.close()
                registry.stop()
            finally:
                process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
        known.stop()
        later.stop()

    run(test())
