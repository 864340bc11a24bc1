"""The model of a simulated node: core sharing, slots, cold starts and overcrowding."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.rehearsal.machine import Job, Machine
from passpost.rehearsal.model import Contract, NodeKind


def machine(cold: bool = False, now: float = 0.0, **changes: Any) -> Machine:
    base: dict[str, Any] = {"name": "k", "cores": 2, "speed": 1.0, "slots": 4, "queue": 2}
    contract = Contract(cold_ms=10_000, cold_from=0.2, overload_factor=3.0, overload_ms=1_000)
    return Machine(NodeKind(**(base | changes)), contract, now, cold)


def advance_until(node: Machine, until: float) -> list[tuple[float, int]]:
    """Advance from one event of the node to the next; return (time, job number) of each finished job."""
    finished = []
    while (at := node.next_event_at()) is not None and at <= until:
        finished += [(round(at, 6), number) for number in node.advance(at)]
    finished += [(until, number) for number in node.advance(until)]
    return finished


def test_jobs_share_the_cores_evenly() -> None:
    node = machine()
    for number in range(4):
        assert node.offer(Job(number, 100.0), "b")
    # Four jobs of 100 ms on two cores: each gets half a core.
    assert advance_until(node, 1.0) == [(0.2, 0), (0.2, 1), (0.2, 2), (0.2, 3)]


def test_a_single_job_uses_one_core_only() -> None:
    node = machine()
    node.offer(Job(1, 100.0), "b")
    assert advance_until(node, 1.0) == [(0.1, 1)]


def test_core_speed_and_a_slowdown_fault_change_the_work_rate() -> None:
    node = machine(speed=2.0)
    node.offer(Job(1, 200.0), "b")
    assert advance_until(node, 0.05) == []
    node.slowdown = 4.0
    assert advance_until(node, 1.0) == [(0.25, 1)]  # 100 ms of work remain, at a speed of 2 / 4


def test_requests_take_slots_then_the_wait_queue_then_are_rejected() -> None:
    node = machine()
    assert [node.offer(Job(n, 10.0), "b") for n in range(7)] == [True] * 6 + [False]
    assert (node.running_count(), node.queued_count()) == (4, 2)
    advance_until(node, 1.0)
    next_job = node.release_slot()
    assert next_job is not None and next_job.number == 4
    node.resume(next_job)
    assert (node.running_count(), node.queued_count(), node.request_count) == (1, 1, 5)


def test_a_job_waiting_for_the_next_tier_keeps_its_slot_and_uses_no_core() -> None:
    node = machine(slots=1, queue=0)
    node.offer(Job(1, 10.0), "b")
    assert advance_until(node, 1.0) == [(0.01, 1)]
    assert not node.offer(Job(2, 10.0), "b")  # the first job still holds the slot
    node.resume(Job(1, 30.0))
    assert advance_until(node, 2.0) == [(1.03, 1)]
    assert node.release_slot() is None
    assert node.offer(Job(2, 10.0), "b")


def test_no_work_advances_while_the_node_is_stopped() -> None:
    node = machine()
    node.offer(Job(1, 100.0), "b")
    advance_until(node, 0.05)
    node.stopped = True
    assert node.next_event_at() is None and advance_until(node, 9.0) == []
    node.stopped = False
    assert advance_until(node, 10.0) == [(9.05, 1)]


def test_a_cold_node_warms_up_linearly() -> None:
    node = machine(cold=True, now=100.0)
    shares = []
    for age in (0, 5, 10, 20):
        node.advance(100.0 + age)
        shares.append(node.warmth())
    assert shares == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_a_cold_node_collapses_above_its_budget_and_a_warm_node_does_not() -> None:
    # 0.2 of 2 cores is 400 ms of work per second; the limit is three times that for one second, 1,200 ms,
    # plus OVERLOAD_SLACK_MS.
    cold, warm = machine(cold=True, slots=999), machine(slots=999)
    for number in range(12):
        for node in (cold, warm):
            node.offer(Job(number, 100.0), "b1" if number % 3 else "b2")
    assert not cold.collapsed
    cold.offer(Job(20, 100.0), "b1")
    warm.offer(Job(20, 9_999.0), "b1")
    assert cold.collapsed and not warm.collapsed
    assert cold.pressure_by_sender() == {"b1": 900.0, "b2": 400.0}
    assert not cold.offer(Job(21, 1.0), "b1")  # a collapsed node stays down
    assert cold.next_event_at() is None


def test_pressure_on_a_cold_node_drains_over_time() -> None:
    node = machine(cold=True, slots=999)
    for second in range(5):
        node.advance(float(second))
        for number in range(10):
            node.offer(Job(second * 10 + number, 100.0), "b")
    assert not node.collapsed


def test_an_overcrowded_node_slows_down_until_its_load_has_been_low() -> None:
    node = machine(slots=50, crowd=2.0, crowd_factor=3.0)
    for number in range(40):
        node.offer(Job(number, 400.0), "b")
    advance_until(node, 5.0)
    assert node.overcrowded
    finished = [number for _, number in advance_until(node, 60.0)]
    for _ in finished:
        node.release_slot()
    assert len(finished) == 40 and not node.overcrowded  # the node was idle after the last job


@settings(max_examples=80, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 0.3), st.floats(1, 500)), min_size=1, max_size=30),
    st.integers(1, 4),
    st.floats(0.5, 4),
)
def test_all_accepted_work_finishes_and_no_faster_than_the_cores_allow(
    arrivals: list[tuple[float, float]], cores: int, speed: float
) -> None:
    node = machine(cores=cores, speed=speed, slots=1000)
    now, total, finished = 0.0, 0.0, []
    for number, (gap, work) in enumerate(arrivals):
        now += gap
        finished += advance_until(node, now)
        assert node.offer(Job(number, work), "b")
        total += work
    finished += advance_until(node, now + total / speed / 1000 + 1)
    assert sorted(number for _, number in finished) == list(range(len(arrivals)))
    assert max(at for at, _ in finished) >= total / (cores * speed) / 1000 - 1e-3
