"""Requests whose body is still coming, and answers that have begun: the module's side."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import ORDER, PAY, READ, BalancerHarness, of_kind, sent
from umberworks.interface import (
    BodyDiscarded,
    BodyEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    Outcome,
    Refuse,
    RequestClass,
    ResponseStarted,
    Send,
    SetAttemptTimeout,
    TimerDue,
)


def in_flight(harness: BalancerHarness) -> int:
    return sum(s.in_flight for s in harness.balancer._servers.values())


def test_an_open_body_has_no_time_out_and_no_place_until_it_is_whole() -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(ORDER, body_open=True)
    (send,) = sent(actions)
    assert send.timeout_ms == math.inf
    # its server has nothing to do yet
    assert (in_flight(harness), harness.balancer._load.in_flight) == (
        0,
        0,
    )
    harness.now += 60_000
    (limit,) = of_kind(harness.deliver(BodyEnded(request, 2_500)), SetAttemptTimeout)
    assert limit == SetAttemptTimeout(request, 0, 1_000)  # the class is worth nothing past its aim
    assert (in_flight(harness), harness.balancer._load.in_flight) == (1, 1)
    harness.now += 50
    assert not of_kind(harness.end_attempt(request, 0, send.server, Outcome.SERVED), Refuse, Fail)
    assert (in_flight(harness), harness.balancer._load.in_flight, harness.balancer._requests) == (
        0,
        0,
        {},
    )


def test_one_that_breaks_before_it_is_whole_leaves_nothing_behind_at_its_server() -> None:
    harness = BalancerHarness(1, max_attempts=1)
    request, actions = harness.new_request(ORDER, body_open=True)
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert of_kind(ended, Refuse) == [Refuse(request, 0.0)]
    assert (in_flight(harness), harness.balancer._load.in_flight) == (0, 0)


@pytest.mark.parametrize("cls", [READ, ORDER, PAY])
def test_a_spent_body_is_not_sent_again_and_is_refused_where_it_never_ran(cls: RequestClass) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=True)
    harness.deliver(BodyDiscarded(request))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert not sent(ended) and len(of_kind(ended, Refuse)) == 1


@pytest.mark.parametrize("cls", [ORDER, PAY])
def test_a_spent_body_that_may_have_run_has_failed(cls: RequestClass) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=True)
    harness.deliver(BodyDiscarded(request))
    harness.deliver(BodyEnded(request, 2_500))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not sent(ended) and of_kind(ended, Fail) == [Fail(request)]


def test_an_unspent_one_goes_elsewhere() -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(ORDER, body_open=True)
    (again,) = sent(harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED))
    assert again.timeout_ms == math.inf and again.server != sent(actions)[0].server


def test_no_copy_of_an_open_or_spent_body_is_sent_beside_it() -> None:
    harness = BalancerHarness(8)
    for _ in range(60):
        harness.serve_request()
    request, _ = harness.new_request(READ, body_open=True)
    assert not [t for t in harness.all_actions if getattr(t, "token", "") == f"copy:{request}"]
    harness.deliver(BodyDiscarded(request))
    harness.deliver(BodyEnded(request, 3_000))
    harness.now += 900
    assert not sent(harness.deliver(TimerDue(f"copy:{request}")))


def test_an_answer_that_has_begun_is_booked_and_calls_the_others_off() -> None:
    harness = BalancerHarness(8)
    for _ in range(60):
        harness.serve_request()
    request, actions = harness.new_request(READ)
    first = sent(actions)[0].server
    harness.now += 900  # silent for long: a copy goes out
    copies = sent(harness.deliver(TimerDue(f"copy:{request}")))
    assert len(copies) == 1
    began = harness.deliver(ResponseStarted(request, 1))
    assert of_kind(began, Cancel) == [Cancel(request, 0)]
    assert harness.balancer._servers[copies[0].server].in_flight == 0
    harness.end_attempt(request, 0, first, Outcome.CANCELLED)
    served = harness.balancer._servers[copies[0].server].served
    harness.now += 30_000  # a slow reader
    ended = harness.end_attempt(request, 1, copies[0].server, Outcome.SERVED)
    assert not of_kind(ended, Send, Refuse, Fail)
    assert harness.balancer._servers[copies[0].server].served <= served  # not booked twice
    assert (in_flight(harness), harness.balancer._load.in_flight, harness.balancer._requests) == (
        0,
        0,
        {},
    )


def test_one_that_breaks_after_it_has_begun_is_over() -> None:
    harness = BalancerHarness(2)
    request, actions = harness.new_request(READ)
    harness.deliver(ResponseStarted(request, 0))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not of_kind(ended, Send, Refuse, Fail) and not harness.balancer._requests


steps = st.lists(st.sampled_from(["whole", "spent", "began", "left", "wait", *Outcome]), max_size=12)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from([READ, ORDER, PAY]), st.booleans(), steps)
def test_whatever_happens_there_is_one_end_and_nothing_is_left(
    cls: RequestClass, body_open: bool, happenings: list[object]
) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=body_open)
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
        harness.now += 10
        if what == "whole" and not whole:
            whole = True
            note(list(harness.deliver(BodyEnded(request, 2_000))))
        elif what == "spent" and out and not began:
            spent = True
            note(list(harness.deliver(BodyDiscarded(request))))
        elif what == "began" and out and not (began or over):
            began = True
            note(list(harness.deliver(ResponseStarted(request, min(out)))))
        elif what == "left" and not (over or began):
            over = True
            note(list(harness.deliver(ClientDisconnected(request))))
        elif isinstance(what, Outcome) and out:
            index = min(out)
            server = out.pop(index)
            if what is Outcome.SERVED and not began and not over:
                ends, over = ends + 1, True
            note(list(harness.end_attempt(request, index, server, what)))
    while out:
        index = min(out)
        server = out.pop(index)
        note(list(harness.end_attempt(request, index, server, Outcome.UNREACHED)))
    harness.now += 100_000
    harness.deliver(TimerDue(f"wait:{request}"))
    assert ends <= 1
    assert not harness.balancer._requests
    assert (in_flight(harness), harness.balancer._load.in_flight) == (0, 0)
