"""Handovers between real processes, each started by the same command and ended by SIGTERM, under load."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from pathlib import Path

from tests.loopback import FakeServer, config_data, member, run, wait_until

ROOT = Path(__file__).parent.parent.parent


def free_ports(count: int) -> list[int]:
    """Ports that were free when this was called; another process may take one before it is used."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


async def operator_call(port: int, method: str, target: str) -> int:
    """The status of an operator's call; 0 if the connection is refused."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])


def test_handovers_between_three_versions_under_load_lose_no_request(tmp_path: Path) -> None:
    listen, *ops = free_ports(4)
    lost_requests: list[str] = []
    answered = 0
    stopped = asyncio.Event()

    async def call_repeatedly(number: int) -> None:
        nonlocal answered
        writer, request_count = None, 0
        while not stopped.is_set():
            request_count += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", listen)
                writer.write(
                    f"GET /read HTTP/1.1\r\nX-Txn: {number}-{request_count}\r\nX-Remaining: 9\r\n\r\n".encode()
                )
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                assert length is not None
                await reader.readexactly(int(length[1]))
            except (OSError, asyncio.IncompleteReadError) as error:
                lost_requests.append(f"{number}-{request_count}: {error!r}")
                return
            answered += head.startswith(b"HTTP/1.1 200")
            if b"Connection: close" in head:
                writer.close()
                writer = None

    async def start(upstreams: list[FakeServer], port: int) -> asyncio.subprocess.Process:
        data = config_data([member(f"s{i}", u.host_port) for i, u in enumerate(upstreams)])
        path = tmp_path / f"{port}.json"
        path.write_text(json.dumps(data | {"listen": f"127.0.0.1:{listen}", "ops": f"127.0.0.1:{port}"}))
        env = os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(tmp_path)}
        process = await asyncio.create_subprocess_exec(sys.executable, "-m", "passpost", cwd=ROOT, env=env)
        while await operator_call(port, "GET", "/_ready") != 200:
            assert process.returncode is None
            await asyncio.sleep(0.01)
        return process

    async def test() -> None:
        upstreams = [FakeServer(), FakeServer()]
        for upstream in upstreams:
            await upstream.start()
        process = await start(upstreams, ops[0])
        assert await operator_call(ops[0], "PUT", "/_upstreams/detach?id=s0") == 200
        callers = [asyncio.ensure_future(call_repeatedly(i)) for i in range(4)]
        for port in ops[1:]:
            await wait_until(lambda: answered > 20 or bool(lost_requests))
            new = await start(upstreams, port)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            process = new
            count = answered
            await wait_until(lambda count=count: answered > count + 20 or bool(lost_requests))  # type: ignore[misc]
        assert upstreams[0].got == []  # detached by a call to the first of three versions
        assert await operator_call(ops[-1], "PUT", "/_upstreams/attach?id=s0") == 200
        await wait_until(lambda: bool(upstreams[0].got) or bool(lost_requests))
        stopped.set()
        await asyncio.gather(*callers)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for upstream in upstreams:
            upstream.stop()
        assert lost_requests == []

    run(test())
