"""Sampling of servers: the same distribution of picks as the reference, which walks over all servers."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests import reference_pick
from tests.helpers import ANYWHERE, PAY, READ, BalancerHarness, always_warm, sent
from umberworks.interface import ListKind, Member, Outcome, Readiness, RequestArrived
from umberworks.requests import Attempt, Request
from umberworks.rules import MAX_FULL_PICK, MAX_WALK, Balancer
from umberworks.servers import EVIDENCE_DECAY_MS, MAX_MEDIAN_RISE, MAX_TRIALS, Fleet, Server, ServerSampler

PICKS = 30_000


def trained(count: int, spread: float, seed: int, calls: int = 3_000, **changes: Any) -> BalancerHarness:
    """A harness whose servers differ in speed by up to `spread` times, after it has served `calls` calls."""
    harness, chance = BalancerHarness(count, seed=seed, balancers=1, **changes), random.Random(seed)
    speed = {f"s{i}": spread ** chance.random() for i in range(count)}
    out: list[tuple[float, int, str]] = []
    for _ in range(calls):
        request, actions = harness.new_request(READ)
        for action in sent(actions):
            out.append((harness.now + 5.0 * speed[action.server], request, action.server))
        harness.now += 1.0
        out.sort()
        while out and out[0][0] <= harness.now:
            _, number, server = out.pop(0)
            harness.end_attempt(number, 0, server, Outcome.SERVED)
    return harness


def request(cls: Any = READ, *tried: tuple[Server, bool], now: float = 0.0) -> Request:
    made = Request(RequestArrived(10**9, cls.name, 3_000), cls, now)
    for server, ran in tried:
        attempt = Attempt(server, now, 100.0)
        attempt.out, attempt.ran = False, ran
        made.attempts.append(attempt)
    return made


def chi_square(a: Counter[str], b: Counter[str]) -> tuple[float, int]:
    """Chi-square statistic of two samples and its degrees of freedom; keys rare in both are pooled."""
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


def assert_same_distribution(balancer: Balancer, pending: Request, now: float, picks: int = PICKS) -> None:
    """Check that the balancer's and the reference's picks have the same distribution (p > 0.0005)."""
    sampled, reference = Counter[str](), Counter[str]()
    for _ in range(picks):
        for found, into in (
            (balancer._pick(pending, now), sampled),
            (reference_pick.pick(balancer, pending, now), reference),
        ):
            into[found.member.server if found is not None else ""] += 1
    value, freedom = chi_square(sampled, reference)
    if freedom:
        # Wilson and Hilferty
        limit = freedom * (1 - 2 / (9 * freedom) + 3.29 * math.sqrt(2 / (9 * freedom))) ** 3
        assert value < limit, (value, limit, freedom)
    assert ("" in sampled) == ("" in reference)


@pytest.mark.parametrize(
    ("count", "spread", "seed"),
    [(12, 30.0, 13), (40, 1.0, 1), (40, 1_000.0, 2), (200, 10.0, 3), (1_000, 1_000.0, 4)],
)
def test_picks_have_the_distribution_of_the_reference(count: int, spread: float, seed: int) -> None:
    harness = trained(count, spread, seed)
    assert harness.balancer._fleet.subset_size > MAX_FULL_PICK
    assert_same_distribution(harness.balancer, request(), harness.now, PICKS if count < 100 else PICKS // 4)
    harness.now += 4_000  # evidence has decayed, and no server has been updated since
    assert_same_distribution(harness.balancer, request(), harness.now, PICKS // 8)


def test_picks_by_size_have_the_distribution_of_the_reference() -> None:
    harness = trained(60, 5.0, 5, sizes_exact=True)
    chance = random.Random(1)
    harness.update_list(*(Member(f"s{i}", size=chance.choice([0.3, 1.0, 4.0, 5.5])) for i in range(60)))
    assert not harness.balancer._sparse
    assert_same_distribution(harness.balancer, request(), harness.now)


def test_a_retry_avoids_tried_servers_as_the_reference_does() -> None:
    harness = trained(80, 20.0, 6)
    loaded = sorted(harness.balancer._servers.values(), key=lambda s: -s.served)
    pending = request(READ, *((s, True) for s in loaded[:3]), now=harness.now)
    assert_same_distribution(harness.balancer, pending, harness.now)
    picked = {harness.balancer._pick(pending, harness.now) for _ in range(2_000)}
    assert not picked & set(loaded[:3])


def test_a_keyed_repeat_goes_to_servers_that_drop_duplicates_as_in_the_reference() -> None:
    harness = trained(80, 20.0, 7)
    server = harness.balancer._fleet.ready[0]
    fresh = [Member(f"s{i}", up_since_ms=harness.now + 1) for i in range(0, 80, 2)]
    pending = request(ANYWHERE, (server, True), now=harness.now)
    harness.update_list(*fresh, kind=ListKind.CHANGES)
    harness.now += 30_000 if ANYWHERE.dedup_window_ms > 31_000 else 50
    assert_same_distribution(harness.balancer, pending, harness.now, 4_000)
    assert harness.balancer._pick(request(PAY, (server, True), now=harness.now), harness.now) is None


def test_picks_among_cold_and_warm_servers_have_the_distribution_of_the_reference() -> None:
    harness = trained(100, 3.0, 8)
    harness.update_list(
        *(Member(f"s{i}", up_since_ms=harness.now - 100.0 * i) for i in range(100)), kind=ListKind.CHANGES
    )
    for server in harness.balancer._servers.values():
        server.last_sent = harness.now - 1 if server.rank < 0.5 else -math.inf
    assert_same_distribution(harness.balancer, request(), harness.now, 4_000)


@pytest.mark.parametrize("untried", [0, 1, 3])
def test_few_untried_servers_are_found_among_many(untried: int) -> None:
    harness = trained(400, 2.0, 9, calls=2_500)
    in_subset = harness.balancer._fleet.ready[: harness.balancer._fleet.subset_size]
    assert len(in_subset) > MAX_TRIALS
    pending = request(READ, *((s, True) for s in in_subset[untried:]), now=harness.now)
    found = {harness.balancer._pick(pending, harness.now) for _ in range(300)}
    # if all were tried, any may be picked again
    assert found == set(in_subset[:untried]) if untried else found <= set(in_subset) and len(found) > 50


def test_no_server_is_picked_and_few_are_visited_if_all_are_cold_and_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = trained(3_000, 1.0, 10, calls=4_000)
    balancer = harness.balancer
    balancer._fleet.resize_subset(3_000, 1.0, harness.now)
    monkeypatch.setattr(balancer, "_resize_subset", lambda: None)
    visited = Counter[str]()
    monkeypatch.setattr(
        balancer._slow_start, "admits", lambda server, now: visited.update([server.member.server])
    )
    balancer._slow_start.cold_until = math.inf
    assert balancer._pick(request(), harness.now) is None
    assert visited.total() <= MAX_TRIALS + MAX_WALK


def test_the_fleet_is_consistent_after_large_list_changes() -> None:
    harness = BalancerHarness(0)
    chance = random.Random(11)
    for _ in range(4):
        names = chance.sample(range(10_000), 5_000)
        harness.update_list(*(Member(f"s{i}") for i in names))
        fleet = harness.balancer._fleet
        assert {s.member.server for s in fleet.ready} == {f"s{i}" for i in names}
        assert {id(s) for s in fleet.in_subset} == {id(s) for s in fleet.ready[: fleet.subset_size]}
        assert len(fleet.ready) == 5_000 and all(s.bucket is None for s in fleet.ready[fleet.subset_size :])
        assert len(harness.balancer._servers) == 5_000


def test_a_burst_after_idle_hours_is_spread_over_the_servers() -> None:
    harness = trained(100, 10.0, 12)
    harness.now += 5 * 3_600_000.0
    picked = Counter(a.server for _ in range(200) for a in sent(harness.new_request(READ)[1]))
    assert len(picked) >= 10 and all(math.isfinite(s.busy_ms) for s in harness.balancer._servers.values())


class FleetConsistency(RuleBasedStateMachine):
    """Random operations on a fleet: sets stay consistent, bounds hold, and the decayed calls add up."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet, self.now, self.median = Fleet(), 0.0, 1.0
        self.fleet.resize_subset(4, 1.0, 0.0)
        self.servers: list[Server] = []
        self.chance = random.Random(1)

    def _any(self, which: int) -> Server | None:
        ready = self.fleet.ready
        return ready[which % len(ready)] if ready else None

    @rule(rank=st.floats(0, 1, exclude_max=True), size=st.sampled_from([1.0, 0.2, 3.0, 8.0]))
    def enters(self, rank: float, size: float) -> None:
        server = Server(Member("s", readiness=Readiness.READY), self.now, rank, always_warm)
        server.size = size
        self.fleet.add(server, self.median, self.now)

    @rule(which=st.integers(0, 99))
    def leaves(self, which: int) -> None:
        if (server := self._any(which)) is not None:
            self.fleet.remove(server, self.median, self.now)
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
                self.fleet.served(server, self.median, self.now)

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
        self.fleet.resize_subset(count, self.median, self.now)

    @rule(factor=st.floats(0.01, 100))
    def median_changes(self, factor: float) -> None:
        self.median = min(max(self.median * factor, 1e-6), 1e6)
        self.fleet.median_changed(self.median)

    @invariant()
    def sets_are_whole(self) -> None:
        fleet, ready = self.fleet, self.fleet.ready
        assert [s.rank for s in ready] == sorted(s.rank for s in ready)
        assert {id(s) for s in fleet.in_subset} == {id(s) for s in ready[: fleet.subset_size]}
        assert all(s.eligible for s in ready) and all(s.bucket is None for s in ready[fleet.subset_size :])
        for server in ready[: fleet.subset_size]:
            assert server.bucket is not None and server.bucket.servers[server.index] is server

    @invariant()
    def bounds_hold(self) -> None:
        for server in self.fleet.in_subset:
            assert server.bucket is not None
            for later in (0.0, 3_000.0, 60_000.0):
                fade = math.exp(-(self.now + later - server.updated_at) / EVIDENCE_DECAY_MS)
                busy_ms = server.busy_ms * fade + server.in_flight * EVIDENCE_DECAY_MS * (1 - fade)
                median = self.median * server.size
                capacity = (server.served * fade + 2) / (busy_ms + 2 / median)
                top = server.bucket.largest_size * max(server.bucket.top_capacity, self.median)
                assert capacity <= top * (1 + 1e-9)

    @invariant()
    def calls_are_counted(self) -> None:
        in_subset = sum(
            s.served * math.exp((s.updated_at - self.now) / EVIDENCE_DECAY_MS) for s in self.fleet.in_subset
        )
        others = sum(s.calls_outside_subset for s in self.fleet.ready[self.fleet.subset_size :])
        assert math.isclose(
            self.fleet.decayed_calls(self.now), in_subset + others, rel_tol=1e-6, abs_tol=1e-6
        )


FleetConsistency.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestFleetConsistency = FleetConsistency.TestCase


@given(st.lists(st.floats(1e-6, 1e6), min_size=1, max_size=30), st.floats(1e-3, 1e3))
def test_the_sum_of_bounds_is_at_least_the_sum_of_capacities(rates: list[float], median: float) -> None:
    sampler, whole = ServerSampler(), 0.0
    for rate in rates:
        server = Server(Member("s"), 0.0, 0.5, always_warm)
        server.served, server.busy_ms = 10.0, 10.0 / rate
        sampler.put(server, median)
        whole += server.capacity(median, 0.0)
    _, sums = sampler.cumulative_bounds(median)
    assert sums[-1] >= whole * (1 - 1e-9) and len(list(sampler)) == len(rates) and MAX_MEDIAN_RISE > 1


@given(st.lists(st.floats(0.01, 3_000), min_size=1, max_size=30), st.integers(0, 5))
def test_evidence_decays_the_same_in_one_step_as_in_many(gaps: list[float], out: int) -> None:
    at_once, stepwise = Server(Member("s"), 0.0, 0.5, always_warm), Server(Member("s"), 0.0, 0.5, always_warm)
    now = 0.0
    for server in (at_once, stepwise):
        server.served, server.busy_ms, server.in_flight = 7.0, 90.0, out
    for gap in gaps:
        now += gap
        stepwise.catch_up(now)
    at_once.catch_up(now)
    assert math.isclose(at_once.served, stepwise.served, rel_tol=1e-9)
    assert math.isclose(at_once.busy_ms, stepwise.busy_ms, rel_tol=1e-6)
