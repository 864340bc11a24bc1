"""Each rule: what breaks it, and what comes close and does not."""

from __future__ import annotations

from passpost.rehearsal.model import Contract
from passpost.rehearsal.watch import InvariantChecker
from tests.rehearsal.nights import FRAME, INVOICE, SUBMIT


def watch() -> InvariantChecker:
    return InvariantChecker(Contract(drain_grace_ms=1_000))


def broken(w: InvariantChecker) -> list[str]:
    return [b.rule for b in w.violations]


def serve(w: InvariantChecker, txn: str, at: float, body: bytes = b"made") -> None:
    w.attempt_received(at, at, at, txn, "n1", "b1")
    w.node_responded(at, txn, "n1", b"made")
    w.response_served(at + 0.1, txn, body)


def test_an_answer_that_a_node_made_keeps_the_rule_and_any_other_breaks_it() -> None:
    w = watch()
    w.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    serve(w, "t1", 1.1)
    assert broken(w) == []
    w.request_sent(1.0, "t2", FRAME, "b1", 2.0)
    serve(w, "t2", 1.1, b"made up")
    assert broken(w) == ["lost"]


def test_no_answer_breaks_the_rule_unless_it_is_excused() -> None:
    w = watch()
    for txn in ("t1", "t2"):
        w.request_sent(1.0, txn, FRAME, "b1", 2.0)
    w.response_excused(2.2, "t1", "killed")
    assert broken(w) == []
    w.response_lost(2.2, "t2", "no answer in time")
    assert broken(w) == ["lost"]
    assert w.unanswered_requests() == []


def test_a_second_answer_and_a_send_after_the_answer_break_it() -> None:
    w = watch()
    w.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    w.response_refused(1.1, "t1")
    w.attempt_received(1.12, 1.12, 1.2, "t1", "n1", "b1")  # on its way when the answer was
    assert broken(w) == []
    w.attempt_received(1.4, 1.4, 1.4, "t1", "n1", "b1")
    w.response_failed(1.5, "t1", 502)
    assert broken(w) == ["lost", "lost"]


def test_an_attempt_that_nobody_asked_for_breaks_it() -> None:
    w = watch()
    w.attempt_received(1.0, 1.0, 1.0, "t9", "n1", "b1")
    assert broken(w) == ["lost"]


def test_an_unsafe_request_runs_once() -> None:
    w = watch()
    w.request_sent(1.0, "t1", INVOICE, "b1", 2.0)
    number = w.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    w.attempt_turned_away(1.1, "t1", "n1", number)
    w.attempt_received(1.2, 1.2, 1.2, "t1", "n2", "b1")
    assert broken(w) == []
    w.attempt_received(1.3, 1.3, 1.3, "t1", "n1", "b1")
    assert broken(w) == ["twice"]


def test_turning_one_copy_away_says_nothing_of_another() -> None:
    w = watch()
    w.request_sent(1.0, "t1", INVOICE, "b1", 2.0)
    w.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    second = w.attempt_received(1.1, 1.1, 1.1, "t1", "n2", "b1")
    w.attempt_turned_away(1.2, "t1", "n2", second)
    w.response_refused(1.3, "t1")
    assert broken(w) == ["twice", "twice"]  # sent again, and refused though the first may have run


def test_an_unsafe_request_that_may_have_run_is_not_refused() -> None:
    w = watch()
    for txn in ("t1", "t2"):
        w.request_sent(1.0, txn, INVOICE, "b1", 2.0)
        w.attempt_received(1.0, 1.0, 1.0, txn, "n1", "b1")
    w.response_failed(1.5, "t1", 502)
    assert broken(w) == []
    w.response_refused(1.5, "t2")
    assert broken(w) == ["twice"]


def test_a_keyed_request_is_not_sent_again_past_its_window() -> None:
    w = watch()
    w.request_sent(1.0, "t1", SUBMIT, "b1", 9.0)
    w.attempt_received(1.0, 1.0, 1.0, "t1", "n1", "b1")
    w.attempt_received(1.99, 1.99, 2.6, "t1", "n2", "b1")  # written within it; the network was slow
    assert broken(w) == []
    w.attempt_received(2.2, 2.2, 2.2, "t1", "n2", "b1")
    assert broken(w) == ["twice"]


def test_a_drain_is_kept_after_its_grace() -> None:
    w = watch()
    for txn in ("t1", "t2", "t3"):
        w.request_sent(1.0, txn, FRAME, "b1", 9.0)
    w.list_notified(1.0, "b1", "n1", False, 0.0)
    w.list_notified(5.0, "b1", "n1", False, 0.0)  # told again: the grace runs from the first time
    w.attempt_received(1.9, 1.9, 1.9, "t1", "n1", "b1")
    w.attempt_received(3.0, 3.0, 3.0, "t2", "n1", "b2")  # not told
    assert broken(w) == []
    w.attempt_received(2.1, 2.1, 2.1, "t3", "n1", "b1")
    assert broken(w) == ["drain"]


def test_a_node_that_is_back_is_no_longer_drained_and_a_new_balancer_knows_nothing() -> None:
    w = watch()
    for txn in ("t1", "t2"):
        w.request_sent(1.0, txn, FRAME, "b1", 9.0)
    w.list_notified(1.0, "b1", "n1", False, 0.0)
    w.list_notified(3.0, "b1", "n1", True, 2.5)
    w.attempt_received(4.0, 4.0, 4.0, "t1", "n1", "b1")
    w.list_notified(4.0, "b1", "n2", False, 0.0)
    w.forget_balancer("b1")
    w.attempt_received(6.0, 6.0, 6.0, "t2", "n2", "b1")
    assert broken(w) == []


def test_a_balancer_that_stood_still_counts_as_told_when_it_wakes() -> None:
    w = watch()
    for txn in ("t1", "t2"):
        w.request_sent(1.0, txn, FRAME, "b1", 9.0)
    w.list_notified(2.0, "b1", "n1", False, 0.0)
    w.balancer_resumed(6.0, "b1", 1.5)
    w.attempt_received(6.5, 6.5, 6.5, "t1", "n1", "b1")
    assert broken(w) == []
    w.attempt_received(7.2, 7.2, 7.2, "t2", "n1", "b1")
    assert broken(w) == ["drain"]


def test_a_cold_node_that_falls_is_a_break_if_those_who_knew_sent_the_most() -> None:
    w = watch()
    w.list_notified(5.0, "b1", "n1", True, 4.0)
    w.node_overloaded(6.0, "n1", 4.0, {"b1": 60.0, "b2": 40.0})
    assert broken(w) == []  # b2 did not know
    w.list_notified(6.0, "b2", "n1", True, 3.0)  # of an earlier start
    w.node_overloaded(6.0, "n1", 4.0, {"b1": 60.0, "b2": 40.0})
    assert broken(w) == []
    w.node_overloaded(6.0, "n1", 4.0, {"b1": 70.0, "b2": 30.0})
    assert broken(w) == ["cold"]


def test_the_story_holds_the_calls_that_the_request_is_a_part_of() -> None:
    w = watch()
    w.request_sent(1.0, "t1", FRAME, "b1", 2.0)
    w.attempt_received(1.0, 1.0, 1.05, "t1", "f1", "b1")
    w.request_sent(1.1, "t1.f1.1", FRAME, "b-f1", 2.0, parent="t1")
    w.response_lost(2.2, "t1.f1.1", "no answer in time")
    story = w.violations[0].timeline
    assert [line.split()[1] for line in story] == ["t1", "t1", "t1.f1.1", "t1.f1.1"]
    assert "at f1" in story[1] and "no answer in time" in story[-1]


def test_what_is_long_over_is_forgotten() -> None:
    w = watch()
    for i in range(2_000):
        w.request_sent(float(i), f"t{i}", FRAME, "b1", i + 1.0)
        serve(w, f"t{i}", i + 0.1)
    assert broken(w) == [] and len(w._records) < 50


def test_a_quarter_of_those_who_left_while_they_waited_may_be_sent_for_late_and_no_more() -> None:
    for late, rules in ((2, []), (3, ["left"])):
        w = watch()
        for n in range(8):
            w.request_sent(1.0, f"t{n}", FRAME, "b1", 2.0)
            w.client_left(1.1, f"t{n}")
            at = 1.1 + (0.31 if n < late else 0.29)
            w.attempt_received(at, at, at, f"t{n}", "n1", "b1")
        w.run_ended(3.0)
        assert (w.left_waiting, w.sent_after) == (8, late) and broken(w) == rules


def test_who_leaves_while_something_is_out_is_no_such_case() -> None:
    w = watch()
    for n in range(8):
        w.request_sent(1.0, f"t{n}", FRAME, "b1", 2.0)
        w.attempt_received(1.0, 1.0, 1.0, f"t{n}", "n1", "b1")
        w.client_left(1.1, f"t{n}")
        w.attempt_received(1.6, 1.6, 1.6, f"t{n}", "n2", "b1")
    w.run_ended(3.0)
    assert w.left_waiting == 0 and broken(w) == []
