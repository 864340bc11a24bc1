"""Measures how long a large list of upstreams blocks the event loop, processed in slices and all at once.

    python benchmarks/lists.py [--json FILE]

One process on uvloop runs a balancer's discovery, engine and decision module, and a discovery agent that serves whole
lists; each list replaces a tenth of the upstreams of the previous one. From the moment a list is served until it is
applied, a task records the longest time between two turns of the event loop. `one go` is the same with slices
disabled. Prints a table and asserts nothing about it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import uvloop

from passpost import config, discovery
from passpost.node import Node

SIZES, MEASURED_LISTS = (400, 1_000, 10_000), 5


def list_answer(revision: int, size: int) -> dict[str, Any]:
    """Returns a list of `size` upstreams; each revision replaces a tenth of those of the previous one."""
    first_number = revision * size // 10
    members = [
        {
            "id": f"s-{i:08x}",
            "host_port": f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:7070",
            "locality": "a",
            "flavor": "m2",
            "cell": i % 5,
            "phase": "active",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for i in range(first_number, first_number + size)
    ]
    return {"revision": revision, "complete": True, "members": members}


class DiscoveryAgent:
    """A discovery agent that answers every call with its current `body`."""

    def __init__(self) -> None:
        self.body = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()


async def measure_stalls(size: int, is_sliced: bool) -> dict[str, Any]:
    """Measures the event loop's stalls and the time until a list is applied, in ms, over several lists."""
    discovery.SLICED_LIST_MEMBERS, discovery.SLICED_LIST_BYTES = (
        (100, 16 * 1024) if is_sliced else (sys.maxsize, sys.maxsize)
    )
    agent = DiscoveryAgent()
    server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
    bodies = [
        json.dumps(list_answer(answer_revision, size)).encode()
        for answer_revision in range(2, MEASURED_LISTS + 3)
    ]
    agent.body = bodies[0]
    platform_config = {
        "name": "b", "listen": "127.0.0.1:0", "seed": "1", "limits": {"sockets": 1024},
        "discovery": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": {
            "classes": [{"name": "read", "target": 500, "deadline": 2_000, "effect": "retryable"}],
            "limits": {"attemptsCap": 3}, "discovery": "push",
        },
    }  # fmt: skip
    node = Node(config.read(platform_config))
    stalls_ms, durations_ms = [], []
    for body, revision in zip(bodies, range(2, MEASURED_LISTS + 3), strict=True):
        agent.body = body
        last_id = f"s-{revision * size // 10 + size - 1:08x}"
        started = last_turn = time.perf_counter()
        longest_s = 0.0
        while not (last_id in node.discovery.members and len(node.discovery.members) == size):
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest_s, last_turn = max(longest_s, now - last_turn), now
        stalls_ms.append(longest_s * 1000)
        durations_ms.append((last_turn - started) * 1000)
    node.server.close()
    node.close()
    server.close()
    return {
        "upstreams": size,
        "way": "slices" if is_sliced else "one go",
        "first_stall_ms": round(stalls_ms[0], 1),
        "stall_ms": round(statistics.median(stalls_ms[1:]), 1),
        "worst_stall_ms": round(max(stalls_ms), 1),
        "list_ms": round(statistics.median(durations_ms[1:]), 1),
    }


def main() -> None:
    """Runs all measurements and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = [uvloop.run(measure_stalls(size, is_sliced)) for size in SIZES for is_sliced in (True, False)]
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
