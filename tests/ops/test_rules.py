"""Parsing of operators' calls, changes to the detached upstreams, and the rendering of metrics."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost.ops.metrics import Metrics
from passpost.ops.model import (
    Command,
    DetachState,
    GetMetrics,
    GetReadiness,
    Reply,
    Request,
    SetDetached,
    SetDrain,
)
from passpost.ops.rules import apply_change, diff, parse_command


@pytest.mark.parametrize(
    ("method", "path", "query", "expected"),
    [
        ("GET", "/_ready", "", GetReadiness()),
        ("GET", "/_vars", "", GetMetrics()),
        ("PUT", "/_upstreams/detach", "id=s-1", SetDetached("s-1", True)),
        ("PUT", "/_upstreams/attach", "id=s%2D1", SetDetached("s-1", False)),
        ("PUT", "/_lameduck/on", "", SetDrain(True)),
        ("PUT", "/_lameduck/off", "", SetDrain(False)),
    ],
)
def test_each_valid_call_becomes_its_command(method: str, path: str, query: str, expected: Command) -> None:
    assert parse_command(Request(method, path, query)) == expected


@pytest.mark.parametrize(
    ("method", "path", "query", "status"),
    [
        ("GET", "/", "", 404),
        ("GET", "/_ready/", "", 404),
        ("PUT", "/_ready", "", 405),
        ("POST", "/_lameduck/on", "", 405),
        ("GET", "/_upstreams/detach", "id=s-1", 405),
        ("PUT", "/_upstreams/detach", "", 400),
        ("PUT", "/_upstreams/detach", "id=", 400),
        ("PUT", "/_upstreams/detach", "id=a&id=b", 400),
        ("PUT", "/_upstreams/attach", "name=a", 400),
        ("PUT", "/_upstreams/attach", "id=" + "a" * 300, 400),
    ],
)
def test_an_invalid_call_gets_an_error_reply_that_names_its_path(
    method: str, path: str, query: str, status: int
) -> None:
    reply = parse_command(Request(method, path, query))
    assert isinstance(reply, Reply)
    assert reply.status == status and path in reply.text


def test_one_attach_undoes_any_number_of_detaches() -> None:
    state = DetachState()
    for _ in range(2):
        state, reply = apply_change(state, SetDetached("a", True), {"a"}, 1_000, 500)
        assert (reply.status, state.detached) == (200, frozenset({"a"}))
    state, reply = apply_change(state, SetDetached("a", False), {"a"}, 2_000, 500)
    assert (reply.status, state) == (200, DetachState(frozenset(), {"a": 2_000}))


def test_an_unknown_id_gets_404_but_a_detached_one_that_left_the_list_can_be_attached() -> None:
    for detached in (True, False):
        state, reply = apply_change(DetachState(), SetDetached("x", detached), {"a"}, 0, 500)
        assert (reply.status, state) == (404, DetachState())
    unlisted = DetachState(frozenset({"gone"}))
    assert apply_change(unlisted, SetDetached("gone", True), {"a"}, 0, 500)[1].status == 200
    state, reply = apply_change(unlisted, SetDetached("gone", False), {"a"}, 0, 500)
    assert (reply.status, state.detached) == (200, frozenset())


def test_attaching_an_upstream_that_was_not_detached_records_no_time() -> None:
    state, reply = apply_change(DetachState(), SetDetached("a", False), {"a"}, 1_000, 500)
    assert (reply.status, state) == (200, DetachState())


def test_times_of_attaches_are_dropped_after_the_retention_time() -> None:
    state = DetachState(frozenset(), {"a": 0, "b": 900})
    assert apply_change(state, SetDetached("c", True), {"c"}, 1_000, 500)[0] == DetachState(
        frozenset({"c"}), {"b": 900}
    )


detach_calls = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20)


@given(detach_calls)
def test_the_diffs_of_successive_states_add_up_to_the_last_state(changes: list[tuple[str, bool]]) -> None:
    state, applied, last_attached_at_ms = DetachState(), set[str](), dict[str, float]()
    for now, (name, detached) in enumerate(changes):
        new, _ = apply_change(state, SetDetached(name, detached), {"a", "b", "c"}, float(now), 5.0)
        new_detached, new_attached = diff(state, new)
        applied |= set(new_detached)
        for server, at in new_attached:
            applied.discard(server)
            last_attached_at_ms[server] = at
        state = new
        assert applied == state.detached
        assert all(last_attached_at_ms.get(n) == at for n, at in state.attached_at_ms.items())


@given(detach_calls)
def test_the_diff_from_an_empty_state_gives_the_whole_state(changes: list[tuple[str, bool]]) -> None:
    state = DetachState()
    for now, (name, detached) in enumerate(changes):
        state, _ = apply_change(state, SetDetached(name, detached), {"a", "b", "c"}, float(now), 5.0)
    new_detached, new_attached = diff(DetachState(), state)
    assert set(new_detached) == state.detached
    assert dict(new_attached) == {n: at for n, at in state.attached_at_ms.items() if n not in state.detached}


def test_each_metric_is_rendered_on_one_line() -> None:
    metrics = Metrics(["frame", "job"])
    metrics.classes["frame"].served = 812
    metrics.classes["job"].attempts = 3
    metrics.open_requests = 14
    lines = metrics.render(known=12, excluded=2).splitlines()
    assert "edge.served.frame=812" in lines and "edge.attempts.job=3" in lines
    assert {"edge.in_flight=14", "edge.upstreams_known=12", "edge.upstreams_excluded=2"} <= set(lines)
    assert len(lines) == len({line.partition("=")[0] for line in lines}) == 2 * 4 + 5
