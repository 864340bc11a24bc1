"""The client of discovery over loopback sockets, and the updates that it reports."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from passpost import discovery as discovery_module
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


class ScriptedReplies:
    """Answers successive calls with these replies; later calls get no answer."""

    def __init__(self, *replies: bytes) -> None:
        self.replies = list(replies)

    async def __call__(self, request: ReceivedRequest, writer: Writer) -> None:
        if self.replies:
            writer.write(self.replies.pop(0))


class UpdateRecorder:
    """Records the updates that a discovery reports."""

    def __init__(self) -> None:
        self.kinds: list[ListKind] = []
        self.updates: list[ListUpdate] = []
        self.addresses: dict[str, Address] = {}

    def __call__(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.kinds.append(update.kind)
        self.updates.append(update)
        self.addresses = addresses


@asynccontextmanager
async def following_discovery(*replies: bytes) -> AsyncIterator[tuple[FakeServer, Discovery, UpdateRecorder]]:
    server, recorder = FakeServer(ScriptedReplies(*replies)), UpdateRecorder()
    await server.start()
    discovery = Discovery(parse_address(server.host_port), parse_listing(SAVED))
    discovery.start(recorder)
    discovery.subscribe()
    try:
        yield server, discovery, recorder
    finally:
        discovery.stop()
        server.stop()


@asynccontextmanager
async def moved_discovery(old: FakeServer, new: FakeServer) -> AsyncIterator[UpdateRecorder]:
    """A discovery that was moved to the new address while its first call at the old one is pending."""
    await new.start()
    await old.start()
    recorder = UpdateRecorder()
    discovery = Discovery(parse_address(old.host_port), parse_listing(SAVED))
    discovery.start(recorder)
    discovery.subscribe()
    await wait_until(lambda: len(old.got) == 1)
    assert discovery.move(parse_address(new.host_port))
    discovery.subscribe()
    try:
        yield recorder
    finally:
        discovery.stop()
        new.stop()
        old.stop()


def test_changes_whole_lists_and_departures_are_applied() -> None:
    async def test() -> None:
        replies = (
            listing(1, complete=False),
            listing(4, member("b", "127.0.0.1:2002"), member("c", "127.0.0.1:1003"), complete=False),
            listing(5, member("a", "", "left"), member("c", "127.0.0.1:1003", "leaving"), complete=False),
            listing(9, member("d", "127.0.0.1:1004")),
        )
        async with following_discovery(*map(answer_json, replies)) as (server, _, recorder):
            await wait_until(lambda: len(server.got) == 5)
            assert recorder.kinds == [
                ListKind.SAVED,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.WHOLE,
            ]
            assert [m.readiness for m in recorder.updates[3].members] == [Readiness.GONE, Readiness.DRAINING]
            assert recorder.addresses == {"d": ("127.0.0.1", 1004)}
            # Each call asks for the changes after the last revision, and all use one connection.
            watches = [
                f"GET /registry/instances?after={n}&wait_ms={w} HTTP/1.1"
                for n, w in ((1, 10_000), (1, 10_000), (4, 10_000), (5, 10_000), (9, 10_000))
            ]
            assert [got.line for got in server.got] == watches
            assert server.connections == 1

    run(test())


def test_address_may_change_under_the_same_id() -> None:
    async def test() -> None:
        moved = listing(2, member("a", "127.0.0.1:3001"), complete=False)
        async with following_discovery(answer_json(moved)) as (server, _, recorder):
            await wait_until(lambda: len(server.got) == 2)
            assert recorder.addresses == {"a": ("127.0.0.1", 3001), "b": ("127.0.0.1", 1002)}

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
def test_bad_answer_is_a_failed_call_and_keeps_the_list(reply: bytes) -> None:
    async def test() -> None:
        async with following_discovery(reply, answer_json(SAVED)) as (_, discovery, recorder):
            await wait_until(lambda: len(recorder.kinds) == 2)
            assert recorder.kinds == [ListKind.SAVED, ListKind.FAILED]
            assert set(recorder.addresses) == {"a", "b"}
            discovery.subscribe()  # a new subscription works
            await wait_until(lambda: len(recorder.kinds) == 3)
            assert recorder.kinds[2] is ListKind.WHOLE

    run(test())


@pytest.mark.parametrize("cut", [0, 10])
def test_close_delimited_answer_is_complete_on_close(cut: int) -> None:
    # RFC 9112, section 6.3, rule 8. A truncated body is not valid JSON: the list is kept and the call fails.
    body = answer_json(listing(2, member("c", "127.0.0.1:1003"))).partition(b"\r\n\r\n")[2]

    async def reply_and_close(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: len(body) - cut])
        writer.close()

    async def test() -> None:
        async with following_discovery() as (server, discovery, recorder):
            server.reply = reply_and_close
            await wait_until(
                lambda: len(recorder.kinds) == 2 if cut else recorder.kinds[1:2] == [ListKind.WHOLE]
            )
            if cut:
                assert recorder.kinds[1] is ListKind.FAILED and set(discovery.members) == {"a", "b"}
            else:
                assert set(discovery.members) == {"c"}

    run(test())


def test_unanswered_call_times_out_as_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "AFTER_WAIT_S", 0.05)
    monkeypatch.setattr(discovery_module, "WATCH_MS", 1)

    async def test() -> None:
        async with following_discovery() as (server, _, recorder):
            await wait_until(lambda: recorder.kinds == [ListKind.SAVED, ListKind.FAILED])
            await wait_until(lambda: server.closed == server.connections)

    run(test())


def test_move_requests_the_whole_list_from_the_new_address() -> None:
    async def test() -> None:
        never_called, new = (
            FakeServer(),
            FakeServer(ScriptedReplies(answer_json(listing(1, member("c", "127.0.0.1:4001"))))),
        )
        await never_called.start()
        await new.start()
        async with following_discovery(answer_json(listing(7, complete=False))) as (old, discovery, recorder):
            await wait_until(lambda: len(old.got) == 2)  # the watch is pending
            assert discovery.move(parse_address(never_called.host_port))
            assert discovery.move(parse_address(new.host_port))
            discovery.subscribe()
            assert set(recorder.addresses) == {"a", "b"}  # the old list is used until the new one arrives
            await wait_until(lambda: len(new.got) == 2)
            assert not discovery.move(parse_address(new.host_port))  # the address has not changed
            assert recorder.kinds == [ListKind.SAVED, ListKind.CHANGES, ListKind.WHOLE]
            assert set(recorder.addresses) == {"c"}
            assert [got.line for got in new.got] == [
                "GET /registry/instances HTTP/1.1",
                "GET /registry/instances?after=1&wait_ms=10000 HTTP/1.1",
            ]
            assert never_called.got == [] and new.connections == 1
        never_called.stop()
        new.stop()

    run(test())


def test_old_watch_continues_until_the_new_address_answers() -> None:
    # When hundreds of balancers move at once, many wait for an answer of the new address; meanwhile what the old one
    # sends counts as announced.
    async def test() -> None:
        may_reply = asyncio.Event()

        async def reply_late(request: ReceivedRequest, writer: Writer) -> None:
            await may_reply.wait()
            writer.write(answer_json(listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False)))
            may_reply.clear()

        refusing, old = FakeServer(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), FakeServer(reply_late)
        async with moved_discovery(old, refusing) as recorder:
            await wait_until(lambda: recorder.kinds == [ListKind.SAVED, ListKind.FAILED])
            may_reply.set()
            await wait_until(lambda: recorder.kinds[2:] == [ListKind.CHANGES])
            assert [m.readiness for m in recorder.updates[2].members] == [Readiness.DRAINING]

    run(test())


def test_late_answer_of_the_old_address_still_announces_departures() -> None:
    # The new address's list was made before that. Aborting the pending call would lose changes that count as announced.
    async def test() -> None:
        may_reply = asyncio.Event()

        async def reply_late(request: ReceivedRequest, writer: Writer) -> None:
            await may_reply.wait()
            news = (
                member("a", "127.0.0.1:1001", "leaving", up_since_ms=5),
                member("b", "127.0.0.1:1002", "leaving", up_since_ms=5),  # it has restarted since
                member("c", "127.0.0.1:1003"),  # ignored: the new address knows which servers exist
                member("d", "127.0.0.1:1004", "leaving"),
            )
            writer.write(answer_json(listing(2, *news, complete=False)))

        current_list = listing(
            7, member("a", "127.0.0.1:1001", up_since_ms=5), member("b", "127.0.0.1:1002", up_since_ms=6)
        )
        new, old = FakeServer(ScriptedReplies(answer_json(current_list))), FakeServer(reply_late)
        async with moved_discovery(old, new) as recorder:
            await wait_until(lambda: recorder.kinds == [ListKind.SAVED, ListKind.WHOLE])
            may_reply.set()
            await wait_until(lambda: len(recorder.kinds) == 3)
            assert [(m.server, m.readiness) for m in recorder.updates[2].members] == [
                ("a", Readiness.DRAINING)
            ]
            assert set(recorder.addresses) == {"a", "b"}
            await wait_until(lambda: old.closed == 1)
            assert len(old.got) == 1  # no further calls are made there

    run(test())


def test_saved_list_is_used_if_discovery_is_down_at_start() -> None:
    def ask_mode(data: dict[str, Any]) -> None:
        data["settings"]["discovery"] = "ask"

    async def test() -> None:
        async with balancer(FakeServer(), change=ask_mode) as b:  # discovery's address has no listener
            await asyncio.sleep(0)
            client = await b.connect()
            for target in ("/health/ready", "/read"):
                answer = await client.fetch(target)
                assert answer is not None and answer.status == 200

    run(test())


def test_pushed_list_is_polled_continuously(monkeypatch: pytest.MonkeyPatch) -> None:
    # The module doesn't subscribe to a pushed list: without polling it stayed as it was at the start.
    monkeypatch.setattr(discovery_module, "AGENT_POLL_S", 0.01)

    async def test() -> None:
        agent = FakeServer(answer_json(listing(2, member("a", "127.0.0.1:1"))))
        await agent.start()
        known = parse_listing(listing(1))
        discovery = discovery_module.Discovery(parse_address(agent.host_port), known, pushed=True)
        updates: list[ListUpdate] = []
        discovery.start(lambda update, addresses: updates.append(update))
        await wait_until(lambda: any(u.members for u in updates))
        agent.reply = answer_json(listing(3, member("b", "127.0.0.1:2")))
        await wait_until(lambda: [m.server for m in updates[-1].members] == ["b"])
        agent.reply = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        seen = len(agent.got)
        await wait_until(lambda: len(agent.got) > seen + 2)  # polling goes on
        agent.reply = answer_json(listing(4, member("c", "127.0.0.1:3")))
        await wait_until(lambda: [m.server for m in updates[-1].members] == ["c"])
        assert all(u.kind is not ListKind.FAILED for u in updates)
        discovery.stop()
        agent.stop()

    run(test())


class ManualReplies:
    """Answers each call, numbered in order of arrival, when the test calls `answer`; waits of watches are ignored."""

    def __init__(self) -> None:
        self.answers: list[asyncio.Future[bytes]] = []

    async def __call__(self, request: ReceivedRequest, writer: Writer) -> None:
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        writer.write(await answer)

    def answer(self, call: int, data: Any) -> None:
        self.answers[call].set_result(answer_json(data))


class SoonOverdueDiscovery(Discovery):
    """A discovery whose first call is overdue soon, and later ones never."""

    first = True

    def _overdue_after_s(self, wait_ms: int) -> float:
        first, self.first = self.first, False
        return 0.01 if first else 3_600.0


@asynccontextmanager
async def overdue_discovery(
    pushed: bool = False,
) -> AsyncIterator[tuple[ManualReplies, FakeServer, UpdateRecorder]]:
    """A discovery whose first call is overdue without an answer, and whose parallel call is pending."""
    replies, recorder = ManualReplies(), UpdateRecorder()
    server = FakeServer(replies)
    await server.start()
    discovery = SoonOverdueDiscovery(parse_address(server.host_port), parse_listing(SAVED), pushed)
    discovery.start(recorder)
    discovery.subscribe()
    await wait_until(lambda: len(replies.answers) == 2)
    try:
        yield replies, server, recorder
    finally:
        discovery.stop()
        server.stop()


@pytest.mark.parametrize("pushed", [False, True])
def test_call_is_overdue_well_before_its_changes_count_as_announced(pushed: bool) -> None:
    # Changes that a watch misses count as announced 2 s after its wait, and an agent's at once; at least 1 s must be
    # left to receive them by another call.
    discovery = Discovery(("127.0.0.1", 1), parse_listing(SAVED), pushed)
    for wait_ms in (0, 1_000, 10_000):
        announced_s = wait_ms / 1000 + 2.0 if wait_ms else 6.0
        assert (
            wait_ms / 1000
            < discovery._overdue_after_s(wait_ms)
            <= (wait_ms / 1000 + 0.5 if pushed else announced_s - 1.0)
        )


LEAVING = listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False)


@pytest.mark.parametrize("pushed", [False, True])
def test_silent_watch_gets_a_parallel_call(pushed: bool) -> None:
    # A watch that was given up only when its changes counted as announced left 1 s for a pause, a call and the answer.
    async def test() -> None:
        async with overdue_discovery(pushed) as (replies, _, recorder):
            replies.answer(1, LEAVING)
            await wait_until(lambda: len(recorder.kinds) == 2)
            assert recorder.kinds[1] is ListKind.CHANGES
            assert [m.readiness for m in recorder.updates[1].members] == [Readiness.DRAINING]

    run(test())


def test_late_watch_that_answers_first_is_applied_and_makes_no_further_call() -> None:
    async def test() -> None:
        async with overdue_discovery() as (replies, server, recorder):
            replies.answer(0, listing(2, member("c", "127.0.0.1:1003"), complete=False))
            await wait_until(lambda: set(recorder.addresses) == {"a", "b", "c"})
            await wait_until(lambda: server.closed == 1)
            replies.answer(1, LEAVING)
            await wait_until(lambda: len(recorder.kinds) == 3)
            assert recorder.updates[2].members[0].readiness is Readiness.DRAINING

    run(test())


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize(("revision", "leaves"), [(2, False), (3, True)])
def test_superseded_late_watch_reports_only_newer_drains(revision: int, leaves: bool, pushed: bool) -> None:
    async def test() -> None:
        async with overdue_discovery(pushed) as (replies, server, recorder):
            replies.answer(1, listing(2, member("c", "127.0.0.1:1003"), complete=False))
            await wait_until(lambda: set(recorder.addresses) == {"a", "b", "c"})
            replies.answer(0, LEAVING | {"revision": revision})
            await wait_until(lambda: server.closed >= 1)
            reported = [m.server for u in recorder.updates[2:] for m in u.members]
            assert reported == (["a"] if leaves else [])

    run(test())


def test_no_parallel_call_is_made_after_a_stop() -> None:
    # The timer may fire in the same turn of the event loop as the stop, before the call's task is cancelled.
    async def test() -> None:
        async with following_discovery() as (server, discovery, _):
            await wait_until(lambda: len(server.got) == 1)
            subscription = discovery._current
            discovery.stop()
            discovery._start_parallel_call(subscription, 10_000)
            assert discovery._current is subscription

    run(test())
