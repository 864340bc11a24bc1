"""Requests whose body is still coming, and answers that have begun: the module's side."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import ORDER, PAY, READ, Desk, of_kind, sent
from umberworks.interface import (
    AnswerStarted,
    BodyEnded,
    BodySpent,
    Cancel,
    ClientLeft,
    Fail,
    Limit,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    TimerDue,
)


def in_flight(desk: Desk) -> int:
    return sum(s.in_flight for s in desk.balancer._servers.values())


def test_an_open_body_has_no_time_out_and_no_place_until_it_is_whole() -> None:
    desk = Desk(4)
    request, actions = desk.ask(ORDER, body_open=True)
    (send,) = sent(actions)
    assert send.timeout_ms == math.inf
    assert (in_flight(desk), desk.balancer._room.in_flight) == (0, 0)  # its server has nothing to do yet
    desk.now += 60_000
    (limit,) = of_kind(desk.tell(BodyEnded(request, 2_500)), Limit)
    assert limit == Limit(request, 0, 1_000)  # the class is worth nothing past its aim
    assert (in_flight(desk), desk.balancer._room.in_flight) == (1, 1)
    desk.now += 50
    assert not of_kind(desk.end(request, 0, send.server, Outcome.SERVED), Refuse, Fail)
    assert (in_flight(desk), desk.balancer._room.in_flight, desk.balancer._requests) == (0, 0, {})


def test_one_that_breaks_before_it_is_whole_leaves_nothing_behind_at_its_server() -> None:
    desk = Desk(1, max_attempts=1)
    request, actions = desk.ask(ORDER, body_open=True)
    ended = desk.end(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert of_kind(ended, Refuse) == [Refuse(request, 0.0)]
    assert (in_flight(desk), desk.balancer._room.in_flight) == (0, 0)


@pytest.mark.parametrize("cls", [READ, ORDER, PAY])
def test_a_spent_body_is_not_sent_again_and_is_refused_where_it_never_ran(cls: RequestClass) -> None:
    desk = Desk(4)
    request, actions = desk.ask(cls, body_open=True)
    desk.tell(BodySpent(request))
    ended = desk.end(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert not sent(ended) and len(of_kind(ended, Refuse)) == 1


@pytest.mark.parametrize("cls", [ORDER, PAY])
def test_a_spent_body_that_may_have_run_has_failed(cls: RequestClass) -> None:
    desk = Desk(4)
    request, actions = desk.ask(cls, body_open=True)
    desk.tell(BodySpent(request))
    desk.tell(BodyEnded(request, 2_500))
    ended = desk.end(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not sent(ended) and of_kind(ended, Fail) == [Fail(request)]


def test_an_unspent_one_goes_elsewhere() -> None:
    desk = Desk(4)
    request, actions = desk.ask(ORDER, body_open=True)
    (again,) = sent(desk.end(request, 0, sent(actions)[0].server, Outcome.UNREACHED))
    assert again.timeout_ms == math.inf and again.server != sent(actions)[0].server


def test_no_copy_of_an_open_or_spent_body_is_sent_beside_it() -> None:
    desk = Desk(8)
    for _ in range(60):
        desk.serve()
    request, _ = desk.ask(READ, body_open=True)
    assert not [t for t in desk.log if getattr(t, "token", "") == f"copy:{request}"]
    desk.tell(BodySpent(request))
    desk.tell(BodyEnded(request, 3_000))
    desk.now += 900
    assert not sent(desk.tell(TimerDue(f"copy:{request}")))


def test_an_answer_that_has_begun_is_booked_and_calls_the_others_off() -> None:
    desk = Desk(8)
    for _ in range(60):
        desk.serve()
    request, actions = desk.ask(READ)
    first = sent(actions)[0].server
    desk.now += 900  # silent for long: a copy goes out
    copies = sent(desk.tell(TimerDue(f"copy:{request}")))
    assert len(copies) == 1
    began = desk.tell(AnswerStarted(request, 1))
    assert of_kind(began, Cancel) == [Cancel(request, 0)]
    assert desk.balancer._servers[copies[0].server].in_flight == 0
    desk.end(request, 0, first, Outcome.CANCELLED)
    served = desk.balancer._servers[copies[0].server].served
    desk.now += 30_000  # a slow reader
    ended = desk.end(request, 1, copies[0].server, Outcome.SERVED)
    assert not of_kind(ended, Send, Refuse, Fail)
    assert desk.balancer._servers[copies[0].server].served <= served  # not booked twice
    assert (in_flight(desk), desk.balancer._room.in_flight, desk.balancer._requests) == (0, 0, {})


def test_one_that_breaks_after_it_has_begun_is_over() -> None:
    desk = Desk(2)
    request, actions = desk.ask(READ)
    desk.tell(AnswerStarted(request, 0))
    ended = desk.end(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not of_kind(ended, Send, Refuse, Fail) and not desk.balancer._requests


steps = st.lists(st.sampled_from(["whole", "spent", "began", "left", "wait", *Outcome]), max_size=12)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from([READ, ORDER, PAY]), st.booleans(), steps)
def test_whatever_happens_there_is_one_end_and_nothing_is_left(
    cls: RequestClass, body_open: bool, happenings: list[object]
) -> None:
    desk = Desk(4)
    request, actions = desk.ask(cls, body_open=body_open)
    whole, spent, began, over = not body_open, False, False, False
    out: dict[int, str] = {}
    ends = 0
    sends = 0

    def note(actions: list[object]) -> None:
        nonlocal sends, ends, over
        for action in actions:
            if isinstance(action, Send):
                assert not (over or began) and not (spent and sends)
                assert (action.timeout_ms == math.inf) is not whole
                out[sends] = action.server
                sends += 1
            elif isinstance(action, Refuse | Fail):
                ends, over = ends + 1, True
                assert not began

    note(list(actions))
    for what in happenings:
        desk.now += 10
        if what == "whole" and not whole:
            whole = True
            note(list(desk.tell(BodyEnded(request, 2_000))))
        elif what == "spent" and out and not began:
            spent = True
            note(list(desk.tell(BodySpent(request))))
        elif what == "began" and out and not (began or over):
            began = True
            note(list(desk.tell(AnswerStarted(request, min(out)))))
        elif what == "left" and not (over or began):
            over = True
            note(list(desk.tell(ClientLeft(request))))
        elif isinstance(what, Outcome) and out:
            index = min(out)
            server = out.pop(index)
            if what is Outcome.SERVED and not began and not over:
                ends, over = ends + 1, True
            note(list(desk.end(request, index, server, what)))
    while out:
        index = min(out)
        server = out.pop(index)
        note(list(desk.end(request, index, server, Outcome.UNREACHED)))
    desk.now += 100_000
    desk.tell(TimerDue(f"wait:{request}"))
    assert ends <= 1
    assert not desk.balancer._requests
    assert (in_flight(desk), desk.balancer._room.in_flight) == (0, 0)
