"""How much a server may hold, and who rests: decided from measures alone, on a clock of the test's own."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import warm
from umberworks.concurrency import GROWTH_FACTOR, MIN_CALLS_PER_SERVER, ConcurrencyLimits
from umberworks.interface import Member
from umberworks.recovery import (
    CEILING_FACTOR,
    CONFIRMED_MS,
    DISABLED_MS,
    MIN_SLOW_MS,
    PAUSE_MS,
    Recovery,
)
from umberworks.servers import MEMORY_MS, Server

START = 1_796_131_357_300.0  # Unix time in ms, as the module's clock is
STEP = 500.0  # how often the module looks


def server(name: str) -> Server:
    made = Server(Member(name), START, 0.5, warm)
    made.fit = made.listed = True
    return made


def fill(crowd: ConcurrencyLimits, one: Server, now: float, most: int = 1000) -> int:
    """Send as long as there is room."""
    sent = 0
    while sent < most and crowd.admits(one, now):
        one.live += 1
        sent += 1
    return sent


def work(crowd: ConcurrencyLimits, one: Server, calls: int, held: int, aims: float, now: float) -> float:
    """A server that holds `held` calls answers so many, each after `aims` of its aim of 1 s; the time then."""
    one.catch_up(now)
    one.live = held
    for _ in range(calls):
        now += aims * 1000 / held
        one.catch_up(now)
        crowd.record_served(one, 1000, now)
    return now


def test_a_server_that_keeps_its_speed_may_hold_more_and_more() -> None:
    crowd, one, now, seen = ConcurrencyLimits(2), server("a"), START, 0.0
    for _ in range(8):
        held = math.ceil(crowd.limit(one))
        now = work(crowd, one, 60, held, 0.1 if held <= 32 else 0.1 * held / 32, now)
        assert crowd.limit(one) >= seen
        seen = crowd.limit(one)
    assert (
        20 < seen <= 32 * GROWTH_FACTOR * 1.3
    )  # the cores of a large machine are found, and not passed by far


def test_a_server_that_bends_is_held_to_what_it_carried() -> None:
    crowd, one, now = ConcurrencyLimits(2), server("a"), START
    for held in (1, 1, 4, 4, 4, 4, 4, 4):
        now = work(crowd, one, 40, held, 0.1 * max(held / 3, 1.0), now)
    assert crowd.limit(one) == MIN_CALLS_PER_SERVER / 2  # as four calls take a third longer


def test_it_is_the_mean_that_is_bounded_so_that_two_balancers_never_choke_one_together() -> None:
    crowd, one = ConcurrencyLimits(2), server("a")
    one.live, one.crowd = (
        3,
        MIN_CALLS_PER_SERVER / 2 + 0.1,
    )  # a standing crowd, of which one call has just ended
    assert not crowd.admits(one, START)
    one.crowd = MIN_CALLS_PER_SERVER / 2 - 0.1
    assert crowd.admits(one, START)


def test_what_was_learned_is_lost_with_the_process() -> None:
    crowd, one = ConcurrencyLimits(1), server("a")
    work(crowd, one, 600, 6, 0.1, START)
    assert crowd.limit(one) > MIN_CALLS_PER_SERVER
    one.forget(START + 60_000)
    assert crowd.limit(one) == MIN_CALLS_PER_SERVER


@given(
    st.integers(1, 7), st.floats(0, 200), st.floats(0, 200), st.one_of(st.just(math.inf), st.floats(0.1, 50))
)
def test_a_full_server_gets_nothing_and_an_idle_one_always_something(
    balancers: int, carries: float, before: float, ceiling: float
) -> None:
    crowd, one = ConcurrencyLimits(balancers), server("a")
    one.carries, one.crowd, one.ceiling = carries, before, ceiling
    sent = fill(crowd, one, START)
    most = crowd.limit(one)
    assert most <= ceiling
    assert 1 <= sent <= max(math.ceil(most), 1)
    for step in range(1, 200):  # calls that end are replaced while there is room
        now = START + step * 100
        one.catch_up(now)
        one.live = max(one.live - 1, 0)
        fill(crowd, one, now)
    assert one.crowd <= max(most, 1.0) + 1.0  # a standing crowd keeps to the mean, but for a whole call


class Fleet:
    """Servers whose times are said by the test, seen by one or more balancers that look at their own moments."""

    def __init__(self, count: int, balancers: int = 1) -> None:
        self.names = [f"s-{i}" for i in range(count)]
        self.views = [[server(name) for name in self.names] for _ in range(balancers)]
        for view in self.views[1::2]:
            view.reverse()  # each keeps its servers in an order of its own
        self.rests = [Recovery() for _ in range(balancers)]
        self.times = dict.fromkeys(self.names, 1.0)
        self.idle = dict.fromkeys(self.names, 0.0)  # since when nobody sends, summed for chokes
        self.choked: set[str] = set()
        self.needs = 3_000.0  # so long idle, a server is choked no more
        self.log: list[str] = []
        self.now = START

    def look(self, number: int, short: bool = True, least: float = 2.5) -> str:
        for one in self.views[number]:
            resting = one.rests_until > self.now
            one.usual_time, one.seen = 0.1, self.now
            one.recent_calls = 0.0 if resting else 20.0
            one.recent = one.recent_calls * 1000
            factor = 2.5 if one.member.server in self.choked else self.times[one.member.server]
            one.crowd = 0.1 * factor * one.recent / (MEMORY_MS / 3)
        said = self.rests[number].update(self.views[number], short, least, self.now)
        if said:
            self.log.append(f"{(self.now - START) / 1000:.1f} {number} {said}")
        return said

    def run(self, seconds: float, offsets: tuple[float, ...] = (0.0,), short: bool = True) -> None:
        """Every balancer looks twice a second; a server that nobody sends to for long enough is choked no more."""
        end = self.now + seconds * 1000
        while self.now < end:
            self.now += 50
            for number, offset in enumerate(offsets):
                if (self.now - START - offset) % STEP < 50:
                    self.look(number, short)
            for name in self.names:
                busy = any(
                    s.rests_until <= self.now for v in self.views for s in v if s.member.server == name
                )
                self.idle[name] = 0.0 if busy else self.idle[name] + 50
                if self.idle[name] >= self.needs:
                    self.choked.discard(name)

    def resting(self, number: int = 0) -> set[str]:
        return {s.member.server for s in self.views[number] if s.rests_until > self.now}


@given(st.integers(2, 9), st.lists(st.floats(0, 499), min_size=2, max_size=3))
def test_choked_servers_are_all_back_within_12_s_and_never_all_at_rest(
    count: int, offsets: list[float]
) -> None:
    fleet = Fleet(count, len(offsets))
    fleet.choked = set(fleet.names)
    for _ in range(300):
        if not fleet.choked:
            break
        fleet.run(0.1, tuple(offsets))
        assert all(len(fleet.resting(i)) <= (count + 1) // 2 for i in range(len(offsets)))
    # From when it is seen: 3.5 s until it has lasted, two rests, and their judging.
    assert not fleet.choked and fleet.now - START <= MIN_SLOW_MS + 2 * PAUSE_MS + 2_500, fleet.log


def test_balancers_that_never_spoke_rest_the_same_servers_at_the_same_time() -> None:
    fleet = Fleet(5, 2)
    fleet.choked = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + 1.5, (0.0, 320.0))
    assert fleet.resting(0) == fleet.resting(1) == {"s-0", "s-2", "s-4"}


def test_nobody_rests_while_there_is_room() -> None:
    fleet = Fleet(4)
    fleet.choked = set(fleet.names)
    fleet.run(20, short=False)
    assert fleet.log == []


def test_servers_that_are_slow_and_not_choked_lose_one_rest_and_no_more() -> None:
    fleet = Fleet(4)
    fleet.times = dict.fromkeys(fleet.names, 3.0)  # behind another tier, say
    fleet.run(DISABLED_MS / 1000)
    assert [line.partition(" 0 ")[2].partition(":")[0] for line in fleet.log] == [
        "most servers are slow",
        "a rest was of no use",
    ]
    assert all(s.ceiling == math.inf for s in fleet.views[0])


def test_one_slow_server_is_left_to_the_draws() -> None:
    fleet = Fleet(5)
    fleet.times["s-0"] = 5.0
    fleet.run(20)
    assert fleet.log == []


def test_a_short_stall_brings_no_rest_and_one_that_ends_ends_the_rest() -> None:
    fleet = Fleet(4)
    fleet.times = dict.fromkeys(fleet.names, 4.0)
    fleet.run(MIN_SLOW_MS / 1000 - 0.5)
    fleet.times = dict.fromkeys(fleet.names, 1.0)
    fleet.run(2)
    assert fleet.log == []
    fleet.times = dict.fromkeys(fleet.names, 4.0)
    fleet.run(MIN_SLOW_MS / 1000 + 1)
    assert fleet.resting()
    fleet.times = dict.fromkeys(fleet.names, 1.0)
    fleet.run(1)
    assert not fleet.resting() and "ends early" in fleet.log[-1]


def test_a_choke_that_begins_while_another_rests_gets_its_turn() -> None:
    fleet = Fleet(4)
    fleet.choked = {"s-0", "s-1", "s-2"}
    fleet.run(MIN_SLOW_MS / 1000 + 2)
    assert fleet.resting() == {"s-0", "s-2"}
    fleet.choked.add("s-3")
    fleet.run(2 * PAUSE_MS / 1000 + 3)
    assert not fleet.choked


def test_a_rest_that_was_too_short_is_followed_by_a_longer_one() -> None:
    fleet = Fleet(4)
    fleet.choked = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + PAUSE_MS / 1000 + 2)
    assert fleet.resting() == {"s-1", "s-3"}
    fleet.needs = 6_500.0
    fleet.run(CONFIRMED_MS / 1000)
    assert any("too short" in line for line in fleet.log) and not fleet.choked


def test_servers_at_rest_are_called_back_when_the_others_leave() -> None:
    fleet = Fleet(4)
    fleet.choked = set(fleet.names)
    fleet.run(MIN_SLOW_MS / 1000 + 1)
    assert fleet.resting() == {"s-0", "s-2"}
    fleet.views[0] = [s for s in fleet.views[0] if s.member.server in ("s-0", "s-2")]
    fleet.run(1)
    assert not fleet.resting()


def test_what_choked_once_is_held_to_less() -> None:
    fleet = Fleet(4)
    fleet.choked = set(fleet.names)
    for one in fleet.views[0]:
        one.carries = 10.0
    fleet.run(20)
    assert [s.ceiling for s in fleet.views[0]] == [pytest.approx(CEILING_FACTOR * 10.0 / GROWTH_FACTOR)] * 4


def test_a_fleet_of_one_never_rests() -> None:
    fleet = Fleet(1)
    fleet.choked = set(fleet.names)
    fleet.run(20)
    assert fleet.log == []
