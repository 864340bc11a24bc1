"""Measures the cost of the operator's file and of the sidecar.

    python benchmarks/sidecar.py check    # time to read and check a file of 1,000 applications
    python benchmarks/sidecar.py run      # CPU per request: the platform's program, and the sidecar

`run` alternates between both in one process on one core. Connections are in memory and servers answer at once, so that
only the balancer's own work differs; the sidecar is `passpost run` with an operator's file. Prints a table;
`--json FILE` also writes the figures. It asserts nothing about them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import time
from pathlib import Path
from typing import Any

from passpost import config as platform_config
from passpost.node import Node
from passpost.operator.checks import check as check_file
from passpost.operator.description import Description, Request, Service
from passpost.operator.reader import parse
from passpost.operator.sidecar import Sidecar
from passpost.operator.writer import build, render
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost
from passpost.rehearsal.stage import listen

APPLICATIONS, ROUNDS, REQUESTS, SERVERS = 1_000, 7, 3_000, 12
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def large_file(count: int) -> str:
    """Returns an operator's file with `count` applications, as `passpost new` would write it."""
    services = tuple(
        Service(
            service=f"service-{i}",
            at=(f"10.0.{i // 250}.{i % 250 + 1}:8080",),
            listen=f"127.0.0.1:{10_000 + i}",
            requests=(
                Request(name="read", path="/things/**"),
                Request(name="put", path="/things", methods=("POST",), repeat="with-key", key_kept_ms=3_000),
                Request(name="pay", path="/orders", methods=("POST",), repeat="never"),
            ),
        )
        for i in range(count)
    )
    text = render(build(Description(application="many", calls=services)))
    return text.replace("# descriptors = 1024", "descriptors = 65536").replace(
        "# memory_mb = 256", "memory_mb = 8192"
    )


def measure_check() -> list[dict[str, Any]]:
    """Measures the seconds to read and check a large file; of three runs, that with the shortest read time counts."""
    text = large_file(APPLICATIONS)
    rows = []
    for _ in range(3):
        started = time.perf_counter()
        reading = parse(text, "many.toml")
        parsed_at = time.perf_counter()
        assert reading.file is not None
        problems = check_file(reading.file)
        checked_at = time.perf_counter()
        rows.append(
            (
                parsed_at - started,
                checked_at - parsed_at,
                len([problem for problem in problems if not problem.warning]),
            )
        )
    read_s, check_s, errors = min(rows)
    return [
        {
            "applications": APPLICATIONS,
            "file_kb": len(text) // 1024,
            "read_s": round(read_s, 2),
            "judge_s": round(check_s, 2),
            "errors": errors,
        }
    ]


class _InstantServer(asyncio.Protocol):
    """Answers each request at once; here each chunk of data is one whole request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(OK)


async def _measure_cpu_s(address: tuple[str, int], request_head: bytes) -> float:
    """Returns the CPU seconds per request, measured over one keep-alive connection."""
    reader, writer = await asyncio.open_connection(*address)
    started = time.process_time()
    for i in range(REQUESTS):
        writer.write(request_head % i)
        answer = await reader.readuntil(b"\r\n\r\nok")
        assert answer.startswith(b"HTTP/1.1 200")
    writer.close()
    return (time.process_time() - started) / REQUESTS


def measure_run() -> list[dict[str, Any]]:
    """Measures CPU microseconds per request, alternating; both include the cost of client, event loop and network."""
    servers = [("10.0.0.1", 8_000 + i) for i in range(SERVERS)]
    cpu_s: dict[str, list[float]] = {"platform": [], "operator's file": []}

    async def measure_once(network: Network, way: str) -> None:
        host = SimHost(network)
        for server in servers:
            listen(host, server, _InstantServer)
        if way == "platform":
            members = [
                {"id": f"s{i}", "host_port": f"{ip}:{port}", "phase": "active"}
                for i, (ip, port) in enumerate(servers)
            ]
            classes = [{"name": "read", "target": 500, "deadline": 2_000, "effect": "retryable"}]
            config_data = {
                "name": "b", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:1", "seed": "1",
                "limits": {"sockets": 1024}, "known": {"revision": 1, "complete": True, "members": members},
                "settings": {"classes": classes, "limits": {"attemptsCap": 3}, "discovery": "ask"},
            }  # fmt: skip
            Node(platform_config.read(config_data), host)
            request_head = b"GET /read HTTP/1.1\r\nHost: x\r\nX-Txn: t%d\r\nX-Remaining: 2\r\n\r\n"
        else:
            service = Service(
                service="read", at=tuple(f"{ip}:{port}" for ip, port in servers), listen="127.0.0.1:7000",
                requests=(Request(name="read", path="/read/*"),),
            )  # fmt: skip
            Sidecar(build(Description(application="b", calls=(service,))), {}, host).start()
            request_head = b"GET /read/%d HTTP/1.1\r\nHost: x\r\n\r\n"
        await asyncio.sleep(1)
        cpu_s[way].append(await _measure_cpu_s(("127.0.0.1", 7_000), request_head))

    for round_number in range(ROUNDS):
        for way in cpu_s:
            loop = SimLoop(round_number)  # type: ignore[abstract]
            loop.run(measure_once(Network(loop, round_number, 0.0001, 0.0, 0.0), way))
    platform_median_s = statistics.median(cpu_s["platform"])
    return [
        {
            "way": way,
            "us_a_request": round(statistics.median(samples_s) * 1e6, 1),
            "lowest": round(min(samples_s) * 1e6, 1),
            "added_us": round((statistics.median(samples_s) - platform_median_s) * 1e6, 1),
        }
        for way, samples_s in cpu_s.items()
    ]


def main() -> None:
    """Runs the measurement that the command line selects and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("check", "run"))
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = measure_check() if options.what == "check" else measure_run()
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
