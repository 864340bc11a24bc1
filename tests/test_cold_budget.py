"""Calls from all balancers together to servers that have just started, against the budget of the contract.

The failure: all servers of a tier start at one moment (a release, or a zone that returns), and all balancers
learn of it at the same moment. Each of 60 balancers, which know the speed of the servers well, sends one call
to each server at once. In the first 1.6 s a server with a budget of 21 calls gets 35, and collapses.

The cause: a balancer whose part of the budget was below one call per window spaced its calls by the time
since its last call to the server, which before the first call is infinite. So all first calls were free: in
the worst windows of ten such fleets there were 23 to 40 calls, of which 23 to 40 were first calls, with known
rates (35 of 35) and without (30 of 30). Balancers now draw for each window whether they may send a call.
"""

from __future__ import annotations

import pytest

from tests.helpers import BalancerHarness
from tests.test_fleet import COLD_FROM, COLD_MS, OVERLOAD_FACTOR, SERVERS, SERVICE_MS, WINDOW_MS, Fleet
from umberworks.interface import Attached, Detached, Member
from umberworks.slow_start import MIN_CORES

LONG_SERVICE_MS = 5 * SERVICE_MS


def budget(warmth: float, service_ms: float) -> float:
    """The calls that a server of this warmth may be sent in a window, N in the contract."""
    return OVERLOAD_FACTOR * warmth * MIN_CORES * WINDOW_MS / service_ms


def assert_within_budget(fleet: Fleet, started: float) -> None:
    """No server gets more than N + 2 * sqrt(N) + 2 calls in a window after its start."""
    for server in {name for _, name in fleet.calls}:
        times = [t for t, name in fleet.calls if name == server and t >= started]
        for time in times:
            warmth = min(COLD_FROM + (1 - COLD_FROM) * (time - started) / COLD_MS, 1.0)
            allowed = budget(warmth, fleet.service_ms)
            count = sum(time - WINDOW_MS < other <= time for other in times)
            bound = allowed + 2 * allowed**0.5 + 2
            assert count <= bound, f"{count} calls in a window at {server}, {bound:.1f} are allowed"


def cold_fleet(balancers: int, warm_up_ms: float) -> Fleet:
    """Balancers that have used their servers for `warm_up_ms`, and servers that all start now."""
    fleet = Fleet(interval_ms=4.0, balancers=balancers, service_ms=LONG_SERVICE_MS)
    fleet.run(warm_up_ms)
    fleet.replace()
    return fleet


@pytest.mark.parametrize(
    ("balancers", "warm_up_ms"),
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
def test_servers_that_all_start_at_once_are_not_overloaded(balancers: int, warm_up_ms: float) -> None:
    fleet = cold_fleet(balancers, warm_up_ms)
    started = fleet.now
    fleet.run(6_000)
    assert_within_budget(fleet, started)


def test_servers_that_restart_under_the_same_names_are_not_overloaded() -> None:
    # Calls that a balancer saved up before the second start must not count after it.
    fleet = cold_fleet(200, 0.0)
    fleet.run(2_500)
    started = fleet.now
    restarted = [Member(server, up_since_ms=started) for server in fleet.started_at]
    fleet.started_at = dict.fromkeys(fleet.started_at, started)
    for harness in fleet.harnesses:
        fleet.take(harness, harness.update_list(*restarted))
    fleet.run(4_000)
    assert_within_budget(fleet, started)


def test_servers_that_operators_attach_on_all_balancers_at_once_are_not_overloaded() -> None:
    # Operators attach two servers on each balancer, and both start cold. Each balancer sent both of them one
    # call per window, whatever the budget: 18 calls in the first window, where 17.4 are allowed with 60
    # balancers.
    fleet = Fleet(interval_ms=4.0, balancers=60, service_ms=LONG_SERVICE_MS)
    fleet.run(4_000)
    names = [f"s{i}" for i in range(SERVERS)]
    for harness in fleet.harnesses:
        for name in names[:2]:
            harness.deliver(Detached(name))
    fleet.run(1_000)
    started = fleet.now
    fleet.started_at = dict.fromkeys(names[:2], started)
    for harness in fleet.harnesses:
        for name in names[:2]:
            fleet.take(harness, harness.deliver(Attached(name, started)))
    fleet.run(4_000)
    calls = [(t, name) for t, name in fleet.calls if name in names[:2]]
    assert [t for t, _ in calls if t >= started], "the attached servers are in use again"
    fleet.calls = calls
    assert_within_budget(fleet, started)


def test_calls_saved_up_by_idle_balancers_do_not_overload_a_cold_server() -> None:
    # No balancer has anything to send for 6 s; then all of them get requests at one moment.
    fleet = cold_fleet(200, 8_000.0)
    started = fleet.now
    fleet.interval_ms = 1e9
    fleet.run(6_000)
    fleet.interval_ms = 0.5
    fleet.run(1_600)
    assert_within_budget(fleet, started)


@pytest.mark.parametrize("balancers", [1, 30, 120])
def test_fleet_of_cold_servers_is_sent_at_least_a_quarter_of_its_budget(balancers: int) -> None:
    fleet = cold_fleet(balancers, 8_000.0)
    started, served_before = fleet.now, fleet.served
    fleet.run(6_000)
    mean_warmth = COLD_FROM + (1 - COLD_FROM) * (fleet.now - started) / 2 / COLD_MS
    fleet_budget = SERVERS * budget(mean_warmth, LONG_SERVICE_MS) * (fleet.now - started) / WINDOW_MS
    # A server of two cores can serve a third of its budget; further calls queue there.
    assert fleet.served - served_before >= fleet_budget / 4


def test_single_balancer_sends_a_cold_server_its_first_call_at_once() -> None:
    harness = BalancerHarness(
        0, balancers=1, cold_ms=COLD_MS, cold_from=COLD_FROM, cold_overload_factor=OVERLOAD_FACTOR
    )
    harness.update_list(Member("n0", up_since_ms=harness.now))
    harness.now += 1.0
    assert harness.serve_request() == "n0"
