"""Daily operation, measured on loopback with real processes: one balancer, one upstream, callers that hammer it.

    python benchmarks/daily.py           # a table
    python benchmarks/daily.py --json F  # and the figures

`calls`: how long an operator's call takes, idle and under load, beside callers that say nothing.
`handover`: requests that met no answer while new versions took over one after the other, under load.
`long`: MB a second through the balancer both ways, straight to the upstream beside it, and the process's peak memory.

Prints figures and asserts nothing about them.
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

ROOT = Path(__file__).parent.parent
MB = 1024 * 1024
CALLERS, CALLS, VERSIONS, SILENT = 16, 200, 10, 50
LONG, TURNS = 32 * MB, 4

READ = b"GET /read%b HTTP/1.1\r\nHost: b\r\nX-Txn: %d-%d\r\nX-Remaining: 2\r\n\r\n"

Process = asyncio.subprocess.Process


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


async def upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Takes any body; answers `ok`, or 32 MB where the path says so."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            left = int((re.search(rb"content-length: (\d+)", head) or [b"", b"0"])[1])
            while left:
                left -= len(await reader.read(min(left, 256 * 1024)))
            if b"?long" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
                for _ in range(LONG // (256 * 1024)):
                    writer.write(b"x" * 256 * 1024)
                    await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


class Bench:
    """The upstream, and balancers with one configuration but for `ops`."""

    def __init__(self, folder: Path, port: int) -> None:
        self.folder, self.listen = folder, free_port()
        self.upstream = port
        self.count = 0

    async def start(self) -> tuple[Process, int]:
        """One more version; returns once it is ready."""
        ops = free_port()
        self.count += 1
        path = self.folder / f"config-{self.count}.json"
        member = {"id": "s0", "host_port": f"127.0.0.1:{self.upstream}", "phase": "active"}
        classes = [
            {"name": "read", "target": 2_000, "deadline": 2_000, "effect": "retryable"},
            {"name": "put", "target": 2_000, "deadline": 2_000, "effect": "fragile"},
        ]
        path.write_text(
            json.dumps(
                {
                    "name": "b",
                    "listen": f"127.0.0.1:{self.listen}",
                    "ops": f"127.0.0.1:{ops}",
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
                if (await call(ops, "GET", "/_ready")).startswith(b"HTTP/1.1 200"):
                    return process, ops
            except OSError:
                pass
            await asyncio.sleep(0.01)


@asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    with tempfile.TemporaryDirectory() as folder:
        server = await asyncio.start_server(upstream, "127.0.0.1", 0, limit=2 * MB)
        try:
            yield Bench(Path(folder), server.sockets[0].getsockname()[1])
        finally:
            server.close()


async def call(port: int, method: str, target: str) -> bytes:
    """An operator's call."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


class Load:
    """Callers that send one request after the other, on kept connections, until they are stopped."""

    def __init__(self, port: int) -> None:
        self._port, self._stopped = port, False
        self.answered, self.refused, self.unanswered = 0, 0, 0
        self._tasks = [asyncio.ensure_future(self._run(i)) for i in range(CALLERS)]

    async def _run(self, number: int) -> None:
        writer: asyncio.StreamWriter | None = None
        turn = 0
        while not self._stopped:
            turn += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(READ % (b"", number, turn))
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


async def end(process: Process) -> None:
    process.send_signal(signal.SIGTERM)
    await process.wait()


async def calls() -> list[dict[str, Any]]:
    """Milliseconds for a call."""
    rows = []
    async with bench() as b:
        process, ops = await b.start()
        for name in ("idle", "under load", "under load, beside silent callers"):
            load = Load(b.listen) if name != "idle" else None
            silent = []
            if "silent" in name:
                silent = [await asyncio.open_connection("127.0.0.1", ops) for _ in range(SILENT)]
            took = []
            for i in range(CALLS):
                begun = time.perf_counter()
                await call(ops, "GET", "/_vars" if i % 2 else "/_ready")
                took.append((time.perf_counter() - begun) * 1000)
            for _, writer in silent:
                writer.close()
            if load is not None:
                await load.stop()
            took.sort()
            rows.append(
                {
                    "calls": name,
                    "median_ms": round(statistics.median(took), 2),
                    "p99_ms": round(took[int(0.99 * len(took))], 2),
                    "most_ms": round(took[-1], 2),
                }
            )
        await end(process)
    return rows


async def handover() -> list[dict[str, Any]]:
    """Requests without an answer over new versions under load."""
    async with bench() as b:
        process, _ = await b.start()
        load, ready = Load(b.listen), []
        for _ in range(VERSIONS):
            begun = time.perf_counter()
            new, _ = await b.start()
            ready.append(time.perf_counter() - begun)
            await end(process)
            process = new
        await load.stop()
        await end(process)
    return [
        {
            "versions": VERSIONS,
            "ready_s": round(statistics.median(ready), 2),
            "answered": load.answered,
            "refused": load.refused,
            "unanswered": load.unanswered,
        }
    ]


async def transfer(port: int, up: bool) -> float:
    """MB a second of one 32 MB body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2 * MB)
    begun = time.perf_counter()
    if up:
        writer.write(
            b"POST /put HTTP/1.1\r\nHost: b\r\nX-Txn: u%d\r\nX-Remaining: 2\r\nContent-Length: %d\r\n\r\n"
            % (time.monotonic_ns(), LONG)
        )
        for _ in range(LONG // (256 * 1024)):
            writer.write(b"x" * 256 * 1024)
            await writer.drain()
        left = 2
    else:
        writer.write(READ % (b"?long", 0, time.monotonic_ns()))
        left = LONG
    await reader.readuntil(b"\r\n\r\n")
    while left:
        left -= len(await reader.read(min(left, 256 * 1024)))
    writer.close()
    return LONG / MB / (time.perf_counter() - begun)


def peak_mb(pid: int) -> float:
    """The most memory that a process has held."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int((re.search(r"VmHWM:\s+(\d+) kB", text) or ["", "0"])[1]) / 1024


async def long() -> list[dict[str, Any]]:
    """Throughput, straight and through the balancer, and its memory with eight at once."""
    rows: list[dict[str, Any]] = []
    async with bench() as b:
        process, _ = await b.start()
        before = peak_mb(process.pid)
        for up in (True, False):
            for way, port in (("straight", b.upstream), ("through", b.listen)):
                rates = [await transfer(port, up) for _ in range(TURNS)]
                rows.append(
                    {
                        "long": "request" if up else "answer",
                        "way": way,
                        "mb_a_s": round(statistics.median(rates)),
                    }
                )
        await asyncio.gather(*(transfer(b.listen, i % 2 == 0) for i in range(8)))
        rows.append(
            {
                "long": "8 at once",
                "peak_mb": round(peak_mb(process.pid), 1),
                "peak_before_mb": round(before, 1),
            }
        )
        await end(process)
    return rows


async def measure(what: str) -> list[dict[str, Any]]:
    """What was asked for."""
    wanted = {"calls": calls, "handover": handover, "long": long}
    rows: list[dict[str, Any]] = []
    for name, part in wanted.items():
        if what in ("all", name):
            rows += await part()
    return rows


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="?", default="all", choices=("all", "calls", "handover", "long"))
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    rows = asyncio.run(measure(options.what))
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
