"""A render node's insides: shares of cores, slots, cold starts, crowding."""

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


def run(node: Machine, until: float) -> list[tuple[float, int]]:
    """Advance in the node's own steps; what ended and when."""
    ended = []
    while (at := node.next_at()) is not None and at <= until:
        ended += [(round(at, 6), number) for number in node.advance(at)]
    ended += [(until, number) for number in node.advance(until)]
    return ended


def test_jobs_share_the_cores_evenly() -> None:
    node = machine()
    for number in range(4):
        assert node.offer(Job(number, 100.0), "b")
    # Four jobs of 100 ms on two cores: each gets half a core.
    assert run(node, 1.0) == [(0.2, 0), (0.2, 1), (0.2, 2), (0.2, 3)]


def test_a_lone_job_gets_one_core_not_all() -> None:
    node = machine()
    node.offer(Job(1, 100.0), "b")
    assert run(node, 1.0) == [(0.1, 1)]


def test_a_faster_core_and_a_fault_change_the_pace_from_then_on() -> None:
    node = machine(speed=2.0)
    node.offer(Job(1, 200.0), "b")
    assert run(node, 0.05) == []
    node.slower = 4.0
    assert run(node, 1.0) == [(0.25, 1)]  # 100 ms of work left at 0.5


def test_slots_then_the_waiting_room_then_turned_away() -> None:
    node = machine()
    assert [node.offer(Job(n, 10.0), "b") for n in range(7)] == [True] * 6 + [False]
    assert (node.in_work(), node.queued()) == (4, 2)
    run(node, 1.0)
    following = node.leave()
    assert following is not None and following.number == 4
    node.resume(following)
    assert (node.in_work(), node.queued(), node.holding) == (1, 1, 5)


def test_a_job_that_waits_keeps_its_slot_without_a_core() -> None:
    node = machine(slots=1, queue=0)
    node.offer(Job(1, 10.0), "b")
    assert run(node, 1.0) == [(0.01, 1)]
    assert not node.offer(Job(2, 10.0), "b")  # it has not left
    node.resume(Job(1, 30.0))
    assert run(node, 2.0) == [(1.03, 1)]
    assert node.leave() is None
    assert node.offer(Job(2, 10.0), "b")


def test_nothing_moves_while_it_is_held_up() -> None:
    node = machine()
    node.offer(Job(1, 100.0), "b")
    run(node, 0.05)
    node.held_up = True
    assert node.next_at() is None and run(node, 9.0) == []
    node.held_up = False
    assert run(node, 10.0) == [(9.05, 1)]


def test_a_cold_node_warms_up_evenly() -> None:
    node = machine(cold=True, now=100.0)
    found = []
    for age in (0, 5, 10, 20):
        node.advance(100.0 + age)
        found.append(node.warmth())
    assert found == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_a_cold_node_falls_over_past_its_budget_and_a_warm_one_never() -> None:
    # 0.2 of 2 cores is 400 ms of work a second; three times that for a second is 1,200, and the slack.
    cold, warm = machine(cold=True, slots=999), machine(slots=999)
    for number in range(12):
        for node in (cold, warm):
            node.offer(Job(number, 100.0), "b1" if number % 3 else "b2")
    assert not cold.fallen
    cold.offer(Job(20, 100.0), "b1")
    warm.offer(Job(20, 9_999.0), "b1")
    assert cold.fallen and not warm.fallen
    assert cold.pressure_by() == {"b1": 900.0, "b2": 400.0}
    assert not cold.offer(Job(21, 1.0), "b1")  # and it stays down
    assert cold.next_at() is None


def test_pressure_on_a_cold_node_eases_with_time() -> None:
    node = machine(cold=True, slots=999)
    for second in range(5):
        node.advance(float(second))
        for number in range(10):
            node.offer(Job(second * 10 + number, 100.0), "b")
    assert not node.fallen


def test_a_crowded_node_chokes_until_it_has_rested() -> None:
    node = machine(slots=50, crowd=2.0, crowd_factor=3.0)
    for number in range(40):
        node.offer(Job(number, 400.0), "b")
    run(node, 5.0)
    assert node.choked
    ended = [number for _, number in run(node, 60.0)]
    for _ in ended:
        node.leave()
    assert len(ended) == 40 and not node.choked  # idle since


@settings(max_examples=80, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 0.3), st.floats(1, 500)), min_size=1, max_size=30),
    st.integers(1, 4),
    st.floats(0.5, 4),
)
def test_all_work_that_is_taken_gets_done_no_faster_than_the_cores_can(
    arrivals: list[tuple[float, float]], cores: int, speed: float
) -> None:
    node = machine(cores=cores, speed=speed, slots=1000)
    now, total, ended = 0.0, 0.0, []
    for number, (gap, work) in enumerate(arrivals):
        now += gap
        ended += run(node, now)
        assert node.offer(Job(number, work), "b")
        total += work
    ended += run(node, now + total / speed / 1000 + 1)
    assert sorted(number for _, number in ended) == list(range(len(arrivals)))
    assert max(at for at, _ in ended) >= total / (cores * speed) / 1000 - 1e-3
