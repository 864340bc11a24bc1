"""A long answer is neither finished nor cut off if a second copy of its request waits for a connection as it begins."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import common

UPSTREAMS, LATE = 12, 4  # the connections of a third of the upstreams come up late
ROUNDS, SHORT_A_ROUND = 40, 20
SHORT_WORK_S, LONG_WORK_S, LENGTH = 0.01, 0.2, 200_000
LATE_FOR_S = 0.4  # so long an upstream takes up no connection; one that tries then comes up some 1.0 s late
REMAINING_S = 1.5  # of the 3 s of the class: a try is given up after 40 to 55%
PATIENCE_S = 10.0  # how long a client waits for the end of an answer, also beyond its time


class LateUpstream:
    """An upstream whose connections come up late while `late` is set: the kernel's queue of them is kept full then.

    It serves one request on a connection, and says so by `Connection: close`.
    """

    def __init__(self, name: str, record: common.Record, on_long: Callable[[str, str], None]) -> None:
        self.name, self._record, self._on_long = name, record, on_long
        self.is_late = False
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.host_port = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._accept()

    def _accept(self) -> None:
        self._accepting = asyncio.get_running_loop().create_task(self._accept_all())

    async def _accept_all(self) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self._socket)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def be_late(self) -> None:
        """Take up no connection for a while."""
        self.is_late = True
        self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._socket.getsockname())
            self._fillers.append(filler)
        await asyncio.sleep(LATE_FOR_S)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.listen(128)
        self.is_late = False
        self._accept()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            asked = await common.read_message(reader)
            if asked is not None:
                txn, long = asked.headers["x-txn"], "long" in asked.target
                self._record.write(f"{self.name}: runs {txn}")
                if long:
                    self._on_long(self.name, txn)
                await asyncio.sleep(LONG_WORK_S if long else SHORT_WORK_S)
                body = (txn.encode() * LENGTH)[:LENGTH] if long else txn.encode()
                writer.write(common.answer(200, body, "Connection: close\r\n"))
                await writer.drain()
                if long:
                    self._record.write(f"{self.name}: has given the whole answer to {txn}")
        writer.close()


async def case(record: common.Record, trouble: bool, started: Callable[[Any], None]) -> int:
    """Fetch short answers and now and then a long one; with `trouble` some connections come up late meanwhile."""
    draw = random.Random(1)
    tasks: set[asyncio.Task[None]] = set()
    begun: set[str] = set()

    def on_long(name: str, txn: str) -> None:
        if not trouble or txn in begun or any(u.is_late for u in upstreams):
            return  # a second copy, or the third of the upstreams is late already
        begun.add(txn)
        late = draw.sample([u for u in upstreams if u.name != name], LATE)
        record.write(f"connections come up late at {', '.join(u.name for u in late)}")
        tasks.update(asyncio.get_running_loop().create_task(u.be_late()) for u in late)

    discovery = common.Discovery(record, whole=False)
    await discovery.start()
    upstreams = [LateUpstream(f"s-{i}", record, on_long) for i in range(UPSTREAMS)]
    for i, upstream in enumerate(upstreams):
        discovery.put(common.entry(upstream, i // 4))
    discovery.publish()
    classes = [
        common.request_class("frame-fetch", "retryable", 1200.0, 3000.0, 5000.0, 0.25),
        common.request_class("job-submit", "dedup", 500.0, 2000.0, 3000.0, 0.5),
    ]
    balancer = common.BalancerProcess(
        record, common.configuration(classes, discovery.address, discovery.listing())
    )
    started(balancer)
    await balancer.wait_until_ready()
    lost: list[str] = []

    async def fetch(caller: common.Client, txn: str, kind: str, patience_s: float) -> common.Message | None:
        record.write(f"{kind} client: sends {txn}")
        caller.writer.write(common.request("GET", f"/frame-fetch/{kind}?key={txn}", txn, REMAINING_S))
        return await caller.receive(txn, patience_s)

    async def fetch_long(txn: str) -> None:
        caller = common.Client(record, "long client", balancer.port)
        await caller.connect()
        got = await fetch(caller, txn, "long", PATIENCE_S)
        if got is None or not got.whole:
            lost.append(txn)

    short = common.Client(record, "short client", balancer.port)
    await short.connect()
    waiting: list[asyncio.Task[None]] = []
    for number in range(ROUNDS):
        for i in range(SHORT_A_ROUND):
            if await fetch(short, f"s{number}-{i}", "short", REMAINING_S + 0.55) is None:
                raise common.CaseError("a short answer did not come")
        waiting.append(asyncio.get_running_loop().create_task(fetch_long(f"l{number}")))
        await asyncio.wait(waiting[-1:], timeout=LATE_FOR_S + 0.2)
    await asyncio.gather(*waiting)
    record.write(f"{len(lost)} of {ROUNDS} long answers never ended: {', '.join(lost)}")
    return common.BROKEN if lost else common.HELD


if __name__ == "__main__":
    sys.exit(common.run_case(Path(__file__).resolve().parent, case))
