"""An independent checker of the four rules, driven by seeded random days: legal, odd, with restarts.

The checker knows only events and actions; it shares no code with the decisions.
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
    ClientLeft,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Readiness,
    Refuse,
    RepeatGroup,
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

GRACE_MS = 20.0
TAKES_MS = 80.0  # mean of a call at a warm server
NEVER_RAN = (Outcome.TURNED_AWAY, Outcome.UNREACHED, Outcome.NOT_SENT)
COSTLY = (Outcome.ERROR, Outcome.BROKEN, Outcome.UNKNOWN)


@dataclass
class Try:
    server: str
    cell: int
    zone: str
    sent: float
    out: bool = True
    may_have_run: bool = True


@dataclass
class Case:
    cls: RequestClass
    deadline: float
    tries: list[Try] = field(default_factory=list)
    final: str | None = None
    gone: bool = False


class Day:
    """Plays random events against one balancer and checks each action as it comes."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = settings(**({"calling_tier": 1} | changes))
        self.now = 50_000.0
        self.queue: list[tuple[float, int, Event]] = []
        self.count = 0
        self.cases: dict[int, Case] = {}
        self.finished = 0
        self.finals = {"served": 0, "refused": 0, "failed": 0}
        self.retried = 0
        self.list: dict[str, Member] = {}
        self.sends: dict[str, list[float]] = {}
        self.subscribed_at = -1.0
        self.restart()

    def restart(self) -> None:
        self.queue = []
        self.cases = {}
        self.sends = {}
        self.busiest = 0
        self.balancer = Balancer(self.settings, self.random.getrandbits(40))
        if not self.list:
            for i in range(6):
                self.list[f"s{i}"] = Member(f"s{i}", zone=f"z{i % 2}", cell=i // 3)
        self.tell(ListUpdate(ListKind.SAVED, tuple(self.list.values())))

    def push(self, at: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, event))

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        match action:
            case Send(request, server, timeout):
                self.check_send(self.cases[request], server)
                self.start(request, server, timeout)
            case Refuse(request):
                case = self.cases[request]
                maybe = [t for t in case.tries if t.may_have_run]
                once_more = case.cls.effect is Effect.REPEATABLE or (
                    case.cls.effect is Effect.KEYED and case.cls.repeat_group is RepeatGroup.ALL
                )
                assert not maybe or once_more, "refused what may have run"
                self.finish(case, "refused")
            case Fail(request):
                self.finish(self.cases[request], "failed")
            case Cancel(request, attempt):
                assert self.settings.may_cancel
                case = self.cases[request]
                assert attempt < len(case.tries), "cancelled an attempt never made"
                if case.tries[attempt].out:
                    self.push(self.now, self.ending(request, attempt, Outcome.CANCELLED))
            case SetTimer(at, token):
                self.push(max(at, self.now + 0.01), TimerDue(token))
            case Subscribe():
                self.subscribed_at = self.now
                if self.random.random() < 0.4:
                    self.push(self.now + 30, ListUpdate(ListKind.FAILED))
                else:
                    self.push(self.now + 30, ListUpdate(ListKind.WHOLE, tuple(self.list.values())))

    def check_send(self, case: Case, server: str) -> None:
        assert case.final is None and not case.gone, "sent after the end"
        assert self.now <= case.deadline, "sent after the deadline"
        assert len(case.tries) < self.settings.max_attempts, "more attempts than allowed"
        member = self.list.get(server)
        assert member is not None and member.readiness is Readiness.READY, "sent to what drains or is gone"
        if not self.settings.may_duplicate:
            assert not any(t.out for t in case.tries), "two attempts out"
        maybe = [t for t in case.tries if t.may_have_run]
        if maybe and case.cls.effect is not Effect.REPEATABLE:
            assert case.cls.effect is Effect.KEYED, "an unsafe request sent twice"
            assert self.now < maybe[0].sent + case.cls.repeat_window_ms, "repeated after the window"
            for earlier in maybe:
                if case.cls.repeat_group is RepeatGroup.CELL:
                    assert earlier.cell == member.cell, "repeated outside the cell"
                if case.cls.repeat_group is RepeatGroup.ZONE:
                    assert earlier.zone == member.zone, "repeated outside the zone"
        self.check_cold(member)

    def check_cold(self, member: Member) -> None:
        """A cold server may get one call in a window, or what its warmth allows of the busiest warm one, or
        of our part of the calls that a warm one of few cores can serve."""
        window = self.settings.cold_window_ms
        mine = self.sends.setdefault(member.server, [])
        warmth = self.warmth(member)
        if warmth < 1:
            alone = MIN_CORES * window / TAKES_MS / self.settings.balancers
            most = self.settings.cold_overload_factor * warmth * max(self.busiest, alone)
            count = 1 + sum(t > self.now - window for t in mine)
            assert count <= max(1, most), f"a cold server pushed over: {count} calls, at most {most}"
        else:
            recent = sum(t > self.now - window for t in mine)
            self.busiest = max(self.busiest, recent)
        mine.append(self.now)

    def warmth(self, member: Member) -> float:
        age = self.now - member.up_since_ms
        if not member.up_since_ms or age >= self.settings.cold_ms:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * age / self.settings.cold_ms

    def start(self, request: int, server: str, timeout: float) -> None:
        case = self.cases[request]
        member = self.list[server]
        attempt = len(case.tries)
        if attempt:
            self.retried += 1
        case.tries.append(Try(server, member.cell, member.zone, self.now))
        limit = case.deadline - self.now
        limit = min(limit, timeout) if timeout > 0 else limit
        takes = self.random.expovariate(1 / TAKES_MS) / self.warmth(member)
        kind = self.random.random()
        if kind < 0.6 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, Outcome.SERVED))
        elif kind < 0.75 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, self.random.choice(NEVER_RAN)))
        elif kind < 0.9 and takes < limit:
            self.push(self.now + takes, self.ending(request, attempt, self.random.choice(COSTLY)))
        else:
            self.push(self.now + limit, self.ending(request, attempt, Outcome.TIMED_OUT))

    def ending(self, request: int, attempt: int, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(request, attempt, self.cases[request].tries[attempt].server, outcome)

    def finish(self, case: Case, how: str) -> None:
        assert case.final is None, "two final answers"
        if not case.gone:
            assert self.now <= case.deadline + GRACE_MS, "answered too late"
        case.final = how
        self.finished += 1
        self.finals[how] += 1

    def deliver(self, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            case = self.cases[event.request]
            this = case.tries[event.attempt]
            if not this.out:
                return
            this.out = False
            this.may_have_run = event.outcome not in NEVER_RAN
            if event.outcome is Outcome.SERVED and case.final is None and not case.gone:
                self.finish(case, "served")
            answered = case.final is not None or case.gone
            event = AttemptEnded(event.request, event.attempt, event.server, event.outcome, answered)
        if isinstance(event, ClientLeft):
            case = self.cases[event.request]
            if case.final is not None:
                return
            case.gone = True
        if isinstance(event, ListUpdate):
            event = ListUpdate(event.kind, tuple(self.list.values()) if event.kind is ListKind.WHOLE else ())
        self.tell(event)

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
            self.sends[name] = []  # what went to the process before it is no burden to the new one
        self.list[name] = new
        self.tell(ListUpdate(ListKind.CHANGES, (new,)))

    def shorten_list(self) -> None:
        if len(self.list) > 3:
            del self.list[self.random.choice(list(self.list))]
        else:
            self.count += 1
            for i in range(4):
                name = f"n{self.count}-{i}"
                self.list[name] = Member(name, zone=f"z{i % 2}", cell=self.count + i // 2)
        self.tell(ListUpdate(ListKind.WHOLE, tuple(self.list.values())))

    def play(self, steps: int) -> None:
        number = 0
        for _ in range(steps):
            until = self.now + self.random.expovariate(1 / 15)
            while self.queue and self.queue[0][0] <= until:
                at, _, event = heapq.heappop(self.queue)
                self.now = max(self.now, at)
                self.deliver(event)
            self.now = until
            self.check_overdue()
            dice = self.random.random()
            if dice < 0.004:
                self.restart()
            elif dice < 0.016:
                self.change_list()
            elif dice < 0.022:
                self.shorten_list()
            else:
                number += 1
                cls = self.random.choice(self.settings.classes)
                left = self.random.choice((0.0, 1.0, 40.0, 400.0, 2_500.0))
                self.cases[number] = Case(cls, self.now + left)
                self.tell(RequestArrived(number, cls.name, left))
                if self.random.random() < 0.05:
                    self.push(self.now + self.random.random() * left, ClientLeft(number))

    def check_overdue(self) -> None:
        for number, case in self.cases.items():
            late = case.final is None and not case.gone and self.now > case.deadline + GRACE_MS
            assert not late, f"request {number} was lost"


VARIANTS: list[dict[str, object]] = [
    {},
    {"calling_tier": 0, "classes": tuple(replace(c, aim_ms=2_990.0) for c in CLASSES)},
    {"may_duplicate": False},
    {"list_is_asked": True},
    {"may_cancel": False, "max_attempts": 1},
    {"balancers": 9, "cold_from": 0.05, "cold_window_ms": 3_000.0},
    {"classes": CLASSES[:1], "may_duplicate": False, "list_is_asked": True},
]


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_on_random_days(variant: int, seed: int) -> None:
    day = Day(seed, **VARIANTS[variant])
    day.play(1_500)
    assert day.finals["served"] > 200, "a day on which nothing is served checks nothing"
    assert day.finals["failed"] + day.finals["refused"] > 20
    if day.settings.max_attempts > 1:
        assert day.retried > 10
