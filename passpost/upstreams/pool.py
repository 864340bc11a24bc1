"""The connection pools of all upstreams: choose, open, reuse and close connections for attempts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import partial

from passpost.host import HOST, Host
from passpost.http1 import MAX_STREAM_BYTES, Address, Answer
from passpost.streams import STREAM_ABOVE_BYTES
from passpost.upstreams.attempt import Attempt, DoneCallback, OutgoingRequest
from passpost.upstreams.connection import LARGE_READ_BYTES, Connection, Pool
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

# Idle connections are closed after this share of the upstream's idle timeout, so that no request crosses its close.
IDLE_TIMEOUT_SHARE = 0.5
SWEEP_INTERVAL_S = 1.0
# An upstream that closes after an answer, or sends more than the answer, does so within this.
REUSE_DELAY_S = 0.005


def platform_outcome(answer: Answer) -> Outcome:
    """The outcome that an answer means, by the platform's protocol."""
    if answer.status == 200:
        return Outcome.SERVED
    if answer.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


def _drop_if_cancelled(connection: Connection, connecting: asyncio.Task[None]) -> None:
    """Drop a connection whose attempt ended while it was being made.

    Not done by the task itself: one that is cancelled before its first step runs nothing of its coroutine.
    """
    if connecting.cancelled():
        connection.drop()


class Upstreams:
    """All upstreams by name, and the connections to them, at most `max_open`."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_open: int,
        host: Host = HOST,
        outcome: Callable[[Answer], Outcome] = platform_outcome,
        max_body: int = MAX_STREAM_BYTES,
        max_buffered_body: int = STREAM_ABOVE_BYTES,
        too_long: Answer | None = None,
        buffer_bytes: int = LARGE_READ_BYTES,
    ) -> None:
        """Answers of up to `max_buffered_body` bytes are passed on whole; longer ones are streamed, up to `max_body`.

        `too_long` is what clients get for one beyond that. Without it the attempt is broken, and another may be made.
        Answers above `buffer_bytes` are streamed too, and no more is read at once.
        """
        self.host, self.outcome, self.max_body, self.max_buffered_body = (
            host,
            outcome,
            max_body,
            max_buffered_body,
        )
        self.too_long = too_long
        self.stream_above = min(max_buffered_body, buffer_bytes)
        self.read_buffer = memoryview(bytearray(min(buffer_bytes, LARGE_READ_BYTES)))
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout * IDLE_TIMEOUT_SHARE
        self._max_open = max_open
        self._pools: dict[str, Pool] = {}
        self.long: dict[Connection, None] = {}  # connections that carry a long body
        self._open_count = 0
        self._logged_full = False
        self._sweeper: asyncio.TimerHandle | None = None

    def serves(self, answer: Answer) -> bool:
        """Whether an answer with this head serves its request."""
        return self.outcome(answer) is Outcome.SERVED

    def start(self) -> None:
        """Start the periodic closing of idle connections."""
        self._sweep()

    def stop(self) -> None:
        """Close all idle connections and forget all upstreams."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.set_addresses({})

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Replace all addresses; upstreams that left or moved lose their idle connections."""
        self.update_addresses([*self._pools, *(n for n in addresses if n not in self._pools)], addresses)

    def update_addresses(self, names: Iterable[str], addresses: dict[str, Address]) -> None:
        """Apply changes for these upstreams; one without an address has left."""
        for name in names:
            pool, address = self._pools.get(name), addresses.get(name)
            if pool is not None and address != pool.address:
                del self._pools[name]  # attempts in progress go on
                for connection in list(pool.idle):
                    connection.drop()
            if address is not None and name not in self._pools:
                self._pools[name] = Pool(name, address)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        if (pool := self._pools.get(server)) is not None:
            for connection in list(pool.idle):
                connection.drop()

    def set_max_open(self, max_open: int) -> None:
        """Change the limit of open connections; the connections idle for longest are closed first."""
        self._max_open = max_open
        while self._open_count > max_open and self._make_room():
            pass

    def send(
        self,
        server: str,
        request: OutgoingRequest,
        timeout: float,
        done: DoneCallback,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Attempt:
        """Make one attempt; `done` is called once with its outcome, later or before this returns.

        `may_send` says whether the attempt may still be sent. It is asked now, and again once there is a connection;
        if it is false, the attempt ends as not sent.
        """
        attempt = Attempt(request, timeout, done, self.host, may_send)
        pool = self._pools.get(server)
        if pool is None or not may_send():
            attempt.end(Outcome.NOT_SENT)
            return attempt
        if (connection := self._take_idle(pool)) is not None:
            self._send_on(connection, attempt)
        elif self._make_room():
            connection = Connection(pool, self)
            pool.open[connection] = None
            self._open_count += 1
            connecting = asyncio.get_running_loop().create_task(self._connect(connection, pool, attempt))
            connecting.add_done_callback(partial(_drop_if_cancelled, connection))
            attempt.connecting = connecting
        else:
            if not self._logged_full:  # at most one line a second, so that a shortage does not flood the log
                self._logged_full = True
                log.warning("no descriptor left for a connection to %s", server)
            attempt.end(Outcome.UNREACHED)
        return attempt

    def _take_idle(self, pool: Pool) -> Connection | None:
        """The idle connection to reuse: the last used of those idle for at least REUSE_DELAY_S.

        A younger one is never reused: a second answer may be on its way, and would be taken for the next request's.
        """
        limit = self.host.monotonic() - REUSE_DELAY_S
        for connection in [c for c in reversed(pool.idle) if c.idle_since <= limit]:
            if not connection.is_unusable():
                pool.idle.remove(connection)
                return connection
            connection.drop()
        return None

    def keep_idle(self, connection: Connection, pool: Pool) -> None:
        """Keep a connection for the next attempt, unless its upstream has left or moved."""
        if self._pools.get(pool.name) is not pool:
            connection.drop()
            return
        connection.idle_since = self.host.monotonic()
        if connection.paused:
            connection.hold(False)
        self.long.pop(connection, None)
        pool.idle.append(connection)

    def forget(self, connection: Connection, pool: Pool) -> None:
        """Remove a connection that has closed."""
        self.long.pop(connection, None)
        if connection in pool.open:
            del pool.open[connection]
            self._open_count -= 1
            if connection in pool.idle:
                pool.idle.remove(connection)

    async def _connect(self, connection: Connection, pool: Pool, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *pool.address)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("could not connect to upstream %s", pool.name)
            connection.drop()
            attempt.connecting = None
            attempt.end(Outcome.UNREACHED)
        else:
            attempt.connecting = None
            is_there = self._pools.get(pool.name) is pool  # false if the upstream has left or moved
            if not attempt.is_over() and is_there and attempt.may_send():
                self._send_on(connection, attempt)
                return
            connection.drop()
            attempt.end(Outcome.NOT_SENT)

    def _send_on(self, connection: Connection, attempt: Attempt) -> None:
        try:
            connection.send_request(attempt)
        except Exception:  # the attempt must report an outcome, and part of the request may have been sent
            log.exception("could not write a request")
            attempt.end(Outcome.BROKEN)
            connection.drop()

    def _make_room(self) -> bool:
        """Whether another connection may be opened; closes the one idle for longest if that is needed."""
        if self._open_count < self._max_open:
            return True
        oldest = min(
            (pool.idle[0] for pool in self._pools.values() if pool.idle),
            key=lambda c: c.idle_since,
            default=None,
        )
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        self._logged_full = False
        now = self.host.monotonic()
        for connection in list(self.long):
            connection.sweep(now)
        limit = now - self._idle_timeout
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since < limit:
                pool.idle[0].drop()
