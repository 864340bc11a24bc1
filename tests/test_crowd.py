"""Concurrency limits and recovery pauses, fed with measurements on a clock of the test."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import always_warm
from umberworks.concurrency import GROWTH_FACTOR, MIN_CALLS_PER_SERVER, ConcurrencyLimits
from umberworks.interface import Member
from umberworks.recovery import CEILING_FACTOR, CONFIRMED_MS, DISABLED_MS, MIN_SLOW_MS, PAUSE_MS, Recovery
from umberworks.servers import EVIDENCE_DECAY_MS, Server

START_MS = 1_796_131_357_300.0  # Unix time, like the clock of the decision module
UPDATE_MS = 500.0  # how often a balancer updates its recovery pauses


def make_server(name: str) -> Server:
    server = Server(Member(name), START_MS, 0.5, always_warm)
    server.eligible = server.listed_ready = True
    return server


def fill(limits: ConcurrencyLimits, server: Server, now: float, max_calls: int = 1000) -> int:
    """Send calls to a server while its limit admits them; returns how many."""
    sent = 0
    while sent < max_calls and limits.admits(server, now):
        server.calls_out += 1
        sent += 1
    return sent


def serve(
    limits: ConcurrencyLimits, server: Server, calls: int, in_flight: int, aims: float, now: float
) -> float:
    """Let a server with `in_flight` calls answer `calls` of them, each after `aims` times its aim of 1 s.

    Returns the time after the last one.
    """
    server.catch_up(now)
    server.calls_out = in_flight
    for _ in range(calls):
        now += aims * 1000 / in_flight
        server.catch_up(now)
        limits.record_served(server, 1000, now)
    return now


def test_limit_grows_while_a_server_keeps_its_speed() -> None:
    limits, server, now, last_limit = ConcurrencyLimits(2), make_server("a"), START_MS, 0.0
    for _ in range(8):
        in_flight = math.ceil(limits.limit(server))
        now = serve(limits, server, 60, in_flight, 0.1 if in_flight <= 32 else 0.1 * in_flight / 32, now)
        assert limits.limit(server) >= last_limit
        last_limit = limits.limit(server)
    # The limit finds the 32 cores of a large machine and does not exceed them by much.
    assert 20 < last_limit <= 32 * GROWTH_FACTOR * 1.3


def test_limit_does_not_grow_for_a_server_that_slows_down() -> None:
    limits, server, now = ConcurrencyLimits(2), make_server("a"), START_MS
    for in_flight in (1, 1, 4, 4, 4, 4, 4, 4):
        now = serve(limits, server, 40, in_flight, 0.1 * max(in_flight / 3, 1.0), now)
    assert limits.limit(server) == MIN_CALLS_PER_SERVER / 2  # four calls take a third longer


def test_limit_bounds_the_mean_so_that_two_balancers_together_do_not_congest_a_server() -> None:
    limits, server = ConcurrencyLimits(2), make_server("a")
    # The mean is above the limit; one of the calls has just ended.
    server.calls_out, server.mean_calls_out = 3, MIN_CALLS_PER_SERVER / 2 + 0.1
    assert not limits.admits(server, START_MS)
    server.mean_calls_out = MIN_CALLS_PER_SERVER / 2 - 0.1
    assert limits.admits(server, START_MS)


def test_limit_is_reset_when_the_process_restarts() -> None:
    limits, server = ConcurrencyLimits(1), make_server("a")
    serve(limits, server, 600, 6, 0.1, START_MS)
    assert limits.limit(server) > MIN_CALLS_PER_SERVER
    server.reset_evidence(START_MS + 60_000)
    assert limits.limit(server) == MIN_CALLS_PER_SERVER


@given(
    st.integers(1, 7), st.floats(0, 200), st.floats(0, 200), st.one_of(st.just(math.inf), st.floats(0.1, 50))
)
def test_full_server_gets_no_call_and_idle_server_gets_at_least_one(
    balancers: int, carries: float, mean_in_flight: float, ceiling: float
) -> None:
    limits, server = ConcurrencyLimits(balancers), make_server("a")
    server.concurrency_limit, server.mean_calls_out, server.concurrency_ceiling = (
        carries,
        mean_in_flight,
        ceiling,
    )
    sent = fill(limits, server, START_MS)
    limit = limits.limit(server)
    assert limit <= ceiling
    assert 1 <= sent <= max(math.ceil(limit), 1)
    for step in range(1, 200):  # calls that end are replaced while the limit admits it
        now = START_MS + step * 100
        server.catch_up(now)
        server.calls_out = max(server.calls_out - 1, 0)
        fill(limits, server, now)
    assert server.mean_calls_out <= max(limit, 1.0) + 1.0  # the mean exceeds the limit by one call at most


class Fleet:
    """Servers with given slowdowns, and balancers that update their recovery pauses at their own times."""

    def __init__(self, count: int, balancers: int = 1) -> None:
        self.names = [f"s-{i}" for i in range(count)]
        self.views = [[make_server(name) for name in self.names] for _ in range(balancers)]
        for view in self.views[1::2]:
            view.reverse()  # balancers keep their servers in different orders
        self.recoveries = [Recovery() for _ in range(balancers)]
        self.slowdowns = dict.fromkeys(self.names, 1.0)  # service time, in usual service times
        self.idle_ms = dict.fromkeys(self.names, 0.0)  # for how long no balancer has sent anything
        self.congested: set[str] = set()
        self.recovery_idle_ms = 3_000.0  # idle time after which a server is no longer congested
        self.log: list[str] = []
        self.now = START_MS

    def update(self, balancer: int, refusing: bool = True, min_limit: float = 2.5) -> str:
        for server in self.views[balancer]:
            paused = server.rests_until > self.now
            server.baseline_time, server.updated_at = 0.1, self.now
            server.recent_calls = 0.0 if paused else 20.0
            server.recent_aims_ms = server.recent_calls * 1000
            slowdown = 2.5 if server.member.server in self.congested else self.slowdowns[server.member.server]
            server.mean_calls_out = 0.1 * slowdown * server.recent_aims_ms / (EVIDENCE_DECAY_MS / 3)
        message = self.recoveries[balancer].update(self.views[balancer], refusing, min_limit, self.now)
        if message:
            self.log.append(f"{(self.now - START_MS) / 1000:.1f} {balancer} {message}")
        return message

    def run(self, seconds: float, offsets: tuple[float, ...] = (0.0,), refusing: bool = True) -> None:
        """Every balancer updates its pauses twice a second, at its offset in ms.

        A congested server that no balancer sends to for long enough recovers.
        """
        end = self.now + seconds * 1000
        while self.now < end:
            self.now += 50
            for balancer, offset in enumerate(offsets):
                if (self.now - START_MS - offset) % UPDATE_MS < 50:
                    self.update(balancer, refusing)
            for name in self.names:
                busy = any(
                    s.rests_until <= self.now for v in self.views for s in v if s.member.server == name
                )
                self.idle_ms[name] = 0.0 if busy else self.idle_ms[name] + 50
                if self.idle_ms[name] >= self.recovery_idle_ms:
                    self.congested.discard(name)

    def paused(self, balancer: int = 0) -> set[str]:
        return {s.member.server for s in self.views[balancer] if s.rests_until > self.now}


@given(st.integers(2, 9), st.lists(st.floats(0, 499), min_size=2, max_size=3))
def test_congested_servers_all_recover_in_two_pauses_and_are_never_all_paused(
    count: int, offsets: list[float]
) -> None:
    fleet = Fleet(count, len(offsets))
    fleet.congested = set(fleet.names)
    for _ in range(300):
        if not fleet.congested:
            break
        fleet.run(0.1, tuple(offsets))
        assert all(len(fleet.paused(i)) <= (count + 1) // 2 for i in range(len(offsets)))
    # The congestion has to last 3.5 s first; two pauses, with the time to judge them, take some 12 s.
    assert not fleet.congested and fleet.now - START_MS <= MIN_SLOW_MS + 2 * PAUSE_MS + 2_500, fleet.log


def test_balancers_pause_the_same_servers_without_communicating() -> None:
    fleet = Fleet(5, 2)
    fleet.congested = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + 1.5, (0.0, 320.0))
    assert fleet.paused(0) == fleet.paused(1) == {"s-0", "s-2", "s-4"}


def test_no_server_is_paused_while_no_calls_are_refused() -> None:
    fleet = Fleet(4)
    fleet.congested = set(fleet.names)
    fleet.run(20, refusing=False)
    assert fleet.log == []


def test_servers_that_are_slow_but_not_congested_are_paused_only_once() -> None:
    fleet = Fleet(4)
    fleet.slowdowns = dict.fromkeys(fleet.names, 3.0)  # for example because of a tier behind them
    fleet.run(DISABLED_MS / 1000)
    assert [line.partition(" 0 ")[2].partition(":")[0] for line in fleet.log] == [
        "most servers are slow",
        "a rest was of no use",
    ]
    assert all(s.concurrency_ceiling == math.inf for s in fleet.views[0])


def test_single_slow_server_causes_no_pause() -> None:
    # The selection by capacity sends it fewer calls anyway.
    fleet = Fleet(5)
    fleet.slowdowns["s-0"] = 5.0
    fleet.run(20)
    assert fleet.log == []


def test_short_stall_causes_no_pause_and_the_end_of_a_stall_ends_the_pause() -> None:
    fleet = Fleet(4)
    fleet.slowdowns = dict.fromkeys(fleet.names, 4.0)
    fleet.run(MIN_SLOW_MS / 1000 - 0.5)
    fleet.slowdowns = dict.fromkeys(fleet.names, 1.0)
    fleet.run(2)
    assert fleet.log == []
    fleet.slowdowns = dict.fromkeys(fleet.names, 4.0)
    fleet.run(MIN_SLOW_MS / 1000 + 1)
    assert fleet.paused()
    fleet.slowdowns = dict.fromkeys(fleet.names, 1.0)
    fleet.run(1)
    assert not fleet.paused() and "ends early" in fleet.log[-1]


def test_server_that_becomes_congested_during_a_pause_is_paused_next() -> None:
    fleet = Fleet(4)
    fleet.congested = {"s-0", "s-1", "s-2"}
    fleet.run(MIN_SLOW_MS / 1000 + 2)
    assert fleet.paused() == {"s-0", "s-2"}
    fleet.congested.add("s-3")
    fleet.run(2 * PAUSE_MS / 1000 + 3)
    assert not fleet.congested


def test_pause_that_was_too_short_is_followed_by_a_longer_one() -> None:
    fleet = Fleet(4)
    fleet.congested = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + PAUSE_MS / 1000 + 2)
    assert fleet.paused() == {"s-1", "s-3"}
    fleet.recovery_idle_ms = 6_500.0
    fleet.run(CONFIRMED_MS / 1000)
    assert any("too short" in line for line in fleet.log) and not fleet.congested


def test_paused_servers_are_used_again_when_the_others_leave() -> None:
    fleet = Fleet(4)
    fleet.congested = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + 1)
    assert fleet.paused() == {"s-0", "s-2"}
    fleet.views[0] = [s for s in fleet.views[0] if s.member.server in ("s-0", "s-2")]
    fleet.run(1)
    assert not fleet.paused()


def test_congestion_lowers_the_limit() -> None:
    fleet = Fleet(4)
    fleet.congested = set(fleet.names)
    for server in fleet.views[0]:
        server.concurrency_limit = 10.0
    fleet.run(20)
    assert [s.concurrency_ceiling for s in fleet.views[0]] == [
        pytest.approx(CEILING_FACTOR * 10.0 / GROWTH_FACTOR)
    ] * 4


def test_single_server_is_never_paused() -> None:
    fleet = Fleet(1)
    fleet.congested = set(fleet.names)
    fleet.run(20)
    assert fleet.log == []
