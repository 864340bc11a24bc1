"""Long lists in slices: the same list in the end, none half read, no slice too long, no fleet emptied on the way."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost import discovery as module
from passpost import lists
from passpost.discovery import Discovery
from passpost.http1 import Address
from passpost.listing import Listing, parse_address, parse_listing
from tests.loopback import FakeServer, answer_json, balancer, listing, member, run, wait_until
from umberworks.interface import ListKind, ListUpdate, Member, Readiness


def read(text: str) -> Listing:
    reading = lists.Reading()
    for _ in lists.read(text, reading):
        assert reading.listing is None
    assert reading.listing is not None
    return reading.listing


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
def test_a_list_read_in_slices_is_the_list(data: dict[str, Any], indent: Any, at_once: int) -> None:
    text = json.dumps(data, indent=indent)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(lists, "READ_AT_ONCE", at_once)
        assert read(f" {text}\n") == parse_listing(json.loads(text))


@given(listings, st.data())
def test_a_list_with_a_part_missing_is_none(data: dict[str, Any], choose: st.DataObject) -> None:
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
def test_what_is_no_list_is_refused(text: str) -> None:
    with pytest.raises((ValueError, TypeError, LookupError)):
        read(text)


members = st.dictionaries(st.integers(0, 40), st.tuples(st.integers(0, 2), st.booleans()), max_size=40)


def listed(which: dict[int, tuple[int, bool]]) -> Listing:
    named = tuple(
        Member(f"s{i}", Readiness.DRAINING if draining else Readiness.READY)
        for i, (_, draining) in which.items()
    )
    return Listing(1, True, named, {f"s{i}": ("10.0.0.1", port) for i, (port, _) in which.items()})


@given(members, members, st.integers(1, 7))
def test_the_slices_come_to_the_whole_list_and_new_ones_come_before_others_go(
    before: dict[int, tuple[int, bool]], after: dict[int, tuple[int, bool]], at_once: int
) -> None:
    old, new = listed(before), listed(after)
    have = {m.server: m for m in old.members}
    addresses: dict[str, Address] = dict(old.addresses)
    gone = False
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(lists, "TELL_AT_ONCE", at_once)
        slices = list(lists.changes(dict(have), dict(addresses), new))
    assert slices
    for part, theirs in slices:
        assert len(part) <= at_once
        for one in part:
            if one.readiness is Readiness.GONE:
                gone = True
                del have[one.server], addresses[one.server]
            else:
                assert not gone
                have[one.server] = one
                addresses[one.server] = theirs[one.server]
    assert have == {m.server: m for m in new.members}
    assert addresses == new.addresses
    assert sum(len(part) for part, _ in slices) <= len(before) + len(after)
    if old == new:
        assert not any(part for part, _ in slices)


class Heard:
    def __init__(self) -> None:
        self.whole: list[ListUpdate] = []
        self.parts: list[tuple[ListUpdate, dict[str, Address]]] = []

    def tell(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.whole.append(update)

    def part(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.parts.append((update, addresses))


def many(count: int, revision: int, start: int = 0, **more: Any) -> dict[str, Any]:
    return listing(
        revision, *(member(f"s{i}", f"10.0.0.1:{1 + i}", **more) for i in range(start, start + count))
    )


def test_a_list_of_ten_thousand_comes_in_slices_and_a_broken_one_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "POLL_S", 0.001)

    async def test() -> None:
        agent, heard = FakeServer(answer_json(many(10_000, 2))), Heard()
        await agent.start()
        discovery = Discovery(parse_address(agent.host_port), parse_listing(listing(1)), pushed=True)
        discovery.start(heard.tell, heard.part)
        await wait_until(lambda: len(discovery.members) == 10_000)
        assert max(len(u.members) for u, _ in heard.parts) <= lists.TELL_AT_ONCE
        assert {u.kind for u, _ in heard.parts} == {ListKind.CHANGES}
        broken = many(10_000, 3, start=5_000)
        broken["members"][-1]["phase"] = "nonsense"
        agent.reply = answer_json(broken)
        seen, told = len(agent.got), len([u for u, _ in heard.parts if u.members])
        await wait_until(lambda: len(agent.got) > seen + 2)
        assert len([u for u, _ in heard.parts if u.members]) == told and "s0" in discovery.members
        agent.reply = answer_json(many(10_000, 4, start=5_000))
        await wait_until(lambda: "s0" not in discovery.members and len(discovery.members) == 10_000)
        sizes, count = [], 10_000
        for update, _ in heard.parts[told:]:
            count += sum(1 if m.readiness is not Readiness.GONE else -1 for m in update.members)
            sizes.append(count)
        assert min(sizes) >= 10_000 and sizes[-1] == 10_000
        discovery.stop()
        agent.stop()

    run(test())


def test_a_long_list_that_is_back_unchanged_is_news_too() -> None:
    # The module asks ever more seldom until it hears that the list is back.
    async def test() -> None:
        agent, heard = FakeServer(answer_json(listing(2, complete=False))), Heard()
        await agent.start()
        discovery = Discovery(parse_address(agent.host_port), parse_listing(many(150, 2)))
        discovery.start(heard.tell, heard.part)
        discovery.subscribe()
        await wait_until(lambda: bool(heard.parts))
        assert heard.parts[0] == (ListUpdate(ListKind.CHANGES, ()), {})
        assert len(discovery.members) == 150
        discovery.stop()
        agent.stop()

    run(test())


def test_requests_are_served_while_a_long_list_changes_over_and_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "POLL_S", 0.001)

    async def test() -> None:
        upstream = FakeServer()
        await upstream.start()

        def flapping(turn: int) -> bytes:
            own = member("own", upstream.host_port)
            first = 3_000 * (turn % 2)
            others = [member(f"s{i}", f"127.0.0.1:{1 + i}", "leaving") for i in range(first, first + 3_000)]
            return answer_json(listing(turn + 2, own, *others))

        agent = FakeServer(flapping(0))
        await agent.start()
        async with balancer(discovery=agent.host_port) as b:
            await wait_until(lambda: len(b.node.discovery.members) == 3_001)
            client = await b.connect()
            for turn in range(1, 4):
                agent.reply = flapping(turn)
                first = f"s{3_000 * (turn % 2)}"
                while first not in b.node.discovery.members:
                    answer = await client.request()
                    assert answer is not None and answer.status == 200
                await wait_until(lambda: len(b.node.discovery.members) == 3_001)
            assert set(b.node.upstreams._pools) == set(b.node.discovery.members)
        agent.stop()
        upstream.stop()

    run(test())
