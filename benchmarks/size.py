"""Compares CPU per request and latency of passpost, a minimal relay and an aiohttp proxy, alternating in one run.

    python benchmarks/size.py [--sizes 12,1000] [--connections 16] [--requests 10000] [--turns 5] [--json FILE]

The load is safe GETs in a closed loop; the upstreams answer at once. The client, the upstreams and the measured proxy
run on one core each. CPU time is what the system accounts to the proxy's process. `x relay` (`times_relay` in the JSON)
is the ratio to the relay's median in the same run. Needs Linux, four cores and `pip install -e '.[dev]'`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop

from passpost.rehearsal.process_memory import Memory, memory_mb

UPSTREAM_PORTS = 4  # listeners of the upstream process; several members of a list share one
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLIENT_CORE, UPSTREAM_CORE, PROXY_CORE = 0, 1, 2
TIMEOUT_S = 60.0


# ---- upstreams and reference proxies


class InstantUpstream(asyncio.Protocol):
    """An upstream that answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._transport.write(ANSWER)


class RelayUpstreamConnection(asyncio.Protocol):
    """The relay's connection to an upstream; back in the pool after each answer."""

    def __init__(self, pool: list[RelayUpstreamConnection]) -> None:
        self._pool = pool
        self.caller: RelayCallerConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, caller: RelayCallerConnection, data: bytes) -> None:
        self.caller, self._data = caller, b""
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._data += data
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        caller, self.caller = self.caller, None
        self._pool.append(self)
        if caller is not None:
            caller.transport.write(self._data)


class RelayCallerConnection(asyncio.Protocol):
    """The relay's connection from a caller; forwards each complete request unchanged."""

    def __init__(self, ports: list[int], pool: list[RelayUpstreamConnection]) -> None:
        self._ports, self._pool, self._data, self._connection_count = ports, pool, b"", 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._data += data
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        data, self._data = self._data, b""
        if self._pool:
            self._pool.pop().send(self, data)
        else:
            asyncio.get_running_loop().create_task(self._connect(data))

    async def _connect(self, data: bytes) -> None:
        self._connection_count += 1
        port = self._ports[self._connection_count % len(self._ports)]
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: RelayUpstreamConnection(self._pool), "127.0.0.1", port
        )
        upstream.send(self, data)


async def serve_relay(ports: list[int]) -> None:
    pool: list[RelayUpstreamConnection] = []
    await serve_and_print_port(lambda: RelayCallerConnection(ports, pool))


async def serve_upstreams() -> None:
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(InstantUpstream, "127.0.0.1", 0, backlog=4_096)
        for _ in range(UPSTREAM_PORTS)
    ]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    await asyncio.Event().wait()


async def serve_aiohttp(ports: list[int]) -> None:
    import aiohttp
    from aiohttp import web

    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    request_count = 0

    async def forward(request: web.BaseRequest) -> web.Response:
        nonlocal request_count
        request_count += 1
        url = f"http://127.0.0.1:{ports[request_count % len(ports)]}{request.rel_url}"
        async with session.request(
            request.method, url, headers=request.headers, data=await request.read()
        ) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    runner = web.ServerRunner(web.Server(forward))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


async def serve_and_print_port(factory: Any) -> None:
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0, backlog=4_096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


# ---- the client


class ClientConnection(asyncio.Protocol):
    """One connection of the client; sends the next request after each answer."""

    def __init__(self, load: ClosedLoopLoad) -> None:
        self._load = load
        self.good = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send_request(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._sent_at = time.perf_counter()
        self._transport.write(self._load.next_request())

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._load.on_answer(self, self._parser.get_status_code() == 200, time.perf_counter() - self._sent_at)

    def connection_lost(self, exc: Exception | None) -> None:
        self._load.on_lost_connection(self)

    def close(self) -> None:
        self._transport.close()


class ClosedLoopLoad:
    """A closed-loop load over a fixed number of connections."""

    def __init__(self, connections: int) -> None:
        self._connection_count, self._request_count = connections, 0
        self._connections: list[ClientConnection] = []
        self._remaining, self._finished = 0, asyncio.Event()
        self.latencies_s: list[float] = []
        self.failures = 0

    async def connect(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self._connection_count):
            _, connection = await loop.create_connection(lambda: ClientConnection(self), "127.0.0.1", port)
            self._connections.append(connection)

    def next_request(self) -> bytes:
        self._request_count += 1
        return (
            b"GET /read HTTP/1.1\r\nHost: size\r\nX-Txn: t%d\r\nX-Remaining: 5.0\r\n"
            b"User-Agent: benchmark\r\nAccept: */*\r\n\r\n" % self._request_count
        )

    async def run(self, requests: int) -> None:
        """Sends `requests` requests over all connections and waits for the answers."""
        self.latencies_s, self.failures, self._remaining, self._finished = [], 0, requests, asyncio.Event()
        for connection in self._connections:
            connection.send_request()
        await self._finished.wait()

    def on_answer(self, connection: ClientConnection, is_ok: bool, latency_s: float) -> None:
        self.latencies_s.append(latency_s)
        self.failures += not is_ok
        self._remaining -= 1
        if self._remaining > len(self._connections) - 1:
            connection.send_request()
        elif self._remaining == 0:
            self._finished.set()

    def on_lost_connection(self, connection: ClientConnection) -> None:
        if self._remaining:
            self.failures += 1
            self._finished.set()

    def close(self) -> None:
        for connection in self._connections:
            connection.close()


# ---- the measurement


class Proxy:
    """A measured proxy process with its load and the figures of each turn."""

    def __init__(self, label: str, process: subprocess.Popen[str], port: int, load: ClosedLoopLoad) -> None:
        self.label, self.process, self.port, self.load = label, process, port, load
        self.cpu_us: list[float] = []
        self.p50_us: list[float] = []
        self.p99_us: list[float] = []
        self.requests_per_s: list[float] = []

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        return memory_mb(self.process.pid, Memory.RESIDENT)

    async def measure_turn(self, requests: int) -> None:
        cpu_before_s, started = self.cpu_s(), time.perf_counter()
        await asyncio.wait_for(self.load.run(requests), TIMEOUT_S)
        elapsed_s = time.perf_counter() - started
        if self.load.failures:
            raise SystemExit(f"{self.label}: {self.load.failures} answers were not 200")
        self.cpu_us.append((self.cpu_s() - cpu_before_s) / requests * 1e6)
        latencies_s = sorted(self.load.latencies_s)
        self.p50_us.append(latencies_s[len(latencies_s) // 2] * 1e6)
        self.p99_us.append(latencies_s[len(latencies_s) * 99 // 100] * 1e6)
        self.requests_per_s.append(requests / elapsed_s)


def start_process(arguments: list[str], cores: set[int], **environment: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env=os.environ | environment,
        preexec_fn=lambda: os.sched_setaffinity(0, cores),
    )


def start_role(name: str, core: int, *arguments: str) -> tuple[subprocess.Popen[str], Any]:
    process = start_process([sys.executable, __file__, "--role", name, *arguments], {core})
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def start_passpost(size: int, ports: list[int], folder: str) -> tuple[subprocess.Popen[str], int]:
    """Starts the balancer by the platform's configuration with a list of `size` upstreams; returns it and its port."""
    import socket

    with socket.create_server(("127.0.0.1", 0)) as reserved:
        port = reserved.getsockname()[1]
    members = [
        {"id": f"s{i}", "host_port": f"127.0.0.1:{ports[i % len(ports)]}", "locality": "a", "cell": 0,
         "phase": "active"}
        for i in range(size)
    ]  # fmt: skip
    request_class = {
        "name": "read",
        "target": 2_000.0,
        "deadline": 5_000.0,
        "effect": "retryable",
        "lateShare": 0.5,
    }
    config = {
        "name": "b1", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "2a",
        "limits": {"sockets": 60_000, "memory_mb": 4_096, "cores": 1.0},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {"balancers": 1, "tier": 0, "tick": 1.0, "classes": [request_class], "orgs": [],
                     "limits": {"attemptsCap": 3, "mayCancel": True, "connIdle": 60_000.0}},
    }  # fmt: skip
    config_path = Path(folder) / f"size-{size}.json"
    config_path.write_text(json.dumps(config))
    return start_process([sys.executable, "-m", "passpost"], {PROXY_CORE}, EDGE_CONFIG=str(config_path)), port


async def wait_until_open(port: int) -> None:
    for _ in range(int(TIMEOUT_S / 0.05)):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
    raise SystemExit("a proxy did not accept connections in time")


async def measure(options: argparse.Namespace) -> list[dict[str, Any]]:
    os.sched_setaffinity(0, {CLIENT_CORE})
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    # All processes started below inherit this limit.
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    processes: deque[subprocess.Popen[str]] = deque()
    with tempfile.TemporaryDirectory(prefix="passpost-size-") as folder:
        try:
            upstream, ports = start_role("upstream", UPSTREAM_CORE)
            processes.append(upstream)
            proxies = []
            for label in ("relay", "aiohttp"):
                process, port = start_role(label, PROXY_CORE, json.dumps(ports))
                processes.append(process)
                proxies.append(Proxy(label, process, port, ClosedLoopLoad(options.connections)))
            for size in map(int, options.sizes.split(",")):
                process, port = start_passpost(size, ports, folder)
                processes.append(process)
                proxies.append(
                    Proxy(f"passpost {size:,}", process, port, ClosedLoopLoad(options.connections))
                )
            for proxy in proxies:
                await wait_until_open(proxy.port)
                await proxy.load.connect(proxy.port)
                await asyncio.wait_for(proxy.load.run(options.warm_up), TIMEOUT_S)
            for _ in range(options.turns):
                for proxy in proxies:
                    await proxy.measure_turn(options.requests)
            rows = []
            for proxy in proxies:
                rows.append(
                    {
                        "proxy": proxy.label,
                        "us_a_request": round(statistics.median(proxy.cpu_us), 1),
                        "times_relay": round(
                            statistics.median(proxy.cpu_us) / statistics.median(proxies[0].cpu_us), 2
                        ),
                        "p50_us": round(statistics.median(proxy.p50_us)),
                        "p99_us": round(statistics.median(proxy.p99_us)),
                        "requests_per_s": round(statistics.median(proxy.requests_per_s)),
                        "memory_mb": round(proxy.memory_mb(), 1),
                    }
                )
                proxy.load.close()
            return rows
        finally:
            for process in processes:
                process.kill()
                process.wait()


OPERATOR_FILE = """\
version = 1
[limits]
descriptors = 8000
memory_mb = 1024
[[applications]]
name = "size"
listen = "127.0.0.1:{port}"
upstreams = {{ kind = "static", addresses = [{addresses}] }}
[[applications.classes]]
name = "read"
path = "/read"
deadline_ms = 5000
"""


async def measure_workers(options: argparse.Namespace) -> list[dict[str, Any]]:
    """Measures requests per second of `passpost run --workers N` with one core for each worker."""
    import socket

    worker_counts = [int(count) for count in options.workers.split(",")]
    os.sched_setaffinity(0, {CLIENT_CORE})
    requests_per_s: dict[int, list[float]] = {count: [] for count in worker_counts}
    with tempfile.TemporaryDirectory(prefix="passpost-size-") as folder:
        upstream, ports = start_role("upstream", UPSTREAM_CORE)
        try:
            for _ in range(options.turns):
                for worker_count in worker_counts:
                    with socket.create_server(("127.0.0.1", 0)) as reserved:
                        port = reserved.getsockname()[1]
                    addresses = ", ".join(f'"127.0.0.1:{upstream_port}"' for upstream_port in ports)
                    file_path = Path(folder) / f"workers-{worker_count}.toml"
                    file_path.write_text(OPERATOR_FILE.format(port=port, addresses=addresses))
                    arguments = [
                        sys.executable,
                        "-m",
                        "passpost.cli",
                        "run",
                        str(file_path),
                        "--workers",
                        str(worker_count),
                    ]
                    process = start_process(arguments, set(range(PROXY_CORE, PROXY_CORE + worker_count)))
                    try:
                        await wait_until_open(port)
                        # Connections go to any worker that accepts: wait until all of them do.
                        await asyncio.sleep(1.0)
                        load = ClosedLoopLoad(options.connections)
                        await load.connect(port)
                        await asyncio.wait_for(load.run(options.warm_up), TIMEOUT_S)
                        started = time.perf_counter()
                        await asyncio.wait_for(load.run(options.requests * worker_count), TIMEOUT_S)
                        requests_per_s[worker_count].append(
                            options.requests * worker_count / (time.perf_counter() - started)
                        )
                        if load.failures:
                            raise SystemExit(f"{worker_count} workers: {load.failures} answers were not 200")
                        load.close()
                    finally:
                        process.terminate()
                        process.wait()
        finally:
            upstream.kill()
            upstream.wait()
    first_median = statistics.median(requests_per_s[worker_counts[0]])
    return [
        {
            "workers": count,
            "requests_per_s": round(statistics.median(rates)),
            "times": round(statistics.median(rates) / first_median, 2),
        }
        for count, rates in requests_per_s.items()
    ]


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--sizes", default="12,100,1000", help="list lengths, each measured with its own passpost process"
    )
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--requests", type=int, default=10_000, help="requests in a turn")
    parser.add_argument("--warm-up", type=int, default=10_000)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--json", metavar="FILE", help="also write the figures to this file")
    parser.add_argument(
        "--workers", metavar="1,2,4", help="measure requests per second with these numbers of workers instead"
    )
    parser.add_argument("--role", help=argparse.SUPPRESS)
    parser.add_argument("ports", nargs="?", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role == "upstream":
        uvloop.run(serve_upstreams())
    elif options.role == "relay":
        uvloop.run(serve_relay(json.loads(options.ports)))
    elif options.role == "aiohttp":
        uvloop.run(serve_aiohttp(json.loads(options.ports)))
    elif options.workers:
        rows = uvloop.run(measure_workers(options))
        print(f"{'workers':>7} {'req/s':>8} {'times':>6}")
        for row in rows:
            print(f"{row['workers']:>7} {row['requests_per_s']:>8,} {row['times']:>6}")
        if options.json:
            Path(options.json).write_text(json.dumps(rows, indent=2))
    else:
        rows = uvloop.run(measure(options))
        print(
            f"{'proxy':<16} {'us a request':>12} {'x relay':>8} {'p50 us':>7} {'p99 us':>7} {'req/s':>7} {'MB':>7}"
        )
        for row in rows:
            print(
                f"{row['proxy']:<16} {row['us_a_request']:>12} {row['times_relay']:>8} "
                f"{row['p50_us']:>7} {row['p99_us']:>7} {row['requests_per_s']:>7} {row['memory_mb']:>7}"
            )
        if options.json:
            Path(options.json).write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
