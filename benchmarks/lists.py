"""How long a long list of upstreams holds up the loop: read and applied in slices, and in one go.

    python benchmarks/lists.py [--json FILE]

One process on uvloop: a balancer's discovery, engine and module, and an agent that serves whole lists of so many
upstreams; each list replaces a tenth of the upstreams of the one before. A ticker notes the longest time between two
turns of the loop while a list comes. `one go` is the same with slices turned off. Prints a table, asserts nothing.
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

SIZES, TURNS = (400, 1_000, 10_000), 5


def listing(revision: int, size: int) -> dict[str, Any]:
    """A list of so many upstreams; the next revision has a tenth of them replaced."""
    first = revision * size // 10
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
        for i in range(first, first + size)
    ]
    return {"revision": revision, "complete": True, "members": members}


class Agent:
    """Serves what it holds, over and over."""

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


async def measure(size: int, sliced: bool) -> dict[str, Any]:
    """Milliseconds, over some lists."""
    discovery.SLICED_LIST_MEMBERS, discovery.SLICED_LIST_BYTES = (
        (100, 16 * 1024) if sliced else (sys.maxsize, sys.maxsize)
    )
    agent = Agent()
    server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
    bodies = [json.dumps(listing(r, size)).encode() for r in range(2, TURNS + 3)]
    agent.body = bodies[0]
    data = {
        "name": "b", "listen": "127.0.0.1:0", "seed": "1", "limits": {"sockets": 1024},
        "discovery": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": {
            "classes": [{"name": "read", "target": 500, "deadline": 2_000, "effect": "retryable"}],
            "limits": {"attemptsCap": 3}, "discovery": "push",
        },
    }  # fmt: skip
    node = Node(config.read(data))
    stalls, spans = [], []
    for body, revision in zip(bodies, range(2, TURNS + 3), strict=True):
        agent.body = body
        last = f"s-{revision * size // 10 + size - 1:08x}"
        begun = seen = time.perf_counter()
        longest = 0.0
        while not (last in node.discovery.members and len(node.discovery.members) == size):
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest, seen = max(longest, now - seen), now
        stalls.append(longest * 1000)
        spans.append((seen - begun) * 1000)
    node.server.close()
    node.close()
    server.close()
    return {
        "upstreams": size,
        "way": "slices" if sliced else "one go",
        "first_stall_ms": round(stalls[0], 1),
        "stall_ms": round(statistics.median(stalls[1:]), 1),
        "worst_stall_ms": round(max(stalls), 1),
        "list_ms": round(statistics.median(spans[1:]), 1),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = [uvloop.run(measure(size, sliced)) for size in SIZES for sliced in (True, False)]
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in row.items()))
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
