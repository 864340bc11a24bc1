"""A render node on the network: reads requests, works on them (machine.py), calls the next tier, answers."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable

from passpost.host import Address
from passpost.rehearsal.http import Pool, Request, RequestConnection, Result, write_request
from passpost.rehearsal.machine import Job, Machine
from passpost.rehearsal.model import Class, Contract, NodeKind, Tier
from passpost.rehearsal.speech import Asked, Speech
from passpost.rehearsal.stage import Stage, listen
from passpost.rehearsal.watch import InvariantChecker

REPEAT_PART = 0.1  # of its work that a dropped repeat costs
SPOILT = (
    b"HTTP/1.1 2x0 what\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\nno length",
    b"\x00\xff\x17 noise \r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch",
)


class Effects:
    """What all nodes of a tier remember together: keys, each with when it first ran."""

    def __init__(self) -> None:
        self._keys: dict[tuple[str, str], float] = {}

    def is_repeat(self, tier: str, key: str, now: float, window: float) -> bool:
        """Note that a keyed request runs; whether its key has run within the window."""
        first = self._keys.get((tier, key))
        if first is not None and now < first + window:
            return True
        self._keys[(tier, key)] = now
        if len(self._keys) > 50_000:
            self._keys = {k: at for k, at in self._keys.items() if at > now - 60}
        return False


class _Work:
    """One request inside the node."""

    def __init__(self, connection: _Connection, asked: Asked, cls: Class, number: int) -> None:
        self.connection: _Connection | None = connection
        self.asked, self.cls, self.number = asked, cls, number
        self.txn = asked.txn
        self.attempt = 0
        self.due = math.inf
        self.calls_left, self.work_after = 0, 0.0
        self.failed = False


class _Connection(RequestConnection):
    def __init__(self, node: Node, balancer: str) -> None:
        super().__init__(node.stage)
        self.node, self.balancer = node, balancer
        self.work: _Work | None = None
        self.full = len(node.connections) >= node.kind.connections
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.node.connections[self] = None
        self.node.machine.connected()
        self._rest()

    def data_received(self, data: bytes) -> None:
        self.node.when_awake(lambda: self._data(data))

    def _data(self, data: bytes) -> None:
        if self.transport is not None:
            super().data_received(data)

    def request_came(self, request: Request) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self.node.take(self, request)

    def answer(self, status: int, body: bytes = b"", more: str = "") -> None:
        """Answer, and wait for the next request or the end."""
        self.work = None
        sized = self.node.is_sized()
        self.node.when_awake(lambda: self.reply(status, body, more, self.full, sized))
        self._rest()

    def _rest(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle = loop.call_later(self.node.kind.idle_s, self._idled)

    def _idled(self) -> None:
        if self.transport is not None and self.work is None:
            self.transport.close()

    def gone(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self.node.connections.pop(self, None)
        if self.work is not None:
            self.work.connection = None  # a cancel stops no work


class Node:
    """One render node, from a start to its end."""

    def __init__(
        self,
        stage: Stage,
        watch: InvariantChecker,
        name: str,
        tier: Tier,
        kind: NodeKind,
        contract: Contract,
        classes: dict[str, Class],
        effects: Effects,
        seed: int,
        cold: bool,
        speech: Speech,
    ) -> None:
        self._speech = speech
        self.stage, self.watch, self.name, self.tier, self.kind = stage, watch, name, tier, kind
        self._contract, self._classes, self._effects, self._seed = contract, classes, effects, seed
        self.started = stage.now() if cold else -math.inf
        self.machine = Machine(kind, contract, stage.now(), cold)
        self.connections: dict[_Connection, None] = {}
        self._chance = random.Random(f"node {seed} {name} {self.started}")
        self._lengths = random.Random(f"lengths {seed} {name} {self.started}")
        self._works: dict[int, _Work] = {}
        self._count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._listening: list[Callable[[], None]] = []
        self.hangs, self.silent, self.halts = 0, 0, 0  # how many faults say so
        self.resets: list[float] = []
        self.spoils: list[float] = []
        self.next_tier: tuple[str, Address] | None = None  # its own balancer, where there is one
        self._pool = Pool(stage)
        self._calls = 0
        self.frozen, self.lag = 0, 0.0  # live nights: paused or cut off, and delayed
        self._late: deque[Callable[[], None]] = deque()
        self.said_fallen = False
        self.dead = False

    # ---- listening

    def is_sized(self) -> bool:
        """Whether the next answer tells its length."""
        return not self.kind.unsized or self._lengths.random() >= self.kind.unsized

    def listen(self, balancer: str, address: Address) -> Address:
        """Listen for one balancer, so that it is known who sends; the result is the address."""
        got, end = listen(self.stage.host, address, lambda: _Connection(self, balancer))
        self._listening.append(end)
        return got

    def close(self) -> None:
        """Listen no more and reset everything."""
        self.dead = True
        for end in self._listening:
            end()
        if self._timer is not None:
            self._timer.cancel()
        self._pool.close()
        for connection in list(self.connections):
            connection.abort()

    # ---- pauses and delays where the machine can't be stopped itself

    def when_awake(self, call: Callable[[], None]) -> None:
        """Run now, or, on a live night, when the node is no longer paused, and after its delay."""
        if not self.frozen and not self.lag and not self._late:
            call()
        else:
            self._late.append(call)
            if not self.frozen:
                asyncio.get_running_loop().call_later(self.lag, self._catch_up)

    def _catch_up(self) -> None:
        if self._late and not self.frozen:
            self._late.popleft()()

    def freeze(self, on: bool) -> None:
        """Stand still, or go on."""
        self.frozen += 1 if on else -1
        self.halt(on)
        while not self.frozen and self._late:
            self._late.popleft()()
        self._advance()

    def halt(self, on: bool) -> None:
        """Do no work, or go on with it."""
        self._advance()
        self.halts += 1 if on else -1
        self.machine.held_up = self.halts > 0
        self._advance()

    def hang(self, on: bool) -> None:
        """Take requests and do nothing with them, or go on."""
        self.hangs += 1 if on else -1
        self.halt(on)

    def slow(self, factor: float) -> None:
        """Work so many times slower."""
        self._advance()
        self.machine.slower *= factor
        self._advance()

    # ---- a request's way

    def take(self, connection: _Connection, request: Request) -> None:
        """A request is whole."""
        now = self.stage.now()
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
        self._count += 1
        work = _Work(connection, asked, cls, self._count)
        connection.work = work
        work.attempt = self.watch.attempt_received(
            request.begun, request.written, now, txn, self.name, connection.balancer
        )
        work.due = now + (cls.deadline_ms / 1000 if asked.remaining is None else asked.remaining)
        if connection.full:
            self._turn_away(work)
            return
        amount = self._draw(cls, txn) * self.tier.part
        if cls.effect == "keyed" and self._effects.is_repeat(
            self.tier.name, asked.key, now, cls.window_ms / 1000
        ):
            amount *= REPEAT_PART
        low, high = self.tier.calls if self.next_tier is not None else (0, 0)
        work.calls_left = self._chance.randint(low, high)
        before = amount / 2 if work.calls_left else amount
        work.work_after = amount - before
        if not self.machine.offer(Job(work.number, before), connection.balancer):
            if not self.hangs:
                self._turn_away(work)
        else:
            self._works[work.number] = work
        if self.machine.fallen and not self.said_fallen:
            self.said_fallen = True
            self.watch.node_overloaded(now, self.name, self.started, self.machine.pressure_by())
        self._advance()

    def _draw(self, cls: Class, txn: str) -> float:
        """The work of a request, in milliseconds: the same at every node and in every order of events."""
        if not cls.spread:
            return cls.work_ms
        shape = 1 / cls.spread**2
        return random.Random(f"work {self._seed} {txn}").gammavariate(shape, cls.work_ms / shape)

    def _turn_away(self, work: _Work) -> None:
        self.watch.attempt_turned_away(self.stage.now(), work.txn, self.name, work.attempt)
        if work.connection is not None:
            work.connection.answer(503, b"", "X-Turned-Away: 1\r\n")

    def _advance(self) -> None:
        """Bring the machine to now, and see to what has ended."""
        if self.dead:
            return
        for number in self.machine.advance(self.stage.now()):
            self._worked(self._works[number])
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.machine.next_at()) is not None:
            delay = max(at - self.stage.now(), 0.0)
            self._timer = asyncio.get_running_loop().call_later(delay, self._advance)

    def _worked(self, work: _Work) -> None:
        """A phase of its work is done."""
        if work.calls_left:
            self._call_on(work)
        elif work.work_after:
            rest, work.work_after = work.work_after, 0.0
            self.machine.resume(Job(work.number, rest))
        else:
            self._finish(work)

    def _call_on(self, work: _Work) -> None:
        """Make the next call to the next tier; it carries what is left of the time."""
        assert self.next_tier is not None
        work.calls_left -= 1
        now = self.stage.now()
        remaining = work.due - now
        if remaining <= 0:
            self._fail(work)
            return
        self._calls += 1
        txn = f"{work.txn}.{self.name}.{self._calls}"
        balancer, address = self.next_tier
        key, tenant = work.asked.key, work.asked.tenant

        def data() -> bytes:
            left = max(work.due - self.stage.now(), 0.0)
            self.watch.request_sent(self.stage.now(), txn, work.cls, balancer, work.due, work.txn)
            return write_request(
                work.cls.name, work.cls.effect, txn, left, tenant, f"{key}.{work.calls_left}"
            )

        def done(result: Result) -> None:
            tell(self.stage, self.watch, txn, result, self.excuse(balancer, now))
            if self.dead:
                return
            self._advance()
            if result.how == "answer" and result.answer is not None and result.answer.status == 200:
                self._worked(work)
            else:
                self._fail(work)
            self._advance()

        self._pool.call(balancer, address, data, remaining + 0.15, done)

    def excuse(self, balancer: str, since: float) -> str:
        """Why a call may end without an answer; set by the world."""
        return ""

    def _fail(self, work: _Work) -> None:
        self._end(work)
        if work.connection is not None and not self.silent:
            work.connection.answer(500)

    def _finish(self, work: _Work) -> None:
        self._end(work)
        connection = work.connection
        if connection is None or self.silent:
            return
        if self.resets and self._chance.random() < max(self.resets):
            connection.abort()
        elif self.spoils and self._chance.random() < max(self.spoils):
            connection.write(self._chance.choice(SPOILT))
        else:
            body = f"{work.txn} by {self.name}".encode()
            self.watch.node_responded(self.stage.now(), work.txn, self.name, body)
            connection.answer(200, body)

    def _end(self, work: _Work) -> None:
        """It gives up its slot; who waits gets it, unless its time is over."""
        self._works.pop(work.number, None)
        following = self.machine.leave()
        while following is not None:
            other = self._works[following.number]
            if other.due > self.stage.now():
                self.machine.resume(following)
                return
            self._works.pop(following.number, None)
            self._turn_away(other)
            following = self.machine.leave()


def tell(stage: Stage, watch: InvariantChecker, txn: str, result: Result, excuse: str) -> None:
    """What the watch hears of how a call ended."""
    now = stage.now()
    if result.how == "answer" and result.answer is not None:
        status = result.answer.status
        if status == 200:
            watch.response_served(now, txn, result.answer.body)
        elif status in (429, 503):
            watch.response_refused(now, txn)
        else:
            watch.response_failed(now, txn, status)
    elif result.how == "crossed":
        watch.response_excused(now, txn, "crossed the close of its connection")
    elif result.how == "unreached":
        return  # never asked
    elif excuse:
        watch.response_excused(now, txn, f"{result.how}: {excuse}")
    else:
        watch.response_lost(
            now,
            txn,
            {"silent": "no answer in time", "ended": "closed with no whole answer"}.get(
                result.how, "what came was no answer"
            ),
        )
