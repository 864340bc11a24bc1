"""One client sends one job of 3 MB in small chunks: are the other clients answered meanwhile?"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from stand import TROUBLE, Balancer, Case, Client, Discovery, Member, config, run_case

HERE = Path(__file__).resolve().parent
SERVERS = 12
LENGTH = 3_000_000  # of 32 MB at most
CHUNK = 1 if TROUBLE else 50_000
REMAINING_S = 1.5  # half of the deadline: "a try is given up after 40 to 55% of the class's give-up time"
LATE_S = 0.55  # an answer up to half a second late only earns nothing; 50 ms more are those of PROTOCOL
INTERVAL_S, LENGTH_S, WAIT_S = 0.05, 12.0, 40.0


def start(case: Case, name: str, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a stand-in of this folder as a process."""
    process = subprocess.Popen(
        [sys.executable, str(HERE / name), *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    case.processes.append(process)
    return process


async def body(case: Case) -> None:
    """Send ordinary requests, 20 a second, and after a second the job; look when each request was answered."""
    loop = asyncio.get_running_loop()
    servers = start(case, "servers.py", str(SERVERS))
    assert servers.stdout is not None
    ports = json.loads(servers.stdout.readline())
    members = [Member(f"s-{i}", f"127.0.0.1:{port}") for i, port in enumerate(ports)]
    discovery = Discovery(case, members)
    await discovery.start()
    balancer = Balancer(case, "n1", config(discovery, members))
    await balancer.ready()
    job = Client.new_id()
    writer = start(case, "writer.py", balancer.host, str(balancer.port), job, str(LENGTH), str(CHUNK))
    assert writer.stdin is not None and writer.stdout is not None
    await loop.run_in_executor(None, writer.stdout.readline)

    async def fetch() -> None:
        txn, began, words = Client.new_id(), case.now(), "nothing"
        try:
            client = await Client.connect(balancer)
            client.writer.write(client.head("frame-fetch", txn, REMAINING_S))
            reply = await client.read_answer(WAIT_S)
            words = "a close" if reply is None else f"{reply.status} {reply.body.decode()}"
            client.close()
        except (OSError, TimeoutError) as error:
            words = type(error).__name__
        took = case.now() - began
        case.note(f"{txn} sent at {began:.3f}: {words}, after {took:.3f} s")
        if took > REMAINING_S + LATE_S:
            case.break_rule(f"{txn}, X-Remaining {REMAINING_S}: {words}, {took:.2f} s after it was sent")

    tasks = []
    for number in range(int(LENGTH_S / INTERVAL_S)):
        if number == 20:
            case.note(f"{job} begins: {LENGTH} bytes in chunks of {CHUNK}")
            writer.stdin.write(b"\n")
            writer.stdin.flush()
        tasks.append(asyncio.create_task(fetch()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    answered = loop.run_in_executor(None, writer.stdout.readline)
    done, _ = await asyncio.wait([answered], timeout=5.0)
    if not done:
        writer.kill()  # so that the reading of its output ends
    line = (await answered).decode().strip()
    case.note(f"{job}, the job: {line or 'no answer yet'}")


run_case(__file__, body)
