"""The invariant checker: for each invariant, events that violate it and similar events that do not."""

from __future__ import annotations

import msgspec

from passpost.rehearsal.model import Contract
from passpost.rehearsal.watch import InvariantChecker
from tests.rehearsal.nights import FRAME, INVOICE, SUBMIT


def new_checker() -> InvariantChecker:
    return InvariantChecker(Contract(drain_grace_ms=1_000))


def violated_rules(checker: InvariantChecker) -> list[str]:
    return [violation.rule for violation in checker.violations]


def serve(checker: InvariantChecker, txn: str, at: float, body: bytes = b"made") -> None:
    """A node responds with b"made"; the client receives `body`."""
    checker.attempt_received(at, at, at, txn, "n1", "b1")
    checker.node_responded(at, txn, "n1", b"made")
    checker.response_served(at + 0.1, txn, body)


def test_only_a_response_produced_by_a_node_is_accepted() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    serve(checker, "t1", 1.1)
    assert violated_rules(checker) == []
    checker.request_sent(1.0, "t2", FRAME, "b1", 2.0)
    serve(checker, "t2", 1.1, b"made up")
    assert violated_rules(checker) == ["lost"]


def test_a_missing_response_is_a_violation_unless_excused() -> None:
    checker = new_checker()
    for txn in ("t1", "t2"):
        checker.request_sent(1.0, txn, FRAME, "b1", 2.0)
    checker.response_excused(2.2, "t1", "killed")
    assert violated_rules(checker) == []
    checker.response_lost(2.2, "t2", "no answer in time")
    assert violated_rules(checker) == ["lost"]
    assert checker.unanswered_requests() == []


def test_a_second_response_and_a_send_after_the_response_are_violations() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    checker.response_refused(1.1, "t1")
    checker.attempt_received(1.12, 1.12, 1.2, "t1", "n1", "b1")  # in flight when the response was sent
    assert violated_rules(checker) == []
    checker.attempt_received(1.4, 1.4, 1.4, "t1", "n1", "b1")
    checker.response_failed(1.5, "t1", 502)
    assert violated_rules(checker) == ["lost", "lost"]


def test_a_repeat_in_another_cell_is_a_violation_where_a_cell_drops_repeats() -> None:
    # Review case 1: the checker knew the window of a key, but not which nodes share it.
    for scope, expected in (("all", []), ("cell", ["twice"])):
        checker = new_checker()
        checker.request_sent(1.0, "t1", msgspec.structs.replace(SUBMIT, scope=scope), "b1", 2.0)
        turned_away = checker.attempt_received(1.0, 1.0, 1.0, "t1", "n0", "b1", cell=1)
        checker.attempt_turned_away(1.01, "t1", "n0", turned_away)
        checker.attempt_received(1.1, 1.1, 1.1, "t1", "n1", "b1", cell=2)
        checker.attempt_received(1.2, 1.2, 1.2, "t1", "n2", "b1", cell=2)
        assert violated_rules(checker) == []
        checker.attempt_received(1.3, 1.3, 1.3, "t1", "n3", "b1", cell=1)
        assert violated_rules(checker) == expected


def test_an_attempt_without_a_request_is_a_violation() -> None:
    checker = new_checker()
    checker.attempt_received(1.0, 1.0, 1.0, "t9", "n1", "b1")
    assert violated_rules(checker) == ["lost"]


def test_an_unsafe_request_runs_at_most_once() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", INVOICE, "b1", 2.0)
    number = checker.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    checker.attempt_turned_away(1.1, "t1", "n1", number)
    checker.attempt_received(1.2, 1.2, 1.2, "t1", "n2", "b1")
    assert violated_rules(checker) == []
    checker.attempt_received(1.3, 1.3, 1.3, "t1", "n1", "b1")
    assert violated_rules(checker) == ["twice"]


def test_turning_one_copy_away_does_not_excuse_another() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", INVOICE, "b1", 2.0)
    checker.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    second = checker.attempt_received(1.1, 1.1, 1.1, "t1", "n2", "b1")
    checker.attempt_turned_away(1.2, "t1", "n2", second)
    checker.response_refused(1.3, "t1")
    # Sent again, and refused, although the first attempt may have run.
    assert violated_rules(checker) == ["twice", "twice"]


def test_refusing_an_unsafe_request_that_may_have_run_is_a_violation() -> None:
    checker = new_checker()
    for txn in ("t1", "t2"):
        checker.request_sent(1.0, txn, INVOICE, "b1", 2.0)
        checker.attempt_received(1.0, 1.0, 1.0, txn, "n1", "b1")
    checker.response_failed(1.5, "t1", 502)
    assert violated_rules(checker) == []
    checker.response_refused(1.5, "t2")
    assert violated_rules(checker) == ["twice"]


def test_resending_a_keyed_request_after_its_window_is_a_violation() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", SUBMIT, "b1", 9.0)
    checker.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    checker.attempt_received(1.99, 1.99, 2.6, "t1", "n2", "b1")  # written in time, delivered late
    assert violated_rules(checker) == []
    checker.attempt_received(2.2, 2.2, 2.2, "t1", "n2", "b1")
    assert violated_rules(checker) == ["twice"]


def test_a_send_to_a_draining_node_after_the_grace_period_is_a_violation() -> None:
    checker = new_checker()
    for txn in ("t1", "t2", "t3"):
        checker.request_sent(1.0, txn, FRAME, "b1", 9.0)
    checker.list_notified(1.0, "b1", "n1", False, 0.0)
    checker.list_notified(
        5.0, "b1", "n1", False, 0.0
    )  # a repeated notification does not extend the grace period
    checker.attempt_received(1.9, 1.9, 1.9, "t1", "n1", "b1")
    checker.attempt_received(3.0, 3.0, 3.0, "t2", "n1", "b2")  # b2 was not notified
    assert violated_rules(checker) == []
    checker.attempt_received(2.1, 2.1, 2.1, "t3", "n1", "b1")
    assert violated_rules(checker) == ["drain"]


def test_a_node_that_serves_again_or_a_restarted_balancer_clears_the_drain() -> None:
    checker = new_checker()
    for txn in ("t1", "t2"):
        checker.request_sent(1.0, txn, FRAME, "b1", 9.0)
    checker.list_notified(1.0, "b1", "n1", False, 0.0)
    checker.list_notified(3.0, "b1", "n1", True, 2.5)
    checker.attempt_received(4.0, 4.0, 4.0, "t1", "n1", "b1")
    checker.list_notified(4.0, "b1", "n2", False, 0.0)
    checker.forget_balancer("b1")
    checker.attempt_received(6.0, 6.0, 6.0, "t2", "n2", "b1")
    assert violated_rules(checker) == []


def test_notifications_during_a_pause_count_from_its_end() -> None:
    checker = new_checker()
    for txn in ("t1", "t2"):
        checker.request_sent(1.0, txn, FRAME, "b1", 9.0)
    checker.list_notified(2.0, "b1", "n1", False, 0.0)
    checker.balancer_resumed(6.0, "b1", 1.5)
    checker.attempt_received(6.5, 6.5, 6.5, "t1", "n1", "b1")
    assert violated_rules(checker) == []
    checker.attempt_received(7.2, 7.2, 7.2, "t2", "n1", "b1")
    assert violated_rules(checker) == ["drain"]


def test_an_overloaded_cold_node_is_a_violation_if_notified_balancers_sent_most_of_the_work() -> None:
    checker = new_checker()
    checker.list_notified(5.0, "b1", "n1", True, 4.0)
    checker.node_overloaded(6.0, "n1", 4.0, {"b1": 60.0, "b2": 40.0})
    assert violated_rules(checker) == []  # b2 was not notified, and b1 sent less than two thirds
    checker.list_notified(6.0, "b2", "n1", True, 3.0)  # a notification of an earlier start
    checker.node_overloaded(6.0, "n1", 4.0, {"b1": 60.0, "b2": 40.0})
    assert violated_rules(checker) == []
    checker.node_overloaded(6.0, "n1", 4.0, {"b1": 70.0, "b2": 30.0})
    assert violated_rules(checker) == ["cold"]


def test_the_timeline_includes_the_parent_request() -> None:
    checker = new_checker()
    checker.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    checker.attempt_received(1.0, 1.0, 1.05, "t1", "f1", "b1")
    checker.request_sent(1.1, "t1.f1.1", FRAME, "b-f1", 2.0, parent="t1")
    checker.response_lost(2.2, "t1.f1.1", "no answer in time")
    timeline = checker.violations[0].timeline
    assert [line.split()[1] for line in timeline] == ["t1", "t1", "t1.f1.1", "t1.f1.1"]
    assert "at f1" in timeline[1] and "no answer in time" in timeline[-1]


def test_finished_requests_expire() -> None:
    checker = new_checker()
    for i in range(2_000):
        checker.request_sent(float(i), f"t{i}", FRAME, "b1", i + 1.0)
        serve(checker, f"t{i}", i + 0.1)
    assert violated_rules(checker) == [] and len(checker._records) < 50


def test_at_most_a_quarter_of_abandoned_requests_may_be_sent_late() -> None:
    for late, expected_rules in ((2, []), (3, ["left"])):
        checker = new_checker()
        for n in range(8):
            checker.request_sent(1.0, f"t{n}", FRAME, "b1", 2.0)
            checker.client_left(1.1, f"t{n}")
            at = 1.1 + (0.31 if n < late else 0.29)
            checker.attempt_received(at, at, at, f"t{n}", "n1", "b1")
        checker.run_ended(3.0)
        assert (checker.left_waiting, checker.sent_after) == (8, late) and violated_rules(
            checker
        ) == expected_rules


def test_a_client_that_leaves_during_an_attempt_is_not_counted_as_abandoned() -> None:
    checker = new_checker()
    for n in range(8):
        checker.request_sent(1.0, f"t{n}", FRAME, "b1", 2.0)
        checker.attempt_received(1.0, 1.0, 1.0, f"t{n}", "n1", "b1")
        checker.client_left(1.1, f"t{n}")
        checker.attempt_received(1.6, 1.6, 1.6, f"t{n}", "n2", "b1")
    checker.run_ended(3.0)
    assert checker.left_waiting == 0 and violated_rules(checker) == []
