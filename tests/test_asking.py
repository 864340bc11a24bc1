"""Calls for the list: none is given up while its answer may come, and the next is never due too late."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost.discovery import Discovery
from passpost.host import Address
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost, SimTransport
from passpost.rehearsal.stage import listen
from tests.helpers import Desk, settings
from tests.loopback import listing, member
from tests.virtual import simulated
from umberworks.interface import (
    Action,
    Event,
    ListKind,
    ListMoved,
    ListUpdate,
    Member,
    Readiness,
    SetTimer,
    Subscribe,
    TimerDue,
)
from umberworks.list_backoff import ListBackoff

PLACE = ("10.0.0.1", 8500)


class Late(asyncio.Protocol):
    """Discovery that answers its calls in order, each so many seconds after it came; a watch stays open."""

    def __init__(self, *answers: tuple[float, dict[str, Any]]) -> None:
        self.answers, self.got = list(answers), 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += 1
        if self.answers:
            after, content = self.answers.pop(0)
            asyncio.get_running_loop().call_later(after, self._answer, json.dumps(content).encode())

    def _answer(self, body: bytes) -> None:
        assert isinstance(self.transport, SimTransport)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def hears(after: float, ask_within: float = 10.0, seconds: float = 30.0) -> list[tuple[float, ListUpdate]]:
    """What is told, and when, by a discovery that answers a call for the whole list so late: server a leaves."""
    heard: list[tuple[float, ListUpdate]] = []
    news = listing(2, member("a", "127.0.0.1:1", "leaving"), member("b", "127.0.0.1:2"))

    async def main(loop: SimLoop, net: Network) -> None:
        def tell(update: ListUpdate, addresses: dict[str, Address]) -> None:
            heard.append((loop.time(), update))

        place = Late((after, news))
        loop.spawn("discovery", lambda: listen(SimHost(net), PLACE, lambda: place))
        discovery = Discovery(PLACE, None, ask_within=ask_within, monotonic=loop.time)
        discovery.start(tell)
        discovery.subscribe()
        await asyncio.sleep(seconds)
        discovery.stop()

    simulated(main)
    return heard


@pytest.mark.parametrize("after", [0.1, 1.99, 2.0, 2.05, 3.5, 5.9])
def test_what_discovery_writes_at_the_end_of_its_own_patience_is_heard(after: float) -> None:
    # It counts as told once it is written. With a wait of 2 s, discovery's own, the last answers went unheard.
    heard = hears(after)
    assert [update.kind for _, update in heard][:2] == [ListKind.SAVED, ListKind.WHOLE]
    at, update = heard[1]
    assert [m.readiness for m in update.members] == [Readiness.DRAINING, Readiness.READY]
    assert at == pytest.approx(after, abs=0.02)


def test_a_call_that_stays_silent_counts_from_when_it_was_made() -> None:
    # It is overdue after 2.5 s, when the second is made beside it; that one's failure is told, and nothing before.
    at, update = hears(after=1_000.0)[1]
    assert update.kind is ListKind.FAILED
    assert update.unheard_ms == pytest.approx(6_000, abs=10)
    assert at == pytest.approx(8.5, abs=0.02)


def test_where_calls_are_due_soon_one_is_not_waited_for_that_long() -> None:
    assert hears(after=2.4, ask_within=3.0)[1][1].kind is ListKind.WHOLE
    at, update = hears(after=1_000.0, ask_within=5.0)[1]
    assert update.kind is ListKind.FAILED and at == pytest.approx(2.5 + 3.0, abs=0.02)
    assert update.unheard_ms == pytest.approx(3_000, abs=10)  # the next is due 5 s after the second was made


@given(
    within=st.floats(3_000, 20_000),
    balancers=st.integers(1, 1_024),
    seed=st.integers(0, 1_000),
    unheard=st.lists(st.floats(0, 1), min_size=1, max_size=12),
)
def test_the_next_call_is_made_before_the_last_that_counts_is_too_long_ago(
    within: float, balancers: int, seed: int, unheard: list[float]
) -> None:
    asking = ListBackoff(settings(balancers=balancers, ask_within_ms=within), random.Random(seed))
    assert asking.initial_delay() <= within / 2
    for share in unheard:
        assert share * within + asking.retry_delay(share * within) <= within or share >= 0.95


class Judge:
    """The rule from outside: how long ago a balancer last watched or asked, and what may be by then."""

    def __init__(self, within: float, balancers: int, seed: int) -> None:
        self.within, self.now = within, 1_000.0
        self.desk = Desk(2, seed, balancers=balancers, list_is_asked=True, ask_within_ms=within)
        self.counted, self.times = self.now, 1
        self.due: list[float] = []
        self.asked = False  # a call is out
        self.hear(self.desk.log)

    def hear(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer) and action.token == "list":
                self.due.append(action.at_ms)
            elif isinstance(action, Subscribe):
                self.asked, self.counted, self.times = True, self.now, 1

    def tell(self, event: Event) -> None:
        self.desk.now = self.now
        self.hear(self.desk.tell(event))

    def wait_for_the_call(self) -> None:
        while not self.asked:
            assert self.due, "nothing is planned: the list is never asked for again"
            self.now = max(min(self.due), self.now)
            self.due.remove(min(self.due))
            last, times = self.counted, self.times
            self.tell(TimerDue("list"))
            assert self.now <= last + times * self.within, "counts as told, and has not asked"

    def fail(self, after: float, unheard: float, times: int) -> None:
        self.now += after
        self.asked, self.counted, self.times = False, self.now - unheard, times
        self.tell(ListUpdate(ListKind.FAILED, unheard_ms=unheard))


@given(
    within=st.floats(3_000, 20_000),
    balancers=st.integers(1, 1_024),
    seed=st.integers(0, 1_000),
    steps=st.lists(
        st.tuples(
            st.sampled_from(["answer", "empty", "503", "reset", "silence", "move", "two moves"]),
            st.floats(0, 1),
        ),
        max_size=15,
    ),
)
def test_through_any_chain_the_next_call_is_made_before_the_balancer_counts_as_told(
    within: float, balancers: int, seed: int, steps: list[tuple[str, float]]
) -> None:
    judge = Judge(within, balancers, seed)
    patience = min(6_000.0, 0.6 * within)  # as passpost/discovery.py has it
    for step, share in steps:
        match step:
            case "move" | "two moves":
                # Until the new place is asked the old one is watched: what ends at the worst ends at once.
                judge.asked, judge.counted, judge.times = False, judge.now, 1
                judge.tell(ListMoved())
                if step == "two moves":
                    judge.now += share * min([d - judge.now for d in judge.due] or [0.0])
                    judge.tell(ListMoved())
                judge.wait_for_the_call()
                continue
        judge.wait_for_the_call()
        match step:
            case "answer" | "empty":
                members = (Member("s0"),) if step == "answer" else ()
                judge.now += share * 2_000
                judge.tell(ListUpdate(ListKind.CHANGES, members))
                judge.fail(share * 9_000, 0.0, 1)  # the watch goes on for a while, and ends
            case "503":
                judge.fail(share * 2_000, 0.0, 4)
            case "reset":
                judge.fail(share * 2_000, 0.0, 1)
            case "silence":
                judge.fail(patience, patience, 1)
    judge.wait_for_the_call()


def test_after_too_long_a_silence_the_call_is_made_soon_but_not_at_one_moment() -> None:
    asking = [ListBackoff(settings(balancers=200), random.Random(seed)) for seed in range(200)]
    pauses = [a.retry_delay(12_000.0) for a in asking]
    assert max(pauses) <= 500 and max(pauses) - min(pauses) > 400


def test_a_place_that_stays_out_of_reach_is_asked_ever_less() -> None:
    # Refused connections come back at once: a short pause each time would fill the log for as long as that lasts.
    asking, now = ListBackoff(settings(balancers=200), random.Random(1)), 12_000.0
    for _ in range(200):
        now += asking.retry_delay(now)
    assert now > 200_000
