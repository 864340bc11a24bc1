"""Measures daily operation on loopback with real processes: one balancer and one upstream under constant load.

    python benchmarks/daily.py           # a table
    python benchmarks/daily.py --json F  # and the figures

`calls`: latency of an operator's call: idle, under load, and under load with connections that send nothing.
`handover`: requests that got no answer while new versions of the process took over one after the other under load.
`long`: MB per second of long bodies in both directions, through the balancer and straight to the upstream, and the
peak memory of the balancer's process.

Prints the figures and asserts nothing about them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import resource
import signal
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from passpost.rehearsal.process_memory import Memory, memory_mb

ROOT = Path(__file__).parent.parent
MB = 1024 * 1024
CALLERS, OPERATOR_CALLS, HANDOVERS, SILENT_CALLERS = 16, 200, 10, 50
LONG_BODY_BYTES, TRANSFERS = 32 * MB, 4

READ_REQUEST = b"GET /read%b HTTP/1.1\r\nHost: b\r\nX-Txn: %d-%d\r\nX-Remaining: 2\r\n\r\n"

Process = asyncio.subprocess.Process


def free_port() -> int:
    """Returns a TCP port that was free when this was called."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


async def serve_upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads and discards any request body; answers `ok`, or a 32 MB body if the request target contains `?long`."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            remaining_bytes = int((re.search(rb"content-length: (\d+)", head) or [b"", b"0"])[1])
            while remaining_bytes:
                remaining_bytes -= len(await reader.read(min(remaining_bytes, 256 * 1024)))
            if b"?long" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BODY_BYTES)
                for _ in range(LONG_BODY_BYTES // (256 * 1024)):
                    writer.write(b"x" * 256 * 1024)
                    await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


class BenchmarkSetup:
    """Starts balancers for one upstream; their configurations differ only in the `ops` address."""

    def __init__(self, folder: Path, upstream_port: int) -> None:
        self.folder, self.listen_port = folder, free_port()
        self.upstream_port = upstream_port
        self.config_count = 0

    async def start_balancer(self) -> tuple[Process, int]:
        """Starts another balancer process and returns it with its operator port once it is ready."""
        ops_port = free_port()
        self.config_count += 1
        path = self.folder / f"config-{self.config_count}.json"
        member = {"id": "s0", "host_port": f"127.0.0.1:{self.upstream_port}", "phase": "active"}
        classes = [
            {"name": "read", "target": 2_000, "deadline": 2_000, "effect": "retryable"},
            {"name": "put", "target": 2_000, "deadline": 2_000, "effect": "fragile"},
        ]
        path.write_text(
            json.dumps(
                {
                    "name": "b",
                    "listen": f"127.0.0.1:{self.listen_port}",
                    "ops": f"127.0.0.1:{ops_port}",
                    "discovery": "127.0.0.1:1",
                    "seed": "1",
                    "limits": {"sockets": 1024},
                    "known": {"revision": 1, "complete": True, "members": [member]},
                    "settings": {"classes": classes, "limits": {"attemptsCap": 3}, "discovery": "ask"},
                }
            )
        )
        env = os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "passpost", cwd=ROOT, env=env, stderr=asyncio.subprocess.DEVNULL
        )
        while True:
            try:
                if (await operator_call(ops_port, "GET", "/_ready")).startswith(b"HTTP/1.1 200"):
                    return process, ops_port
            except OSError:
                pass
            await asyncio.sleep(0.01)


@asynccontextmanager
async def benchmark_setup() -> AsyncIterator[BenchmarkSetup]:
    with tempfile.TemporaryDirectory() as folder:
        server = await asyncio.start_server(serve_upstream, "127.0.0.1", 0, limit=2 * MB)
        try:
            yield BenchmarkSetup(Path(folder), server.sockets[0].getsockname()[1])
        finally:
            server.close()


async def operator_call(port: int, method: str, target: str) -> bytes:
    """Sends an operator's call and returns the whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


class Load:
    """Concurrent callers on keep-alive connections; each sends one request after the other until stopped."""

    def __init__(self, port: int) -> None:
        self._port, self._stopped = port, False
        self.answered, self.refused, self.unanswered = 0, 0, 0
        self._tasks = [asyncio.ensure_future(self._run(i)) for i in range(CALLERS)]

    async def _run(self, caller_number: int) -> None:
        writer: asyncio.StreamWriter | None = None
        request_number = 0
        while not self._stopped:
            request_number += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(READ_REQUEST % (b"", caller_number, request_number))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int((re.search(rb"(?i)content-length: (\d+)", head) or [b"", b"0"])[1])
                await reader.readexactly(length)
            except (OSError, asyncio.IncompleteReadError):
                self.unanswered += 1
                writer = None
                continue
            self.answered += head.startswith(b"HTTP/1.1 200")
            self.refused += head.startswith(b"HTTP/1.1 503")
            if b"Connection: close" in head:
                writer.close()
                writer = None

    async def stop(self) -> None:
        self._stopped = True
        await asyncio.gather(*self._tasks)


async def stop_balancer(process: Process) -> None:
    process.send_signal(signal.SIGTERM)
    await process.wait()


async def measure_operator_calls() -> list[dict[str, Any]]:
    """Measures the latency of operator calls, in milliseconds."""
    rows = []
    async with benchmark_setup() as setup:
        process, ops_port = await setup.start_balancer()
        for condition in ("idle", "under load", "under load, beside silent callers"):
            load = Load(setup.listen_port) if condition != "idle" else None
            silent_connections = []
            if "silent" in condition:
                silent_connections = [
                    await asyncio.open_connection("127.0.0.1", ops_port) for _ in range(SILENT_CALLERS)
                ]
            durations_ms = []
            for i in range(OPERATOR_CALLS):
                started = time.perf_counter()
                await operator_call(ops_port, "GET", "/_vars" if i % 2 else "/_ready")
                durations_ms.append((time.perf_counter() - started) * 1000)
            for _, writer in silent_connections:
                writer.close()
            if load is not None:
                await load.stop()
            durations_ms.sort()
            rows.append(
                {
                    "calls": condition,
                    "median_ms": round(statistics.median(durations_ms), 2),
                    "p99_ms": round(durations_ms[int(0.99 * len(durations_ms))], 2),
                    "most_ms": round(durations_ms[-1], 2),
                }
            )
        await stop_balancer(process)
    return rows


async def measure_handover() -> list[dict[str, Any]]:
    """Counts requests without an answer while new versions take over under load."""
    async with benchmark_setup() as setup:
        process, _ = await setup.start_balancer()
        load, ready_times_s = Load(setup.listen_port), []
        for _ in range(HANDOVERS):
            started = time.perf_counter()
            new_process, _ = await setup.start_balancer()
            ready_times_s.append(time.perf_counter() - started)
            await stop_balancer(process)
            process = new_process
        await load.stop()
        await stop_balancer(process)
    return [
        {
            "versions": HANDOVERS,
            "ready_s": round(statistics.median(ready_times_s), 2),
            "answered": load.answered,
            "refused": load.refused,
            "unanswered": load.unanswered,
        }
    ]


async def transfer(port: int, upload: bool) -> float:
    """Transfers one 32 MB body and returns the rate in MB per second."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2 * MB)
    started = time.perf_counter()
    if upload:
        writer.write(
            b"POST /put HTTP/1.1\r\nHost: b\r\nX-Txn: u%d\r\nX-Remaining: 2\r\nContent-Length: %d\r\n\r\n"
            % (time.monotonic_ns(), LONG_BODY_BYTES)
        )
        for _ in range(LONG_BODY_BYTES // (256 * 1024)):
            writer.write(b"x" * 256 * 1024)
            await writer.drain()
        remaining_bytes = 2
    else:
        writer.write(READ_REQUEST % (b"?long", 0, time.monotonic_ns()))
        remaining_bytes = LONG_BODY_BYTES
    await reader.readuntil(b"\r\n\r\n")
    while remaining_bytes:
        remaining_bytes -= len(await reader.read(min(remaining_bytes, 256 * 1024)))
    writer.close()
    return LONG_BODY_BYTES / MB / (time.perf_counter() - started)


def peak_mb(pid: int) -> float:
    """Returns the peak resident memory of a process, in MB."""
    return memory_mb(pid, Memory.PEAK)


async def measure_long_bodies() -> list[dict[str, Any]]:
    """Measures throughput straight and through the balancer, and its peak memory with eight concurrent transfers."""
    rows: list[dict[str, Any]] = []
    async with benchmark_setup() as setup:
        process, _ = await setup.start_balancer()
        initial_peak_mb = peak_mb(process.pid)
        for upload in (True, False):
            for route, port in (("straight", setup.upstream_port), ("through", setup.listen_port)):
                rates_mb_per_s = [await transfer(port, upload) for _ in range(TRANSFERS)]
                rows.append(
                    {
                        "long": "request" if upload else "answer",
                        "way": route,
                        "mb_a_s": round(statistics.median(rates_mb_per_s)),
                    }
                )
        await asyncio.gather(*(transfer(setup.listen_port, i % 2 == 0) for i in range(8)))
        rows.append(
            {
                "long": "8 at once",
                "peak_mb": round(peak_mb(process.pid), 1),
                "peak_before_mb": round(initial_peak_mb, 1),
            }
        )
        await stop_balancer(process)
    return rows


async def run_measurements(selected: str) -> list[dict[str, Any]]:
    """Runs the selected measurement, or all of them, and returns their rows."""
    measurements = {
        "calls": measure_operator_calls,
        "handover": measure_handover,
        "long": measure_long_bodies,
    }
    rows: list[dict[str, Any]] = []
    for name, measurement in measurements.items():
        if selected in ("all", name):
            rows += await measurement()
    return rows


def main() -> None:
    """Runs the measurements that the command line selects and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="?", default="all", choices=("all", "calls", "handover", "long"))
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    rows = asyncio.run(run_measurements(options.what))
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
