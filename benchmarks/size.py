"""CPU a request and added latency: passpost, a bare relay and an aiohttp proxy, in turns of the same run.

    python benchmarks/size.py [--sizes 12,1000] [--connections 16] [--requests 10000] [--turns 5] [--json FILE]

Safe GETs in a closed loop, upstreams that answer at once. The client, the upstreams and the proxy measured have a
core each. CPU is what the system counts for the proxy's process. `times relay` compares with the relay's median in
the same run. Needs Linux, four cores and `pip install -e '.[dev]'`.
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

PORTS = 4  # listeners of the upstream process; many upstreams share one
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TICK = os.sysconf("SC_CLK_TCK")
CLIENT_CORE, UPSTREAM_CORE, PROXY_CORE = 0, 1, 2
PATIENCE_S = 60.0


# ---- the neighbours


class Instant(asyncio.Protocol):
    """An upstream that answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._transport.write(ANSWER)


class RelayUp(asyncio.Protocol):
    """A relay's connection to an upstream."""

    def __init__(self, pool: list[RelayUp]) -> None:
        self._pool = pool
        self.caller: RelayDown | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, caller: RelayDown, data: bytes) -> None:
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


class RelayDown(asyncio.Protocol):
    """A relay's connection from a caller: whole requests go on as they came."""

    def __init__(self, ports: list[int], pool: list[RelayUp]) -> None:
        self._ports, self._pool, self._data, self._turn = ports, pool, b"", 0

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
        self._turn += 1
        port = self._ports[self._turn % len(self._ports)]
        _, up = await asyncio.get_running_loop().create_connection(
            lambda: RelayUp(self._pool), "127.0.0.1", port
        )
        up.send(self, data)


async def serve_relay(ports: list[int]) -> None:
    pool: list[RelayUp] = []
    await listen(lambda: RelayDown(ports, pool))


async def serve_upstreams() -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Instant, "127.0.0.1", 0, backlog=4_096) for _ in range(PORTS)]
    print(json.dumps([s.sockets[0].getsockname()[1] for s in servers]), flush=True)
    await asyncio.Event().wait()


async def serve_aiohttp(ports: list[int]) -> None:
    import aiohttp
    from aiohttp import web

    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    turn = 0

    async def pass_on(request: web.BaseRequest) -> web.Response:
        nonlocal turn
        turn += 1
        url = f"http://127.0.0.1:{ports[turn % len(ports)]}{request.rel_url}"
        async with session.request(
            request.method, url, headers=request.headers, data=await request.read()
        ) as got:
            return web.Response(status=got.status, body=await got.read())

    runner = web.ServerRunner(web.Server(pass_on))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


async def listen(factory: Any) -> None:
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0, backlog=4_096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


# ---- the client


class Caller(asyncio.Protocol):
    """One connection of the client: a request, its answer, the next request."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.good = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def ask(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._sent = time.perf_counter()
        self._transport.write(self._load.request())

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._load.answered(self, self._parser.get_status_code() == 200, time.perf_counter() - self._sent)

    def connection_lost(self, exc: Exception | None) -> None:
        self._load.lost(self)

    def close(self) -> None:
        self._transport.close()


class Load:
    """A closed loop over some connections."""

    def __init__(self, connections: int) -> None:
        self._count, self._number = connections, 0
        self._callers: list[Caller] = []
        self._left, self._over = 0, asyncio.Event()
        self.times: list[float] = []
        self.bad = 0

    async def connect(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            _, caller = await loop.create_connection(lambda: Caller(self), "127.0.0.1", port)
            self._callers.append(caller)

    def request(self) -> bytes:
        self._number += 1
        return (
            b"GET /read HTTP/1.1\r\nHost: size\r\nX-Txn: t%d\r\nX-Remaining: 5.0\r\n"
            b"User-Agent: benchmark\r\nAccept: */*\r\n\r\n" % self._number
        )

    async def run(self, requests: int) -> None:
        """So many requests, over all connections."""
        self.times, self.bad, self._left, self._over = [], 0, requests, asyncio.Event()
        for caller in self._callers:
            caller.ask()
        await self._over.wait()

    def answered(self, caller: Caller, good: bool, seconds: float) -> None:
        self.times.append(seconds)
        self.bad += not good
        self._left -= 1
        if self._left > len(self._callers) - 1:
            caller.ask()
        elif self._left == 0:
            self._over.set()

    def lost(self, caller: Caller) -> None:
        if self._left:
            self.bad += 1
            self._over.set()

    def close(self) -> None:
        for caller in self._callers:
            caller.close()


# ---- the measurement


class Proxy:
    """A process under measurement."""

    def __init__(self, label: str, process: subprocess.Popen[str], port: int, load: Load) -> None:
        self.label, self.process, self.port, self.load = label, process, port, load
        self.cpu: list[float] = []
        self.p50: list[float] = []
        self.p99: list[float] = []
        self.rate: list[float] = []

    def spent(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def memory_mb(self) -> float:
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(x.split()[1]) / 1024 for x in lines if x.startswith("VmRSS"))

    async def turn(self, requests: int) -> None:
        before, begun = self.spent(), time.perf_counter()
        await asyncio.wait_for(self.load.run(requests), PATIENCE_S)
        took = time.perf_counter() - begun
        if self.load.bad:
            raise SystemExit(f"{self.label}: {self.load.bad} answers were not 200")
        self.cpu.append((self.spent() - before) / requests * 1e6)
        times = sorted(self.load.times)
        self.p50.append(times[len(times) // 2] * 1e6)
        self.p99.append(times[len(times) * 99 // 100] * 1e6)
        self.rate.append(requests / took)


def start(arguments: list[str], cores: set[int], **environment: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env=os.environ | environment,
        preexec_fn=lambda: os.sched_setaffinity(0, cores),
    )


def role(name: str, core: int, *arguments: str) -> tuple[subprocess.Popen[str], Any]:
    process = start([sys.executable, __file__, "--role", name, *arguments], {core})
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def passpost(size: int, ports: list[int], folder: str) -> tuple[subprocess.Popen[str], int]:
    """The balancer on the platform's configuration, with a list of so many upstreams."""
    import socket

    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
    members = [
        {"id": f"s{i}", "host_port": f"127.0.0.1:{ports[i % len(ports)]}", "locality": "a", "cell": 0,
         "phase": "active"}
        for i in range(size)
    ]  # fmt: skip
    cls = {"name": "read", "target": 2_000.0, "deadline": 5_000.0, "effect": "retryable", "lateShare": 0.5}
    config = {
        "name": "b1", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "2a",
        "limits": {"sockets": 60_000, "memory_mb": 4_096, "cores": 1.0},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {"balancers": 1, "tier": 0, "tick": 1.0, "classes": [cls], "orgs": [],
                     "limits": {"attemptsCap": 3, "mayCancel": True, "connIdle": 60_000.0}},
    }  # fmt: skip
    path = Path(folder) / f"size-{size}.json"
    path.write_text(json.dumps(config))
    return start([sys.executable, "-m", "passpost"], {PROXY_CORE}, EDGE_CONFIG=str(path)), port


async def until_open(port: int) -> None:
    for _ in range(int(PATIENCE_S / 0.05)):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
    raise SystemExit("a proxy did not start")


async def measure(options: argparse.Namespace) -> list[dict[str, Any]]:
    os.sched_setaffinity(0, {CLIENT_CORE})
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))  # for all that are started from here
    processes: deque[subprocess.Popen[str]] = deque()
    with tempfile.TemporaryDirectory(prefix="passpost-size-") as folder:
        try:
            upstream, ports = role("upstream", UPSTREAM_CORE)
            processes.append(upstream)
            proxies = []
            for label in ("relay", "aiohttp"):
                process, port = role(label, PROXY_CORE, json.dumps(ports))
                processes.append(process)
                proxies.append(Proxy(label, process, port, Load(options.connections)))
            for size in map(int, options.sizes.split(",")):
                process, port = passpost(size, ports, folder)
                processes.append(process)
                proxies.append(Proxy(f"passpost {size:,}", process, port, Load(options.connections)))
            for proxy in proxies:
                await until_open(proxy.port)
                await proxy.load.connect(proxy.port)
                await asyncio.wait_for(proxy.load.run(options.warm_up), PATIENCE_S)
            for _ in range(options.turns):
                for proxy in proxies:
                    await proxy.turn(options.requests)
            rows = []
            for proxy in proxies:
                rows.append(
                    {
                        "proxy": proxy.label,
                        "us_a_request": round(statistics.median(proxy.cpu), 1),
                        "times_relay": round(
                            statistics.median(proxy.cpu) / statistics.median(proxies[0].cpu), 2
                        ),
                        "p50_us": round(statistics.median(proxy.p50)),
                        "p99_us": round(statistics.median(proxy.p99)),
                        "requests_per_s": round(statistics.median(proxy.rate)),
                        "memory_mb": round(proxy.memory_mb(), 1),
                    }
                )
                proxy.load.close()
            return rows
        finally:
            for process in processes:
                process.kill()
                process.wait()


SIDECAR = """\
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
    """Requests a second of `passpost run --workers N`, each worker with a core."""
    import socket

    counts = [int(n) for n in options.workers.split(",")]
    os.sched_setaffinity(0, {CLIENT_CORE})
    rates: dict[int, list[float]] = {n: [] for n in counts}
    with tempfile.TemporaryDirectory(prefix="passpost-size-") as folder:
        upstream, ports = role("upstream", UPSTREAM_CORE)
        try:
            for _ in range(options.turns):
                for count in counts:
                    with socket.create_server(("127.0.0.1", 0)) as held:
                        port = held.getsockname()[1]
                    addresses = ", ".join(f'"127.0.0.1:{p}"' for p in ports)
                    path = Path(folder) / f"workers-{count}.toml"
                    path.write_text(SIDECAR.format(port=port, addresses=addresses))
                    arguments = [
                        sys.executable,
                        "-m",
                        "passpost.cli",
                        "run",
                        str(path),
                        "--workers",
                        str(count),
                    ]
                    process = start(arguments, set(range(PROXY_CORE, PROXY_CORE + count)))
                    try:
                        await until_open(port)
                        await asyncio.sleep(
                            1.0
                        )  # until all workers accept: they take connections as they come
                        load = Load(options.connections)
                        await load.connect(port)
                        await asyncio.wait_for(load.run(options.warm_up), PATIENCE_S)
                        begun = time.perf_counter()
                        await asyncio.wait_for(load.run(options.requests * count), PATIENCE_S)
                        rates[count].append(options.requests * count / (time.perf_counter() - begun))
                        if load.bad:
                            raise SystemExit(f"{count} workers: {load.bad} answers were not 200")
                        load.close()
                    finally:
                        process.terminate()
                        process.wait()
        finally:
            upstream.kill()
            upstream.wait()
    base = statistics.median(rates[counts[0]])
    return [
        {
            "workers": n,
            "requests_per_s": round(statistics.median(r)),
            "times": round(statistics.median(r) / base, 2),
        }
        for n, r in rates.items()
    ]


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="12,100,1000", help="upstreams of each passpost measured")
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--requests", type=int, default=10_000, help="in a turn")
    parser.add_argument("--warm-up", type=int, default=10_000)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--json", metavar="FILE", help="write the figures there too")
    parser.add_argument(
        "--workers", metavar="1,2,4", help="measure requests a second of so many workers instead"
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
        for r in rows:
            print(f"{r['workers']:>7} {r['requests_per_s']:>8,} {r['times']:>6}")
        if options.json:
            Path(options.json).write_text(json.dumps(rows, indent=2))
    else:
        rows = uvloop.run(measure(options))
        print(
            f"{'proxy':<16} {'us a request':>12} {'x relay':>8} {'p50 us':>7} {'p99 us':>7} {'req/s':>7} {'MB':>7}"
        )
        for r in rows:
            print(
                f"{r['proxy']:<16} {r['us_a_request']:>12} {r['times_relay']:>8} {r['p50_us']:>7} {r['p99_us']:>7} "
                f"{r['requests_per_s']:>7} {r['memory_mb']:>7}"
            )
        if options.json:
            Path(options.json).write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
