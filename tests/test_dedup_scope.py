"""Where a keyed request that may have run is sent again, while the entries of its servers in the list change.

A list reaches the decision module whole, as changes, or (long ones) as changes that `long_lists` has worked out.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from passpost import long_lists
from passpost.listing import Listing
from tests.helpers import ORDER, ZONAL, BalancerHarness, members, sent
from umberworks.interface import (
    Attached,
    Detached,
    DiscoveryMoved,
    LearnedState,
    ListKind,
    Member,
    Outcome,
    Readiness,
    RequestClass,
)

SERVERS = 12
RAN = "s6"  # zone z0, cell 3; s7 is the only other server of its cell
CELL_MATE = "s7"
ZONE_MATES = {f"s{i}" for i in range(0, SERVERS, 2)} - {RAN}


def apply_whole(harness: BalancerHarness, old: tuple[Member, ...], new: tuple[Member, ...]) -> None:
    """A short list, applied as a whole one."""
    harness.update_list(*new)


def apply_sliced(harness: BalancerHarness, old: tuple[Member, ...], new: tuple[Member, ...]) -> None:
    """A long list, applied as changes."""
    for part, _ in long_lists.changes({m.server: m for m in old}, {}, Listing(2, True, new, {})):
        harness.update_list(*part, kind=ListKind.CHANGES)


def apply_left(harness: BalancerHarness, old: tuple[Member, ...], new: tuple[Member, ...]) -> None:
    """Changes of a watch, which name the servers that are gone and nothing else of them."""
    names = {m.server for m in new}
    gone = [Member(m.server, Readiness.GONE) for m in old if m.server not in names]
    harness.update_list(*(m for m in new if m not in old), *gone, kind=ListKind.CHANGES)


Apply = Callable[[BalancerHarness, tuple[Member, ...], tuple[Member, ...]], None]
APPLY = pytest.mark.parametrize("apply", [apply_whole, apply_sliced, apply_left])


def request_out_at_ran(cls: RequestClass) -> tuple[BalancerHarness, int]:
    """A balancer with one request, which is out at RAN."""
    for seed in range(200):
        harness = BalancerHarness(SERVERS, seed, cold_ms=0)
        request, actions = harness.new_request(cls)
        if sent(actions)[0].server == RAN:
            harness.now += 100
            return harness, request
    raise AssertionError(f"no seed sends the first request to {RAN}")


def repeats(harness: BalancerHarness, request: int) -> list[str]:
    """End the attempt in a way that it may have run; the servers that the request is sent to again."""
    return [s.server for s in sent(harness.end_attempt(request, 0, RAN, Outcome.BROKEN))]


@APPLY
def test_repeat_stays_in_the_cell_of_a_server_that_left_the_list(apply: Apply) -> None:
    # Review case 1: after a long list without the server, its cell was taken for 0, and the request ran twice.
    old = members(SERVERS)
    harness, request = request_out_at_ran(ORDER)
    apply(harness, old, tuple(m for m in old if m.server != RAN))
    assert repeats(harness, request) == [CELL_MATE]


@APPLY
def test_repeat_stays_in_the_zone_of_a_server_that_left_the_list(apply: Apply) -> None:
    # Review case 1 for a class whose repeats are dropped in a zone: no server is of the zone "", so none was tried.
    old = members(SERVERS)
    harness, request = request_out_at_ran(ZONAL)
    apply(harness, old, tuple(m for m in old if m.server != RAN))
    (again,) = repeats(harness, request)
    assert again in ZONE_MATES


@APPLY
@pytest.mark.parametrize("restarted", [False, True])
def test_repeat_stays_in_the_cell_that_its_server_was_in_when_it_ran(apply: Apply, restarted: bool) -> None:
    # A server that returns in another cell took the group of its open requests along.
    old = members(SERVERS)
    harness, request = request_out_at_ran(ORDER)
    remaining = tuple(m for m in old if m.server != RAN)
    apply(harness, old, remaining)
    returned = Member(RAN, zone="z1", cell=5, up_since_ms=harness.now if restarted else 0.0)
    apply(harness, remaining, (*remaining, returned))
    assert repeats(harness, request) == [CELL_MATE]


@APPLY
@pytest.mark.parametrize("leaves_first", [False, True])
def test_repeat_does_not_go_to_a_server_that_has_joined_the_cell_since(
    apply: Apply, leaves_first: bool
) -> None:
    # A server that moves into the cell has not seen the keys that were sent there before.
    old = members(SERVERS)
    harness, request = request_out_at_ran(ORDER)
    remaining = tuple(m for m in old if m.server not in (RAN, CELL_MATE, "s0"))
    if leaves_first:
        apply(harness, old, remaining)
        old = remaining
    apply(harness, old, (*remaining, Member("s0", zone="z0", cell=3)))
    assert repeats(harness, request) == []


@pytest.mark.parametrize(
    "event",
    [
        Detached(RAN),
        Attached(RAN, 1_050.0),
        DiscoveryMoved(),
        LearnedState(0.0, ()),
    ],
)
def test_repeat_stays_in_the_cell_through_bans_moves_and_learned_state(event: object) -> None:
    # Paths on which the entry of a server is not replaced; they never lost the group.
    harness, request = request_out_at_ran(ORDER)
    harness.deliver(event)
    assert repeats(harness, request) == [CELL_MATE]


@APPLY
def test_window_of_a_repeat_counts_from_its_first_attempt_whatever_the_list_says(apply: Apply) -> None:
    old = members(SERVERS)
    harness, request = request_out_at_ran(ORDER)
    remaining = tuple(m for m in old if m.server != RAN)
    apply(harness, old, remaining)
    apply(harness, remaining, old)
    harness.now = 1_000.0 + ORDER.dedup_window_ms
    assert repeats(harness, request) == []
