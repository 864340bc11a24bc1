"""Simulated node on the network: reads requests, does their work (machine.py), calls the next tier and responds."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable

from passpost.host import Address
from passpost.rehearsal.http import ConnectionPool, Request, RequestConnection, Result, write_request
from passpost.rehearsal.machine import Job, Machine
from passpost.rehearsal.model import Class, Contract, NodeKind, Tier
from passpost.rehearsal.speech import ParsedRequest, RequestFormat
from passpost.rehearsal.stage import Backend, listen
from passpost.rehearsal.watch import InvariantChecker

REPEAT_WORK_SHARE = 0.1  # share of its work that a deduplicated repeat costs
MALFORMED_RESPONSES = (
    b"HTTP/1.1 2x0 what\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\nno length",
    b"\x00\xff\x17 noise \r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch",
)


class IdempotencyKeys:
    """Idempotency keys that the nodes of a tier or cell share, each with the time of its first run."""

    def __init__(self) -> None:
        self._first_run_at: dict[tuple[str, str], float] = {}

    def is_repeat(self, group: str, key: str, now: float, window: float) -> bool:
        """Record that a keyed request runs; return whether its key already ran within `window` seconds."""
        first_run_at = self._first_run_at.get((group, key))
        if first_run_at is not None and now < first_run_at + window:
            return True
        self._first_run_at[(group, key)] = now
        if len(self._first_run_at) > 50_000:
            self._first_run_at = {entry: at for entry, at in self._first_run_at.items() if at > now - 60}
        return False


class _PendingRequest:
    """A request inside the node, from its last byte to its response."""

    def __init__(self, connection: _Connection, asked: ParsedRequest, cls: Class, number: int) -> None:
        self.connection: _Connection | None = connection
        self.asked, self.cls, self.number = asked, cls, number
        self.txn = asked.txn
        self.attempt = 0
        self.deadline_at = math.inf
        self.calls_remaining, self.work_after_calls_ms = 0, 0.0
        self.failed = False


class _Connection(RequestConnection):
    def __init__(self, node: Node, balancer: str) -> None:
        super().__init__(node.backend)
        self.node, self.balancer = node, balancer
        self.pending: _PendingRequest | None = None
        self.over_limit = len(node.connections) >= node.kind.connections
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.node.connections[self] = None
        self.node.machine.add_connection()
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        self.node.run_unless_paused(lambda: self._process_data(data))

    def _process_data(self, data: bytes) -> None:
        if self.transport is not None:
            super().data_received(data)

    def request_received(self, request: Request) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.node.handle_request(self, request)

    def answer(self, status: int, body: bytes = b"", more: str = "") -> None:
        """Send a response and wait for the next request or the end of the connection."""
        self.pending = None
        sized = self.node.is_sized()
        self.node.run_unless_paused(lambda: self.reply(status, body, more, self.over_limit, sized))
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(self.node.kind.idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.transport is not None and self.pending is None:
            self.transport.close()

    def connection_closed(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.node.connections.pop(self, None)
        if self.pending is not None:
            self.pending.connection = None  # cancellation does not stop the work


class Node:
    """One simulated node process, from its start to its end."""

    def __init__(
        self,
        backend: Backend,
        checker: InvariantChecker,
        name: str,
        tier: Tier,
        kind: NodeKind,
        contract: Contract,
        classes: dict[str, Class],
        idempotency_keys: IdempotencyKeys,
        seed: int,
        cold: bool,
        speech: RequestFormat,
        cell: int = 0,
    ) -> None:
        self._speech, self._cell = speech, cell
        self.backend, self.checker, self.name, self.tier, self.kind = backend, checker, name, tier, kind
        self._contract, self._classes, self._idempotency_keys, self._seed = (
            contract,
            classes,
            idempotency_keys,
            seed,
        )
        self.started_at = backend.now() if cold else -math.inf
        self.machine = Machine(kind, contract, backend.now(), cold)
        self.connections: dict[_Connection, None] = {}
        self._random = random.Random(f"node {seed} {name} {self.started_at}")
        self._length_random = random.Random(f"lengths {seed} {name} {self.started_at}")
        self._pending_by_number: dict[int, _PendingRequest] = {}
        self._request_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._listener_closers: list[Callable[[], None]] = []
        self.hang_count, self.silent_count, self.stop_count = 0, 0, 0  # number of active faults of each kind
        self.reset_shares: list[float] = []
        self.malformed_shares: list[float] = []
        # The node's own balancer for the next tier, with its address; None in the last tier.
        self.next_tier: tuple[str, Address] | None = None
        self._pool = ConnectionPool(backend)
        self._call_count = 0
        self.pause_count, self.delay_s = 0, 0.0  # live runs only: active pauses and partitions; added delay
        self._deferred: deque[Callable[[], None]] = deque()
        self.collapse_reported = False
        self.dead = False

    # ---- listeners

    def is_sized(self) -> bool:
        """Whether the next response has a Content-Length header."""
        return not self.kind.unsized or self._length_random.random() >= self.kind.unsized

    def listen(self, balancer: str, address: Address) -> Address:
        """Open a listener for one balancer, which identifies the sender; return its address."""
        bound_address, close_listener = listen(
            self.backend.host, address, lambda: _Connection(self, balancer)
        )
        self._listener_closers.append(close_listener)
        return bound_address

    def close(self) -> None:
        """Close all listeners and reset all connections."""
        self.dead = True
        for close_listener in self._listener_closers:
            close_listener()
        if self._timer is not None:
            self._timer.cancel()
        self._pool.close()
        for connection in list(self.connections):
            connection.abort()

    # ---- pauses and delays (live runs can't stop a node, which runs inside the simulator's process)

    def run_unless_paused(self, callback: Callable[[], None]) -> None:
        """Run `callback` now; in a live run, once the node is no longer paused and after its added delay."""
        if not self.pause_count and not self.delay_s and not self._deferred:
            callback()
        else:
            self._deferred.append(callback)
            if not self.pause_count:
                asyncio.get_running_loop().call_later(self.delay_s, self._run_next_deferred)

    def _run_next_deferred(self) -> None:
        if self._deferred and not self.pause_count:
            self._deferred.popleft()()

    def set_paused(self, on: bool) -> None:
        """Begin or end a pause: no work advances, and received data and responses are deferred."""
        self.pause_count += 1 if on else -1
        self.set_stopped(on)
        while not self.pause_count and self._deferred:
            self._deferred.popleft()()
        self._advance()

    def set_stopped(self, on: bool) -> None:
        """Stop or resume all work; requests are still accepted."""
        self._advance()
        self.stop_count += 1 if on else -1
        self.machine.stopped = self.stop_count > 0
        self._advance()

    def set_hanging(self, on: bool) -> None:
        """Begin or end a hang: requests get no response, not even a rejection while the wait queue is full."""
        self.hang_count += 1 if on else -1
        self.set_stopped(on)

    def slow_down(self, factor: float) -> None:
        """Make the node `factor` times slower; a factor below 1 undoes an earlier slowdown."""
        self._advance()
        self.machine.slowdown *= factor
        self._advance()

    # ---- handling of a request

    def handle_request(self, connection: _Connection, request: Request) -> None:
        """Handle a completely read request."""
        now = self.backend.now()
        asked = self._speech.read(request)
        cls = self._classes.get(asked.cls) if asked is not None else None
        if request.path in ("/health/live", "/stats"):
            connection.reply(200, b"{}")
            return
        if asked is None or cls is None:
            connection.reply(404, close=True)
            return
        txn = asked.txn
        self._advance()
        self._request_count += 1
        pending = _PendingRequest(connection, asked, cls, self._request_count)
        connection.pending = pending
        pending.attempt = self.checker.attempt_received(
            request.first_byte_sent_at,
            request.last_byte_sent_at,
            now,
            txn,
            self.name,
            connection.balancer,
            self._cell,
        )
        pending.deadline_at = now + (cls.deadline_ms / 1000 if asked.remaining is None else asked.remaining)
        if connection.over_limit:
            self._reject(pending)
            return
        work_ms = self._draw_work_ms(cls, txn) * self.tier.part
        group = f"{self.tier.name} {self._cell}" if cls.scope == "cell" else self.tier.name
        if cls.effect == "keyed" and self._idempotency_keys.is_repeat(
            group, asked.key, now, cls.window_ms / 1000
        ):
            work_ms *= REPEAT_WORK_SHARE
        low, high = self.tier.calls if self.next_tier is not None else (0, 0)
        pending.calls_remaining = self._random.randint(low, high)
        work_before_calls_ms = work_ms / 2 if pending.calls_remaining else work_ms
        pending.work_after_calls_ms = work_ms - work_before_calls_ms
        if not self.machine.offer(Job(pending.number, work_before_calls_ms), connection.balancer):
            if not self.hang_count:
                self._reject(pending)
        else:
            self._pending_by_number[pending.number] = pending
        if self.machine.collapsed and not self.collapse_reported:
            self.collapse_reported = True
            self.checker.node_overloaded(now, self.name, self.started_at, self.machine.pressure_by_sender())
        self._advance()

    def _draw_work_ms(self, cls: Class, txn: str) -> float:
        """Work of a request in milliseconds; it is the same at every node and for every order of events."""
        if not cls.spread:
            return cls.work_ms
        shape = 1 / cls.spread**2
        return random.Random(f"work {self._seed} {txn}").gammavariate(shape, cls.work_ms / shape)

    def _reject(self, pending: _PendingRequest) -> None:
        self.checker.attempt_turned_away(self.backend.now(), pending.txn, self.name, pending.attempt)
        if pending.connection is not None:
            pending.connection.answer(503, b"", "X-Turned-Away: 1\r\n")

    def _advance(self) -> None:
        """Advance the machine model to now and continue with the requests whose work is done."""
        if self.dead:
            return
        for number in self.machine.advance(self.backend.now()):
            self._finish_phase(self._pending_by_number[number])
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.machine.next_event_at()) is not None:
            delay = max(at - self.backend.now(), 0.0)
            self._timer = asyncio.get_running_loop().call_later(delay, self._advance)

    def _finish_phase(self, pending: _PendingRequest) -> None:
        """Continue after a phase of work: call the next tier, do the remaining work, or respond."""
        if pending.calls_remaining:
            self._call_next_tier(pending)
        elif pending.work_after_calls_ms:
            remaining_work_ms, pending.work_after_calls_ms = pending.work_after_calls_ms, 0.0
            self.machine.resume(Job(pending.number, remaining_work_ms))
        else:
            self._finish(pending)

    def _call_next_tier(self, pending: _PendingRequest) -> None:
        """Send the next call to the next tier with the remaining time."""
        assert self.next_tier is not None
        pending.calls_remaining -= 1
        now = self.backend.now()
        remaining = pending.deadline_at - now
        if remaining <= 0:
            self._fail(pending)
            return
        self._call_count += 1
        txn = f"{pending.txn}.{self.name}.{self._call_count}"
        balancer, address = self.next_tier
        key, tenant = pending.asked.key, pending.asked.tenant

        def data() -> bytes:
            remaining_s = max(pending.deadline_at - self.backend.now(), 0.0)
            self.checker.request_sent(
                self.backend.now(), txn, pending.cls, balancer, pending.deadline_at, pending.txn
            )
            return write_request(
                pending.cls.name,
                pending.cls.effect,
                txn,
                remaining_s,
                tenant,
                f"{key}.{pending.calls_remaining}",
            )

        def done(result: Result) -> None:
            report_result(self.backend, self.checker, txn, result, self.excuse_for(balancer, now))
            if self.dead:
                return
            self._advance()
            if result.end_reason == "answer" and result.answer is not None and result.answer.status == 200:
                self._finish_phase(pending)
            else:
                self._fail(pending)
            self._advance()

        self._pool.call(balancer, address, data, remaining + 0.15, done)

    def excuse_for(self, balancer: str, since: float) -> str:
        """Return the fault that excuses a call without a response, or ""; replaced by World."""
        return ""

    def _fail(self, pending: _PendingRequest) -> None:
        self._release_slot(pending)
        if pending.connection is not None and not self.silent_count:
            pending.connection.answer(500)

    def _finish(self, pending: _PendingRequest) -> None:
        self._release_slot(pending)
        connection = pending.connection
        if connection is None or self.silent_count:
            return
        if self.reset_shares and self._random.random() < max(self.reset_shares):
            connection.abort()
        elif self.malformed_shares and self._random.random() < max(self.malformed_shares):
            connection.write(self._random.choice(MALFORMED_RESPONSES))
        else:
            body = f"{pending.txn} by {self.name}".encode().ljust(pending.cls.answer_bytes, b".")
            self.checker.node_responded(self.backend.now(), pending.txn, self.name, body)
            connection.answer(200, body)

    def _release_slot(self, pending: _PendingRequest) -> None:
        """Release the slot of a request; the next queued request whose deadline has not passed takes it."""
        self._pending_by_number.pop(pending.number, None)
        next_job = self.machine.release_slot()
        while next_job is not None:
            next_pending = self._pending_by_number[next_job.number]
            if next_pending.deadline_at > self.backend.now():
                self.machine.resume(next_job)
                return
            self._pending_by_number.pop(next_job.number, None)
            self._reject(next_pending)
            next_job = self.machine.release_slot()


def report_result(backend: Backend, checker: InvariantChecker, txn: str, result: Result, excuse: str) -> None:
    """Report the result of a call to the checker."""
    now = backend.now()
    if result.end_reason == "answer" and result.answer is not None:
        status = result.answer.status
        if status == 200:
            checker.response_served(now, txn, result.answer.body)
        elif status in (429, 503):
            checker.response_refused(now, txn)
        else:
            checker.response_failed(now, txn, status)
    elif result.end_reason == "crossed":
        checker.response_excused(now, txn, "crossed the close of its connection")
    elif result.end_reason == "unreached":
        return  # the request was never sent
    elif excuse:
        checker.response_excused(now, txn, f"{result.end_reason}: {excuse}")
    else:
        checker.response_lost(
            now,
            txn,
            {"silent": "no answer in time", "ended": "closed with no whole answer"}.get(
                result.end_reason, "what came was no answer"
            ),
        )
