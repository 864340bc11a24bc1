"""What becomes of a request whose second attempt ends while its connection to an upstream is coming up.

On the simulated clock and network. Each request is sent to one upstream, which works for `WORK_S`; a duplicate follows
to the other upstream, whose connections do not come up until the test says so.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from passpost import config
from passpost.http1 import Answer, AnswerReader
from passpost.listing import parse_listing
from passpost.node import Node
from passpost.rehearsal.loop import Process, SimLoop
from passpost.rehearsal.network import Network, SimHost
from passpost.rehearsal.stage import listen
from passpost.streams import STREAM_ABOVE_BYTES
from passpost.upstreams.attempt import OutgoingRequest
from tests.loopback import config_data, listing, member
from tests.virtual import run_simulated
from umberworks import interface
from umberworks.rules import Balancer

UPSTREAMS = ("10.0.0.8", "10.0.0.9")
BALANCER_ADDRESS = ("10.0.0.1", 7070)
CONNECT_TIMEOUT_S, SHORT_CONNECT_TIMEOUT_S = 2.0, 0.2
WINDOW_S, KEY = 0.7, "Idempotency-Key: k\r\n"
WARM_UP_REQUESTS, WARM_UP_WORK_S, WORK_S = 30, 0.05, 1.0
UPLOAD = b"x" * (STREAM_ABOVE_BYTES + 1)  # the first bytes of it are passed on before the last have come
LONG = bytes(range(251)) * 800  # about 200 KB, over the size up to which answers are passed on whole
assert len(LONG) > STREAM_ABOVE_BYTES


def with_length(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def chunked(body: bytes) -> bytes:
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk


def close_delimited(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body


FRAMINGS = (with_length, chunked, close_delimited)
ANSWERS = [(framing(body), body) for framing in FRAMINGS for body in (b"short", LONG)]
ANSWER_IDS = [f"{framing.__name__}-{size}" for framing in FRAMINGS for size in ("short", "long")]


class FailingBalancer(Balancer):
    """A decision module that raises on events of one type, instead of handling them or afterwards."""

    fails_on: type | None = None
    handles_first, fails_at_write = False, False

    def may_send(self, request_id: int, attempt: int, now: float) -> bool:
        if self.fails_at_write:
            raise RuntimeError("a fault of the module")
        return super().may_send(request_id, attempt, now)

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        fails = self.fails_on is not None and isinstance(event, self.fails_on)
        if fails and not self.handles_first:
            raise RuntimeError("a fault of the module")
        actions = super().handle(event, now)
        if fails:
            raise RuntimeError("a fault of the module")
        return actions


class Upstream(asyncio.Protocol):
    """A connection to an upstream, which answers `answer` after its work and then closes it, or resets it."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self.fleet, self.host, self.received = fleet, host, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, _, body = self.received.partition(b"\r\n\r\n")
        if body == (UPLOAD if head.startswith(b"POST /pay") else b""):
            self.fleet.received_at.append(self.host)
            asyncio.get_running_loop().call_later(self.fleet.work_s, self.respond)

    def respond(self) -> None:
        if self.fleet.resets_first and self.host == self.fleet.received_at[0]:
            self.transport.abort()
            return
        self.transport.write(self.fleet.answer)
        self.transport.close()


class Client(asyncio.Protocol):
    """A client with one request; `answer` is None while it is not whole."""

    def __init__(self, txn: str, remaining_s: float, target: str, headers: str) -> None:
        self.head = f"{target} HTTP/1.1\r\nX-Txn: {txn}\r\nX-Remaining: {remaining_s}\r\n{headers}\r\n"
        self.reader, self.done = AnswerReader(2 * len(LONG)), asyncio.Event()
        self.answer: Answer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self.head.encode())

    def data_received(self, data: bytes) -> None:
        self.answer = self.answer or self.reader.feed(data)
        if self.answer is not None:
            self.done.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.done.set()


@dataclass
class Fleet:
    """Two upstreams and a balancer before them."""

    loop: SimLoop
    network: Network
    answer: bytes
    module: type[Balancer] = Balancer
    may_cancel: bool = True
    resets_first: bool = False
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    work_s: float = WARM_UP_WORK_S
    received_at: list[str] = field(default_factory=list)  # hosts of the upstreams, by request
    late: str = ""  # the host whose connections do not come up

    async def start(self) -> None:
        """Start all, and serve some requests, so that the balancer knows how long they take."""
        processes: list[Process] = []
        for host in UPSTREAMS:
            process, _ = self.loop.spawn(host, lambda host=host: self._listen(host))  # type: ignore[misc]
            processes.append(process)
        self.members = [member(f"s{i}", f"{host}:1") for i, host in enumerate(UPSTREAMS)]
        data = config_data(self.members)
        data["listen"] = f"{BALANCER_ADDRESS[0]}:{BALANCER_ADDRESS[1]}"
        for cls in data["settings"]["classes"]:
            cls |= {"repeatWindow": WINDOW_S * 1000, "keyScope": "cell"}
        data["settings"]["limits"] |= {
            "mayDuplicate": True,
            "mayCancel": self.may_cancel,
            "connectTimeout": self.connect_timeout_s * 1000,
        }
        self.node = Node(config.read(data), SimHost(self.network), self.module)
        answer, self.answer = self.answer, with_length(b"warm")
        for i in range(WARM_UP_REQUESTS):
            client = await self.request(f"warm-up-{i}")
            await client.done.wait()
            assert client.answer is not None and client.answer.body == b"warm"
        self.answer, self.work_s = answer, WORK_S
        self.received_at.clear()

    def _listen(self, host: str) -> Any:
        return listen(SimHost(self.network), (host, 1), lambda: Upstream(self, host))

    async def request(
        self, txn: str, remaining_s: float = 9.0, target: str = "GET /read", headers: str = ""
    ) -> Client:
        """Send a request on a connection of its own."""
        _, client = await self.network.connect(
            lambda: Client(txn, remaining_s, target, headers), *BALANCER_ADDRESS
        )
        assert isinstance(client, Client)
        return client

    async def request_with_duplicate_connecting(self, remaining_s: float = 9.0, **more: str) -> Client:
        """Send a request; return once its duplicate waits for a connection to the other upstream."""
        client = await self.request("crossed", remaining_s, **more)
        while not self.received_at:
            await asyncio.sleep(0.001)
        self.late = next(host for host in UPSTREAMS if host != self.received_at[0])
        self.network.partition("world", self.late)
        while not any(self.connecting()):
            await asyncio.sleep(0.001)
        return client

    def connecting(self) -> list[bool]:
        """For each open attempt, whether its connection is coming up."""
        requests = self.node.engine._requests.values()
        return [a.connecting is not None for r in requests for a in r.attempts if a is not None]

    def let_connections_up(self) -> None:
        """End the lateness of connections."""
        self.network.heal("world", self.late)

    async def settle(self) -> None:
        """Let all that is out end; then nothing may be left of any request or connection."""
        await asyncio.sleep(15.0)
        node = self.node
        assert node.engine.is_idle() and not node.server.open_ids
        for pool in node.upstreams._pools.values():
            assert not [c for c in pool.open if c not in pool.idle]
        assert node.upstreams._open_count == sum(len(p.open) for p in node.upstreams._pools.values())
        assert not node.upstreams.long
        if not isinstance(node.engine._balancer, FailingBalancer):
            assert node.engine._balancer._load.in_flight == 0 and not node.engine._balancer._requests
        node.discovery.stop()
        node.upstreams.stop()


def play(test: Callable[[Fleet], Awaitable[None]], answer: bytes, **more: Any) -> None:
    """Run a test on a fleet whose upstreams give this answer."""

    async def main(loop: SimLoop, network: Network) -> None:
        fleet = Fleet(loop, network, answer, **more)
        async with asyncio.timeout(30):
            await fleet.start()
            await test(fleet)
            await fleet.settle()

    run_simulated(main)


EACH_ANSWER = pytest.mark.parametrize(("answer", "body"), ANSWERS, ids=ANSWER_IDS)


@EACH_ANSWER
@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("unbounded", [False, True])  # sidecars let a started answer outlive its request
def test_answer_is_whole_if_a_duplicate_was_connecting_as_it_began(
    answer: bytes, body: bytes, may_cancel: bool, unbounded: bool, caplog: pytest.LogCaptureFixture
) -> None:
    # Review case 2: a long answer was neither finished nor cut off, as the end of the duplicate cancelled it.
    async def test(fleet: Fleet) -> None:
        fleet.node.engine._unbounded_answers = unbounded
        client = await fleet.request_with_duplicate_connecting()
        await client.done.wait()
        assert client.answer is not None and client.answer.body == body
        fleet.let_connections_up()

    play(test, answer, may_cancel=may_cancel)
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]


@EACH_ANSWER
@pytest.mark.parametrize("ending", ["timeout", "drained", "removed", "list moved", "balancer drains"])
def test_answer_is_whole_if_the_duplicate_ends_before_it_begins(
    answer: bytes, body: bytes, ending: str
) -> None:
    async def test(fleet: Fleet) -> None:
        client = await fleet.request_with_duplicate_connecting()
        other = UPSTREAMS.index(fleet.late)
        match ending:
            case "timeout":
                await asyncio.sleep(1.5 * SHORT_CONNECT_TIMEOUT_S)
            case "drained":
                fleet.members[other] = fleet.members[other] | {"phase": "leaving"}
            case "removed":
                del fleet.members[other]
            case "list moved":
                fleet.members[other] = fleet.members[other] | {"host_port": "10.0.0.7:1"}
        if ending == "balancer drains":
            stopping = asyncio.ensure_future(fleet.node.stop())
            await client.done.wait()
            await stopping
        else:
            update = parse_listing(listing(2, *fleet.members))
            fleet.node.discovery._apply(update, interface.ListKind.WHOLE)
            fleet.let_connections_up()
            await client.done.wait()
        assert client.answer is not None and client.answer.body == body

    timeout_s = SHORT_CONNECT_TIMEOUT_S if ending == "timeout" else CONNECT_TIMEOUT_S
    play(test, answer, connect_timeout_s=timeout_s)


@EACH_ANSWER
def test_duplicate_answers_if_the_first_attempt_breaks_while_it_connects(answer: bytes, body: bytes) -> None:
    async def test(fleet: Fleet) -> None:
        client = await fleet.request_with_duplicate_connecting()
        while len(fleet.connecting()) > 1 and not all(fleet.connecting()):
            await asyncio.sleep(0.001)
        assert all(fleet.connecting())  # the first attempt is over
        fleet.let_connections_up()
        await client.done.wait()
        assert client.answer is not None and client.answer.body == body
        assert fleet.late in fleet.received_at

    play(test, answer, resets_first=True)


@EACH_ANSWER
def test_client_that_leaves_while_the_duplicate_connects_is_forgotten(answer: bytes, body: bytes) -> None:
    async def test(fleet: Fleet) -> None:
        client = await fleet.request_with_duplicate_connecting()
        client.transport.abort()
        await asyncio.sleep(0.01)
        fleet.let_connections_up()
        await asyncio.sleep(WORK_S)
        assert fleet.late not in fleet.received_at[1:]

    play(test, answer)


@EACH_ANSWER
@pytest.mark.parametrize("change", ["window", "restarted", "another cell"])
@pytest.mark.parametrize("resets_first", [False, True])
def test_repeat_is_not_sent_if_its_server_no_longer_drops_it_once_connected(
    answer: bytes, body: bytes, change: str, resets_first: bool
) -> None:
    # A key's window was checked when the server was chosen, and exceeded by the time that its connection took.
    async def test(fleet: Fleet) -> None:
        client = await fleet.request_with_duplicate_connecting(target="POST /order", headers=KEY)
        other = UPSTREAMS.index(fleet.late)
        match change:
            case "window":
                await asyncio.sleep(WINDOW_S)
            case "restarted":
                started_ms = fleet.node.engine.now()
                fleet.members[other] = fleet.members[other] | {"up_since_ms": started_ms}
            case "another cell":
                fleet.members[other] = fleet.members[other] | {"cell": 1}
        update = parse_listing(listing(2, *fleet.members))
        fleet.node.discovery._apply(update, interface.ListKind.WHOLE)
        fleet.let_connections_up()
        await client.done.wait()
        assert client.answer is not None
        assert client.answer.body == (b"" if resets_first else body)
        assert fleet.late not in fleet.received_at

    play(test, answer, resets_first=resets_first)


@EACH_ANSWER
def test_request_is_answered_at_its_deadline_while_the_duplicate_connects(answer: bytes, body: bytes) -> None:
    async def test(fleet: Fleet) -> None:
        client = await fleet.request_with_duplicate_connecting(remaining_s=0.7)
        await client.done.wait()
        assert client.answer is not None and client.answer.status in (502, 503, 504)
        fleet.let_connections_up()

    play(test, answer)


@EACH_ANSWER
@pytest.mark.parametrize("handles_first", [False, True])
@pytest.mark.parametrize(
    "event",
    [
        interface.RequestArrived,
        interface.TimerDue,
        interface.ResponseStarted,
        interface.AttemptEnded,
        interface.ClientDisconnected,
        interface.ListUpdate,
    ],
)
def test_request_ends_whatever_the_module_raises(
    answer: bytes, body: bytes, event: type, handles_first: bool
) -> None:
    # A fault of the module may fail a request, but must leave neither it nor its connections hanging.
    async def test(fleet: Fleet) -> None:
        module = fleet.node.engine._balancer
        assert isinstance(module, FailingBalancer)
        module.handles_first = handles_first
        if event in (interface.RequestArrived, interface.TimerDue):  # then there is no duplicate
            module.fails_on = event
            client = await fleet.request("crossed", 3.0)
        else:
            client = await fleet.request_with_duplicate_connecting(3.0)
            module.fails_on = event
        if event is interface.ClientDisconnected:
            client.transport.abort()
        if event is interface.ListUpdate:
            update = parse_listing(listing(2, *fleet.members))
            fleet.node.discovery._apply(update, interface.ListKind.WHOLE)
        async with asyncio.timeout(3.5):
            await client.done.wait()
        if client.answer is not None and client.answer.status == 200:
            assert client.answer.body == body
        if fleet.late:
            fleet.let_connections_up()

    play(test, answer, module=FailingBalancer)


def test_request_ends_if_the_module_raises_as_it_is_to_be_written() -> None:
    async def test(fleet: Fleet) -> None:
        module = fleet.node.engine._balancer
        assert isinstance(module, FailingBalancer)
        module.fails_at_write = True
        client = await fleet.request("crossed", 3.0)
        async with asyncio.timeout(0.1):
            await client.done.wait()
        assert client.answer is not None and client.answer.status == 503
        assert not fleet.received_at  # so that a refusal is true

    play(test, with_length(b"short"), module=FailingBalancer)


@pytest.mark.parametrize("handles_first", [False, True])
@pytest.mark.parametrize("event", [interface.BodyDiscarded, interface.BodyEnded])
def test_upload_ends_whatever_the_module_raises(event: type, handles_first: bool) -> None:
    async def test(fleet: Fleet) -> None:
        module = fleet.node.engine._balancer
        assert isinstance(module, FailingBalancer)
        module.handles_first, module.fails_on = handles_first, event
        length = f"Content-Length: {len(UPLOAD)}\r\n"
        client = await fleet.request("crossed", 3.0, "POST /pay", length)
        client.transport.write(UPLOAD[:-1])
        await asyncio.sleep(0.2)
        client.transport.write(UPLOAD[-1:])
        async with asyncio.timeout(3.5):
            await client.done.wait()

    play(test, with_length(b"short"), module=FailingBalancer)


def test_connection_is_given_back_if_its_attempt_ends_in_the_turn_that_made_it() -> None:
    # A task that is cancelled before its first step runs nothing of its coroutine: the connection stayed counted as
    # open, and with each such attempt fewer were left, until none could be opened.
    async def test(fleet: Fleet) -> None:
        upstreams, outcomes = fleet.node.upstreams, list[interface.Outcome]()
        for _ in range(3):
            attempt = upstreams.send("s0", OutgoingRequest(b"", b""), 5.0, lambda o, _: outcomes.append(o))
            attempt.cancel()
        await asyncio.sleep(0.1)
        assert outcomes == [interface.Outcome.CANCELLED] * 3
        assert upstreams._open_count == 0

    play(test, with_length(b"short"))
