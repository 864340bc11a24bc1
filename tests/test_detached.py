"""Decisions about servers that operators detach and attach again."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.helpers import ORDER, READ, BalancerHarness, members, sent
from umberworks.interface import Attached, Detached, ListKind, Member, Outcome, Readiness


def servers_used(harness: BalancerHarness, calls: int = 60) -> set[str]:
    return {harness.serve_request() for _ in range(calls)}


def test_a_detached_server_gets_no_new_calls_whatever_the_list_says() -> None:
    harness = BalancerHarness(4)
    harness.deliver(Detached("s1"))
    assert servers_used(harness) == {"s0", "s2", "s3"}
    harness.update_list(*members(4))
    harness.update_list(Member("s1", Readiness.DRAINING), kind=ListKind.CHANGES)
    harness.update_list(Member("s1"), kind=ListKind.CHANGES)
    assert "s1" not in servers_used(harness)
    harness.update_list(Member("s1", Readiness.GONE), kind=ListKind.CHANGES)
    harness.update_list(Member("s1", up_since_ms=harness.now), kind=ListKind.CHANGES)
    assert "s1" not in servers_used(harness)


def test_a_server_that_is_detached_before_it_is_listed_gets_no_calls() -> None:
    harness = BalancerHarness(0)
    harness.deliver(Detached("s0"))
    harness.update_list(*members(2))
    assert servers_used(harness) == {"s1"}


def test_a_retry_does_not_go_to_a_server_that_was_detached_meanwhile() -> None:
    harness = BalancerHarness(2)
    request, actions = harness.new_request()
    first = sent(actions)[0].server
    other = "s1" if first == "s0" else "s0"
    harness.deliver(Detached(other))
    assert [s.server for s in sent(harness.end_attempt(request, 0, first, Outcome.UNREACHED))] == [first]


def test_requests_wait_while_all_servers_are_detached_and_are_sent_to_the_first_attached_one() -> None:
    harness = BalancerHarness(2, cold_ms=0)
    for name in ("s0", "s1"):
        harness.deliver(Detached(name))
    _, actions = harness.new_request()
    assert not sent(actions)
    # the waiting request is sent
    assert [s.server for s in sent(harness.deliver(Attached("s1", harness.now)))] == ["s1"]
    assert harness.serve_request() == "s1"


def test_an_attached_server_counts_as_just_started_until_the_list_says_more() -> None:
    harness = BalancerHarness(4, cold_ms=10_000)
    servers_used(harness)
    harness.deliver(Detached("s1"))
    harness.now += 5_000
    harness.deliver(Attached("s1", harness.now))
    balancer = harness.balancer
    server = balancer._servers["s1"]
    assert balancer._slow_start.warmth(server, harness.now) == 0.2
    assert server.served == 0  # the evidence may have been of another process
    harness.update_list(*members(4))  # an old list does not make it warm
    assert balancer._slow_start.warmth(server, harness.now) == 0.2
    assert balancer._slow_start.warmth(server, harness.now + 10_000) == 1.0
    harness.update_list(replace(members(4)[1], up_since_ms=harness.now + 4_000), kind=ListKind.CHANGES)
    assert balancer._slow_start.warmth(server, harness.now + 4_000) == 0.2


def test_an_attached_server_gets_a_call_at_once_though_it_is_cold_and_others_are_idle() -> None:
    harness = BalancerHarness(12, cold_ms=20_000, cold_from=0.15)
    servers_used(harness)
    harness.deliver(Detached("s1"))
    harness.now += 5_000
    harness.deliver(Attached("s1", harness.now))
    assert harness.serve_request() == "s1"
    later = [harness.serve_request() for _ in range(20)]
    assert later.count("s1") <= 1  # one call is enough to learn from, and does not overload it


def test_a_server_attached_long_ago_is_used_and_warm() -> None:
    harness = BalancerHarness(2)
    harness.deliver(Detached("s0"))
    harness.deliver(Attached("s0", 0.0))
    assert servers_used(harness) == {"s0", "s1"}


def test_an_attached_server_that_fails_is_tried_rarely() -> None:
    harness = BalancerHarness(12, cold_ms=20_000, cold_from=0.15)
    servers_used(harness)
    harness.deliver(Detached("s1"))
    harness.deliver(Attached("s1", harness.now))
    tries = 0
    start = harness.now
    while harness.now < start + 5_000:
        request, actions = harness.new_request()
        server = sent(actions)[0].server
        harness.now += 10
        if server == "s1":
            tries += 1
            again = sent(harness.end_attempt(request, 0, "s1", Outcome.UNREACHED))
            assert again and again[0].server != "s1"
            server = again[0].server
            harness.end_attempt(request, 1, server, Outcome.SERVED)
        else:
            harness.end_attempt(request, 0, server, Outcome.SERVED)
    assert 2 <= tries <= 11


def test_a_repeat_does_not_go_to_a_server_attached_since_the_first_attempt() -> None:
    harness = BalancerHarness(2, cold_ms=0)
    request, actions = harness.new_request(ORDER)  # s0 and s1 are one cell
    first = sent(actions)[0].server
    other = "s1" if first == "s0" else "s0"
    harness.now += 10
    harness.deliver(Detached(other))
    harness.deliver(Attached(other, harness.now))
    again = sent(harness.end_attempt(request, 0, first, Outcome.BROKEN))
    assert [s.server for s in again] in ([], [first])


@pytest.mark.parametrize("attached_first", [False, True])
def test_a_server_attached_again_stays_cold_and_gets_no_repeat_though_its_entry_is_made_anew(
    attached_first: bool,
) -> None:
    # Its process may have restarted; an entry that left the list meanwhile forgot when that may have been.
    harness = BalancerHarness(2, cold_ms=10_000)
    request, actions = harness.new_request(ORDER)  # s0 and s1 are one cell
    first = sent(actions)[0].server
    own, other = sorted(members(2), key=lambda m: m.server != first)
    harness.now += 10
    harness.deliver(Detached(other.server))
    attached = Attached(other.server, harness.now)
    if attached_first:
        harness.deliver(attached)
    harness.update_list(own)
    if not attached_first:
        harness.deliver(attached)
    harness.update_list(own, other)
    server = harness.balancer._servers[other.server]
    assert harness.balancer._slow_start.warmth(server, harness.now) == 0.2
    again = sent(harness.end_attempt(request, 0, first, Outcome.BROKEN))
    assert [s.server for s in again] in ([], [first])


class DetachedServers(RuleBasedStateMachine):
    """Lists, detached servers and requests in any order: only ready servers that are attached get calls."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = BalancerHarness(0, cold_ms=2_000)
        self.listed: dict[str, Readiness] = {}
        self.detached: set[str] = set()
        self.open: list[tuple[int, int, str]] = []

    names = st.sampled_from([f"s{i}" for i in range(5)])

    def check(self, actions: list[object]) -> None:
        for send in sent(actions):  # type: ignore[arg-type]
            assert send.server not in self.detached
            assert self.listed.get(send.server) is Readiness.READY
            tries = sum(r == send.request for r, _, _ in self.open + self.ended)
            self.open.append((send.request, tries, send.server))

    ended: list[tuple[int, int, str]]

    @rule(names=st.dictionaries(names, st.sampled_from([Readiness.READY, Readiness.DRAINING])))
    def whole_list(self, names: dict[str, Readiness]) -> None:
        self.listed = dict(names)
        self.check(self.harness.update_list(*(Member(n, r) for n, r in names.items())))  # type: ignore[arg-type]

    @rule(name=names, readiness=st.sampled_from(Readiness), started=st.booleans())
    def list_change(self, name: str, readiness: Readiness, started: bool) -> None:
        self.listed[name] = readiness
        member = Member(name, readiness, up_since_ms=self.harness.now if started else 0.0)
        self.check(self.harness.update_list(member, kind=ListKind.CHANGES))  # type: ignore[arg-type]

    @rule(name=names)
    def detach(self, name: str) -> None:
        self.detached.add(name)
        self.check(self.harness.deliver(Detached(name)))  # type: ignore[arg-type]

    @rule(name=names)
    def attach(self, name: str) -> None:
        self.detached.discard(name)
        self.check(self.harness.deliver(Attached(name, self.harness.now)))  # type: ignore[arg-type]

    @rule()
    def new_request(self) -> None:
        self.harness.now += 20
        self.check(self.harness.new_request(READ)[1])  # type: ignore[arg-type]

    @rule(
        outcome=st.sampled_from([Outcome.SERVED, Outcome.UNREACHED, Outcome.BROKEN]), which=st.integers(0, 9)
    )
    def end_attempt(self, outcome: Outcome, which: int) -> None:
        if not self.open:
            return
        request, attempt, server = self.open.pop(which % len(self.open))
        self.ended.append((request, attempt, server))
        self.harness.now += 5
        self.check(self.harness.end_attempt(request, attempt, server, outcome))  # type: ignore[arg-type]

    @rule(by=st.integers(1, 3_000))
    def time_passes(self, by: int) -> None:
        self.harness.now += by

    @invariant()
    def eligible_servers_are_ready_and_not_detached(self) -> None:
        ready = {s.member.server for s in self.harness.balancer._fleet.ready}
        assert ready == {n for n, r in self.listed.items() if r is Readiness.READY} - self.detached

    def teardown(self) -> None:
        self.ended.clear()


DetachedServers.ended = []
DetachedServers.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestDetachedServers = DetachedServers.TestCase
