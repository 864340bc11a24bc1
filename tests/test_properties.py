"""Checks the balancer's four rules in seeded random simulations, with unusual events and restarts.

The rules: no request is lost, no effect happens twice, draining servers get no calls, cold ones not too many.
The checker sees only events and actions, and shares no code with the decisions.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

import pytest

from tests.helpers import CLASSES, settings
from umberworks.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Readiness,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerDue,
)
from umberworks.rules import Balancer
from umberworks.slow_start import MIN_CORES

GRACE_MS = 20.0  # how much later than its deadline a request may be answered
MEAN_SERVICE_MS = 80.0  # mean time of a call at a warm server
NEVER_RAN = (Outcome.TURNED_AWAY, Outcome.UNREACHED, Outcome.NOT_SENT)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.BROKEN, Outcome.UNKNOWN)


@dataclass
class AttemptRecord:
    server: str
    cell: int
    zone: str
    sent: float
    out: bool = True
    may_have_run: bool = True


@dataclass
class RequestRecord:
    cls: RequestClass
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    final: str | None = None
    client_gone: bool = False


class Simulation:
    """Sends random events to a balancer and checks each action that it returns."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = settings(**({"calling_tier": 1} | changes))
        self.now = 50_000.0
        self.queue: list[tuple[float, int, Event]] = []
        self.count = 0
        self.records: dict[int, RequestRecord] = {}
        self.finished = 0
        self.finals = {"served": 0, "refused": 0, "failed": 0}
        self.retried = 0
        self.list: dict[str, Member] = {}
        self.sends: dict[str, list[float]] = {}
        self.subscribed_at = -1.0
        self.restart()

    def restart(self) -> None:
        self.queue = []
        self.records = {}
        self.sends = {}
        self.busiest = 0
        self.balancer = Balancer(self.settings, self.random.getrandbits(40))
        if not self.list:
            for i in range(6):
                self.list[f"s{i}"] = Member(f"s{i}", zone=f"z{i % 2}", cell=i // 3)
        self.send_event(ListUpdate(ListKind.SAVED, tuple(self.list.values())))

    def push(self, at: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, event))

    def send_event(self, event: Event) -> None:
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        match action:
            case Send(request, server, timeout):
                self.check_send(self.records[request], server)
                self.start(request, server, timeout)
            case Refuse(request):
                record = self.records[request]
                possibly_run = [t for t in record.attempts if t.may_have_run]
                repeatable = record.cls.effect is Effect.REPEATABLE or (
                    record.cls.effect is Effect.KEYED and record.cls.dedup_scope is DedupScope.ALL
                )
                assert not possibly_run or repeatable, "refused a request that may have run"
                self.finish(record, "refused")
            case Fail(request):
                self.finish(self.records[request], "failed")
            case Cancel(request, attempt):
                assert self.settings.may_cancel
                record = self.records[request]
                assert attempt < len(record.attempts), "cancelled an attempt never made"
                if record.attempts[attempt].out:
                    self.push(self.now, self.ending(request, attempt, Outcome.CANCELLED))
            case SetTimer(at, token):
                self.push(max(at, self.now + 0.01), TimerDue(token))
            case Subscribe():
                self.subscribed_at = self.now
                if self.random.random() < 0.4:
                    self.push(self.now + 30, ListUpdate(ListKind.FAILED))
                else:
                    self.push(self.now + 30, ListUpdate(ListKind.WHOLE, tuple(self.list.values())))

    def check_send(self, record: RequestRecord, server: str) -> None:
        assert record.final is None and not record.client_gone, "sent after the end"
        assert self.now <= record.deadline, "sent after the deadline"
        assert len(record.attempts) < self.settings.max_attempts, "more attempts than allowed"
        member = self.list.get(server)
        assert member is not None and member.readiness is Readiness.READY, "sent to a draining or gone server"
        if not self.settings.may_duplicate:
            assert not any(t.out for t in record.attempts), "two attempts out"
        possibly_run = [t for t in record.attempts if t.may_have_run]
        if possibly_run and record.cls.effect is not Effect.REPEATABLE:
            assert record.cls.effect is Effect.KEYED, "an unsafe request sent twice"
            assert self.now < possibly_run[0].sent + record.cls.dedup_window_ms, "repeated after the window"
            for earlier in possibly_run:
                if record.cls.dedup_scope is DedupScope.CELL:
                    assert earlier.cell == member.cell, "repeated outside the cell"
                if record.cls.dedup_scope is DedupScope.ZONE:
                    assert earlier.zone == member.zone, "repeated outside the zone"
        self.check_cold(member)

    def check_cold(self, member: Member) -> None:
        """A cold server may get one call in a window, or by its warmth a share of the calls of the busiest
        warm server, or of this balancer's part of the calls that a warm server with few cores can serve."""
        window = self.settings.cold_window_ms
        send_times = self.sends.setdefault(member.server, [])
        warmth = self.warmth(member)
        if warmth < 1:
            sequential = MIN_CORES * window / MEAN_SERVICE_MS / self.settings.balancers
            limit = self.settings.cold_overload_factor * warmth * max(self.busiest, sequential)
            count = 1 + sum(t > self.now - window for t in send_times)
            assert count <= max(1, limit), f"a cold server overloaded: {count} calls, at most {limit}"
        else:
            recent = sum(t > self.now - window for t in send_times)
            self.busiest = max(self.busiest, recent)
        send_times.append(self.now)

    def warmth(self, member: Member) -> float:
        age = self.now - member.up_since_ms
        if not member.up_since_ms or age >= self.settings.cold_ms:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * age / self.settings.cold_ms

    def start(self, request: int, server: str, timeout: float) -> None:
        record = self.records[request]
        member = self.list[server]
        attempt = len(record.attempts)
        if attempt:
            self.retried += 1
        record.attempts.append(AttemptRecord(server, member.cell, member.zone, self.now))
        limit = record.deadline - self.now
        limit = min(limit, timeout) if timeout > 0 else limit
        takes = self.random.expovariate(1 / MEAN_SERVICE_MS) / self.warmth(member)
        kind = self.random.random()
        if kind < 0.6 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, Outcome.SERVED))
        elif kind < 0.75 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, self.random.choice(NEVER_RAN)))
        elif kind < 0.9 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, self.random.choice(MAY_HAVE_RUN)))
        else:
            self.push(self.now + limit, self.ending(request, attempt, Outcome.TIMED_OUT))

    def ending(self, request: int, attempt: int, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(request, attempt, self.records[request].attempts[attempt].server, outcome)

    def finish(self, record: RequestRecord, how: str) -> None:
        assert record.final is None, "two final answers"
        if not record.client_gone:
            assert self.now <= record.deadline + GRACE_MS, "answered too late"
        record.final = how
        self.finished += 1
        self.finals[how] += 1

    def deliver(self, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            record = self.records[event.request]
            attempt_record = record.attempts[event.attempt]
            if not attempt_record.out:
                return
            attempt_record.out = False
            attempt_record.may_have_run = event.outcome not in NEVER_RAN
            if event.outcome is Outcome.SERVED and record.final is None and not record.client_gone:
                self.finish(record, "served")
            answered = record.final is not None or record.client_gone
            event = AttemptEnded(event.request, event.attempt, event.server, event.outcome, answered)
        if isinstance(event, ClientDisconnected):
            record = self.records[event.request]
            if record.final is not None:
                return
            record.client_gone = True
        if isinstance(event, ListUpdate):
            event = ListUpdate(event.kind, tuple(self.list.values()) if event.kind is ListKind.WHOLE else ())
        self.send_event(event)

    def change_list(self) -> None:
        name = self.random.choice(list(self.list))
        old = self.list[name]
        choice = self.random.random()
        if choice < 0.2:
            new = Member(name, Readiness.DRAINING, old.zone, old.cell, 1.0, old.up_since_ms)
        elif choice < 0.35:
            new = Member(name, Readiness.GONE, old.zone, old.cell, 1.0, old.up_since_ms)
        else:
            new = Member(name, Readiness.READY, old.zone, old.cell, 1.0, self.now)
            self.sends[name] = []  # calls to the old process don't load the new one
        self.list[name] = new
        self.send_event(ListUpdate(ListKind.CHANGES, (new,)))

    def shorten_list(self) -> None:
        if len(self.list) > 3:
            del self.list[self.random.choice(list(self.list))]
        else:
            self.count += 1
            for i in range(4):
                name = f"n{self.count}-{i}"
                self.list[name] = Member(name, zone=f"z{i % 2}", cell=self.count + i // 2)
        self.send_event(ListUpdate(ListKind.WHOLE, tuple(self.list.values())))

    def run(self, steps: int) -> None:
        number = 0
        for _ in range(steps):
            until = self.now + self.random.expovariate(1 / 15)
            while self.queue and self.queue[0][0] <= until:
                at, _, event = heapq.heappop(self.queue)
                self.now = max(self.now, at)
                self.deliver(event)
            self.now = until
            self.check_overdue()
            roll = self.random.random()
            if roll < 0.004:
                self.restart()
            elif roll < 0.016:
                self.change_list()
            elif roll < 0.022:
                self.shorten_list()
            else:
                number += 1
                cls = self.random.choice(self.settings.classes)
                left = self.random.choice((0.0, 1.0, 40.0, 400.0, 2_500.0))
                self.records[number] = RequestRecord(cls, self.now + left)
                self.send_event(RequestArrived(number, cls.name, left))
                if self.random.random() < 0.05:
                    self.push(self.now + self.random.random() * left, ClientDisconnected(number))

    def check_overdue(self) -> None:
        for number, record in self.records.items():
            late = record.final is None and not record.client_gone and self.now > record.deadline + GRACE_MS
            assert not late, f"request {number} was lost"


VARIANTS: list[dict[str, object]] = [
    {},
    {"calling_tier": 0, "classes": tuple(replace(c, aim_ms=2_990.0) for c in CLASSES)},
    {"may_duplicate": False},
    {"pulls_list": True},
    {"may_cancel": False, "max_attempts": 1},
    {"balancers": 9, "cold_from": 0.05, "cold_window_ms": 3_000.0},
    {"classes": CLASSES[:1], "may_duplicate": False, "pulls_list": True},
]


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_in_random_simulations(variant: int, seed: int) -> None:
    simulation = Simulation(seed, **VARIANTS[variant])
    simulation.run(1_500)
    assert simulation.finals["served"] > 200, "a run in which nothing is served checks nothing"
    assert simulation.finals["failed"] + simulation.finals["refused"] > 20
    if simulation.settings.max_attempts > 1:
        assert simulation.retried > 10
