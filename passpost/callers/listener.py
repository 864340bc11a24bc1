"""The listening socket for clients: accepts, limits, evicts and drains their connections."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Coroutine
from functools import partial
from typing import Any

from passpost.callers.connection import Connection
from passpost.engine import Engine
from passpost.host import HOST, Host
from passpost.http1 import MAX_STREAM_BYTES, Address, Headers
from passpost.streams import STREAM_ABOVE_BYTES
from passpost.validation import Check
from passpost.validation import check as platform_check
from umberworks.memory_budget import MemoryBudget
from umberworks.spent_ids import SpentIds

log = logging.getLogger(__name__)

BACKLOG = 1024
SMALL_READ_BUFFER_BYTES = 16 * 1024  # the most that is read at once of what may have to wait here
KEEP_ALIVE_SHARE = 0.5  # above this share of the limit each answer closes its connection
SWEEP_INTERVAL_S = 0.25  # interval for checking the timeouts of connections, and so their accuracy
# New connections keep arriving for up to 0.4 s after SIGTERM, and some are in transit.
ACCEPT_AFTER_STOP_S = 0.8
# New connections arrive for at least this long; after it clients only have those they hold.
NEW_CONNECTIONS_AFTER_STOP_S = 0.2
# Last part of a drain; until it begins connections are kept, as clients may have no other balancer.
CLOSING_PHASE_S = 1.2
DRAIN_POLL_S = 0.02
# Connections are kept this long after an order to empty, as clients may have no other balancer.
LAME_DUCK_KEEP_S = 1.5
# Later requests are answered by this time: 4 s after the order no connection may be open.
LAME_DUCK_ANSWER_S = 3.7
LAME_DUCK_POLL_S = 0.1
LATE_REQUEST_S = 0.2  # allowance for requests on connections that were accepted at the very end


class Server:
    """The listening socket and the connections accepted from it, at most `max_open`."""

    def __init__(
        self,
        engine: Engine,
        address: Address,
        max_open: int,
        host: Host = HOST,
        check: Check | None = None,
        max_body: int = MAX_STREAM_BYTES,
        name: bytes = b"",
        max_buffered_body: int = STREAM_ABOVE_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Without `check` clients follow the platform's protocol; `name` is the Server header of health answers.

        Bodies of up to `max_buffered_body` bytes are buffered whole; longer ones are streamed, up to `max_body`.
        """
        self.engine = engine
        self.check: Check = check or partial(platform_check, classes=engine.classes)
        self.max_body, self.max_buffered_body = max_body, max_buffered_body
        self.budget = budget or MemoryBudget()
        self.read_buffer = memoryview(bytearray(self.budget.buffer_bytes))
        self.small_read_buffer = self.read_buffer[:SMALL_READ_BUFFER_BYTES]
        self.health_headers: Headers = [(b"Server", name)] if name else []
        self.host, self.monotonic = host, host.monotonic
        self.draining, self.closing = False, False  # no longer ready; each answer closes its connection
        self._deadline, self._new_connections_until = math.inf, math.inf
        self._max_open, self._accepts_per_turn = max_open, host.accepts_per_turn
        # In order of arrival: the order of a set would vary between runs.
        self.connections: dict[Connection, None] = {}
        self.open_ids: dict[bytes, Connection] = {}
        self.spent_ids = SpentIds()
        self._accepting = False
        self.listener = self._socket = host.listen(address, BACKLOG)
        self._lame_duck_task: asyncio.Task[None] | None = None
        self._stop_task: asyncio.Task[None] | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def port(self) -> int:
        """The port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    def is_ready(self) -> bool:
        """Whether clients should send requests to this balancer."""
        return self.engine.has_upstreams and not self.draining

    def is_stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self._stop_task is not None

    def is_crowded(self) -> bool:
        """Whether idle connections have to make room for clients that have a request.

        Not in a drain: no other clients arrive then, and a client without a connection may have no other balancer.
        """
        return not self.draining and len(self.connections) > KEEP_ALIVE_SHARE * self._max_open

    def start(self) -> None:
        """Start to accept connections."""
        self._start_accepting()
        self._sweep()

    def forget(self, connection: Connection) -> None:
        """Remove a connection that has closed; another may be accepted in its place."""
        self.connections.pop(connection, None)
        if self._socket.fileno() >= 0 and len(self.connections) < self._max_open:
            self._start_accepting()

    def close(self) -> None:
        """Close the listening socket before any connection has been accepted."""
        self._socket.close()

    async def drain(self, within_s: float, closing_phase_s: float = CLOSING_PHASE_S) -> None:
        """Shut down without losing a request: all are answered within `within_s` seconds.

        At first only readiness ends and clients keep their connections. In the last `closing_phase_s` seconds of
        that time each answer closes its connection. Connections in the accept queue count as accepted, so the queue
        is emptied up to the end.
        """
        await self._stop_once(self._drain(within_s, closing_phase_s))

    async def hand_over(self, within_s: float, closing_phase_s: float = CLOSING_PHASE_S) -> None:
        """Shut down as `drain` does while another process accepts from the same listening socket.

        New connections go to that process at once, so each answer here may close its connection. Idle connections
        stay until the last `closing_phase_s` seconds: their clients are about to drop them, and a close could cross
        a request.
        """
        await self._stop_once(self._hand_over(within_s, closing_phase_s))

    async def _stop_once(self, stop: Coroutine[Any, Any, None]) -> None:
        """Run this shutdown, or wait for the one in progress: the time to the kill counts from the first SIGTERM."""
        if self._stop_task is None:
            self._stop_task = asyncio.get_running_loop().create_task(stop)
        else:
            stop.close()
        await asyncio.shield(self._stop_task)

    async def _drain(self, within_s: float, closing_phase_s: float) -> None:
        self.end_lame_duck()
        self.draining, self._deadline = True, self.monotonic() + within_s
        self._new_connections_until = self.monotonic() + NEW_CONNECTIONS_AFTER_STOP_S
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, within_s - LATE_REQUEST_S))
        while self.connections and self.time_left() > closing_phase_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.closing = True
        # All connections may be busy, and each one that ends lets another in. Or descriptors may be used up for good.
        while not self._accept() and self.time_left() > LATE_REQUEST_S:
            await asyncio.sleep(DRAIN_POLL_S)
        self._stop_accepting()
        self._socket.close()
        await asyncio.sleep(LATE_REQUEST_S)
        await self._finish_requests()

    async def _hand_over(self, within_s: float, closing_phase_s: float) -> None:
        self.end_lame_duck()
        self._deadline, self.closing = self.monotonic() + within_s, True
        self._stop_accepting()
        self._socket.close()
        while self.connections and self.time_left() > closing_phase_s:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._finish_requests()

    async def _finish_requests(self) -> None:
        """Close idle connections, wait for open requests until the time is up, and abort the rest.

        Streams, and bodies that are still arriving, may never end: they are cut off when the time is up. A request that
        was received whole is waited for beyond that, bounded by its own deadline, and so is one that is still unread.
        """
        while self.connections and (self.time_left() > 0 or self._owes_answers()):
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(DRAIN_POLL_S)
        # Those with part of a request, or an answer that is not read.
        for connection in list(self.connections):
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _owes_answers(self) -> bool:
        """Whether an answer is due; unread bytes count for a limited time, as they may never become a request."""
        within_allowance = self.time_left() > -LATE_REQUEST_S
        return any(c.owes_answer() or (within_allowance and c.has_unread()) for c in self.connections)

    def start_lame_duck(self) -> None:
        """Send clients elsewhere while the process keeps running: not ready at once, and soon no connection is kept.

        Does nothing in a shutdown, which does the same, and whose end must not move.
        """
        if self._lame_duck_task is None and not self.is_stopping():
            now = self.monotonic()
            self.draining, self._new_connections_until = True, now + NEW_CONNECTIONS_AFTER_STOP_S
            self._deadline = now + LAME_DUCK_ANSWER_S
            self._lame_duck_task = asyncio.get_running_loop().create_task(self._run_lame_duck())

    async def _run_lame_duck(self) -> None:
        await asyncio.sleep(LAME_DUCK_KEEP_S)
        self.closing = True
        while True:
            if self.time_left() <= 0:
                self._deadline = math.inf  # requests that arrive all the same have their full time
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(LAME_DUCK_POLL_S)

    def end_lame_duck(self) -> None:
        """Accept clients again after `start_lame_duck`."""
        if self._lame_duck_task is not None:
            self._lame_duck_task.cancel()
            self._lame_duck_task = None
            self.draining, self.closing = False, False
            self._deadline, self._new_connections_until = math.inf, math.inf

    def set_max_open(self, max_open: int) -> None:
        """Change the limit of open connections; those above it are evicted as new ones arrive."""
        self._max_open = max_open

    def free_connections(self) -> float:
        """How many more requests clients can send at once; infinite while they can open connections."""
        if self.closing or self.monotonic() < self._new_connections_until:
            return math.inf
        return sum(connection.is_free() for connection in self.connections)

    def time_left(self) -> float:
        """Seconds left for open requests: after a drain the process may be killed."""
        return self._deadline - self.monotonic()

    def _start_accepting(self) -> None:
        if not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _stop_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> bool:
        """Accept waiting connections; true if the queue is empty.

        At the limit the connection of the lowest priority is evicted, one per call, as its descriptor is free only
        after that. In a drain more are evicted, as time is short. If all are busy, the queue waits.
        """
        for _ in range(Host.accepts_per_turn if self.draining else self._accepts_per_turn):
            full = len(self.connections) >= self._max_open
            evicted = self._find_evictable() if full else None
            if full and evicted is None:
                self._stop_accepting()
                return False
            try:
                client, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # no descriptor is left, or the client has gone already
                log.warning("accept: %s", error)
                self._stop_accepting()  # the next sweep tries again
                return False
            if evicted is not None:
                self.connections.pop(evicted, None)
                evicted.evict()
            client.setblocking(False)
            connection = Connection(self)
            self.connections[connection] = None
            task = asyncio.get_running_loop().create_task(self._adopt(client, connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if evicted is not None and not self.draining:
                return False
        return False

    async def _adopt(self, client: Any, connection: Connection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, client)
        except OSError as error:
            log.warning("accepted connection was lost: %s", error)
            client.close()
            self.forget(connection)

    def _find_evictable(self) -> Connection | None:
        """The connection to evict: the lowest priority, then the oldest; none with unread bytes."""
        ranked = [
            (keep_priority, c.state_since, c)
            for c in self.connections
            if (keep_priority := c.keep_priority()) is not None
        ]
        ranked.sort(key=lambda entry: entry[:2])
        return next((c for _, _, c in ranked if not c.has_unread()), None)

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        if self._socket.fileno() >= 0:
            # Also after the limit was reached or descriptors ran out: a connection may be evicted by now.
            self._start_accepting()
