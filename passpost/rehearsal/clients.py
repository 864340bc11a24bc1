"""Clients: they send requests through the front, wait, retry, and give up."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from passpost.host import Address
from passpost.rehearsal.http import GRACE_S, Pool, Result
from passpost.rehearsal.model import Class, Scenario, Tenant
from passpost.rehearsal.nodes import tell
from passpost.rehearsal.speech import Speech
from passpost.rehearsal.stage import Stage
from passpost.rehearsal.watch import InvariantChecker

POLL_S = 0.2  # the front asks a balancer that starts whether it is ready this often
LEAVES_S = 0.3  # after SIGTERM the front deals out no more connections from so long on
UNREACHED_AGAIN_S = 0.05  # a client that could not connect tries elsewhere after this


@dataclass(slots=True)
class Job:
    """What a client wants: a first try and the retries that belong to it."""

    number: int
    cls: Class
    tenant: str
    key: str
    first: float
    tries: int = 0
    outcome: str = ""
    ended: float = 0.0
    reasons: list[str] = field(default_factory=list)


class Front:
    """Deals out connections among the balancers that it takes for alive and ready."""

    def __init__(self, stage: Stage, notice_s: float, ready: str) -> None:
        self._stage, self._notice, self._ready = stage, notice_s, ready
        self.addresses: dict[str, Address] = {}
        self._in: dict[str, None] = {}
        self._turn = 0
        self._pool = Pool(stage)
        self._starts: dict[str, int] = {}
        self.on_ready: Callable[[], None] = lambda: None

    def started(self, balancer: str) -> None:
        """A balancer has been started: ask it until it is ready."""
        self._starts[balancer] = self._starts.get(balancer, 0) + 1
        self._poll(balancer, self._starts[balancer])

    def _poll(self, balancer: str, start: int) -> None:
        if self._starts[balancer] != start:
            return
        ask = f"GET {self._ready} HTTP/1.1\r\nHost: front\r\n\r\n".encode()

        def done(result: Result) -> None:
            if self._starts[balancer] != start:
                return
            if result.answer is not None and result.answer.status == 200:
                self._in[balancer] = None
                self.on_ready()
            else:
                asyncio.get_running_loop().call_later(POLL_S, self._poll, balancer, start)

        self._pool.call(balancer, self.addresses[balancer], lambda: ask, 1.0, done, fresh=True)

    def stopping(self, balancer: str) -> None:
        """It has got SIGTERM."""
        self._starts[balancer] += 1
        asyncio.get_running_loop().call_later(LEAVES_S, self._in.pop, balancer, None)

    def died(self, balancer: str) -> None:
        """It was killed: noticed some time later."""
        self._starts[balancer] += 1
        start = self._starts[balancer]

        def notice() -> None:
            if self._starts[balancer] == start:
                self._in.pop(balancer, None)

        asyncio.get_running_loop().call_later(self._notice, notice)

    def is_ready(self, balancer: str) -> bool:
        """Whether it is dealt connections."""
        return balancer in self._in

    def deal(self) -> str | None:
        """The balancer that a new connection goes to."""
        if not self._in:
            return None
        self._turn += 1
        return list(self._in)[self._turn % len(self._in)]


class Clients:
    """All clients of a night."""

    def __init__(
        self,
        stage: Stage,
        watch: InvariantChecker,
        script: Scenario,
        seed: int,
        excuse: Callable[[str, float], str],
        speech: Speech,
    ) -> None:
        self._stage, self._watch, self._script, self._excuse = stage, watch, script, excuse
        self._speech = speech
        self.front = Front(stage, script.clients.notice_s, speech.ready)
        pieces = script.clients.pieces
        self._pools = [Pool(stage, pieces, f"{seed} {i}") for i in range(script.clients.processes)]
        self._random = random.Random(f"clients {seed}")
        # Arrivals are drawn apart from all else: what goes wrong must not change what is asked.
        self._arrivals = [random.Random(f"arrivals {seed} {i}") for i in range(len(self._pools))]
        self._moods = random.Random(f"moods {seed}")  # so are the impatient, and only where a script has any
        self._tenants = script.tenants or (Tenant(name="all"),)
        self.rushes: list[tuple[float, str]] = []
        self.jobs: list[Job] = []
        self.open = 0
        self._ends = 0.0
        self._txns = 0
        self.on_end: Callable[[Job], None] = lambda job: None

    def start(self, seconds: float) -> None:
        """Send for so long from now on."""
        self._ends = self._stage.now() + seconds
        for number in range(len(self._pools)):
            self._next(number)

    def is_over(self) -> bool:
        """Whether all has been sent and has ended."""
        return self._stage.now() >= self._ends and not self.open

    def _next(self, process: int) -> None:
        rate = self._script.clients.rate_per_s * self._most() / len(self._pools)
        gap = self._arrivals[process].expovariate(rate)
        asyncio.get_running_loop().call_later(gap, self._arrive, process)

    def _most(self) -> float:
        factor = 1.0
        for more, _ in self.rushes:
            factor *= max(more, 1.0)
        return factor

    def _arrive(self, process: int) -> None:
        now = self._stage.now()
        if now >= self._ends:
            return
        self._next(process)
        classes = self._script.classes
        chance = self._arrivals[process]
        cls = chance.choices(classes, [c.share for c in classes])[0]
        tenant = chance.choices(self._tenants, [t.share for t in self._tenants])[0].name
        wanted = 1.0
        for more, of in self.rushes:
            wanted *= more if of in ("", tenant) else 1.0
        if chance.random() >= wanted / self._most():  # of those drawn at the highest rate
            return
        job = Job(len(self.jobs), cls, tenant, f"{chance.getrandbits(64):016x}", now)
        self.jobs.append(job)
        self.open += 1
        self._try(job, process)

    def _try(self, job: Job, process: int, unreached: int = 0) -> None:
        """One try, on a free connection or on a new one."""
        now, cls = self._stage.now(), job.cls
        left = job.first + cls.deadline_ms / 1000 - now
        if left <= 0:
            self._end(job, "failed", "out of time")
            return
        pool = self._pools[process]
        balancer = (pool.idle_balancer() if not unreached else None) or self.front.deal()
        if balancer is None:
            self._again(job, process, UNREACHED_AGAIN_S, "no balancer", unreached + 1)
            return
        if not unreached:
            job.tries += 1
        wait = min(left, self._script.clients.try_share * cls.deadline_ms / 1000)
        self._txns += 1
        self._send(job, process, balancer, f"t{self._txns}", now + wait, unreached)

    def _send(
        self, job: Job, process: int, balancer: str, txn: str, due: float, unreached: int, fresh: bool = False
    ) -> None:
        pool, begun, cls, clients = self._pools[process], self._stage.now(), job.cls, self._script.clients

        def data() -> bytes:
            now = self._stage.now()
            self._watch.request_sent(now, txn, cls, balancer, due)
            tenant = job.tenant if self._script.tenants else ""
            topic = f"m{job.number % 997}"
            return self._speech.write(cls, txn, max(due - now, 0.001), tenant, job.key, topic)

        def done(result: Result) -> None:
            if result.how == "crossed" and not fresh:  # the same request once more, on a new connection
                self._watch.add_note(self._stage.now(), txn, "crossed a close; sent once more")
                self._send(job, process, balancer, txn, due, unreached, fresh=True)
                return
            if result.how == "left":
                self._watch.client_left(self._stage.now(), txn)
            else:
                tell(self._stage, self._watch, txn, result, self._excuse(balancer, begun))
            self._ended(job, process, result, unreached)

        wait = max(due - begun, 0.0) + GRACE_S
        call = pool.call(balancer, self.front.addresses[balancer], data, wait, done, fresh or unreached > 0)
        if clients.impatient and self._moods.random() < clients.impatient:
            after = self._moods.uniform(0.0, max(due - begun, 0.0))
            asyncio.get_running_loop().call_later(after, call.end, Result("left"))

    def _ended(self, job: Job, process: int, result: Result, unreached: int) -> None:
        clients, effect = self._script.clients, job.cls.effect
        if result.how == "left":
            self._end(job, "failed", "left")
            return
        if result.how == "unreached":
            self._again(job, process, UNREACHED_AGAIN_S, "unreached", unreached + 1)
            return
        status = result.answer.status if result.answer is not None else 0
        if status == 200:
            self._end(job, "served", "")
            return
        refused = status in (429, 503)
        reason = "refused" if refused else f"failed {status}" if status else result.how
        age = self._stage.now() - job.first
        may = refused or effect == "safe" or (effect == "keyed" and age < job.cls.window_ms / 1000)
        if not may or job.tries > clients.retries:
            self._end(job, "refused" if refused else "failed", reason)
            return
        wait = clients.backoff_ms / 1000
        if refused and self._random.random() < clients.honour:
            wait = max(wait, result.retry_after_s())
        self._again(job, process, wait, reason, 0)

    def _again(self, job: Job, process: int, wait: float, reason: str, unreached: int) -> None:
        job.reasons.append(reason)
        if self._stage.now() + wait - job.first >= job.cls.deadline_ms / 1000:
            self._end(job, "refused" if reason == "refused" else "failed", reason)
            return
        asyncio.get_running_loop().call_later(wait, self._try, job, process, unreached)

    def _end(self, job: Job, outcome: str, reason: str) -> None:
        job.outcome, job.ended = outcome, self._stage.now()
        if reason:
            job.reasons.append(reason)
        self.open -= 1
        self.on_end(job)
