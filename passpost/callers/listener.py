"""The callers' listening socket: which connections are kept, who makes room, and how callers are let go."""

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

log = logging.getLogger(__name__)

BACKLOG = 1024
KEEP_SHARE = 0.5  # callers are many past this share of the limit; then each answer closes its connection
SWEEP_S = 0.25  # these bounds are kept to within this
ACCEPT_AFTER_STOP_S = 0.8  # connections go on coming for up to 0.4 s after SIGTERM, and some are on their way
DEALT_AFTER_STOP_S = 0.2  # new connections come for so long at the least; later callers have what they hold
LAST_CALL_S = 1.2  # the end of a drain: until then callers are kept, as they may have nowhere else to go
DRAIN_STEP_S = 0.02
EMPTY_AFTER_S = 1.5  # callers are kept so long after the call to empty us: they may have nowhere else to go
EMPTY_BY_S = 3.7  # what comes later than that is answered by then: 4 s after the call nothing may be held
IDLE_LOOK_S = 0.1
LAST_LOOK_S = 0.2  # for the requests on connections taken at the very end


class Server:
    """The listening socket and the connections that came in by it, `max_open` at most."""

    def __init__(
        self,
        engine: Engine,
        address: Address,
        max_open: int,
        host: Host = HOST,
        check: Check | None = None,
        max_body: int = MAX_STREAM_BYTES,
        name: bytes = b"",
        kept: int = STREAM_ABOVE_BYTES,
    ) -> None:
        """Without `check` callers are the platform's; with a `name` answers on health say who gives them.

        Bodies of up to `kept` bytes are read whole, those beyond are passed on as they come, up to `max_body`.
        """
        self.engine = engine
        self.check: Check = check or partial(platform_check, classes=engine.classes)
        self.max_body, self.kept = max_body, kept
        self.says_who: Headers = [(b"Server", name)] if name else []
        self.host, self.monotonic = host, host.monotonic
        self.draining, self.closing = False, False  # not ready any more; each answer closes its connection
        self._ends, self._dealt_until = math.inf, math.inf
        self._max_open, self._at_once = max_open, host.accepts_per_turn
        self.connections: dict[Connection, None] = {}  # in order of coming: a set's would be chance
        self.open_ids: dict[bytes, Connection] = {}
        self._accepting = False
        self.listener = self._socket = host.listen(address, BACKLOG)
        self._emptier: asyncio.Task[None] | None = None
        self._stopping: asyncio.Task[None] | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._socket.getsockname()[1])

    def is_ready(self) -> bool:
        """Whether clients should come here."""
        return self.engine.has_upstreams and not self.draining

    def is_stopping(self) -> bool:
        """Whether the process is about to end."""
        return self._stopping is not None

    def is_crowded(self) -> bool:
        """Whether connections run short: kept ones must not keep callers with a request from coming in.

        In a drain nobody else comes in, and who has no connection left has nowhere to go.
        """
        return not self.draining and len(self.connections) > KEEP_SHARE * self._max_open

    def start(self) -> None:
        """Begin to accept."""
        self._resume()
        self._sweep()

    def forget(self, connection: Connection) -> None:
        """A connection is over; another may come in for it."""
        self.connections.pop(connection, None)
        if self._socket.fileno() >= 0 and len(self.connections) < self._max_open:
            self._resume()

    def close(self) -> None:
        """Listen no more, before anything was accepted."""
        self._socket.close()

    async def drain(self, within: float, last_call: float = LAST_CALL_S) -> None:
        """Stop without losing a request, with all answered `within` so many seconds, the last call included.

        At first only readiness ends: a caller keeps its connection until the last call, and then each answer
        closes one. What lies in the listening socket's queue counts as taken, so it is emptied up to the end.
        """
        await self._stop_once(self._drain(within, last_call))

    async def hand_over(self, within: float, last_call: float = LAST_CALL_S) -> None:
        """Stop as `drain`, with another process that accepts from the same listening socket.

        New connections are its own from now on, so that this one's may end with their next answer. Those that
        lie idle stay until the last call: their callers are about to drop them, and a close could cross a request.
        """
        await self._stop_once(self._hand_over(within, last_call))

    async def _stop_once(self, stop: Coroutine[Any, Any, None]) -> None:
        """Stop this way, or wait for the stop that has begun: the kill counts from the first SIGTERM."""
        if self._stopping is None:
            self._stopping = asyncio.get_running_loop().create_task(stop)
        else:
            stop.close()
        await asyncio.shield(self._stopping)

    async def _drain(self, within: float, last_call: float) -> None:
        self.refill()
        self.draining, self._ends = True, self.monotonic() + within
        self._dealt_until = self.monotonic() + DEALT_AFTER_STOP_S
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, within - LAST_LOOK_S))
        while self.connections and self.time_left() > last_call:
            await asyncio.sleep(DRAIN_STEP_S)
        self.closing = True
        # All connections may be busy: each one that ends lets one in. Or there may be no descriptor, for good.
        while not self._accept() and self.time_left() > LAST_LOOK_S:
            await asyncio.sleep(DRAIN_STEP_S)
        self._pause()
        self._socket.close()
        await asyncio.sleep(LAST_LOOK_S)
        await self._finish()

    async def _hand_over(self, within: float, last_call: float) -> None:
        self.refill()
        self._ends, self.closing = self.monotonic() + within, True
        self._pause()
        self._socket.close()
        while self.connections and self.time_left() > last_call:
            await asyncio.sleep(DRAIN_STEP_S)
        await self._finish()

    async def _finish(self) -> None:
        """Close what is idle, wait for what is open until it is over or the time is up, and drop the rest.

        A stream may never be over, nor a body that is still coming: they end with the time. A whole request never
        does before its answer, which its own time bounds, nor one that nobody has read yet.
        """
        while self.connections and (self.time_left() > 0 or self._is_owing()):
            for connection in list(self.connections):
                connection.close_if_unused()
            await asyncio.sleep(DRAIN_STEP_S)
        for connection in list(self.connections):  # half a request, or an answer that nobody reads
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _is_owing(self) -> bool:
        """Whether a caller is owed an answer; of bytes unread that is so for a while only, as they may never end."""
        looks = self.time_left() > -LAST_LOOK_S
        return any(c.is_owed() or (looks and c.has_unread()) for c in self.connections)

    def empty(self) -> None:
        """Let callers go elsewhere, and go on running: not ready at once, and soon no connection is kept.

        A drain does that already, and its end must not move.
        """
        if self._emptier is None and not self.is_stopping():
            now = self.monotonic()
            self.draining, self._dealt_until = True, now + DEALT_AFTER_STOP_S
            self._ends = now + EMPTY_BY_S
            self._emptier = asyncio.get_running_loop().create_task(self._empty())

    async def _empty(self) -> None:
        await asyncio.sleep(EMPTY_AFTER_S)
        self.closing = True
        while True:
            if self.time_left() <= 0:
                self._ends = math.inf  # whoever comes all the same has the whole time
            for connection in list(self.connections):
                connection.close_if_unused()
            await asyncio.sleep(IDLE_LOOK_S)

    def refill(self) -> None:
        """Callers may come again."""
        if self._emptier is not None:
            self._emptier.cancel()
            self._emptier = None
            self.draining, self.closing = False, False
            self._ends, self._dealt_until = math.inf, math.inf

    def limit(self, max_open: int) -> None:
        """Hold so many connections at most from now on; those over it go as others come."""
        self._max_open = max_open

    def free_connections(self) -> float:
        """How many more requests callers can send at once; no bound while they can open connections."""
        if self.closing or self.monotonic() < self._dealt_until:
            return math.inf
        return sum(connection.is_free() for connection in self.connections)

    def time_left(self) -> float:
        """How long a request may stay open, in seconds: after a drain the process may be killed."""
        return self._ends - self.monotonic()

    def _resume(self) -> None:
        if not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> bool:
        """Take what waits, and say whether that was all.

        At the limit the connection that is worth least makes room, one a turn, as its descriptor is free only after
        that (in a drain more, as time is short); if all are busy, the queue waits.
        """
        for _ in range(Host.accepts_per_turn if self.draining else self._at_once):
            full = len(self.connections) >= self._max_open
            spare = self._spare() if full else None
            if full and spare is None:
                self._pause()
                return False
            try:
                client, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # no descriptor left, or the caller has gone already
                log.warning("accept: %s", error)
                self._pause()  # the sweep tries again
                return False
            if spare is not None:
                self.connections.pop(spare, None)
                spare.give_way()
            client.setblocking(False)
            connection = Connection(self)
            self.connections[connection] = None
            task = asyncio.get_running_loop().create_task(self._adopt(client, connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if spare is not None and not self.draining:
                return False
        return False

    async def _adopt(self, client: Any, connection: Connection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, client)
        except OSError as error:
            log.warning("a connection that was accepted is gone: %s", error)
            client.close()
            self.forget(connection)

    def _spare(self) -> Connection | None:
        """The connection that is worth least, and of those the oldest; none on which something lies unread."""
        ranked = [(worth, c.since, c) for c in self.connections if (worth := c.worth()) is not None]
        ranked.sort(key=lambda entry: entry[:2])
        return next((c for _, _, c in ranked if not c.has_unread()), None)

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        now = self.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        if self._socket.fileno() >= 0:
            self._resume()  # at the limit too: since it was reached, or no descriptor was left, one may make room
