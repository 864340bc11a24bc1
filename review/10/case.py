"""Answers of 100 KB from servers that spend seconds writing them: does each come to its end?"""

from __future__ import annotations

import asyncio
import sys
from asyncio import StreamWriter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from stand import TROUBLE, Balancer, Case, Client, Discovery, Member, Request, Upstream, config, run_case

SERVERS = 12
LENGTH = 100_000  # over 64 KiB, of 32 MB at most
REMAINING_S = 3.0
PACES = [
    (5_000, 0.5),
    (2_500, 0.25),
    (8_000, 0.8),
    (12_000, 1.0),
]  # a piece's bytes, and the seconds between pieces
WAIT_S = 30.0


def text(txn: str) -> bytes:
    """The body of the answer to a request."""
    return (f"made for {txn}; ".encode() * LENGTH)[:LENGTH]


async def body(case: Case) -> None:
    """Send requests; each server writes its answer at a steady pace, the first bytes at once."""
    finished: dict[str, bool] = {}

    async def give(request: Request, writer: StreamWriter) -> None:
        size, pause = PACES[int(request.headers["x-labels"].removeprefix("pace="))]
        whole, txn = text(request.txn), request.txn
        finished[txn] = False
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH)
        for start in range(0, LENGTH, size):
            if writer.is_closing():
                case.note(f"the answer to {txn} was given up at {start} bytes: the connection has ended")
                return
            writer.write(whole[start : start + size])
            await writer.drain()
            if TROUBLE:
                await asyncio.sleep(pause)
        finished[txn] = True

    servers = [Upstream(case, f"s-{i}", give) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    members = [Member(server.name, server.address) for server in servers]
    discovery = Discovery(case, members)
    await discovery.start()
    balancer = Balancer(case, "n1", config(discovery, members))
    await balancer.ready()

    async def fetch(pace: int) -> None:
        client, txn = await Client.connect(balancer), Client.new_id()
        began = case.now()
        client.writer.write(client.head("frame-fetch", txn, REMAINING_S, X_Labels=f"pace={pace}"))
        try:
            reply = await client.read_answer(WAIT_S)
        except TimeoutError:
            reply = None
        took = case.now() - began
        client.close()
        size, pause = PACES[pace]
        words = f"{txn}, {size} bytes each {pause} s"
        if reply is None:
            case.break_rule(f"{words}: no answer in {took:.2f} s")
        elif reply.status != 200:
            case.note(f"{words}: {reply.status} after {took:.2f} s")
        elif not reply.whole and not finished.get(txn, False):
            case.break_rule(
                f"{words}: cut off after {took:.2f} s with {len(reply.body)} of {LENGTH} bytes, "
                "while its server was still giving"
            )
        else:
            right = reply.body == text(txn)
            case.note(
                f"{words}: {len(reply.body)} bytes, as the server gave them: {right}, after {took:.2f} s"
            )
            if not right:
                case.break_rule(f"{words}: the answer is not what the server gave")

    tasks = []
    for _ in range(2):
        for pace in range(len(PACES)):
            tasks.append(asyncio.create_task(fetch(pace)))
            await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


run_case(__file__, body)
