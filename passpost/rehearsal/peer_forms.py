"""Forms of requests and clients that an ordinary client never shows, drawn from a seed. No I/O.

`peers.py` plays them against a real balancer, beside ordinary clients.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from passpost.rehearsal.model import Class, Contract, NodeKind, Scenario, Tier

MIN_MEMORY_MB = 32  # LATER: the least limit that the operators' pages name
MEMORY_LIMITS_MB = (MIN_MEMORY_MB, 64, 192)
CLIENT_COUNTS = (40, 150, 320)  # up to a third of 1,024 descriptors
LONG_BYTES = 100_000  # of an answer or a body, over the 64 KiB up to which they are kept whole
HUGE_BYTES = 4_000_000
REMAINING_S = 1.5  # of ordinary requests


class Form(StrEnum):
    """What the unusual clients of a run do; each says what may go wrong."""

    SLOW_HEADS = "slow-heads"  # heads of very many short fields that never end
    MANY_FIELDS = "many-fields"  # whole heads of very many short fields
    HALF_BODIES = "half-bodies"  # bodies under 64 KiB that stop half way
    HALF_UPLOADS = "half-uploads"  # long bodies that stop half way
    TINY_CHUNKS = "tiny-chunks"  # long bodies in chunks of a few bytes, at full speed
    SLOW_READERS = "slow-readers"  # long answers that are hardly read
    PIPELINED = "pipelined"  # hundreds of requests at once
    FLOOD = "flood"  # requests on few connections at full speed
    MALFORMED = "malformed"  # unsound requests, each on a connection of its own, at full speed
    NEW_NAMES = "new-names"  # new tenants, fields and paths with each request, at full speed
    RECONNECT = "reconnect"  # connections that are opened and closed at full speed
    UPGRADES = "upgrades"  # jobs that offer an upgrade
    SLOW_ANSWERS = "slow-answers"  # long answers that come slowly
    TINY_ANSWERS = "tiny-answers"  # long answers in chunks of a byte


# Few connections at full speed are as much as one machine's clients can give.
FULL_SPEED = {Form.TINY_CHUNKS: 2, Form.FLOOD: 4, Form.MALFORMED: 4, Form.NEW_NAMES: 4, Form.RECONNECT: 4}
FEW = {Form.TINY_ANSWERS: 8, Form.UPGRADES: 12, Form.SLOW_ANSWERS: 24}


@dataclass(frozen=True, slots=True)
class PeerCase:
    """What one seed plays."""

    seed: int
    form: Form
    clients: int
    memory_mb: int


def draw_case(seed: int) -> PeerCase:
    """Draw the case of a seed; consecutive seeds go through all forms."""
    rng = random.Random(f"peers {seed}")
    form = list(Form)[seed % len(Form)]
    clients = FULL_SPEED.get(form) or FEW.get(form) or rng.choice(CLIENT_COUNTS)
    return PeerCase(seed, form, clients, rng.choice(MEMORY_LIMITS_MB))


def scenario() -> Scenario:
    """The classes and settings of all cases."""
    classes = (
        Class(name="frame", work_ms=1, aim_ms=1_000, deadline_ms=3_000),
        Class(name="submit", work_ms=1, aim_ms=1_000, deadline_ms=3_000, effect="keyed", window_ms=2_000),
    )
    tier = Tier(name="render", balancers=1, kinds=(NodeKind(name="plain", count=12),))
    return Scenario(
        version=1,
        title="Unusual peers",
        classes=classes,
        tiers=(tier,),
        contract=Contract(sockets=1_024, ask_within_ms=3_000),
    )


def head(method: str, target: str, txn: str, remaining: float, *lines: str) -> bytes:
    """The head of a request, with further lines."""
    first = [f"{method} {target} HTTP/1.1", "Host: b", f"X-Txn: {txn}", f"X-Remaining: {remaining:.3f}"]
    return ("\r\n".join([*first, *lines]) + "\r\n\r\n").encode()


def submit_head(txn: str, *lines: str) -> bytes:
    """The head of a keyed request with a body."""
    return head("POST", "/submit", txn, 2.9, f"Idempotency-Key: {txn}", *lines)


def short_fields(size: int) -> bytes:
    """As many fields as fit into a number of bytes."""
    return b"a:\r\n" * (size // 4)


def offer_job(txn: str, body: bytes, rng: random.Random) -> bytes:
    """A whole job that offers an upgrade, with a length or chunked."""
    offer = (
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
    )
    if rng.random() < 0.5:
        return submit_head(txn, f"Content-Length: {len(body)}", *offer) + body
    part = rng.choice((1, 100, 5_000))
    chunks = (body[i : i + part] for i in range(0, len(body), part))
    coded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return submit_head(txn, "Transfer-Encoding: chunked", *offer) + coded + b"0\r\n\r\n"


MALFORMED = (
    b"nonsense\r\n\r\n",
    b"GET /frame HTTP/1.1\r\nHost: b\r\n\r\n",
    b"POST /submit HTTP/1.1\r\nX-Txn: a\r\nContent-Length: -5\r\n\r\n",
    b"POST /submit HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"GET /nowhere HTTP/1.1\r\nX-Txn: a\r\n\r\n",
    b"GET /frame HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: soon\r\n\r\n",
)


def small_requests(form: Form, prefix: str, rng: random.Random) -> Iterator[bytes]:
    """Small requests without end, for clients at full speed."""
    number = 0
    while True:
        number += 1
        txn = f"{prefix}-{number}"
        if form is Form.MALFORMED:
            yield rng.choice(MALFORMED)
        elif form is Form.NEW_NAMES:
            yield head("GET", f"/frame?k={txn}", txn, 1.0, f"X-Org: org-{txn}", f"X-{txn}: 1")
        else:
            yield rng.choice(
                (
                    b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n",
                    head("GET", "/frame", txn, 0.0),
                    head("GET", "/frame", txn, 1.0),
                )
            )
