"""The handover, the file of detached upstreams and the balancer with lists of 1,024 servers and more."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from passpost.ops import learned_state
from passpost.ops.handover import PeerLink
from passpost.ops.model import DetachState
from passpost.ops.rules import diff
from passpost.ops.store import DetachStore
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

SERVER_COUNTS = (1_024, 2_000, 4_096)


def learned_of(count: int) -> LearnedState:
    servers = (
        ServerEstimate(f"s-{i:08x}", 1.7e12 + i / 7, i / 3, i / 7, i / 11, i / 13, 1 / (i + 3))
        for i in range(count)
    )
    return LearnedState(0.1234567890123, tuple(servers))


@pytest.mark.parametrize("count", SERVER_COUNTS)
def test_a_long_line_arrives_complete_over_a_socket_with_a_small_buffer(count: int) -> None:
    async def test() -> None:
        near_end, far_end = socket.socketpair()
        near_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        received: list[bytes] = []
        closed: list[str] = []
        sender = PeerLink(near_end, lambda: closed.append("sender"))
        PeerLink(far_end, lambda: closed.append("receiver"), received.append)
        sender.send_line(learned_state.serialize(learned_of(count)))
        sender.send_line(b"and another")
        await wait_until(lambda: len(received) == 2)
        assert learned_state.deserialize(received[0]) == learned_of(count) and received[1] == b"and another"
        sender.close()
        await wait_until(lambda: closed == ["receiver"])

    run(test())


def test_a_line_sent_to_a_closed_link_is_dropped() -> None:
    async def test() -> None:
        near_end, far_end = socket.socketpair()
        closed: list[str] = []
        link = PeerLink(near_end, lambda: closed.append("ended"))
        far_end.close()
        link.send_line(learned_state.serialize(learned_of(2_000)))
        await wait_until(lambda: closed == ["ended"])
        link.send_line(b"later")
        await asyncio.sleep(0)
        assert closed == ["ended"]

    run(test())


@pytest.mark.parametrize("count", SERVER_COUNTS)
def test_what_was_learned_of_all_servers_is_passed_on_and_requests_are_sent(count: int) -> None:
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


@pytest.mark.parametrize("count", SERVER_COUNTS)
def test_a_large_state_is_stored_and_read_by_the_other_version(count: int, tmp_path: Path) -> None:
    path, names = tmp_path / "x.bans", {f"s-{i:08x}" for i in range(count)}
    first, second = DetachStore(path), DetachStore(path)
    first.change(lambda state: DetachState(frozenset(names), {f"b{i}": float(i) for i in range(count)}))
    assert second.refresh() and second.state == first.state
    detached, attached = diff(DetachState(), second.state)
    assert len(detached) == len(attached) == count
