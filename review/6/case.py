"""Requests that offer an upgrade to HTTP/2, as common client libraries do: what do the servers get?"""

from __future__ import annotations

import hashlib
import sys
from asyncio import StreamWriter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from stand import (
    TROUBLE,
    Balancer,
    Case,
    Client,
    Discovery,
    Member,
    Request,
    Upstream,
    answer,
    config,
    run_case,
)

# RFC 9110, 7.8: who does not know the protocol ignores the offer and answers the request as it is.
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2_Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
}
LENGTHS = [40, 212, 1_000, 8_000, 30_000, 60_000]
SERVERS = 10
REMAINING_S = 2.0


def digest(body: bytes) -> str:
    """What a server answers: proof of the body that it got."""
    return f"{len(body)} bytes, {hashlib.sha256(body).hexdigest()}"


async def body(case: Case) -> None:
    """Send jobs one after the other; compare what each client sent with what the servers got under its id."""

    async def take(request: Request, writer: StreamWriter) -> None:
        writer.write(answer(digest(request.body).encode()))

    servers = [Upstream(case, f"s-{i}", take) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    members = [Member(server.name, server.address) for server in servers]
    discovery = Discovery(case, members)
    await discovery.start()
    balancer = Balancer(case, "n1", config(discovery, members))
    await balancer.ready()

    for length in LENGTHS:
        for chunked in (False, True):
            job, txn = (b"a job of a practice; " * 4_000)[:length], Client.new_id()
            offer = OFFER if TROUBLE else {}
            client = await Client.connect(balancer)
            if chunked:
                head = Client.head(
                    "job-submit",
                    txn,
                    REMAINING_S,
                    "GET",
                    Idempotency_Key=txn,
                    Transfer_Encoding="chunked",
                    **offer,
                ).replace(b"GET", b"POST", 1)
                client.writer.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (length, job))
            else:
                head = Client.head(
                    "job-submit", txn, REMAINING_S, "POST", length, Idempotency_Key=txn, **offer
                )
                client.writer.write(head + job)
            reply = await client.read_answer(REMAINING_S + 2)
            client.close()
            case.note(
                f"sent {txn}, {digest(job)}{', chunked' if chunked else ''}; "
                f"answered {reply and (reply.status, reply.body.decode())}"
            )
            for server in servers:
                for at, request in server.requests:
                    if request.txn == txn and request.body != job:
                        case.break_rule(
                            f"{server.name} got {txn} at {at:.3f} with {len(request.body)} of {length} bytes, "
                            f"and the client was answered {reply.status if reply else 'nothing'}"
                        )


run_case(__file__, body)
