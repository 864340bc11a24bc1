"""Drawing servers without a walk: the same decisions in distribution as the plain walk, whatever the fleet."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests import plain
from tests.helpers import ANYWHERE, PAY, READ, Desk, sent, warm
from umberworks.interface import ListKind, Member, Outcome, Readiness, RequestArrived
from umberworks.requests import Attempt, Request
from umberworks.rules import FEW, WALK, Balancer
from umberworks.servers import MEMORY_MS, RISE, TRIALS, Draws, Fleet, Server

PICKS = 30_000


def taught(count: int, spread: float, seed: int, calls: int = 3_000, **changes: Any) -> Desk:
    """A desk whose servers differ by up to `spread` in what they can, and that has served so many calls."""
    desk, chance = Desk(count, seed=seed, balancers=1, **changes), random.Random(seed)
    speed = {f"s{i}": spread ** chance.random() for i in range(count)}
    out: list[tuple[float, int, str]] = []
    for _ in range(calls):
        request, actions = desk.ask(READ)
        for action in sent(actions):
            out.append((desk.now + 5.0 * speed[action.server], request, action.server))
        desk.now += 1.0
        out.sort()
        while out and out[0][0] <= desk.now:
            _, number, server = out.pop(0)
            desk.end(number, 0, server, Outcome.SERVED)
    return desk


def request(cls: Any = READ, *tried: tuple[Server, bool], now: float = 0.0) -> Request:
    made = Request(RequestArrived(10**9, cls.name, 3_000), cls, now)
    for server, ran in tried:
        attempt = Attempt(server, now, 100.0)
        attempt.out, attempt.ran = False, ran
        made.attempts.append(attempt)
    return made


def chi_square(a: Counter[str], b: Counter[str]) -> tuple[float, int]:
    """Of two samples, and the degrees of freedom; classes that are rare in both are taken together."""
    pooled: Counter[tuple[str, int]] = Counter()
    rare = {k for k in a | b if a[k] + b[k] < 20}
    for n, sample in enumerate((a, b)):
        for key, count in sample.items():
            pooled["rare" if key in rare else key, n] += count
    keys, sums = {k for k, _ in pooled}, (a.total(), b.total())
    value = 0.0
    for key in keys:
        both = pooled[key, 0] + pooled[key, 1]
        for n in (0, 1):
            expected = both * sums[n] / sum(sums)
            value += (pooled[key, n] - expected) ** 2 / expected
    return value, len(keys) - 1


def same(balancer: Balancer, asked: Request, now: float, picks: int = PICKS) -> None:
    """Picks of the module and of the plain walk, at one moment, come from one distribution (p > 0.0005)."""
    ours, walk = Counter[str](), Counter[str]()
    for _ in range(picks):
        for found, into in ((balancer._pick(asked, now), ours), (plain.pick(balancer, asked, now), walk)):
            into[found.member.server if found is not None else ""] += 1
    value, free = chi_square(ours, walk)
    if free:
        limit = free * (1 - 2 / (9 * free) + 3.29 * math.sqrt(2 / (9 * free))) ** 3  # Wilson and Hilferty
        assert value < limit, (value, limit, free)
    assert ("" in ours) == ("" in walk)


@pytest.mark.parametrize(
    ("count", "spread", "seed"),
    [(12, 30.0, 13), (40, 1.0, 1), (40, 1_000.0, 2), (200, 10.0, 3), (1_000, 1_000.0, 4)],
)
def test_picks_are_those_of_the_walk_in_distribution(count: int, spread: float, seed: int) -> None:
    desk = taught(count, spread, seed)
    assert desk.balancer._fleet.keeps > FEW
    same(desk.balancer, request(), desk.now, PICKS if count < 100 else PICKS // 4)
    desk.now += 4_000  # evidence has faded, nobody has been touched since
    same(desk.balancer, request(), desk.now, PICKS // 8)


def test_picks_by_size_are_those_of_the_walk() -> None:
    desk = taught(60, 5.0, 5, sizes_exact=True)
    chance = random.Random(1)
    desk.show(*(Member(f"s{i}", size=chance.choice([0.3, 1.0, 4.0, 5.5])) for i in range(60)))
    assert not desk.balancer._sliver
    same(desk.balancer, request(), desk.now)


def test_what_was_tried_is_left_out_as_by_the_walk() -> None:
    desk = taught(80, 20.0, 6)
    loaded = sorted(desk.balancer._servers.values(), key=lambda s: -s.served)
    asked = request(READ, *((s, True) for s in loaded[:3]), now=desk.now)
    same(desk.balancer, asked, desk.now)
    picked = {desk.balancer._pick(asked, desk.now) for _ in range(2_000)}
    assert not picked & set(loaded[:3])


def test_a_keyed_repeat_is_drawn_from_all_that_drop_repeats_as_by_the_walk() -> None:
    desk = taught(80, 20.0, 7)
    server = desk.balancer._fleet.ready[0]
    fresh = [Member(f"s{i}", up_since_ms=desk.now + 1) for i in range(0, 80, 2)]
    asked = request(ANYWHERE, (server, True), now=desk.now)
    desk.show(*fresh, kind=ListKind.CHANGES)
    desk.now += 30_000 if ANYWHERE.repeat_window_ms > 31_000 else 50
    same(desk.balancer, asked, desk.now, 4_000)
    assert desk.balancer._pick(request(PAY, (server, True), now=desk.now), desk.now) is None


def test_among_cold_servers_the_warm_are_drawn_as_by_the_walk() -> None:
    desk = taught(100, 3.0, 8)
    desk.show(*(Member(f"s{i}", up_since_ms=desk.now - 100.0 * i) for i in range(100)), kind=ListKind.CHANGES)
    for server in desk.balancer._servers.values():
        server.last_sent = desk.now - 1 if server.rank < 0.5 else -math.inf
    same(desk.balancer, request(), desk.now, 4_000)


@pytest.mark.parametrize("able", [0, 1, 3])
def test_the_few_that_are_able_are_found_among_many(able: int) -> None:
    desk = taught(400, 2.0, 9, calls=2_500)
    kept = desk.balancer._fleet.ready[: desk.balancer._fleet.keeps]
    assert len(kept) > TRIALS
    asked = request(READ, *((s, True) for s in kept[able:]), now=desk.now)
    found = {desk.balancer._pick(asked, desk.now) for _ in range(300)}
    # where all were tried, any may be again
    assert found == set(kept[:able]) if able else found <= set(kept) and len(found) > 50


def test_where_all_are_cold_and_full_none_is_picked_and_the_look_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    desk = taught(3_000, 1.0, 10, calls=4_000)
    balancer = desk.balancer
    balancer._fleet.keep(3_000, 1.0, desk.now)
    monkeypatch.setattr(balancer, "_choose", lambda: None)
    looked = Counter[str]()
    monkeypatch.setattr(
        balancer._slow_start, "admits", lambda server, now: looked.update([server.member.server])
    )
    balancer._slow_start.cold_until = math.inf
    assert balancer._pick(request(), desk.now) is None
    assert looked.total() <= TRIALS + WALK


def test_a_list_of_ten_thousand_that_flaps_keeps_the_fleet_whole() -> None:
    desk = Desk(0)
    chance = random.Random(11)
    for _ in range(4):
        names = chance.sample(range(10_000), 5_000)
        desk.show(*(Member(f"s{i}") for i in names))
        fleet = desk.balancer._fleet
        assert {s.member.server for s in fleet.ready} == {f"s{i}" for i in names}
        assert {id(s) for s in fleet.kept} == {id(s) for s in fleet.ready[: fleet.keeps]}
        assert len(fleet.ready) == 5_000 and all(s.bucket is None for s in fleet.ready[fleet.keeps :])
        assert len(desk.balancer._servers) == 5_000


def test_idle_for_hours_then_a_burst() -> None:
    desk = taught(100, 10.0, 12)
    desk.now += 5 * 3_600_000.0
    picked = Counter(a.server for _ in range(200) for a in sent(desk.ask(READ)[1]))
    assert len(picked) >= 10 and all(math.isfinite(s.busy) for s in desk.balancer._servers.values())


# ---- properties


class FleetStays(RuleBasedStateMachine):
    """Whatever happens: sets are whole, bounds hold, and the calls in memory are those of the servers."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet, self.now, self.usual = Fleet(), 0.0, 1.0
        self.fleet.keep(4, 1.0, 0.0)
        self.servers: list[Server] = []
        self.chance = random.Random(1)

    def _any(self, which: int) -> Server | None:
        ready = self.fleet.ready
        return ready[which % len(ready)] if ready else None

    @rule(rank=st.floats(0, 1, exclude_max=True), size=st.sampled_from([1.0, 0.2, 3.0, 8.0]))
    def enters(self, rank: float, size: float) -> None:
        server = Server(Member("s", readiness=Readiness.READY), self.now, rank, warm)
        server.size = size
        self.fleet.enter(server, self.usual, self.now)

    @rule(which=st.integers(0, 99))
    def leaves(self, which: int) -> None:
        if (server := self._any(which)) is not None:
            self.fleet.leave(server, self.usual, self.now)
            assert server.bucket is None

    @rule(which=st.integers(0, 99), took=st.floats(0.001, 5_000), calls=st.integers(1, 30))
    def serves(self, which: int, took: float, calls: int) -> None:
        if (server := self._any(which)) is not None:
            server.in_flight += 1
            self.now += took
            server.catch_up(self.now)
            server.in_flight -= 1
            for _ in range(calls):
                server.served += 1
                self.fleet.served(server, self.usual, self.now)

    @rule(which=st.integers(0, 99), by=st.sampled_from([-1, 1]))
    def is_sent(self, which: int, by: int) -> None:
        if (server := self._any(which)) is not None:
            server.catch_up(self.now)
            server.in_flight = max(server.in_flight + by, 0)

    @rule(ms=st.floats(0, 20_000))
    def time_passes(self, ms: float) -> None:
        self.now += ms

    @rule(count=st.integers(0, 20))
    def keeps(self, count: int) -> None:
        self.fleet.keep(count, self.usual, self.now)

    @rule(factor=st.floats(0.01, 100))
    def usual_changes(self, factor: float) -> None:
        self.usual = min(max(self.usual * factor, 1e-6), 1e6)
        self.fleet.is_usual(self.usual)

    @invariant()
    def sets_are_whole(self) -> None:
        fleet, ready = self.fleet, self.fleet.ready
        assert [s.rank for s in ready] == sorted(s.rank for s in ready)
        assert {id(s) for s in fleet.kept} == {id(s) for s in ready[: fleet.keeps]}
        assert all(s.fit for s in ready) and all(s.bucket is None for s in ready[fleet.keeps :])
        for server in ready[: fleet.keeps]:
            assert server.bucket is not None and server.bucket.servers[server.index] is server

    @invariant()
    def bounds_hold(self) -> None:
        for server in self.fleet.kept:
            assert server.bucket is not None
            for later in (0.0, 3_000.0, 60_000.0):
                fade = math.exp(-(self.now + later - server.seen) / MEMORY_MS)
                busy = server.busy * fade + server.in_flight * MEMORY_MS * (1 - fade)
                usual = self.usual * server.size
                capacity = (server.served * fade + 2) / (busy + 2 / usual)
                top = server.bucket.largest * max(server.bucket.top, self.usual)
                assert capacity <= top * (1 + 1e-9)

    @invariant()
    def calls_are_counted(self) -> None:
        kept = sum(s.served * math.exp((s.seen - self.now) / MEMORY_MS) for s in self.fleet.kept)
        others = sum(s.counted for s in self.fleet.ready[self.fleet.keeps :])
        assert math.isclose(self.fleet.calls(self.now), kept + others, rel_tol=1e-6, abs_tol=1e-6)


FleetStays.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestFleetStays = FleetStays.TestCase


@given(st.lists(st.floats(1e-6, 1e6), min_size=1, max_size=30), st.floats(1e-3, 1e3))
def test_a_table_s_last_sum_is_at_least_all_capacities(rates: list[float], usual: float) -> None:
    draws, whole = Draws(), 0.0
    for rate in rates:
        server = Server(Member("s"), 0.0, 0.5, warm)
        server.served, server.busy = 10.0, 10.0 / rate
        draws.put(server, usual)
        whole += server.capacity(usual, 0.0)
    _, sums = draws.table(usual)
    assert sums[-1] >= whole * (1 - 1e-9) and len(list(draws)) == len(rates) and RISE > 1


@given(st.lists(st.floats(0.01, 3_000), min_size=1, max_size=30), st.integers(0, 5))
def test_evidence_brought_up_at_once_is_that_of_many_steps(gaps: list[float], out: int) -> None:
    at_once, stepwise = Server(Member("s"), 0.0, 0.5, warm), Server(Member("s"), 0.0, 0.5, warm)
    now = 0.0
    for server in (at_once, stepwise):
        server.served, server.busy, server.in_flight = 7.0, 90.0, out
    for gap in gaps:
        now += gap
        stepwise.catch_up(now)
    at_once.catch_up(now)
    assert math.isclose(at_once.served, stepwise.served, rel_tol=1e-9)
    assert math.isclose(at_once.busy, stepwise.busy, rel_tol=1e-6)
