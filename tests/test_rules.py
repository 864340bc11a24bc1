"""The decisions of a balancer: picking servers, retries, drains, slow start, overload and settings."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.helpers import ANYWHERE, ORDER, PAY, READ, BalancerHarness, members, of_kind, sent, settings
from umberworks.interface import (
    AttemptEnded,
    ClientDisconnected,
    Effect,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Member,
    Outcome,
    Readiness,
    Refuse,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerDue,
)
from umberworks.rules import Balancer
from umberworks.servers import Server


def calls_by_server(harness: BalancerHarness, rounds: int) -> Counter[str]:
    """Serve requests one at a time, all in the same time; how many each server got."""
    return Counter(harness.serve_request(takes=20.0) for _ in range(rounds))


def serve_many(harness: BalancerHarness, times: dict[str, float], rounds: int = 400) -> None:
    """Serve requests one at a time, with a time in ms for each server."""
    for _ in range(rounds):
        harness.serve_request(takes=times)


def serve_with_s0_failing(harness: BalancerHarness, rounds: int) -> Counter[str]:
    """Send requests that s0 fails at once and other servers serve; how many each server got."""
    got: Counter[str] = Counter()
    for _ in range(rounds):
        request, actions = harness.new_request(PAY)
        server = sent(actions)[0].server
        got[server] += 1
        harness.now += 5
        harness.end_attempt(request, 0, server, Outcome.ERROR if server == "s0" else Outcome.SERVED)
    return got


def serve_batch(harness: BalancerHarness, count: int, takes: float) -> int:
    """Send `count` requests at once and serve the admitted ones after `takes` ms; how many these are."""
    requests = [
        (request, sent(actions)) for request, actions in (harness.new_request() for _ in range(count))
    ]
    for request, sends in requests:
        if not sends:
            harness.deliver(ClientDisconnected(request))
    harness.now += takes
    for request, sends in requests:
        if sends:
            harness.end_attempt(request, 0, sends[0].server, Outcome.SERVED)
    return sum(bool(sends) for _, sends in requests)


# ---- picking a server ----------------------------------------------------------------------------
def test_equal_servers_get_equal_shares() -> None:
    got = calls_by_server(BalancerHarness(4), 2_000)
    assert len(got) == 4 and min(got.values()) > 100


def test_shares_follow_learned_capacity() -> None:
    harness = BalancerHarness(2)
    serve_many(harness, {"s0": 10.0, "s1": 30.0})
    got = Counter(harness.serve_request(takes=10.0) for _ in range(200))
    assert got["s0"] > 3 * got["s1"]


def test_calls_go_to_the_server_with_the_lowest_load() -> None:
    harness = BalancerHarness(2)
    got = Counter(sent(harness.new_request()[1])[0].server for _ in range(8))
    assert abs(got["s0"] - got["s1"]) <= 4


def test_a_new_server_is_estimated_at_the_median_capacity() -> None:
    harness = BalancerHarness(3)
    serve_many(harness, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    harness.update_list(*members(3), Member("new"))
    got = Counter(sent(harness.new_request()[1])[0].server for _ in range(9))
    assert got["s0"] >= got["new"] > got["s2"]


def test_one_slow_answer_hardly_changes_an_estimate() -> None:
    harness = BalancerHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = harness.new_request()
    slow = sent(actions)[0].server
    harness.now += 200
    harness.end_attempt(request, 0, slow, Outcome.SERVED)
    got = Counter(harness.serve_request(takes=20.0) for _ in range(400))
    assert got[slow] > 10


def test_a_server_that_does_not_answer_is_avoided_before_its_first_timeout() -> None:
    harness = BalancerHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    first = sent(harness.new_request()[1])[0].server
    harness.now += 500
    got = Counter(harness.serve_request(takes=20.0) for _ in range(20))
    assert got[first] <= 2


def test_a_server_that_fails_fast_gets_few_calls() -> None:
    assert serve_with_s0_failing(BalancerHarness(2), 60)["s0"] < 10


def test_a_server_that_recovers_gets_calls_again() -> None:
    harness = BalancerHarness(2)
    serve_with_s0_failing(harness, 30)
    got = Counter(harness.serve_request(takes=20.0) for _ in range(1_500))
    assert got["s0"] > 20


# ---- every request gets an answer ----------------------------------------------------------------
def test_a_request_is_refused_in_time_if_there_is_no_server() -> None:
    harness = BalancerHarness(0)
    request, actions = harness.new_request()
    timer = of_kind(actions, SetTimer)[0]
    assert isinstance(timer, SetTimer) and timer.at_ms < harness.now + 3_000
    harness.now = timer.at_ms
    assert Refuse(request) in harness.deliver(TimerDue(timer.token))


def test_a_request_with_no_time_left_is_refused_at_once() -> None:
    harness = BalancerHarness(2)
    request, actions = harness.new_request(remaining=0.0)
    assert actions == [Refuse(request)]


def test_a_request_fails_at_once_when_its_attempt_times_out_at_the_deadline() -> None:
    harness = BalancerHarness(2)
    request, actions = harness.new_request(PAY, remaining=300)
    harness.now += 500
    assert of_kind(harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.TIMED_OUT), Fail) == [
        Fail(request)
    ]


def test_late_events_are_ignored_and_impossible_ones_raise() -> None:
    harness = BalancerHarness(2)
    assert harness.deliver(ClientDisconnected(99)) == []
    assert harness.deliver(TimerDue("wait:99")) == []
    with pytest.raises(ValueError, match="never made"):
        harness.deliver(AttemptEnded(99, 0, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="never made"):
        harness.deliver(ResponseStarted(99, 0))
    request, _ = harness.new_request()
    for attempt in (-1, 1):
        with pytest.raises(ValueError, match="never made"):
            harness.deliver(AttemptEnded(request, attempt, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="arrived before"):
        harness.deliver(RequestArrived(request, "read", 10))
    with pytest.raises(ValueError, match="unknown class"):
        harness.deliver(RequestArrived(12345, "nosuch", 10))


# ---- no repeated effect --------------------------------------------------------------------------
def test_an_unsafe_request_is_retried_only_if_it_had_no_effect() -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(PAY)
    again = sent(harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.TURNED_AWAY))
    assert len(again) == 1
    assert harness.end_attempt(request, 1, again[0].server, Outcome.BROKEN) == [Fail(request)]


def test_a_keyed_request_is_repeated_only_in_its_cell_and_within_its_window() -> None:
    harness = BalancerHarness(6)
    for _ in range(20):
        request, actions = harness.new_request(ORDER)
        first = sent(actions)[0].server
        again = sent(harness.end_attempt(request, 0, first, Outcome.ERROR))
        if again:
            assert int(again[0].server[1]) // 2 == int(first[1]) // 2
        harness.now += 100
    harness = BalancerHarness(
        6, classes=(RequestClass("order", 5_000, 9_000, ORDER.effect, ORDER.dedup_scope, 2_000),)
    )
    request, actions = harness.new_request(ORDER, remaining=9_000)
    harness.now += 2_000
    assert harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.ERROR) == [Fail(request)]


def test_a_keyed_request_is_not_repeated_on_a_server_that_restarted_since() -> None:
    harness = BalancerHarness(2, cold_ms=0)
    request, actions = harness.new_request(ANYWHERE)
    first = sent(actions)[0].server
    harness.now += 50
    other = "s1" if first == "s0" else "s0"
    harness.update_list(Member(other, up_since_ms=harness.now), kind=ListKind.CHANGES)
    again = sent(harness.end_attempt(request, 0, first, Outcome.ERROR))
    assert [a.server for a in again] in ([], [first])


def test_a_start_time_in_the_future_is_harmless_without_slow_start() -> None:
    harness = BalancerHarness(1, cold_ms=0)
    harness.update_list(Member("s0", up_since_ms=harness.now + 5_000_000))
    assert [a.server for a in sent(harness.new_request()[1])] == ["s0"]


# ---- drains and the server list ------------------------------------------------------------------
@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.GONE])
def test_draining_and_gone_servers_get_no_new_calls(readiness: Readiness) -> None:
    harness = BalancerHarness(2)
    harness.update_list(Member("s0", readiness), kind=ListKind.CHANGES)
    assert {harness.serve_request() for _ in range(30)} == {"s1"}


def test_a_server_missing_from_a_whole_list_gets_no_calls() -> None:
    harness = BalancerHarness(2)
    harness.update_list(Member("s1"))
    assert {harness.serve_request() for _ in range(30)} == {"s1"}


def test_the_list_is_requested_at_once_and_retried_after_random_delays() -> None:
    pauses = set()
    for seed in range(4):
        harness = BalancerHarness(2, seed=seed, pulls_list=True)
        assert of_kind(harness.all_actions, Subscribe) == [Subscribe()]
        actions = harness.deliver(ListUpdate(ListKind.FAILED))
        assert any(isinstance(a, Log) for a in actions)
        timer = of_kind(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer) and timer.at_ms < harness.now + 5_000
        pauses.add(timer.at_ms)
        assert Subscribe() in harness.deliver(TimerDue(timer.token))
        assert {harness.serve_request() for _ in range(30)} == {"s0", "s1"}, "the old list stays in use"
    assert len(pauses) == 4
    for _ in range(2_000):  # an outage of hours
        actions = harness.deliver(ListUpdate(ListKind.FAILED))
        assert not any(isinstance(a, Log) for a in actions)


# ---- cold servers --------------------------------------------------------------------------------
def test_a_cold_server_gets_few_calls() -> None:
    harness = BalancerHarness(4)
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    harness.update_list(Member("s0", up_since_ms=harness.now), kind=ListKind.CHANGES)
    got = Counter(s.server for _ in range(16) for s in sent(harness.new_request()[1]))
    assert got["s0"] <= 2 < min(got["s1"], got["s2"], got["s3"])


def test_an_all_cold_fleet_is_not_overloaded() -> None:
    harness = BalancerHarness(2)
    harness.update_list(*(Member(f"s{i}", up_since_ms=harness.now) for i in range(2)))
    got = Counter(s.server for _ in range(50) for s in sent(harness.new_request()[1]))
    assert set(got.values()) == {1}


# ---- overload ------------------------------------------------------------------------------------
def test_calls_in_flight_are_bounded_and_other_requests_wait_then_are_refused() -> None:
    harness = BalancerHarness(2)
    out = [r for r, actions in (harness.new_request() for _ in range(100)) if sent(actions)]
    assert len(out) < 20
    timers = [a for a in harness.all_actions if isinstance(a, SetTimer) and a.token.startswith("wait")]
    assert len(timers) == 100 - len(out)
    harness.now = timers[-1].at_ms
    refused = [a for t in timers for a in harness.deliver(TimerDue(t.token)) if isinstance(a, Refuse)]
    assert len(refused) == len(timers)
    logs = [a for a in harness.all_actions if isinstance(a, Log) and "no room" in a.text]
    assert len(logs) == 1, "one line for a whole period of refusals"


def sustained(harness: BalancerHarness, takes: float, rounds: int = 200, requests: int = 40) -> float:
    """The mean number of calls admitted at once, of `requests`, over the last quarter of the rounds."""
    got = [serve_batch(harness, requests, takes) for _ in range(rounds)]
    return sum(got[-rounds // 4 :]) / (rounds // 4)


def test_the_limit_stays_up_when_all_calls_take_a_little_longer() -> None:
    harness = BalancerHarness(2)
    assert sustained(harness, 20.0, requests=16) > 10
    assert sustained(harness, 24.0) > 12, "more than the minimum of four for each server"


def test_lasting_overload_is_held_back_more_than_a_burst() -> None:
    harness = BalancerHarness(2)
    sustained(harness, 20.0, requests=4)
    burst = serve_batch(harness, 40, 20.0)
    assert burst > 1.3 * sustained(harness, 60.0)


def test_a_burst_gets_the_minimum_limit_before_the_time_in_service_is_known() -> None:
    assert serve_batch(BalancerHarness(2), 40, 20.0) == 8


def test_hours_of_little_traffic_do_not_raise_the_limit_without_bound() -> None:
    harness = BalancerHarness(2)
    sustained(harness, 20.0, requests=4)
    for _ in range(2_000):
        harness.now += 60_000
        harness.update_list(*members(2))
    assert harness.balancer._load.base_service_time <= 1.0


def test_inner_tiers_admit_far_more_than_the_first_tier() -> None:
    assert serve_batch(BalancerHarness(2, calling_tier=1), 100, 20.0) > 3 * serve_batch(
        BalancerHarness(2), 100, 20.0
    )


def test_the_newest_waiting_request_goes_first() -> None:
    harness = BalancerHarness(1)
    out = [(r, sent(actions)) for r, actions in (harness.new_request() for _ in range(50))]
    busy = [(r, s[0].server) for r, s in out if s]
    harness.now += 10
    last = harness.new_request()[0]
    harness.now += 10
    released = sent(harness.end_attempt(busy[0][0], 0, busy[0][1], Outcome.SERVED))
    assert [s.request for s in released] == [last]


def test_the_minimum_limit_is_shared_by_the_balancers() -> None:
    assert len(sent(BalancerHarness(8).new_request()[1])) == 1
    one, four = BalancerHarness(24), BalancerHarness(24, balancers=4)
    count_one = sum(bool(sent(one.new_request()[1])) for _ in range(200))
    count_four = sum(bool(sent(four.new_request()[1])) for _ in range(200))
    assert count_one >= 3 * count_four


def test_a_small_limit_is_not_divided_as_one_balancer_may_have_all_callers() -> None:
    assert serve_batch(BalancerHarness(4, balancers=2), 40, 20.0) == 16, (
        "more than half of what four servers have room for"
    )
    assert serve_batch(BalancerHarness(2, balancers=2), 40, 20.0) == 8, (
        "but no more than they carry beside another's calls"
    )
    assert serve_batch(BalancerHarness(8, balancers=2), 40, 20.0) == 16, "from here on the limit is shared"
    assert serve_batch(BalancerHarness(16, balancers=2), 40, 20.0) == 32


def test_a_small_limit_is_divided_once_calls_take_twice_as_long() -> None:
    harness = BalancerHarness(4, balancers=2)
    assert sustained(harness, 20.0, rounds=40, requests=8) == 8
    assert serve_batch(harness, 40, 20.0) >= 16, "a burst is admitted while calls are fast"
    assert sustained(harness, 60.0, rounds=40) < 12, "about the limit of their half of the fleet"


def test_of_many_balancers_a_busy_one_may_exceed_its_part_while_calls_are_fast() -> None:
    harness = BalancerHarness(160, balancers=32)
    assert serve_batch(harness, 40, 150.0) == 20, "an even part, while nothing is known of the fleet"
    for _ in range(20):
        assert serve_batch(harness, 60, 150.0) == 60, (
            "three times its even part, as the others don't use theirs"
        )


def test_of_many_balancers_each_is_limited_to_its_part_once_calls_are_slow() -> None:
    harness = BalancerHarness(160, balancers=32)
    sustained(harness, 150.0, rounds=40, requests=20)
    assert sustained(harness, 600.0, rounds=40, requests=60) < 24, "about an even part"


def test_of_few_balancers_each_is_limited_to_its_part() -> None:
    few, many = BalancerHarness(35, balancers=7), BalancerHarness(40, balancers=8)
    assert sustained(few, 150.0, rounds=40, requests=90) < 60
    assert sustained(many, 150.0, rounds=40, requests=90) == 90


def test_connections_are_kept_free_while_callers_cannot_open_new_ones() -> None:
    harness = BalancerHarness(4)
    few = [harness.new_request(free_connections=0)[1] for _ in range(2)]
    assert all(sent(actions) for actions in few), "a few callers are exempt"
    assert of_kind(harness.new_request(free_connections=0)[1], Refuse)
    assert sent(harness.new_request(free_connections=1)[1])
    more = [harness.new_request(free_connections=2)[1] for _ in range(4)]
    assert all(sent(actions) for actions in more)
    assert of_kind(harness.new_request(free_connections=1)[1], Refuse)
    assert sent(harness.new_request()[1]), "no bound while callers can open connections"


def test_a_tenant_over_its_quota_waits_behind_the_others() -> None:
    harness = BalancerHarness(1, tenants=(Tenant("big", 1.0), Tenant("small", 50.0)))
    first = [harness.new_request(tenant="big") for _ in range(30)]
    small, _ = harness.new_request(tenant="small")
    harness.now += 1
    harness.new_request(tenant="big")
    server = next(sent(actions)[0].server for _, actions in first if sent(actions))
    out = next(r for r, actions in first if sent(actions))
    assert [s.request for s in sent(harness.end_attempt(out, 0, server, Outcome.SERVED))] == [small]


def test_retries_are_limited_by_the_retry_budget() -> None:
    harness = BalancerHarness(8, cold_ms=0)
    again = 0
    for _ in range(300):
        request, actions = harness.new_request()
        attempt = 0
        while sent(actions):
            harness.now += 5
            actions = harness.end_attempt(request, attempt, sent(actions)[0].server, Outcome.UNREACHED)
            attempt += 1
        again += max(attempt - 1, 0)
    assert 50 < again < 100


# ---- settings and determinism --------------------------------------------------------------------
@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": (READ, READ)}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"cold_from": 0.0}, "cold_from"),
        ({"tick_ms": float("inf")}, "tick_ms"),
    ],
)
def test_bad_settings_name_their_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)
    with pytest.raises(ValueError, match="aim_ms"):
        RequestClass("x", 0, 10, READ.effect)


def test_same_events_and_seed_give_the_same_actions() -> None:
    def run(seed: int) -> list[object]:
        harness = BalancerHarness(6, seed=seed)
        for i in range(200):
            harness.serve_request(takes=5.0 + i % 7)
        return [a for a in harness.all_actions if isinstance(a, Send)]

    assert run(3) == run(3) != run(4)


def test_a_balancer_needs_no_list_to_start() -> None:
    balancer = Balancer(Settings(classes=(READ,), pulls_list=True), 1)
    assert Subscribe() in balancer.handle(RequestArrived(1, "read", 500), 0.0)


def test_in_a_large_tier_a_balancer_uses_a_subset_that_grows_with_its_calls() -> None:
    # With few calls for each of many servers, estimates were poor and each call opened a new connection.
    def used(balancers: int, rounds: int, seed: int) -> set[str]:
        harness = BalancerHarness(count=200, seed=seed, balancers=balancers)
        return {harness.serve_request(takes=10_000.0 / rounds) for _ in range(rounds)}

    few = used(500, 60, seed=1)
    assert 8 <= len(few) <= 16
    assert len(used(500, 60, seed=2) & few) < 8  # another balancer uses another subset
    assert len(used(1, 2_000, seed=1)) > 100  # with many calls the subset is large


def test_a_server_that_leaves_the_subset_is_replaced_and_the_others_stay() -> None:
    harness = BalancerHarness(count=60, balancers=500)
    kept = {harness.serve_request() for _ in range(900)}
    gone = sorted(kept)[0]
    harness.update_list(Member(gone, readiness=Readiness.GONE), kind=ListKind.CHANGES)
    after = {harness.serve_request() for _ in range(900)}
    assert gone not in after
    assert len(kept - after - {gone}) <= 2


def test_a_client_retry_keeps_the_target_time_of_the_first_try() -> None:
    harness = BalancerHarness(2)
    for _ in range(5):
        request, actions = harness.new_request(remaining=2_500)
        harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.SERVED)
    # the deadline is 3,000 ms, so its first try was 1,100 ms ago
    late, actions = harness.new_request(remaining=1_900)
    assert actions == [Refuse(late)], "its target time of 1,000 ms has passed"
    # first try 300 ms ago; this one gets the rest of the 1,000 ms
    _, actions = harness.new_request(remaining=2_700)
    assert sent(actions)[0].timeout_ms == pytest.approx(700)
    _, actions = BalancerHarness(2, calling_tier=1).new_request(remaining=1_900)
    assert sent(actions)[0].timeout_ms == pytest.approx(1_000), (
        "requests from other servers are no client retries"
    )


def duplicates_of(harness: BalancerHarness, cls: RequestClass, serves_others: bool = False) -> list[Send]:
    """The duplicates sent of an unanswered call; with `serves_others`, its server serves other calls."""
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 20.0), 100)
    request, actions = harness.new_request(cls)
    first = sent(actions)[0].server
    timers = [a for a in actions if isinstance(a, SetTimer)]
    if serves_others:
        harness.balancer._servers[first].last_served_at = harness.now + 1
    if not timers:
        return []
    harness.now = timers[0].at_ms
    again = sent(harness.deliver(TimerDue(timers[0].token)))
    assert all(s.server != first and s.request == request for s in again)
    return again


def test_an_unanswered_call_is_duplicated_if_that_is_safe() -> None:
    assert len(duplicates_of(BalancerHarness(4, cold_ms=0), READ)) == 1
    assert duplicates_of(BalancerHarness(4, cold_ms=0), PAY) == []
    assert duplicates_of(BalancerHarness(4, cold_ms=0, may_duplicate=False), READ) == []
    assert duplicates_of(BalancerHarness(4, cold_ms=0), READ, serves_others=True) == [], (
        "it serves others: this call is a long one"
    )


def test_ties_go_to_the_larger_capacity_and_sampling_follows_it(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = BalancerHarness(2)
    capacity = {"s0": 2.0, "s1": 1.0}
    monkeypatch.setattr(Server, "capacity", lambda s, _usual, _now: capacity[s.member.server])
    harness.balancer._servers["s0"].in_flight = 1  # (1 + 1) / 2 ties with (0 + 1) / 1
    request, _ = harness.new_request()
    known = harness.balancer._requests[request]
    known.attempts.clear()
    harness.balancer._servers["s0"].in_flight, harness.balancer._servers["s1"].in_flight = 1, 0
    got = Counter(s.member.server for _ in range(2_000) if (s := harness.balancer._pick(known, harness.now)))
    assert got["s0"] > 1_900, "s1 wins only if none of the four samples is s0: one in 81"
    assert got["s1"] > 5


def test_a_failed_call_holds_its_slot_until_its_timeout() -> None:
    harness = BalancerHarness(1)
    request, actions = harness.new_request(PAY)
    server = harness.balancer._servers["s0"]
    harness.now += 5
    harness.end_attempt(request, 0, "s0", Outcome.ERROR)
    assert server.in_flight == 1
    harness.now += sent(actions)[0].timeout_ms
    harness.deliver(TimerDue("wait:0"))
    assert server.in_flight == 0


def test_no_duplicate_is_sent_without_may_duplicate() -> None:
    harness = BalancerHarness(4, may_duplicate=False)
    request, _ = harness.new_request()
    harness.now += 500
    assert sent(harness.deliver(TimerDue(f"copy:{request}"))) == []


def offer_load(harness: BalancerHarness, takes: float, requests: int, tenant: str | None = None) -> int:
    """How many of the requests, one a second and each in flight for `takes` ms, are admitted."""
    admitted = 0
    out: list[tuple[float, int, str]] = []
    for _ in range(requests):
        harness.now += 1_000
        for begun, request, server in [o for o in out if harness.now - o[0] >= takes]:
            out.remove((begun, request, server))
            harness.end_attempt(request, 0, server, Outcome.SERVED)
        request, actions = harness.new_request(remaining=30_000, tenant=tenant)
        if sent(actions):
            admitted += 1
            out.append((harness.now, request, sent(actions)[0].server))
    return admitted


def test_the_wait_queue_does_not_keep_refused_requests() -> None:
    # The newest requests go first: under overload the entries at the end of the queue were never removed.
    harness = BalancerHarness(1)
    for _ in range(2_000):
        harness.now += 1
        _, actions = harness.new_request()
        for timer in of_kind(actions, SetTimer):
            if isinstance(timer, SetTimer) and timer.token.startswith("wait:"):
                harness.deliver(TimerDue(timer.token))
    assert len(harness.balancer._requests) < 100
    assert len(harness.balancer._wait_queue) < 200


def test_a_balancer_with_few_calls_admits_by_time_in_service() -> None:
    # With many balancers per server, the limit on calls in flight fell below one, and a calm fleet refused.
    slow = RequestClass("read", 10_000, 30_000, Effect.REPEATABLE)
    calm = BalancerHarness(count=4, balancers=40, classes=(slow,))
    assert offer_load(calm, takes=2_500, requests=100) == 100
    overloaded = BalancerHarness(count=4, balancers=40, classes=(slow,))
    assert offer_load(overloaded, takes=20_000, requests=100) < 60
    inner = BalancerHarness(count=4, balancers=40, classes=(slow,), calling_tier=1)
    assert offer_load(inner, takes=20_000, requests=100) == 100


def test_a_small_part_of_a_quota_still_allows_requests() -> None:
    # Two seconds' worth of a balancer's part of the quota was less than one request: all were over quota.
    slow = RequestClass("read", 10_000, 30_000, Effect.REPEATABLE)
    tenants = (Tenant("within", 48.0), Tenant("beyond", 8.0))
    within = BalancerHarness(count=4, balancers=40, classes=(slow,), tenants=tenants)
    assert offer_load(within, takes=5_000, requests=100, tenant="within") == 100
    beyond = BalancerHarness(count=4, balancers=40, classes=(slow,), tenants=tenants)
    assert offer_load(beyond, takes=5_000, requests=100, tenant="beyond") < 90


def test_calls_to_a_cold_server_are_spaced() -> None:
    # When the budget was counted per window, each of many balancers sent a burst at once.
    harness = BalancerHarness(count=1, cold_window_ms=1_000)
    for _ in range(60):
        harness.serve_request(takes=100.0)
    harness.update_list(Member("s0", up_since_ms=harness.now))
    harness.now += 1_000
    assert [len(sent(harness.new_request()[1])) for _ in range(3)] == [1, 0, 0]
    harness.now += 500
    assert len(sent(harness.new_request()[1])) == 1


def test_few_calls_are_shared_by_capacity() -> None:
    # When nearly all counts were 0, the fastest of the four samples always won: one kind was overloaded.
    harness = BalancerHarness(count=1, balancers=50, sizes_exact=True)
    fast = [Member(f"f{i}", size=2.0) for i in range(5)]
    slow = [Member(f"s{i}", size=1.0) for i in range(10)]
    harness.update_list(*fast, *slow)
    got: Counter[str] = Counter()
    for _ in range(600):
        harness.now += 1_000  # so rarely that the evidence has decayed almost to nothing
        got[harness.serve_request(takes={m.server: 100 / m.size for m in (*fast, *slow)})] += 1
    share = sum(got[m.server] for m in fast) / 600
    # they have half of the capacity; the fastest of four samples would give them four fifths
    assert 0.4 < share < 0.6
    silent, _ = harness.new_request(), harness.new_request()
    held = {a.server for a in sent(silent[1])}
    # a server with a call in flight is compared by load
    assert all(harness.serve_request(takes=10.0) not in held for _ in range(30))


@pytest.mark.parametrize(("longest", "wanted"), [(1_500.0, 250.0), (100.0, 100.0), (0.0, 0.0)])
def test_retry_after_is_bounded_by_the_settings(longest: float, wanted: float) -> None:
    harness = BalancerHarness(count=0, max_retry_after_ms=longest)
    number, _ = harness.new_request()
    harness.now += 200
    assert harness.deliver(TimerDue(f"wait:{number}"))[-1] == Refuse(number, wanted)
