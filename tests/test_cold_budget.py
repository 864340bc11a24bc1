"""What all balancers together send to servers that have just started, against the rule's budget.

What happens. All servers of a tier start at one moment (a release, a zone that returns), and all balancers
hear of it at one moment. Each of 60 balancers that know well how fast the servers are sends one call to each
server at once: in the first 1.6 s 35 calls reach a server that may be sent 21, and it falls over.

Why. Where a balancer's part of the budget was under one call a window, its calls were spaced by the time since
its last call there, and before a first call that time is without end. So the first calls of all were free: in
the worst windows of ten such fleets 23 to 40 calls were counted, and 23 to 40 of them were first calls, with
rates known (35 of 35) or not (30 of 30). Balancers now draw for each window whether they may send a call.
"""

from __future__ import annotations

import pytest

from tests.helpers import Desk
from tests.test_fleet import COLD_FROM, COLD_MS, FACTOR, SERVERS, TAKES_MS, WINDOW_MS, Fleet
from umberworks.interface import Attached, Detached, Member
from umberworks.slow_start import MIN_CORES

LONG_CALL_MS = 5 * TAKES_MS


def allowed(warmth: float, takes: float) -> float:
    """N of the rule: what a server so warm can be sent in a window, in calls."""
    return FACTOR * warmth * MIN_CORES * WINDOW_MS / takes


def assert_within_budget(fleet: Fleet, since: float) -> None:
    """No server gets more in a window after its start at `since` than N + 2 roots of N + 2."""
    for server in {name for _, name in fleet.calls}:
        times = [t for t, name in fleet.calls if name == server and t >= since]
        for time in times:
            warmth = min(COLD_FROM + (1 - COLD_FROM) * (time - since) / COLD_MS, 1.0)
            most = allowed(warmth, fleet.takes)
            count = sum(time - WINDOW_MS < other <= time for other in times)
            bound = most + 2 * most**0.5 + 2
            assert count <= bound, f"{count} calls in a window at {server}, {bound:.1f} are allowed"


def cold_fleet(balancers: int, knows_ms: float) -> Fleet:
    """Balancers that have known their servers for so long, before servers that all start now."""
    fleet = Fleet(every=4.0, balancers=balancers, takes=LONG_CALL_MS)
    fleet.run(knows_ms)
    fleet.replace()
    return fleet


@pytest.mark.parametrize(
    ("balancers", "knows_ms"),
    [
        (1, 0.0),
        (5, 0.0),
        (5, 8_000.0),
        (24, 0.0),
        (60, 1_000.0),
        (60, 8_000.0),
        (120, 8_000.0),
        (200, 8_000.0),
    ],
)
def test_servers_that_all_start_at_one_moment_are_not_pushed_over(balancers: int, knows_ms: float) -> None:
    fleet = cold_fleet(balancers, knows_ms)
    started = fleet.now
    fleet.run(6_000)
    assert_within_budget(fleet, started)


def test_servers_that_start_once_more_under_their_names_are_not_pushed_over() -> None:
    # What a balancer was owed before the second start counts for nothing after it.
    fleet = cold_fleet(200, 0.0)
    fleet.run(2_500)
    started = fleet.now
    again = [Member(server, up_since_ms=started) for server in fleet.since]
    fleet.since = dict.fromkeys(fleet.since, started)
    for desk in fleet.desks:
        fleet.take(desk, desk.show(*again))
    fleet.run(4_000)
    assert_within_budget(fleet, started)


def test_servers_that_all_balancers_put_back_by_hand_at_one_moment_are_not_pushed_over() -> None:
    # Operators put two servers back on each balancer, and both start cold. Each balancer sent both a call in each
    # window, whatever the budget of all: 18 calls in the first window, where 17.4 are allowed with 60 balancers.
    fleet = Fleet(every=4.0, balancers=60, takes=LONG_CALL_MS)
    fleet.run(4_000)
    names = [f"s{i}" for i in range(SERVERS)]
    for desk in fleet.desks:
        for name in names[:2]:
            desk.tell(Detached(name))
    fleet.run(1_000)
    started = fleet.now
    fleet.since = dict.fromkeys(names[:2], started)
    for desk in fleet.desks:
        for name in names[:2]:
            fleet.take(desk, desk.tell(Attached(name, started)))
    fleet.run(4_000)
    calls = [(t, name) for t, name in fleet.calls if name in names[:2]]
    assert [t for t, _ in calls if t >= started], "they are in use again"
    fleet.calls = calls
    assert_within_budget(fleet, started)


def test_a_call_that_waits_long_for_a_cold_server_is_not_owed_by_all_balancers_at_once() -> None:
    # For 6 s nobody has anything to send; then the requests of all come at one moment.
    fleet = cold_fleet(200, 8_000.0)
    started = fleet.now
    fleet.every = 1e9
    fleet.run(6_000)
    fleet.every = 0.5
    fleet.run(1_600)
    assert_within_budget(fleet, started)


@pytest.mark.parametrize("balancers", [1, 30, 120])
def test_a_fleet_that_is_all_new_is_sent_a_quarter_of_its_budget_at_the_least(balancers: int) -> None:
    fleet = cold_fleet(balancers, 8_000.0)
    began, before = fleet.now, fleet.served
    fleet.run(6_000)
    mean_warmth = COLD_FROM + (1 - COLD_FROM) * (fleet.now - began) / 2 / COLD_MS
    could = SERVERS * allowed(mean_warmth, LONG_CALL_MS) * (fleet.now - began) / WINDOW_MS
    # A server of two cores can serve a third of its budget; what it is sent beyond that waits there.
    assert fleet.served - before >= could / 4


def test_a_balancer_that_stands_alone_sends_a_cold_server_its_first_call_at_once() -> None:
    desk = Desk(0, balancers=1, cold_ms=COLD_MS, cold_from=COLD_FROM, cold_overload_factor=FACTOR)
    desk.show(Member("n0", up_since_ms=desk.now))
    desk.now += 1.0
    assert desk.serve() == "n0"
