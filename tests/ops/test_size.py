"""Lists of 1,024 servers and more, sent through what one version hands on to the next and through the rules."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from passpost.ops import heritage
from passpost.ops.handover import Link
from passpost.ops.model import Bans
from passpost.ops.rules import difference
from passpost.ops.store import Store
from tests.helpers import READ, settings
from tests.loopback import run, wait_until
from umberworks.interface import (
    LearnedState,
    ListKind,
    ListUpdate,
    Member,
    RequestArrived,
    Send,
    ServerEstimate,
)
from umberworks.rules import Balancer

SIZES = (1_024, 2_000, 4_096)


def known(count: int) -> LearnedState:
    servers = (
        ServerEstimate(f"s-{i:08x}", 1.7e12 + i / 7, i / 3, i / 7, i / 11, i / 13, 1 / (i + 3))
        for i in range(count)
    )
    return LearnedState(0.1234567890123, tuple(servers))


@pytest.mark.parametrize("count", SIZES)
def test_a_long_line_comes_whole_however_little_the_socket_takes_at_once(count: int) -> None:
    async def test() -> None:
        ours, theirs = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        heard: list[bytes] = []
        ends: list[str] = []
        sender = Link(ours, lambda: ends.append("sender"))
        Link(theirs, lambda: ends.append("receiver"), heard.append)
        sender.say(heritage.write(known(count)))
        sender.say(b"and another")
        await wait_until(lambda: len(heard) == 2)
        assert heritage.read(heard[0]) == known(count) and heard[1] == b"and another"
        sender.close()
        await wait_until(lambda: ends == ["receiver"])

    run(test())


def test_a_line_to_a_side_that_has_gone_is_no_harm() -> None:
    async def test() -> None:
        ours, theirs = socket.socketpair()
        ends: list[str] = []
        link = Link(ours, lambda: ends.append("ended"))
        theirs.close()
        link.say(heritage.write(known(2_000)))
        await wait_until(lambda: ends == ["ended"])
        link.say(b"later")
        await asyncio.sleep(0)
        assert ends == ["ended"]

    run(test())


@pytest.mark.parametrize("count", SIZES)
def test_all_servers_are_told_of_and_drawn(count: int) -> None:
    old, new = (Balancer(settings(balancers=1_024), seed) for seed in (1, 2))
    members = tuple(Member(f"s{i}") for i in range(count))
    for one in (old, new):
        one.handle(ListUpdate(ListKind.WHOLE, members), 1_000.0)
    old.handle(
        LearnedState(0.1, tuple(ServerEstimate(m.server, 0.0, 2.0, 20.0, 0.2, 0.0, 9.0) for m in members)),
        1_001.0,
    )
    learned = old.learned(1_002.0)
    assert len(learned.servers) == count
    new.handle(learned, 1_002.0)
    assert len(new.learned(1_002.0).servers) == count
    actions = new.handle(RequestArrived(1, READ.name, 3_000.0), 1_003.0)
    assert any(isinstance(a, Send) for a in actions)


@pytest.mark.parametrize("count", SIZES)
def test_so_many_bans_are_kept_and_seen_by_the_other_version(count: int, tmp_path: Path) -> None:
    path, names = tmp_path / "x.bans", {f"s-{i:08x}" for i in range(count)}
    first, second = Store(path), Store(path)
    first.change(lambda bans: Bans(frozenset(names), {f"b{i}": float(i) for i in range(count)}))
    assert second.look() and second.bans == first.bans
    out, back = difference(Bans(), second.bans)
    assert len(out) == len(back) == count
