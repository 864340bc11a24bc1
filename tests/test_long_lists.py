"""Long lists in slices: the result is the same list, invalid lists change nothing, slices are bounded in size, and
the set of servers never runs empty in between.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost import discovery as discovery_module
from passpost import long_lists
from passpost.discovery import Discovery
from passpost.http1 import Address
from passpost.listing import Listing, parse_address, parse_listing
from tests.loopback import FakeServer, answer_json, balancer, listing, member, run, wait_until
from umberworks.interface import ListKind, ListUpdate, Member, Readiness


def read(text: str) -> Listing:
    partial = long_lists.PartialListing()
    for _ in long_lists.read(text, partial):
        assert partial.listing is None
    assert partial.listing is not None
    return partial.listing


entries = st.builds(
    lambda number, phase, size, more: {
        "id": f"s{number}",
        "host_port": f"10.0.0.{number}:80",
        "phase": phase,
        "size": size,
        **more,
    },
    st.integers(0, 30),
    st.sampled_from(["active", "leaving"]),
    st.floats(0.1, 9),
    st.dictionaries(st.sampled_from(["x", "y"]), st.recursive(st.none() | st.text(), st.lists, max_leaves=4)),
)
listings = st.builds(
    lambda members, revision, complete, first: (
        {"members": members, "revision": revision, "complete": complete, "more": ["members"]}
        if first
        else {"revision": revision, "complete": complete, "members": members}
    ),
    st.lists(entries, max_size=12),
    st.integers(0, 99),
    st.booleans(),
    st.booleans(),
)


@given(listings, st.sampled_from([None, 1, "\t"]), st.integers(1, 5))
def test_list_parsed_in_slices_equals_the_whole_list(data: dict[str, Any], indent: Any, at_once: int) -> None:
    text = json.dumps(data, indent=indent)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(long_lists, "ENTRIES_PER_SLICE", at_once)
        assert read(f" {text}\n") == parse_listing(json.loads(text))


@given(listings, st.data())
def test_truncated_list_is_rejected(data: dict[str, Any], choose: st.DataObject) -> None:
    text = json.dumps(data)
    end = choose.draw(st.integers(0, len(text) - 1))
    with pytest.raises((ValueError, TypeError, LookupError)):
        read(text[:end])


@pytest.mark.parametrize(
    "text",
    [
        "[]",
        "{}",
        '{"revision": 1, "complete": true}',
        '{"revision": 1, "complete": true, "members": {}}',
        '{"revision": 1, "complete": true, "members": [], }',
        '{"revision": 1, "complete": true, "members": []} {}',
        '{"revision": 1, "complete": true, "members": [{"id": "a"}]}',
        '{"revision": 1, "complete": true, "members": [1 2]}',
        '{"revision": 1 "complete": true, "members": []}',
        '{1: 1, "members": []}',
    ],
)
def test_invalid_list_is_rejected(text: str) -> None:
    with pytest.raises((ValueError, TypeError, LookupError)):
        read(text)


members = st.dictionaries(st.integers(0, 40), st.tuples(st.integers(0, 2), st.booleans()), max_size=40)


def listing_of(servers: dict[int, tuple[int, bool]]) -> Listing:
    named = tuple(
        Member(f"s{i}", Readiness.DRAINING if draining else Readiness.READY)
        for i, (_, draining) in servers.items()
    )
    return Listing(1, True, named, {f"s{i}": ("10.0.0.1", port) for i, (port, _) in servers.items()})


@given(members, members, st.integers(1, 7))
def test_slices_add_up_to_the_whole_list_and_add_before_they_remove(
    before: dict[int, tuple[int, bool]], after: dict[int, tuple[int, bool]], at_once: int
) -> None:
    old, new = listing_of(before), listing_of(after)
    members_so_far = {m.server: m for m in old.members}
    addresses: dict[str, Address] = dict(old.addresses)
    removal_seen = False
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(long_lists, "MEMBERS_PER_UPDATE", at_once)
        slices = list(long_lists.changes(dict(members_so_far), dict(addresses), new))
    assert slices
    for part, slice_addresses in slices:
        assert len(part) <= at_once
        for changed in part:
            if changed.readiness is Readiness.GONE:
                removal_seen = True
                del members_so_far[changed.server], addresses[changed.server]
            else:
                assert not removal_seen
                members_so_far[changed.server] = changed
                addresses[changed.server] = slice_addresses[changed.server]
    assert members_so_far == {m.server: m for m in new.members}
    assert addresses == new.addresses
    assert sum(len(part) for part, _ in slices) <= len(before) + len(after)
    if old == new:
        assert not any(part for part, _ in slices)


class UpdateRecorder:
    def __init__(self) -> None:
        self.whole: list[ListUpdate] = []
        self.parts: list[tuple[ListUpdate, dict[str, Address]]] = []

    def on_update(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.whole.append(update)

    def on_slice(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.parts.append((update, addresses))


def long_listing(count: int, revision: int, start: int = 0, **more: Any) -> dict[str, Any]:
    return listing(
        revision, *(member(f"s{i}", f"10.0.0.1:{1 + i}", **more) for i in range(start, start + count))
    )


def test_list_of_10_000_is_applied_in_slices_and_an_invalid_one_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "AGENT_POLL_S", 0.001)

    async def test() -> None:
        agent, recorder = FakeServer(answer_json(long_listing(10_000, 2))), UpdateRecorder()
        await agent.start()
        discovery = Discovery(parse_address(agent.host_port), parse_listing(listing(1)), pushed=True)
        discovery.start(recorder.on_update, recorder.on_slice)
        await wait_until(lambda: len(discovery.members) == 10_000)
        assert max(len(u.members) for u, _ in recorder.parts) <= long_lists.MEMBERS_PER_UPDATE
        assert {u.kind for u, _ in recorder.parts} == {ListKind.CHANGES}
        invalid = long_listing(10_000, 3, start=5_000)
        invalid["members"][-1]["phase"] = "nonsense"
        agent.reply = answer_json(invalid)
        calls_before, reported_before = len(agent.got), len([u for u, _ in recorder.parts if u.members])
        await wait_until(lambda: len(agent.got) > calls_before + 2)
        assert (
            len([u for u, _ in recorder.parts if u.members]) == reported_before and "s0" in discovery.members
        )
        agent.reply = answer_json(long_listing(10_000, 4, start=5_000))
        await wait_until(lambda: "s0" not in discovery.members and len(discovery.members) == 10_000)
        sizes, count = [], 10_000
        for update, _ in recorder.parts[reported_before:]:
            count += sum(1 if m.readiness is not Readiness.GONE else -1 for m in update.members)
            sizes.append(count)
        assert min(sizes) >= 10_000 and sizes[-1] == 10_000
        discovery.stop()
        agent.stop()

    run(test())


def test_unchanged_long_list_is_reported() -> None:
    # The module subscribes less and less often until it is reported_before that the list is available again.
    async def test() -> None:
        agent, recorder = FakeServer(answer_json(listing(2, complete=False))), UpdateRecorder()
        await agent.start()
        discovery = Discovery(parse_address(agent.host_port), parse_listing(long_listing(150, 2)))
        discovery.start(recorder.on_update, recorder.on_slice)
        discovery.subscribe()
        await wait_until(lambda: bool(recorder.parts))
        assert recorder.parts[0] == (ListUpdate(ListKind.CHANGES, ()), {})
        assert len(discovery.members) == 150
        discovery.stop()
        agent.stop()

    run(test())


def test_requests_are_served_while_a_long_list_keeps_changing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "AGENT_POLL_S", 0.001)

    async def test() -> None:
        upstream = FakeServer()
        await upstream.start()

        def alternating_list(turn: int) -> bytes:
            own = member("own", upstream.host_port)
            first = 3_000 * (turn % 2)
            others = [member(f"s{i}", f"127.0.0.1:{1 + i}", "leaving") for i in range(first, first + 3_000)]
            return answer_json(listing(turn + 2, own, *others))

        agent = FakeServer(alternating_list(0))
        await agent.start()
        async with balancer(discovery=agent.host_port) as b:
            await wait_until(lambda: len(b.node.discovery.members) == 3_001)
            client = await b.connect()
            for turn in range(1, 4):
                agent.reply = alternating_list(turn)
                first = f"s{3_000 * (turn % 2)}"
                while first not in b.node.discovery.members:
                    answer = await client.fetch()
                    assert answer is not None and answer.status == 200
                await wait_until(lambda: len(b.node.discovery.members) == 3_001)
            assert set(b.node.upstreams._pools) == set(b.node.discovery.members)
        agent.stop()
        upstream.stop()

    run(test())
