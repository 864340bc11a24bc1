"""A keyed request is sent again to an upstream of another cell after its own upstream has left the list and ended."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import common

CELLS, IN_CELL = 14, 8  # 112 upstreams: sixteen times the 7 of the deployment
ROUNDS = 8
WORK_S = 0.7  # an upstream's work on a request, done before it answers
LISTED_S = 0.3  # the list names its upstream no longer, so long after the request was begun
DIES_S = 0.6  # its process ends, so long after the request was begun: 0.3 s after the list has said so
WINDOW_S, REMAINING_S = 10.0, 5.0


class Cell:
    """Upstreams that share which keys they have seen, and drop repeats for as long as the settings say."""

    def __init__(self) -> None:
        self.seen: dict[str, float] = {}

    def is_repeat(self, key: str) -> bool:
        """Note that a request with this key has come; whether it is one that is dropped."""
        now = time.monotonic()
        if now < self.seen.get(key, -1e9) + WINDOW_S:
            return True
        self.seen[key] = now
        return False


async def case(record: common.Record, trouble: bool, started: Callable[[Any], None]) -> int:
    """Send keyed requests one after the other; with `trouble` the upstream of each is removed while it works."""
    runs: dict[str, list[str]] = {}
    begun: asyncio.Queue[tuple[str, common.Upstream]] = asyncio.Queue()
    cells = [Cell() for _ in range(CELLS)]
    cell_of: dict[str, int] = {}

    async def serve(upstream: common.Upstream, asked: common.Message, writer: asyncio.StreamWriter) -> None:
        key, number = asked.headers["idempotency-key"], cell_of[upstream.name]
        if cells[number].is_repeat(key):
            record.write(f"{upstream.name} (cell {number}): drops a repeat of {key}")
        else:
            runs.setdefault(key, []).append(f"{upstream.name} (cell {number})")
            record.write(f"{upstream.name} (cell {number}): runs {key}, request {asked.headers['x-txn']}")
            begun.put_nowait((key, upstream))
            await asyncio.sleep(WORK_S)
        if not upstream.dead:
            writer.write(common.answer(200, key.encode()))

    discovery = common.Discovery(record, whole=True)
    await discovery.start()
    for i in range(CELLS * IN_CELL):
        upstream = common.Upstream(f"s-{i:03d}", serve)
        await upstream.start()
        cell_of[upstream.name] = i // IN_CELL
        discovery.put(common.entry(upstream, i // IN_CELL))
    classes = [common.request_class("foto-uploaden", "dedup", 2500.0, 6000.0, WINDOW_S * 1000, 0.0, "cell")]
    balancer = common.BalancerProcess(
        record, common.configuration(classes, discovery.address, discovery.listing())
    )
    started(balancer)
    discovery.publish()
    await balancer.wait_until_ready()
    await asyncio.sleep(1.0)

    client = common.Client(record, "client", balancer.port)
    await client.connect()
    for number in range(ROUNDS):
        key, txn = f"key{number}", f"txn{number}"
        record.write(f"client: sends {txn} with {key}")
        client.writer.write(common.request("POST", "/foto-uploaden", txn, REMAINING_S, key, b"x" * 200))
        answered = asyncio.ensure_future(client.receive(txn, REMAINING_S + 0.5))
        if trouble:
            _, upstream = await asyncio.wait_for(begun.get(), 3)
            if cell_of[upstream.name] != 0:
                await asyncio.sleep(LISTED_S)
                record.write(f"discovery: {upstream.name} is gone")
                discovery.put(common.entry(upstream, cell_of[upstream.name], "left"))
                discovery.publish()
                await asyncio.sleep(DIES_S - LISTED_S)
                record.write(f"{upstream.name}: its process ends")
                upstream.die()
        if await answered is None:
            raise common.CaseError("a request was not answered")
        while not begun.empty():
            begun.get_nowait()
    broken = {key: where for key, where in runs.items() if len(where) > 1}
    for key, where in broken.items():
        record.write(f"ran {len(where)} times: {key}, at {', '.join(where)}")
    record.write(f"{len(broken)} of {ROUNDS} keyed requests ran more than once")
    return common.BROKEN if broken else common.HELD


if __name__ == "__main__":
    sys.exit(common.run_case(Path(__file__).resolve().parent, case))
