"""The decisions one by one: the ordinary path, and each guard by the failure it answers."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.helpers import ANYWHERE, ORDER, PAY, READ, Desk, members, of_kind, sent, settings
from umberworks.interface import (
    AnswerStarted,
    AttemptEnded,
    ClientLeft,
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
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerDue,
)
from umberworks.rules import Balancer
from umberworks.servers import Server


def shares(desk: Desk, rounds: int) -> Counter[str]:
    """Where requests go that are served one at a time, all in the same time."""
    return Counter(desk.serve(takes=20.0) for _ in range(rounds))


def teach(desk: Desk, times: dict[str, float], rounds: int = 400) -> None:
    """Serve requests one at a time, each server taking its own time."""
    for _ in range(rounds):
        desk.serve(takes=times)


def s0_fails(desk: Desk, rounds: int) -> Counter[str]:
    """Where requests go that s0 fails at once and the others serve."""
    got: Counter[str] = Counter()
    for _ in range(rounds):
        request, actions = desk.ask(PAY)
        server = sent(actions)[0].server
        got[server] += 1
        desk.now += 5
        desk.end(request, 0, server, Outcome.ERROR if server == "s0" else Outcome.SERVED)
    return got


def batch(desk: Desk, count: int, takes: float) -> int:
    """Ask for `count` requests at once and serve what was let out after `takes`; tell how many."""
    asked = [(request, sent(actions)) for request, actions in (desk.ask() for _ in range(count))]
    for request, sends in asked:
        if not sends:
            desk.tell(ClientLeft(request))
    desk.now += takes
    for request, sends in asked:
        if sends:
            desk.end(request, 0, sends[0].server, Outcome.SERVED)
    return sum(bool(sends) for _, sends in asked)


# ---- the ordinary path --------------------------------------------------------------------------


def test_equal_servers_get_equal_shares() -> None:
    got = shares(Desk(4), 2_000)
    assert len(got) == 4 and min(got.values()) > 100


def test_share_follows_learned_capacity() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 10.0, "s1": 30.0})
    got = Counter(desk.serve(takes=10.0) for _ in range(200))
    assert got["s0"] > 3 * got["s1"]


def test_lowest_load_after_placing_wins_and_busy_servers_are_passed_over() -> None:
    desk = Desk(2)
    got = Counter(sent(desk.ask()[1])[0].server for _ in range(8))
    assert abs(got["s0"] - got["s1"]) <= 4


def test_a_new_server_starts_at_the_median() -> None:
    desk = Desk(3)
    teach(desk, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    desk.show(*members(3), Member("new"))
    got = Counter(sent(desk.ask()[1])[0].server for _ in range(9))
    assert got["s0"] >= got["new"] > got["s2"]


def test_one_slow_answer_does_not_ruin_an_estimate() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = desk.ask()
    slow = sent(actions)[0].server
    desk.now += 200
    desk.end(request, 0, slow, Outcome.SERVED)
    got = Counter(desk.serve(takes=20.0) for _ in range(400))
    assert got[slow] > 10


def test_a_silent_server_sinks_before_its_first_time_out() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 20.0, "s1": 20.0}, 100)
    first = sent(desk.ask()[1])[0].server
    desk.now += 500
    got = Counter(desk.serve(takes=20.0) for _ in range(20))
    assert got[first] <= 2


def test_a_fast_failing_server_does_not_look_idle() -> None:
    assert s0_fails(Desk(2), 60)["s0"] < 10


def test_a_server_that_recovers_is_found_again() -> None:
    desk = Desk(2)
    s0_fails(desk, 30)
    got = Counter(desk.serve(takes=20.0) for _ in range(1_500))
    assert got["s0"] > 20


# ---- no lost request ----------------------------------------------------------------------------


def test_nothing_to_send_to_ends_in_a_refusal_in_time() -> None:
    desk = Desk(0)
    request, actions = desk.ask()
    timer = of_kind(actions, SetTimer)[0]
    assert isinstance(timer, SetTimer) and timer.at_ms < desk.now + 3_000
    desk.now = timer.at_ms
    assert Refuse(request) in desk.tell(TimerDue(timer.token))


def test_a_request_with_no_time_left_is_answered_at_once() -> None:
    desk = Desk(2)
    request, actions = desk.ask(remaining=0.0)
    assert actions == [Refuse(request)]


def test_a_time_out_at_the_deadline_is_answered_at_once() -> None:
    desk = Desk(2)
    request, actions = desk.ask(PAY, remaining=300)
    desk.now += 500
    assert of_kind(desk.end(request, 0, sent(actions)[0].server, Outcome.TIMED_OUT), Fail) == [Fail(request)]


def test_late_and_odd_events_are_ignored_and_impossible_ones_raise() -> None:
    desk = Desk(2)
    assert desk.tell(ClientLeft(99)) == []
    assert desk.tell(TimerDue("wait:99")) == []
    with pytest.raises(ValueError, match="never made"):
        desk.tell(AttemptEnded(99, 0, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="never made"):
        desk.tell(AnswerStarted(99, 0))
    request, _ = desk.ask()
    for attempt in (-1, 1):
        with pytest.raises(ValueError, match="never made"):
            desk.tell(AttemptEnded(request, attempt, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="arrived before"):
        desk.tell(RequestArrived(request, "read", 10))
    with pytest.raises(ValueError, match="unknown class"):
        desk.tell(RequestArrived(12345, "nosuch", 10))


# ---- no doubled effect --------------------------------------------------------------------------


def test_an_unsafe_request_is_retried_only_if_it_never_ran() -> None:
    desk = Desk(4)
    request, actions = desk.ask(PAY)
    again = sent(desk.end(request, 0, sent(actions)[0].server, Outcome.TURNED_AWAY))
    assert len(again) == 1
    assert desk.end(request, 1, again[0].server, Outcome.BROKEN) == [Fail(request)]


def test_a_keyed_request_stays_in_its_cell_and_window() -> None:
    desk = Desk(6)
    for _ in range(20):
        request, actions = desk.ask(ORDER)
        first = sent(actions)[0].server
        again = sent(desk.end(request, 0, first, Outcome.ERROR))
        if again:
            assert int(again[0].server[1]) // 2 == int(first[1]) // 2
        desk.now += 100
    desk = Desk(6, classes=(RequestClass("order", 5_000, 9_000, ORDER.effect, ORDER.repeat_group, 2_000),))
    request, actions = desk.ask(ORDER, remaining=9_000)
    desk.now += 2_000
    assert desk.end(request, 0, sent(actions)[0].server, Outcome.ERROR) == [Fail(request)]


def test_a_server_that_restarted_since_is_not_trusted_to_drop_a_repeat() -> None:
    desk = Desk(2, cold_ms=0)
    request, actions = desk.ask(ANYWHERE)
    first = sent(actions)[0].server
    desk.now += 50
    other = "s1" if first == "s0" else "s0"
    desk.show(Member(other, up_since_ms=desk.now), kind=ListKind.CHANGES)
    again = sent(desk.end(request, 0, first, Outcome.ERROR))
    assert [a.server for a in again] in ([], [first])


def test_servers_that_need_no_warming_serve_though_their_clock_is_ahead() -> None:
    desk = Desk(1, cold_ms=0)
    desk.show(Member("s0", up_since_ms=desk.now + 5_000_000))
    assert [a.server for a in sent(desk.ask()[1])] == ["s0"]


# ---- drains, the list ---------------------------------------------------------------------------


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.GONE])
def test_nothing_new_goes_to_what_drains_or_is_gone(readiness: Readiness) -> None:
    desk = Desk(2)
    desk.show(Member("s0", readiness), kind=ListKind.CHANGES)
    assert {desk.serve() for _ in range(30)} == {"s1"}


def test_missing_from_a_whole_list_means_gone() -> None:
    desk = Desk(2)
    desk.show(Member("s1"))
    assert {desk.serve() for _ in range(30)} == {"s1"}


def test_the_list_is_asked_at_once_and_again_after_a_failure_never_in_step() -> None:
    pauses = set()
    for seed in range(4):
        desk = Desk(2, seed=seed, list_is_asked=True)
        assert of_kind(desk.log, Subscribe) == [Subscribe()]
        actions = desk.tell(ListUpdate(ListKind.FAILED))
        assert any(isinstance(a, Log) for a in actions)
        timer = of_kind(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer) and timer.at_ms < desk.now + 5_000
        pauses.add(timer.at_ms)
        assert Subscribe() in desk.tell(TimerDue(timer.token))
        assert {desk.serve() for _ in range(30)} == {"s0", "s1"}, "the old list stands"
    assert len(pauses) == 4
    for _ in range(2_000):  # an outage of hours
        actions = desk.tell(ListUpdate(ListKind.FAILED))
        assert not any(isinstance(a, Log) for a in actions)


# ---- cold servers -------------------------------------------------------------------------------


def test_a_cold_server_gets_little() -> None:
    desk = Desk(4)
    teach(desk, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    desk.show(Member("s0", up_since_ms=desk.now), kind=ListKind.CHANGES)
    got = Counter(s.server for _ in range(16) for s in sent(desk.ask()[1]))
    assert got["s0"] <= 2 < min(got["s1"], got["s2"], got["s3"])


def test_a_fleet_that_is_all_cold_is_not_pushed_over() -> None:
    desk = Desk(2)
    desk.show(*(Member(f"s{i}", up_since_ms=desk.now) for i in range(2)))
    got = Counter(s.server for _ in range(50) for s in sent(desk.ask()[1]))
    assert set(got.values()) == {1}


# ---- overload -----------------------------------------------------------------------------------


def test_calls_out_are_bounded_and_the_rest_waits_then_is_refused() -> None:
    desk = Desk(2)
    out = [r for r, actions in (desk.ask() for _ in range(100)) if sent(actions)]
    assert len(out) < 20
    timers = [a for a in desk.log if isinstance(a, SetTimer) and a.token.startswith("wait")]
    assert len(timers) == 100 - len(out)
    desk.now = timers[-1].at_ms
    refused = [a for t in timers for a in desk.tell(TimerDue(t.token)) if isinstance(a, Refuse)]
    assert len(refused) == len(timers)
    logs = [a for a in desk.log if isinstance(a, Log) and "no room" in a.text]
    assert len(logs) == 1, "one line for a whole spell of refusing"


def steady(desk: Desk, takes: float, rounds: int = 200, asked: int = 40) -> float:
    """The mean number let out at once when far more is asked for, in the last quarter of the rounds."""
    got = [batch(desk, asked, takes) for _ in range(rounds)]
    return sum(got[-rounds // 4 :]) / (rounds // 4)


def test_the_room_does_not_shrink_away_when_all_calls_take_a_little_longer() -> None:
    desk = Desk(2)
    assert steady(desk, 20.0, asked=16) > 10
    assert steady(desk, 24.0) > 12, "more than the floor of four a server"


def test_a_standing_crowd_is_held_back_where_a_burst_is_let_through() -> None:
    desk = Desk(2)
    steady(desk, 20.0, asked=4)
    burst = batch(desk, 40, 20.0)
    assert burst > 1.3 * steady(desk, 60.0)


def test_before_the_time_in_service_is_known_a_burst_is_held_to_the_floor() -> None:
    assert batch(Desk(2), 40, 20.0) == 8


def test_hours_of_little_traffic_do_not_open_the_room_without_bound() -> None:
    desk = Desk(2)
    steady(desk, 20.0, asked=4)
    for _ in range(2_000):
        desk.now += 60_000
        desk.show(*members(2))
    assert desk.balancer._room.base_service_time <= 1.0


def test_inner_tiers_hardly_hold_back_what_others_have_worked_on() -> None:
    assert batch(Desk(2, calling_tier=1), 100, 20.0) > 3 * batch(Desk(2), 100, 20.0)


def test_the_newest_waiting_request_goes_first() -> None:
    desk = Desk(1)
    out = [(r, sent(actions)) for r, actions in (desk.ask() for _ in range(50))]
    busy = [(r, s[0].server) for r, s in out if s]
    desk.now += 10
    last = desk.ask()[0]
    desk.now += 10
    released = sent(desk.end(busy[0][0], 0, busy[0][1], Outcome.SERVED))
    assert [s.request for s in released] == [last]


def test_the_floor_of_the_room_is_shared_by_the_balancers() -> None:
    assert len(sent(Desk(8).ask()[1])) == 1
    one, four = Desk(24), Desk(24, balancers=4)
    count_one = sum(bool(sent(one.ask()[1])) for _ in range(200))
    count_four = sum(bool(sent(four.ask()[1])) for _ in range(200))
    assert count_one >= 3 * count_four


def test_a_small_room_is_not_divided_as_one_balancer_may_have_all_callers() -> None:
    assert batch(Desk(4, balancers=2), 40, 20.0) == 16, "more than half of what four servers have room for"
    assert batch(Desk(2, balancers=2), 40, 20.0) == 8, "but no more than they carry beside another's calls"
    assert batch(Desk(8, balancers=2), 40, 20.0) == 16, "from here on the room is shared"
    assert batch(Desk(16, balancers=2), 40, 20.0) == 32


def test_a_small_room_is_divided_once_calls_take_twice_as_long() -> None:
    desk = Desk(4, balancers=2)
    assert steady(desk, 20.0, rounds=40, asked=8) == 8
    assert batch(desk, 40, 20.0) >= 16, "a burst while calls are quick"
    assert steady(desk, 60.0, rounds=40) < 12, "what their half of the fleet has room for, and a little"


def test_of_many_balancers_a_busy_one_is_not_held_to_an_even_part_while_calls_are_quick() -> None:
    desk = Desk(160, balancers=32)
    assert batch(desk, 40, 150.0) == 20, "nothing is known of the fleet yet: an even part"
    for _ in range(20):
        assert batch(desk, 60, 150.0) == 60, "three times its even part: the others leave theirs empty"


def test_of_many_balancers_each_is_held_to_its_part_once_calls_take_long() -> None:
    desk = Desk(160, balancers=32)
    steady(desk, 150.0, rounds=40, asked=20)
    assert steady(desk, 600.0, rounds=40, asked=60) < 24, "an even part, and a little"


def test_of_few_balancers_none_takes_the_others_part() -> None:
    few, many = Desk(35, balancers=7), Desk(40, balancers=8)
    assert steady(few, 150.0, rounds=40, asked=90) < 60
    assert steady(many, 150.0, rounds=40, asked=90) == 90


def test_connections_are_kept_free_while_callers_can_open_no_more() -> None:
    desk = Desk(4)
    few = [desk.ask(free_connections=0)[1] for _ in range(2)]
    assert all(sent(actions) for actions in few), "a few callers are let be"
    assert of_kind(desk.ask(free_connections=0)[1], Refuse)
    assert sent(desk.ask(free_connections=1)[1])
    more = [desk.ask(free_connections=2)[1] for _ in range(4)]
    assert all(sent(actions) for actions in more)
    assert of_kind(desk.ask(free_connections=1)[1], Refuse)
    assert sent(desk.ask()[1]), "else there is no bound"


def test_a_tenant_over_its_share_waits_behind_the_others() -> None:
    desk = Desk(1, tenants=(Tenant("big", 1.0), Tenant("small", 50.0)))
    first = [desk.ask(tenant="big") for _ in range(30)]
    small, _ = desk.ask(tenant="small")
    desk.now += 1
    desk.ask(tenant="big")
    server = next(sent(actions)[0].server for _, actions in first if sent(actions))
    out = next(r for r, actions in first if sent(actions))
    assert [s.request for s in sent(desk.end(out, 0, server, Outcome.SERVED))] == [small]


def test_further_attempts_are_rationed() -> None:
    desk = Desk(8, cold_ms=0)
    again = 0
    for _ in range(300):
        request, actions = desk.ask()
        attempt = 0
        while sent(actions):
            desk.now += 5
            actions = desk.end(request, attempt, sent(actions)[0].server, Outcome.UNREACHED)
            attempt += 1
        again += max(attempt - 1, 0)
    assert 50 < again < 100


# ---- settings, determinism ----------------------------------------------------------------------


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
        desk = Desk(6, seed=seed)
        for i in range(200):
            desk.serve(takes=5.0 + i % 7)
        return [a for a in desk.log if isinstance(a, Send)]

    assert run(3) == run(3) != run(4)


def test_a_balancer_needs_no_list_to_start() -> None:
    balancer = Balancer(Settings(classes=(READ,), list_is_asked=True), 1)
    assert Subscribe() in balancer.handle(RequestArrived(1, "read", 500), 0.0)


def test_of_a_large_tier_a_balancer_keeps_to_what_its_calls_can_tell_of() -> None:
    # With a call now and then for each of many servers nothing was learned, and each cost a new connection.
    def used(balancers: int, rounds: int, seed: int) -> set[str]:
        desk = Desk(count=200, seed=seed, balancers=balancers)
        return {desk.serve(takes=10_000.0 / rounds) for _ in range(rounds)}

    few = used(500, 60, seed=1)
    assert 8 <= len(few) <= 16
    assert len(used(500, 60, seed=2) & few) < 8  # another balancer keeps to others
    assert len(used(1, 2_000, seed=1)) > 100  # who makes many calls knows many servers


def test_a_server_that_leaves_is_followed_by_another_and_the_rest_stays() -> None:
    desk = Desk(count=60, balancers=500)
    kept = {desk.serve() for _ in range(900)}
    gone = sorted(kept)[0]
    desk.show(Member(gone, readiness=Readiness.GONE), kind=ListKind.CHANGES)
    after = {desk.serve() for _ in range(900)}
    assert gone not in after
    assert len(kept - after - {gone}) <= 2


def test_a_later_try_keeps_the_aim_of_the_first() -> None:
    desk = Desk(2)
    for _ in range(5):
        request, actions = desk.ask(remaining=2_500)
        desk.end(request, 0, sent(actions)[0].server, Outcome.SERVED)
    late, actions = desk.ask(remaining=1_900)  # the deadline is 3,000: its first try came 1,100 ago
    assert actions == [Refuse(late)], "its aim of 1,000 has passed"
    _, actions = desk.ask(remaining=2_700)  # 300 ago; the last try has all the time that is left
    assert sent(actions)[0].timeout_ms == pytest.approx(700)
    _, actions = Desk(2, calling_tier=1).ask(remaining=1_900)
    assert sent(actions)[0].timeout_ms == pytest.approx(1_000), "calls of other servers say nothing of that"


def copies(desk: Desk, cls: RequestClass, serves_others: bool = False) -> list[Send]:
    """What a call gets that stays out until its patience is over."""
    teach(desk, dict.fromkeys(("s0", "s1", "s2", "s3"), 20.0), 100)
    request, actions = desk.ask(cls)
    first = sent(actions)[0].server
    timers = [a for a in actions if isinstance(a, SetTimer)]
    if serves_others:
        desk.balancer._servers[first].heard = desk.now + 1
    if not timers:
        return []
    desk.now = timers[0].at_ms
    again = sent(desk.tell(TimerDue(timers[0].token)))
    assert all(s.server != first and s.request == request for s in again)
    return again


def test_a_call_at_a_silent_server_gets_a_copy_where_that_does_no_harm() -> None:
    assert len(copies(Desk(4, cold_ms=0), READ)) == 1
    assert copies(Desk(4, cold_ms=0), PAY) == []
    assert copies(Desk(4, cold_ms=0, may_duplicate=False), READ) == []
    assert copies(Desk(4, cold_ms=0), READ, serves_others=True) == [], (
        "it serves others: this call is a long one"
    )


def test_ties_go_to_the_larger_capacity_and_draws_follow_it(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk(2)
    capacity = {"s0": 2.0, "s1": 1.0}
    monkeypatch.setattr(Server, "capacity", lambda s, _usual, _now: capacity[s.member.server])
    desk.balancer._servers["s0"].in_flight = 1  # (1 + 1) / 2 ties with (0 + 1) / 1
    request, _ = desk.ask()
    known = desk.balancer._requests[request]
    known.attempts.clear()
    desk.balancer._servers["s0"].in_flight, desk.balancer._servers["s1"].in_flight = 1, 0
    got = Counter(s.member.server for _ in range(2_000) if (s := desk.balancer._pick(known, desk.now)))
    assert got["s0"] > 1_900, "s1 wins only if none of the four draws is s0: one in 81"
    assert got["s1"] > 5


def test_a_failure_holds_its_slot_to_its_full_time_out() -> None:
    desk = Desk(1)
    request, actions = desk.ask(PAY)
    server = desk.balancer._servers["s0"]
    desk.now += 5
    desk.end(request, 0, "s0", Outcome.ERROR)
    assert server.in_flight == 1
    desk.now += sent(actions)[0].timeout_ms
    desk.tell(TimerDue("wait:0"))
    assert server.in_flight == 0


def test_no_second_attempt_while_one_is_out_where_that_is_forbidden() -> None:
    desk = Desk(4, may_duplicate=False)
    request, _ = desk.ask()
    desk.now += 500
    assert sent(desk.tell(TimerDue(f"copy:{request}"))) == []


def crowd(desk: Desk, takes: float, asked: int, tenant: str | None = None) -> int:
    """How many of the requests, one a second and each in flight for `takes`, are let in."""
    let_in = 0
    out: list[tuple[float, int, str]] = []
    for _ in range(asked):
        desk.now += 1_000
        for begun, request, server in [o for o in out if desk.now - o[0] >= takes]:
            out.remove((begun, request, server))
            desk.end(request, 0, server, Outcome.SERVED)
        request, actions = desk.ask(remaining=30_000, tenant=tenant)
        if sent(actions):
            let_in += 1
            out.append((desk.now, request, sent(actions)[0].server))
    return let_in


def test_the_waiting_line_does_not_keep_what_was_refused() -> None:
    # The newest goes first: while room is short nobody reaches the entries at the line's end.
    desk = Desk(1)
    for _ in range(2_000):
        desk.now += 1
        _, actions = desk.ask()
        for timer in of_kind(actions, SetTimer):
            if isinstance(timer, SetTimer) and timer.token.startswith("wait:"):
                desk.tell(TimerDue(timer.token))
    assert len(desk.balancer._requests) < 100
    assert len(desk.balancer._waiting) < 200


def test_a_sliver_of_the_traffic_is_admitted_by_time_not_by_count() -> None:
    # With many balancers to a server a count of calls out fell under one: a calm fleet refused.
    slow = RequestClass("read", 10_000, 30_000, Effect.REPEATABLE)
    calm = Desk(count=4, balancers=40, classes=(slow,))
    assert crowd(calm, takes=2_500, asked=100) == 100
    packed = Desk(count=4, balancers=40, classes=(slow,))
    assert crowd(packed, takes=20_000, asked=100) < 60
    inner = Desk(count=4, balancers=40, classes=(slow,), calling_tier=1)
    assert crowd(inner, takes=20_000, asked=100) == 100


def test_a_small_part_of_a_share_is_not_rounded_down_to_nothing() -> None:
    # Two seconds' worth of a tenant's share came to less than one request, so that all were over it.
    slow = RequestClass("read", 10_000, 30_000, Effect.REPEATABLE)
    tenants = (Tenant("within", 48.0), Tenant("beyond", 8.0))
    within = Desk(count=4, balancers=40, classes=(slow,), tenants=tenants)
    assert crowd(within, takes=5_000, asked=100, tenant="within") == 100
    beyond = Desk(count=4, balancers=40, classes=(slow,), tenants=tenants)
    assert crowd(beyond, takes=5_000, asked=100, tenant="beyond") < 90


def test_calls_to_a_cold_server_are_spaced_not_sent_in_one_burst() -> None:
    # A budget counted in a window let each of many balancers send a burst at once.
    desk = Desk(count=1, cold_window_ms=1_000)
    for _ in range(60):
        desk.serve(takes=100.0)
    desk.show(Member("s0", up_since_ms=desk.now))
    desk.now += 1_000
    assert [len(sent(desk.ask()[1])) for _ in range(3)] == [1, 0, 0]
    desk.now += 500
    assert len(sent(desk.ask()[1])) == 1


def test_few_calls_go_by_capacity_not_all_to_the_fastest_of_the_draws() -> None:
    # Where nearly all counts are 0 the fastest of four draws always won: one kind of server was crowded.
    desk = Desk(count=1, balancers=50, sizes_exact=True)
    fast = [Member(f"f{i}", size=2.0) for i in range(5)]
    slow = [Member(f"s{i}", size=1.0) for i in range(10)]
    desk.show(*fast, *slow)
    got: Counter[str] = Counter()
    for _ in range(600):
        desk.now += 1_000  # so rarely that next to nothing is in memory
        got[desk.serve(takes={m.server: 100 / m.size for m in (*fast, *slow)})] += 1
    share = sum(got[m.server] for m in fast) / 600
    assert 0.4 < share < 0.6  # half of the capacity; the fastest of four would have four fifths
    silent, _ = desk.ask(), desk.ask()
    held = {a.server for a in sent(silent[1])}
    assert all(desk.serve(takes=10.0) not in held for _ in range(30))  # one with a call out is compared


@pytest.mark.parametrize(("longest", "wanted"), [(1_500.0, 250.0), (100.0, 100.0), (0.0, 0.0)])
def test_a_refusal_says_when_to_come_back_within_the_settings(longest: float, wanted: float) -> None:
    desk = Desk(count=0, max_retry_after_ms=longest)
    number, _ = desk.ask()
    desk.now += 200
    assert desk.tell(TimerDue(f"wait:{number}"))[-1] == Refuse(number, wanted)
