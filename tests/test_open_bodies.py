"""Decisions about requests whose body is still being received, and about responses that have started."""

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


def test_an_open_body_has_no_timeout_and_is_not_in_flight_until_it_is_complete() -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(ORDER, body_open=True)
    (send,) = sent(actions)
    assert send.timeout_ms == math.inf
    # a server does no work before it has the whole body
    assert (in_flight(harness), harness.balancer._load.in_flight) == (
        0,
        0,
    )
    harness.now += 60_000
    (limit,) = of_kind(harness.deliver(BodyEnded(request, 2_500)), SetAttemptTimeout)
    assert limit == SetAttemptTimeout(request, 0, 1_000)  # answers after the target time have no value
    assert (in_flight(harness), harness.balancer._load.in_flight) == (1, 1)
    harness.now += 50
    assert not of_kind(harness.end_attempt(request, 0, send.server, Outcome.SERVED), Refuse, Fail)
    assert (in_flight(harness), harness.balancer._load.in_flight, harness.balancer._requests) == (
        0,
        0,
        {},
    )


def test_a_request_that_fails_before_its_body_is_complete_holds_no_slot() -> None:
    harness = BalancerHarness(1, max_attempts=1)
    request, actions = harness.new_request(ORDER, body_open=True)
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert of_kind(ended, Refuse) == [Refuse(request, 0.0)]
    assert (in_flight(harness), harness.balancer._load.in_flight) == (0, 0)


@pytest.mark.parametrize("cls", [READ, ORDER, PAY])
def test_a_discarded_body_is_not_sent_again_and_is_refused_if_it_had_no_effect(cls: RequestClass) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=True)
    harness.deliver(BodyDiscarded(request))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED)
    assert not sent(ended) and len(of_kind(ended, Refuse)) == 1


@pytest.mark.parametrize("cls", [ORDER, PAY])
def test_a_request_with_a_discarded_body_that_may_have_run_fails(cls: RequestClass) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=True)
    harness.deliver(BodyDiscarded(request))
    harness.deliver(BodyEnded(request, 2_500))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not sent(ended) and of_kind(ended, Fail) == [Fail(request)]


def test_an_open_body_that_is_kept_is_sent_to_another_server() -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(ORDER, body_open=True)
    (again,) = sent(harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.UNREACHED))
    assert again.timeout_ms == math.inf and again.server != sent(actions)[0].server


def test_no_duplicate_of_an_open_or_discarded_body_is_sent() -> None:
    harness = BalancerHarness(8)
    for _ in range(60):
        harness.serve_request()
    request, _ = harness.new_request(READ, body_open=True)
    assert not [t for t in harness.all_actions if getattr(t, "token", "") == f"copy:{request}"]
    harness.deliver(BodyDiscarded(request))
    harness.deliver(BodyEnded(request, 3_000))
    harness.now += 900
    assert not sent(harness.deliver(TimerDue(f"copy:{request}")))


def test_a_started_response_counts_as_served_and_cancels_the_other_attempts() -> None:
    harness = BalancerHarness(8)
    for _ in range(60):
        harness.serve_request()
    request, actions = harness.new_request(READ)
    first = sent(actions)[0].server
    harness.now += 900  # unanswered for long: a duplicate is sent
    duplicates = sent(harness.deliver(TimerDue(f"copy:{request}")))
    assert len(duplicates) == 1
    started = harness.deliver(ResponseStarted(request, 1))
    assert of_kind(started, Cancel) == [Cancel(request, 0)]
    assert harness.balancer._servers[duplicates[0].server].in_flight == 0
    harness.end_attempt(request, 0, first, Outcome.CANCELLED)
    served = harness.balancer._servers[duplicates[0].server].served
    harness.now += 30_000  # a slow reader
    ended = harness.end_attempt(request, 1, duplicates[0].server, Outcome.SERVED)
    assert not of_kind(ended, Send, Refuse, Fail)
    assert harness.balancer._servers[duplicates[0].server].served <= served  # not counted twice
    assert (in_flight(harness), harness.balancer._load.in_flight, harness.balancer._requests) == (
        0,
        0,
        {},
    )


def test_a_request_whose_response_breaks_is_not_retried() -> None:
    harness = BalancerHarness(2)
    request, actions = harness.new_request(READ)
    harness.deliver(ResponseStarted(request, 0))
    ended = harness.end_attempt(request, 0, sent(actions)[0].server, Outcome.BROKEN)
    assert not of_kind(ended, Send, Refuse, Fail) and not harness.balancer._requests


steps = st.lists(st.sampled_from(["whole", "spent", "began", "left", "wait", *Outcome]), max_size=12)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from([READ, ORDER, PAY]), st.booleans(), steps)
def test_any_sequence_of_events_gives_one_answer_and_leaves_nothing(
    cls: RequestClass, body_open: bool, events: list[object]
) -> None:
    harness = BalancerHarness(4)
    request, actions = harness.new_request(cls, body_open=body_open)
    complete, discarded, started, over = not body_open, False, False, False
    out: dict[int, str] = {}
    answers = 0
    sends = 0

    def check(actions: list[object]) -> None:
        nonlocal sends, answers, over
        for action in actions:
            if isinstance(action, Send):
                assert not (over or started) and not (discarded and sends)
                assert (action.timeout_ms == math.inf) is not complete
                out[sends] = action.server
                sends += 1
            elif isinstance(action, Refuse | Fail):
                answers, over = answers + 1, True
                assert not started

    check(list(actions))
    for event in events:
        harness.now += 10
        if event == "whole" and not complete:
            complete = True
            check(list(harness.deliver(BodyEnded(request, 2_000))))
        elif event == "spent" and out and not started:
            discarded = True
            check(list(harness.deliver(BodyDiscarded(request))))
        elif event == "began" and out and not (started or over):
            started = True
            check(list(harness.deliver(ResponseStarted(request, min(out)))))
        elif event == "left" and not (over or started):
            over = True
            check(list(harness.deliver(ClientDisconnected(request))))
        elif isinstance(event, Outcome) and out:
            index = min(out)
            server = out.pop(index)
            if event is Outcome.SERVED and not started and not over:
                answers, over = answers + 1, True
            check(list(harness.end_attempt(request, index, server, event)))
    while out:
        index = min(out)
        server = out.pop(index)
        check(list(harness.end_attempt(request, index, server, Outcome.UNREACHED)))
    harness.now += 100_000
    harness.deliver(TimerDue(f"wait:{request}"))
    assert answers <= 1
    assert not harness.balancer._requests
    assert (in_flight(harness), harness.balancer._load.in_flight) == (0, 0)
