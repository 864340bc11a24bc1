"""What the operator's file and the sidecar cost.

    python benchmarks/sidecar.py check    # time of reading and judging a file of 1,000 applications
    python benchmarks/sidecar.py run      # CPU a request: the platform's path, and `run` by an operator's file

`run` plays turn about, in one process on one core, in-memory connections and instant servers: what is compared is
the balancer's own work. Prints a table; `--json FILE` writes the figures. It asserts nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import time
from pathlib import Path
from typing import Any

from passpost import config as platform
from passpost.node import Node
from passpost.operator.checks import check as judge
from passpost.operator.description import Description, Request, Service
from passpost.operator.reader import parse
from passpost.operator.sidecar import Sidecar
from passpost.operator.writer import build, render
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost
from passpost.rehearsal.stage import listen

APPLICATIONS, ROUNDS, REQUESTS, SERVERS = 1_000, 7, 3_000, 12
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def large(count: int) -> str:
    """A file of so many applications, as `new` would write it."""
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


def check() -> list[dict[str, Any]]:
    """Seconds to read and to judge."""
    text = large(APPLICATIONS)
    rows = []
    for _ in range(3):
        begun = time.perf_counter()
        reading = parse(text, "many.toml")
        parsed = time.perf_counter()
        assert reading.file is not None
        found = judge(reading.file)
        judged = time.perf_counter()
        rows.append((parsed - begun, judged - parsed, len([p for p in found if not p.warning])))
    read, meaning, errors = min(rows)
    return [
        {
            "applications": APPLICATIONS,
            "file_kb": len(text) // 1024,
            "read_s": round(read, 2),
            "judge_s": round(meaning, 2),
            "errors": errors,
        }
    ]


class _Server(asyncio.Protocol):
    """Answers each request at once; requests come whole here."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(OK)


async def _load(address: tuple[str, int], head: bytes) -> float:
    """CPU seconds a request, over one kept connection."""
    reader, writer = await asyncio.open_connection(*address)
    begun = time.process_time()
    for i in range(REQUESTS):
        writer.write(head % i)
        answer = await reader.readuntil(b"\r\n\r\nok")
        assert answer.startswith(b"HTTP/1.1 200")
    writer.close()
    return (time.process_time() - begun) / REQUESTS


def run() -> list[dict[str, Any]]:
    """Microseconds of CPU a request, each way in turn; what client, loop and network take is in both."""
    servers = [("10.0.0.1", 8_000 + i) for i in range(SERVERS)]
    figures: dict[str, list[float]] = {"platform": [], "operator's file": []}

    async def one(net: Network, way: str) -> None:
        host = SimHost(net)
        for server in servers:
            listen(host, server, _Server)
        if way == "platform":
            members = [
                {"id": f"s{i}", "host_port": f"{h}:{p}", "phase": "active"}
                for i, (h, p) in enumerate(servers)
            ]
            classes = [{"name": "read", "target": 500, "deadline": 2_000, "effect": "retryable"}]
            data = {
                "name": "b", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:1", "seed": "1",
                "limits": {"sockets": 1024}, "known": {"revision": 1, "complete": True, "members": members},
                "settings": {"classes": classes, "limits": {"attemptsCap": 3}, "discovery": "ask"},
            }  # fmt: skip
            Node(platform.read(data), host)
            head = b"GET /read HTTP/1.1\r\nHost: x\r\nX-Txn: t%d\r\nX-Remaining: 2\r\n\r\n"
        else:
            service = Service(
                service="read", at=tuple(f"{h}:{p}" for h, p in servers), listen="127.0.0.1:7000",
                requests=(Request(name="read", path="/read/*"),),
            )  # fmt: skip
            Sidecar(build(Description(application="b", calls=(service,))), {}, host).start()
            head = b"GET /read/%d HTTP/1.1\r\nHost: x\r\n\r\n"
        await asyncio.sleep(1)
        figures[way].append(await _load(("127.0.0.1", 7_000), head))

    for round_ in range(ROUNDS):
        for way in figures:
            loop = SimLoop(round_)  # type: ignore[abstract]
            loop.run(one(Network(loop, round_, 0.0001, 0.0, 0.0), way))
    base = statistics.median(figures["platform"])
    return [
        {
            "way": way,
            "us_a_request": round(statistics.median(values) * 1e6, 1),
            "lowest": round(min(values) * 1e6, 1),
            "added_us": round((statistics.median(values) - base) * 1e6, 1),
        }
        for way, values in figures.items()
    ]


def main() -> None:
    """Run what was asked for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("check", "run"))
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = check() if options.what == "check" else run()
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
