"""Discovery over loopback sockets, and what the module is told of it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from passpost import discovery as module
from passpost.discovery import Discovery
from passpost.http1 import Address
from passpost.listing import parse_address, parse_listing
from tests.loopback import (
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    balancer,
    listing,
    member,
    run,
    wait_until,
)
from umberworks.interface import ListKind, ListUpdate, Readiness

SAVED = listing(1, member("a", "127.0.0.1:1001"), member("b", "127.0.0.1:1002"))


class Script:
    """Answers call by call; the last watch waits for good."""

    def __init__(self, *replies: bytes) -> None:
        self.replies = list(replies)

    async def __call__(self, request: ReceivedRequest, writer: Writer) -> None:
        if self.replies:
            writer.write(self.replies.pop(0))


class Heard:
    """What a discovery has told."""

    def __init__(self) -> None:
        self.kinds: list[ListKind] = []
        self.updates: list[ListUpdate] = []
        self.addresses: dict[str, Address] = {}

    def __call__(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.kinds.append(update.kind)
        self.updates.append(update)
        self.addresses = addresses


@asynccontextmanager
async def following(*replies: bytes) -> AsyncIterator[tuple[FakeServer, Discovery, Heard]]:
    server, heard = FakeServer(Script(*replies)), Heard()
    await server.start()
    discovery = Discovery(parse_address(server.host_port), parse_listing(SAVED))
    discovery.start(heard)
    discovery.subscribe()
    try:
        yield server, discovery, heard
    finally:
        discovery.stop()
        server.stop()


@asynccontextmanager
async def moved(old: FakeServer, new: FakeServer) -> AsyncIterator[Heard]:
    """A discovery whose first call at the old place is out, and which now follows the new one."""
    await new.start()
    await old.start()
    heard = Heard()
    discovery = Discovery(parse_address(old.host_port), parse_listing(SAVED))
    discovery.start(heard)
    discovery.subscribe()
    await wait_until(lambda: len(old.got) == 1)
    assert discovery.move(parse_address(new.host_port))
    discovery.subscribe()
    try:
        yield heard
    finally:
        discovery.stop()
        new.stop()
        old.stop()


def test_changes_whole_lists_and_what_has_left() -> None:
    async def test() -> None:
        replies = (
            listing(1, complete=False),
            listing(4, member("b", "127.0.0.1:2002"), member("c", "127.0.0.1:1003"), complete=False),
            listing(5, member("a", "", "left"), member("c", "127.0.0.1:1003", "leaving"), complete=False),
            listing(9, member("d", "127.0.0.1:1004")),
        )
        async with following(*map(answer_json, replies)) as (server, _, heard):
            await wait_until(lambda: len(server.got) == 5)
            assert heard.kinds == [
                ListKind.SAVED,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.WHOLE,
            ]
            assert [m.readiness for m in heard.updates[3].members] == [Readiness.GONE, Readiness.DRAINING]
            assert heard.addresses == {"d": ("127.0.0.1", 1004)}
            # Each call follows on what the last one told, on one connection, and only watches wait.
            watches = [
                f"GET /registry/instances?after={n}&wait_ms={w} HTTP/1.1"
                for n, w in ((1, 10_000), (1, 10_000), (4, 10_000), (5, 10_000), (9, 10_000))
            ]
            assert [got.line for got in server.got] == watches
            assert server.connections == 1

    run(test())


def test_an_address_may_change_under_the_same_id() -> None:
    async def test() -> None:
        moved = listing(2, member("a", "127.0.0.1:3001"), complete=False)
        async with following(answer_json(moved)) as (server, _, heard):
            await wait_until(lambda: len(server.got) == 2)
            assert heard.addresses == {"a": ("127.0.0.1", 3001), "b": ("127.0.0.1", 1002)}

    run(test())


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
        b"noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}}",
        answer_json([]),
        answer_json({"revision": 2, "complete": True}),
        answer_json(listing(2, member("a", "127.0.0.1:1"), {"id": "b"})),
        answer_json(listing(2, member("a", "nowhere"))),
        answer_json(listing(2, member("a", "127.0.0.1:1", "asleep"))),
        answer_json(listing(2, member("a", "127.0.0.1:1", size=0))),
        answer_json(listing(2, member("a", "127.0.0.1:1", up_since_ms=float("nan")))),
        answer_json(listing(0, complete=False)),
    ],
)
def test_a_bad_answer_counts_as_failed_and_leaves_the_list(reply: bytes) -> None:
    async def test() -> None:
        async with following(reply, answer_json(SAVED)) as (_, discovery, heard):
            await wait_until(lambda: len(heard.kinds) == 2)
            assert heard.kinds == [ListKind.SAVED, ListKind.FAILED]
            assert set(heard.addresses) == {"a", "b"}
            discovery.subscribe()  # when the module asks again, it works again
            await wait_until(lambda: len(heard.kinds) == 3)
            assert heard.kinds[2] is ListKind.WHOLE

    run(test())


@pytest.mark.parametrize("cut", [0, 10])
def test_a_close_delimited_answer_is_whole_by_the_close(cut: int) -> None:
    # RFC 9112, 6.3, rule 8. One that ended too early is no JSON: the list stays, and the call has failed.
    body = answer_json(listing(2, member("c", "127.0.0.1:1003"))).partition(b"\r\n\r\n")[2]

    async def to_the_end(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: len(body) - cut])
        writer.close()

    async def test() -> None:
        async with following() as (server, discovery, heard):
            server.reply = to_the_end
            await wait_until(lambda: len(heard.kinds) == 2 if cut else heard.kinds[1:2] == [ListKind.WHOLE])
            if cut:
                assert heard.kinds[1] is ListKind.FAILED and set(discovery.members) == {"a", "b"}
            else:
                assert set(discovery.members) == {"c"}

    run(test())


def test_silence_ends_in_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "AFTER_WAIT_S", 0.05)
    monkeypatch.setattr(module, "WATCH_MS", 1)

    async def test() -> None:
        async with following() as (server, _, heard):
            await wait_until(lambda: heard.kinds == [ListKind.SAVED, ListKind.FAILED])
            await wait_until(lambda: server.closed == server.connections)

    run(test())


def test_a_move_asks_the_new_address_for_the_whole_list() -> None:
    async def test() -> None:
        skipped, new = (
            FakeServer(),
            FakeServer(Script(answer_json(listing(1, member("c", "127.0.0.1:4001"))))),
        )
        await skipped.start()
        await new.start()
        async with following(answer_json(listing(7, complete=False))) as (old, discovery, heard):
            await wait_until(lambda: len(old.got) == 2)  # the watch is on
            assert discovery.move(parse_address(skipped.host_port))
            assert discovery.move(parse_address(new.host_port))
            discovery.subscribe()
            assert set(heard.addresses) == {"a", "b"}  # they serve until the new list is there
            await wait_until(lambda: len(new.got) == 2)
            assert not discovery.move(parse_address(new.host_port))  # nothing to do
            assert heard.kinds == [ListKind.SAVED, ListKind.CHANGES, ListKind.WHOLE]
            assert set(heard.addresses) == {"c"}
            assert [got.line for got in new.got] == [
                "GET /registry/instances HTTP/1.1",
                "GET /registry/instances?after=1&wait_ms=10000 HTTP/1.1",
            ]
            assert skipped.got == [] and new.connections == 1
        skipped.stop()
        new.stop()

    run(test())


def test_the_old_watch_goes_on_until_the_new_place_answers() -> None:
    # Of hundreds that move together many wait for their turn there, and what the old place writes counts as told.
    async def test() -> None:
        told = asyncio.Event()

        async def tell_late(request: ReceivedRequest, writer: Writer) -> None:
            await told.wait()
            writer.write(answer_json(listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False)))
            told.clear()

        busy, old = FakeServer(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), FakeServer(tell_late)
        async with moved(old, busy) as heard:
            await wait_until(lambda: heard.kinds == [ListKind.SAVED, ListKind.FAILED])
            told.set()
            await wait_until(lambda: heard.kinds[2:] == [ListKind.CHANGES])
            assert [m.readiness for m in heard.updates[2].members] == [Readiness.DRAINING]

    run(test())


def test_what_the_old_place_had_written_is_heard_after_the_new_one_has_answered() -> None:
    # The new place's list was made before that: a call that is dropped there leaves what it brings told and unheard.
    async def test() -> None:
        told = asyncio.Event()

        async def tell_late(request: ReceivedRequest, writer: Writer) -> None:
            await told.wait()
            news = (
                member("a", "127.0.0.1:1001", "leaving", up_since_ms=5),
                member("b", "127.0.0.1:1002", "leaving", up_since_ms=5),  # it has started again since
                member("c", "127.0.0.1:1003"),  # what is there, the new place tells
                member("d", "127.0.0.1:1004", "leaving"),
            )
            writer.write(answer_json(listing(2, *news, complete=False)))

        fresh = listing(
            7, member("a", "127.0.0.1:1001", up_since_ms=5), member("b", "127.0.0.1:1002", up_since_ms=6)
        )
        new, old = FakeServer(Script(answer_json(fresh))), FakeServer(tell_late)
        async with moved(old, new) as heard:
            await wait_until(lambda: heard.kinds == [ListKind.SAVED, ListKind.WHOLE])
            told.set()
            await wait_until(lambda: len(heard.kinds) == 3)
            assert [(m.server, m.readiness) for m in heard.updates[2].members] == [("a", Readiness.DRAINING)]
            assert set(heard.addresses) == {"a", "b"}
            await wait_until(lambda: old.closed == 1)
            assert len(old.got) == 1  # it is asked no more

    run(test())


def test_with_discovery_down_at_the_start_the_saved_list_serves() -> None:
    def ask(data: dict[str, Any]) -> None:
        data["settings"]["discovery"] = "ask"

    async def test() -> None:
        async with balancer(FakeServer(), change=ask) as b:  # nobody listens where discovery should be
            await asyncio.sleep(0)
            client = await b.connect()
            for target in ("/health/ready", "/read"):
                answer = await client.request(target)
                assert answer is not None and answer.status == 200

    run(test())


def test_a_pushed_list_is_read_again_and_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # Nobody asks for a list that is pushed: read only when asked for, it stayed as it was at the start.
    monkeypatch.setattr(module, "POLL_S", 0.01)

    async def test() -> None:
        agent = FakeServer(answer_json(listing(2, member("a", "127.0.0.1:1"))))
        await agent.start()
        known = parse_listing(listing(1))
        discovery = module.Discovery(parse_address(agent.host_port), known, pushed=True)
        told: list[ListUpdate] = []
        discovery.start(lambda update, addresses: told.append(update))
        await wait_until(lambda: any(u.members for u in told))
        agent.reply = answer_json(listing(3, member("b", "127.0.0.1:2")))
        await wait_until(lambda: [m.server for m in told[-1].members] == ["b"])
        agent.reply = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        seen = len(agent.got)
        await wait_until(lambda: len(agent.got) > seen + 2)  # it goes on asking
        agent.reply = answer_json(listing(4, member("c", "127.0.0.1:3")))
        await wait_until(lambda: [m.server for m in told[-1].members] == ["c"])
        assert all(u.kind is not ListKind.FAILED for u in told)
        discovery.stop()
        agent.stop()

    run(test())


class Turns:
    """Answers each call, in the order of coming, when the test says so; `after_ms` is not waited for."""

    def __init__(self) -> None:
        self.answers: list[asyncio.Future[bytes]] = []

    async def __call__(self, request: ReceivedRequest, writer: Writer) -> None:
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        writer.write(await answer)

    def answer(self, call: int, data: Any) -> None:
        self.answers[call].set_result(answer_json(data))


class Hasty(Discovery):
    """Its first call is overdue soon, the others never are."""

    first = True

    def _overdue(self, wait_ms: int) -> float:
        first, self.first = self.first, False
        return 0.01 if first else 3_600.0


@asynccontextmanager
async def overdue(pushed: bool = False) -> AsyncIterator[tuple[Turns, FakeServer, Heard]]:
    """A discovery whose first call was taken, and has brought nothing by the time when it was due."""
    turns, heard = Turns(), Heard()
    server = FakeServer(turns)
    await server.start()
    discovery = Hasty(parse_address(server.host_port), parse_listing(SAVED), pushed)
    discovery.start(heard)
    discovery.subscribe()
    await wait_until(lambda: len(turns.answers) == 2)
    try:
        yield turns, server, heard
    finally:
        discovery.stop()
        server.stop()


@pytest.mark.parametrize("pushed", [False, True])
def test_a_call_is_overdue_long_before_it_is_given_up(pushed: bool) -> None:
    # What a call that may wait misses counts as told 2 s after the wait, and an agent's at once: 1 s is left then.
    discovery = Discovery(("127.0.0.1", 1), parse_listing(SAVED), pushed)
    for wait_ms in (0, 1_000, 10_000):
        told = wait_ms / 1000 + 2.0 if wait_ms else 6.0
        assert (
            wait_ms / 1000 < discovery._overdue(wait_ms) <= (wait_ms / 1000 + 0.5 if pushed else told - 1.0)
        )


LEAVING = listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_watch_that_has_fallen_silent_is_followed_by_a_call_beside_it(pushed: bool) -> None:
    # Given up only when its news counted as told, it left one second for a pause, a call and the answer.
    async def test() -> None:
        async with overdue(pushed) as (turns, _, heard):
            turns.answer(1, LEAVING)
            await wait_until(lambda: len(heard.kinds) == 2)
            assert heard.kinds[1] is ListKind.CHANGES
            assert [m.readiness for m in heard.updates[1].members] == [Readiness.DRAINING]

    run(test())


def test_what_a_late_watch_brings_first_is_taken_and_it_asks_no_more() -> None:
    async def test() -> None:
        async with overdue() as (turns, server, heard):
            turns.answer(0, listing(2, member("c", "127.0.0.1:1003"), complete=False))
            await wait_until(lambda: set(heard.addresses) == {"a", "b", "c"})
            await wait_until(lambda: server.closed == 1)
            turns.answer(1, LEAVING)
            await wait_until(lambda: len(heard.kinds) == 3)
            assert heard.updates[2].members[0].readiness is Readiness.DRAINING

    run(test())


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize(("revision", "leaves"), [(2, False), (3, True)])
def test_of_a_late_watch_that_is_behind_only_newer_drains_are_heard(
    revision: int, leaves: bool, pushed: bool
) -> None:
    async def test() -> None:
        async with overdue(pushed) as (turns, server, heard):
            turns.answer(1, listing(2, member("c", "127.0.0.1:1003"), complete=False))
            await wait_until(lambda: set(heard.addresses) == {"a", "b", "c"})
            turns.answer(0, LEAVING | {"revision": revision})
            await wait_until(lambda: server.closed >= 1)
            told = [m.server for u in heard.updates[2:] for m in u.members]
            assert told == (["a"] if leaves else [])

    run(test())


def test_nothing_is_asked_beside_a_call_once_it_is_stopped() -> None:
    # The timer may be due in the very turn of the stop, before the call's task has heard of its end.
    async def test() -> None:
        async with following() as (server, discovery, _):
            await wait_until(lambda: len(server.got) == 1)
            place = discovery._place
            discovery.stop()
            discovery._ask_beside(place, 10_000)
            assert discovery._place is place

    run(test())
