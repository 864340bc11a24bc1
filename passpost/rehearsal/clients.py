"""Simulated clients: they send requests to the balancers, wait, retry and give up."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from passpost.host import Address
from passpost.rehearsal.http import LATE_ANSWER_GRACE_S, ConnectionPool, Result
from passpost.rehearsal.model import Class, Scenario, Tenant
from passpost.rehearsal.nodes import report_result
from passpost.rehearsal.speech import RequestFormat
from passpost.rehearsal.stage import Backend
from passpost.rehearsal.watch import InvariantChecker

READY_POLL_S = 0.2  # interval of readiness probes to a balancer that is starting
STOP_TO_REMOVAL_S = 0.3  # time from SIGTERM until a balancer gets no new connections
UNREACHED_RETRY_S = 0.05  # delay before a client that could not connect tries another balancer


@dataclass(slots=True)
class ClientRequest:
    """One logical request of a client, with its first attempt and all retries."""

    number: int
    cls: Class
    tenant: str
    key: str
    started_at: float
    tries: int = 0
    outcome: str = ""
    ended_at: float = 0.0
    reasons: list[str] = field(default_factory=list)


class ConnectionDistributor:
    """Distributes new connections round robin among the balancers it considers alive and ready."""

    def __init__(self, backend: Backend, death_notice_s: float, ready_path: str) -> None:
        self._backend, self._death_notice_s, self._ready_path = backend, death_notice_s, ready_path
        self.addresses: dict[str, Address] = {}
        self._in_rotation: dict[str, None] = {}
        self._next_index = 0
        self._pool = ConnectionPool(backend)
        self._generations: dict[str, int] = {}
        self.on_ready: Callable[[], None] = lambda: None

    def balancer_started(self, balancer: str) -> None:
        """Probe a balancer that has been started until it is ready, then add it to the rotation."""
        self._generations[balancer] = self._generations.get(balancer, 0) + 1
        self._poll_ready(balancer, self._generations[balancer])

    def _poll_ready(self, balancer: str, generation: int) -> None:
        if self._generations[balancer] != generation:
            return
        ready_request = f"GET {self._ready_path} HTTP/1.1\r\nHost: front\r\n\r\n".encode()

        def handle(result: Result) -> None:
            if self._generations[balancer] != generation:
                return
            if result.answer is not None and result.answer.status == 200:
                self._in_rotation[balancer] = None
                self.on_ready()
            else:
                asyncio.get_running_loop().call_later(READY_POLL_S, self._poll_ready, balancer, generation)

        self._pool.call(balancer, self.addresses[balancer], lambda: ready_request, 1.0, handle, fresh=True)

    def balancer_stopping(self, balancer: str) -> None:
        """Take a balancer out of rotation STOP_TO_REMOVAL_S after SIGTERM."""
        self._generations[balancer] += 1
        asyncio.get_running_loop().call_later(STOP_TO_REMOVAL_S, self._in_rotation.pop, balancer, None)

    def balancer_died(self, balancer: str) -> None:
        """Take a killed balancer out of rotation once the death is noticed."""
        self._generations[balancer] += 1
        generation = self._generations[balancer]

        def remove() -> None:
            if self._generations[balancer] == generation:
                self._in_rotation.pop(balancer, None)

        asyncio.get_running_loop().call_later(self._death_notice_s, remove)

    def is_ready(self, balancer: str) -> bool:
        """Whether the balancer gets new connections."""
        return balancer in self._in_rotation

    def pick_balancer(self) -> str | None:
        """Return the balancer for a new connection, or None if none is in rotation."""
        if not self._in_rotation:
            return None
        self._next_index += 1
        return list(self._in_rotation)[self._next_index % len(self._in_rotation)]


class Clients:
    """All clients of one run, spread over processes with a connection pool each."""

    def __init__(
        self,
        backend: Backend,
        checker: InvariantChecker,
        scenario: Scenario,
        seed: int,
        excuse_for: Callable[[str, float], str],
        speech: RequestFormat,
    ) -> None:
        self._backend, self._checker, self._scenario, self._excuse_for = (
            backend,
            checker,
            scenario,
            excuse_for,
        )
        self._speech = speech
        self.front = ConnectionDistributor(backend, scenario.clients.notice_s, speech.ready_path)
        pieces = scenario.clients.pieces
        self._pools = [
            ConnectionPool(backend, pieces, f"{seed} {i}") for i in range(scenario.clients.processes)
        ]
        self._random = random.Random(f"clients {seed}")
        # Arrivals have their own generators, so that failures do not change which requests are sent.
        self._arrivals = [random.Random(f"arrivals {seed} {i}") for i in range(len(self._pools))]
        # Impatient clients too; nothing is drawn for a scenario that has none.
        self._impatience_random = random.Random(f"moods {seed}")
        self._tenants = scenario.tenants or (Tenant(name="all"),)
        self.rate_surges: list[tuple[float, str]] = []
        self.requests: list[ClientRequest] = []
        self.open_count = 0
        self._stop_at = 0.0
        self._txn_count = 0
        self.on_complete: Callable[[ClientRequest], None] = lambda request: None

    def start(self, duration_s: float) -> None:
        """Send requests for `duration_s` seconds from now on."""
        self._stop_at = self._backend.now() + duration_s
        for number in range(len(self._pools)):
            self._schedule_arrival(number)

    def is_finished(self) -> bool:
        """Whether the sending period is over and every request has ended."""
        return self._backend.now() >= self._stop_at and not self.open_count

    def _schedule_arrival(self, process: int) -> None:
        rate_per_s = self._scenario.clients.rate_per_s * self._max_rate_factor() / len(self._pools)
        gap_s = self._arrivals[process].expovariate(rate_per_s)
        asyncio.get_running_loop().call_later(gap_s, self._handle_arrival, process)

    def _max_rate_factor(self) -> float:
        factor = 1.0
        for surge_factor, _ in self.rate_surges:
            factor *= max(surge_factor, 1.0)
        return factor

    def _handle_arrival(self, process: int) -> None:
        now = self._backend.now()
        if now >= self._stop_at:
            return
        self._schedule_arrival(process)
        classes = self._scenario.classes
        arrival_random = self._arrivals[process]
        cls = arrival_random.choices(classes, [c.share for c in classes])[0]
        tenant = arrival_random.choices(self._tenants, [t.share for t in self._tenants])[0].name
        rate_factor = 1.0
        for surge_factor, surge_tenant in self.rate_surges:
            rate_factor *= surge_factor if surge_tenant in ("", tenant) else 1.0
        # Arrivals are drawn at the highest rate; this thins them to the tenant's current rate.
        if arrival_random.random() >= rate_factor / self._max_rate_factor():
            return
        request = ClientRequest(
            len(self.requests), cls, tenant, f"{arrival_random.getrandbits(64):016x}", now
        )
        self.requests.append(request)
        self.open_count += 1
        self._start_attempt(request, process)

    def _start_attempt(self, request: ClientRequest, process: int, unreached_count: int = 0) -> None:
        """Send the first attempt or a retry on an idle connection or a new one."""
        now, cls = self._backend.now(), request.cls
        remaining_s = request.started_at + cls.deadline_ms / 1000 - now
        if remaining_s <= 0:
            self._complete(request, "failed", "out of time")
            return
        pool = self._pools[process]
        balancer = (pool.last_idle_balancer() if not unreached_count else None) or self.front.pick_balancer()
        if balancer is None:
            self._retry_later(request, process, UNREACHED_RETRY_S, "no balancer", unreached_count + 1)
            return
        if not unreached_count:
            request.tries += 1
        wait_s = min(remaining_s, self._scenario.clients.try_share * cls.deadline_ms / 1000)
        self._txn_count += 1
        self._send(request, process, balancer, f"t{self._txn_count}", now + wait_s, unreached_count)

    def _send(
        self,
        request: ClientRequest,
        process: int,
        balancer: str,
        txn: str,
        deadline_at: float,
        unreached_count: int,
        new_connection: bool = False,
    ) -> None:
        pool, sent_at, cls, clients = (
            self._pools[process],
            self._backend.now(),
            request.cls,
            self._scenario.clients,
        )

        def request_bytes() -> bytes:
            now = self._backend.now()
            self._checker.request_sent(now, txn, cls, balancer, deadline_at)
            tenant = request.tenant if self._scenario.tenants else ""
            topic = f"m{request.number % 997}"
            return self._speech.write(cls, txn, max(deadline_at - now, 0.001), tenant, request.key, topic)

        def handle(result: Result) -> None:
            if result.end_reason == "crossed" and not new_connection:  # sent again on a new connection
                self._checker.add_note(self._backend.now(), txn, "crossed a close; sent once more")
                self._send(request, process, balancer, txn, deadline_at, unreached_count, new_connection=True)
                return
            if result.end_reason == "left":
                self._checker.client_left(self._backend.now(), txn)
            else:
                report_result(self._backend, self._checker, txn, result, self._excuse_for(balancer, sent_at))
            self._handle_result(request, process, result, unreached_count)

        wait_s = max(deadline_at - sent_at, 0.0) + LATE_ANSWER_GRACE_S
        call = pool.call(
            balancer,
            self.front.addresses[balancer],
            request_bytes,
            wait_s,
            handle,
            new_connection or unreached_count > 0,
        )
        if clients.impatient and self._impatience_random.random() < clients.impatient:
            hang_up_after_s = self._impatience_random.uniform(0.0, max(deadline_at - sent_at, 0.0))
            asyncio.get_running_loop().call_later(hang_up_after_s, call.finish, Result("left"))

    def _handle_result(
        self, request: ClientRequest, process: int, result: Result, unreached_count: int
    ) -> None:
        clients, effect = self._scenario.clients, request.cls.effect
        if result.end_reason == "left":
            self._complete(request, "failed", "left")
            return
        if result.end_reason == "unreached":
            self._retry_later(request, process, UNREACHED_RETRY_S, "unreached", unreached_count + 1)
            return
        status = result.answer.status if result.answer is not None else 0
        if status == 200:
            self._complete(request, "served", "")
            return
        refused = status in (429, 503)
        reason = "refused" if refused else f"failed {status}" if status else result.end_reason
        age_s = self._backend.now() - request.started_at
        may_retry = (
            refused or effect == "safe" or (effect == "keyed" and age_s < request.cls.window_ms / 1000)
        )
        if not may_retry or request.tries > clients.retries:
            self._complete(request, "refused" if refused else "failed", reason)
            return
        wait_s = clients.backoff_ms / 1000
        if refused and self._random.random() < clients.honour:
            wait_s = max(wait_s, result.retry_after_s())
        self._retry_later(request, process, wait_s, reason, 0)

    def _retry_later(
        self, request: ClientRequest, process: int, wait_s: float, reason: str, unreached_count: int
    ) -> None:
        request.reasons.append(reason)
        if self._backend.now() + wait_s - request.started_at >= request.cls.deadline_ms / 1000:
            self._complete(request, "refused" if reason == "refused" else "failed", reason)
            return
        asyncio.get_running_loop().call_later(wait_s, self._start_attempt, request, process, unreached_count)

    def _complete(self, request: ClientRequest, outcome: str, reason: str) -> None:
        request.outcome, request.ended_at = outcome, self._backend.now()
        if reason:
            request.reasons.append(reason)
        self.open_count -= 1
        self.on_complete(request)
