"""Servers that operators take out and put back: the module's side."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.helpers import ORDER, READ, Desk, members, sent
from umberworks.interface import Attached, Detached, ListKind, Member, Outcome, Readiness


def picked(desk: Desk, calls: int = 60) -> set[str]:
    return {desk.serve() for _ in range(calls)}


def test_nothing_new_goes_to_one_that_was_taken_out_whatever_the_list_says() -> None:
    desk = Desk(4)
    desk.tell(Detached("s1"))
    assert picked(desk) == {"s0", "s2", "s3"}
    desk.show(*members(4))
    desk.show(Member("s1", Readiness.DRAINING), kind=ListKind.CHANGES)
    desk.show(Member("s1"), kind=ListKind.CHANGES)
    assert "s1" not in picked(desk)
    desk.show(Member("s1", Readiness.GONE), kind=ListKind.CHANGES)
    desk.show(Member("s1", up_since_ms=desk.now), kind=ListKind.CHANGES)
    assert "s1" not in picked(desk)


def test_one_that_is_taken_out_before_the_list_names_it_stays_out() -> None:
    desk = Desk(0)
    desk.tell(Detached("s0"))
    desk.show(*members(2))
    assert picked(desk) == {"s1"}


def test_a_request_that_failed_is_not_sent_to_one_taken_out_meanwhile() -> None:
    desk = Desk(2)
    request, actions = desk.ask()
    first = sent(actions)[0].server
    other = "s1" if first == "s0" else "s0"
    desk.tell(Detached(other))
    assert [s.server for s in sent(desk.end(request, 0, first, Outcome.UNREACHED))] == [first]


def test_with_all_taken_out_requests_are_refused_in_the_end_and_served_once_one_is_back() -> None:
    desk = Desk(2, cold_ms=0)
    for name in ("s0", "s1"):
        desk.tell(Detached(name))
    _, actions = desk.ask()
    assert not sent(actions)
    assert [s.server for s in sent(desk.tell(Attached("s1", desk.now)))] == ["s1"]  # it has waited for that
    assert desk.serve() == "s1"


def test_one_put_back_counts_as_just_started_until_the_list_tells() -> None:
    desk = Desk(4, cold_ms=10_000)
    picked(desk)
    desk.tell(Detached("s1"))
    desk.now += 5_000
    desk.tell(Attached("s1", desk.now))
    balancer = desk.balancer
    server = balancer._servers["s1"]
    assert balancer._slow_start.warmth(server, desk.now) == 0.2
    assert server.served == 0  # what was known of it was of another process
    desk.show(*members(4))  # an old list does not make it warm
    assert balancer._slow_start.warmth(server, desk.now) == 0.2
    assert balancer._slow_start.warmth(server, desk.now + 10_000) == 1.0
    desk.show(replace(members(4)[1], up_since_ms=desk.now + 4_000), kind=ListKind.CHANGES)
    assert balancer._slow_start.warmth(server, desk.now + 4_000) == 0.2


def test_one_put_back_is_in_use_again_at_once_though_it_is_cold_and_others_are_idle() -> None:
    desk = Desk(12, cold_ms=20_000, cold_from=0.15)
    picked(desk)
    desk.tell(Detached("s1"))
    desk.now += 5_000
    desk.tell(Attached("s1", desk.now))
    assert desk.serve() == "s1"
    later = [desk.serve() for _ in range(20)]
    assert later.count("s1") <= 1  # one call shows it; it is not pushed over


def test_one_put_back_long_ago_is_in_use_and_warm() -> None:
    desk = Desk(2)
    desk.tell(Detached("s0"))
    desk.tell(Attached("s0", 0.0))
    assert picked(desk) == {"s0", "s1"}


def test_one_put_back_that_fails_is_tried_now_and_then_only() -> None:
    desk = Desk(12, cold_ms=20_000, cold_from=0.15)
    picked(desk)
    desk.tell(Detached("s1"))
    desk.tell(Attached("s1", desk.now))
    tries = 0
    start = desk.now
    while desk.now < start + 5_000:
        request, actions = desk.ask()
        server = sent(actions)[0].server
        desk.now += 10
        if server == "s1":
            tries += 1
            again = sent(desk.end(request, 0, "s1", Outcome.UNREACHED))
            assert again and again[0].server != "s1"
            server = again[0].server
            desk.end(request, 1, server, Outcome.SERVED)
        else:
            desk.end(request, 0, server, Outcome.SERVED)
    assert 2 <= tries <= 11


def test_a_repeat_does_not_go_to_one_put_back_since_the_first_try() -> None:
    desk = Desk(2, cold_ms=0)
    request, actions = desk.ask(ORDER)  # s0 and s1 are one cell
    first = sent(actions)[0].server
    other = "s1" if first == "s0" else "s0"
    desk.now += 10
    desk.tell(Detached(other))
    desk.tell(Attached(other, desk.now))
    again = sent(desk.end(request, 0, first, Outcome.BROKEN))
    assert [s.server for s in again] in ([], [first])


class TakenOut(RuleBasedStateMachine):
    """Any order of lists, bans and requests: nothing is sent to one that is out or not listed as ready."""

    def __init__(self) -> None:
        super().__init__()
        self.desk = Desk(0, cold_ms=2_000)
        self.listed: dict[str, Readiness] = {}
        self.out: set[str] = set()
        self.open: list[tuple[int, int, str]] = []

    names = st.sampled_from([f"s{i}" for i in range(5)])

    def note(self, actions: list[object]) -> None:
        for send in sent(actions):  # type: ignore[arg-type]
            assert send.server not in self.out
            assert self.listed.get(send.server) is Readiness.READY
            tries = sum(r == send.request for r, _, _ in self.open + self.ended)
            self.open.append((send.request, tries, send.server))

    ended: list[tuple[int, int, str]]

    @rule(names=st.dictionaries(names, st.sampled_from([Readiness.READY, Readiness.DRAINING])))
    def whole(self, names: dict[str, Readiness]) -> None:
        self.listed = dict(names)
        self.note(self.desk.show(*(Member(n, r) for n, r in names.items())))  # type: ignore[arg-type]

    @rule(name=names, readiness=st.sampled_from(Readiness), started=st.booleans())
    def change(self, name: str, readiness: Readiness, started: bool) -> None:
        self.listed[name] = readiness
        member = Member(name, readiness, up_since_ms=self.desk.now if started else 0.0)
        self.note(self.desk.show(member, kind=ListKind.CHANGES))  # type: ignore[arg-type]

    @rule(name=names)
    def detach(self, name: str) -> None:
        self.out.add(name)
        self.note(self.desk.tell(Detached(name)))  # type: ignore[arg-type]

    @rule(name=names)
    def attach(self, name: str) -> None:
        self.out.discard(name)
        self.note(self.desk.tell(Attached(name, self.desk.now)))  # type: ignore[arg-type]

    @rule()
    def ask(self) -> None:
        self.desk.now += 20
        self.note(self.desk.ask(READ)[1])  # type: ignore[arg-type]

    @rule(
        outcome=st.sampled_from([Outcome.SERVED, Outcome.UNREACHED, Outcome.BROKEN]), which=st.integers(0, 9)
    )
    def end(self, outcome: Outcome, which: int) -> None:
        if not self.open:
            return
        request, attempt, server = self.open.pop(which % len(self.open))
        self.ended.append((request, attempt, server))
        self.desk.now += 5
        self.note(self.desk.end(request, attempt, server, outcome))  # type: ignore[arg-type]

    @rule(by=st.integers(1, 3_000))
    def wait(self, by: int) -> None:
        self.desk.now += by

    @invariant()
    def the_ready_are_those_listed_and_not_out(self) -> None:
        ready = {s.member.server for s in self.desk.balancer._fleet.ready}
        assert ready == {n for n, r in self.listed.items() if r is Readiness.READY} - self.out

    def teardown(self) -> None:
        self.ended.clear()


TakenOut.ended = []
TakenOut.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None)
TestTakenOut = TakenOut.TestCase
