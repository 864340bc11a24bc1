"""The pools of connections to all upstreams: which one an attempt goes out on, and when one gives way."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from passpost.host import HOST, Host
from passpost.http1 import MAX_STREAM_BYTES, Address, Answer
from passpost.streams import STREAM_ABOVE_BYTES
from passpost.upstreams.attempt import Attempt, Done, Outgoing
from passpost.upstreams.connection import Connection, Pool
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the upstream's idle time after which we close: a request must not cross its close
SWEEP_S = 1.0
REST_S = 0.005  # an upstream that closes behind an answer, or sends more than it, does so within this


def platform_outcome(answer: Answer) -> Outcome:
    """What an answer means, by the protocol's table."""
    if answer.status == 200:
        return Outcome.SERVED
    if answer.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


class Upstreams:
    """All upstreams by name, and the connections to them, of which there are `max_open` at most."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_open: int,
        host: Host = HOST,
        outcome: Callable[[Answer], Outcome] = platform_outcome,
        max_body: int = MAX_STREAM_BYTES,
        kept: int = STREAM_ABOVE_BYTES,
        too_long: Answer | None = None,
    ) -> None:
        """Answers of up to `kept` bytes are passed on whole, those beyond as they come, up to `max_body`.

        `too_long`: what callers get for one beyond that; without it the attempt is broken, and another may be made."""
        self.host, self.outcome, self.max_body, self.kept = host, outcome, max_body, kept
        self.too_long = too_long
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_timeout * IDLE_SHARE
        self._max_open = max_open
        self._pools: dict[str, Pool] = {}
        self.long: dict[Connection, None] = {}  # those with a long body on its way
        self._open = 0
        self._said_full = False
        self._sweeper: asyncio.TimerHandle | None = None

    def serves(self, answer: Answer) -> bool:
        """Whether an answer with this head serves its request."""
        return self.outcome(answer) is Outcome.SERVED

    def start(self) -> None:
        """Begin to close idle connections in time."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.route({})

    def route(self, addresses: dict[str, Address]) -> None:
        """Take over a list; upstreams that left it or moved lose their idle connections."""
        self.reroute([*self._pools, *(n for n in addresses if n not in self._pools)], addresses)

    def reroute(self, names: Iterable[str], addresses: dict[str, Address]) -> None:
        """Take over the changes of some; those that have no address any more have left."""
        for name in names:
            pool, address = self._pools.get(name), addresses.get(name)
            if pool is not None and address != pool.address:
                del self._pools[name]  # attempts that are out go on
                for connection in list(pool.idle):
                    connection.drop()
            if address is not None and name not in self._pools:
                self._pools[name] = Pool(name, address)

    def let_go(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        if (pool := self._pools.get(server)) is not None:
            for connection in list(pool.idle):
                connection.drop()

    def limit(self, max_open: int) -> None:
        """Hold so many connections at most from now on; those idle for longest go first."""
        self._max_open = max_open
        while self._open > max_open and self._has_room():
            pass

    def send(
        self,
        server: str,
        request: Outgoing,
        timeout: float,
        done: Done,
        may_go: Callable[[], bool] = lambda: True,
    ) -> Attempt:
        """Make one attempt; `done` is told its outcome once, later or at once.

        `may_go` says whether it may still go out, now and once there is a connection; else it ends as not sent.
        """
        attempt = Attempt(request, timeout, done, self.host, may_go)
        pool = self._pools.get(server)
        if pool is None or not may_go():
            attempt.end(Outcome.NOT_SENT)
            return attempt
        if (connection := self._idle(pool)) is not None:
            self._carry(connection, attempt)
        elif self._has_room():
            connection = Connection(pool, self)
            pool.open[connection] = None
            self._open += 1
            attempt.connecting = asyncio.get_running_loop().create_task(
                self._connect(connection, pool, attempt)
            )
        else:
            if not self._said_full:  # one line a second at most: a shortage must not flood the log
                self._said_full = True
                log.warning("no descriptor left for a connection to %s", server)
            attempt.end(Outcome.UNREACHED)
        return attempt

    def _idle(self, pool: Pool) -> Connection | None:
        """The idle connection to use: the latest that has rested.

        Never one that has not: a second answer may be on its way there, and be taken for the next request's.
        """
        limit = self.host.monotonic() - REST_S
        for connection in [c for c in reversed(pool.idle) if c.idle_since <= limit]:
            if not connection.is_spent():
                pool.idle.remove(connection)
                return connection
            connection.drop()
        return None

    def rest(self, connection: Connection, pool: Pool) -> None:
        """Keep a connection for the next attempt, unless its upstream has left or moved."""
        if self._pools.get(pool.name) is not pool:
            connection.drop()
            return
        connection.idle_since = self.host.monotonic()
        if connection.held:
            connection.hold(False)
        self.long.pop(connection, None)
        pool.idle.append(connection)

    def forget(self, connection: Connection, pool: Pool) -> None:
        """A connection is over."""
        self.long.pop(connection, None)
        if connection in pool.open:
            del pool.open[connection]
            self._open -= 1
            if connection in pool.idle:
                pool.idle.remove(connection)

    async def _connect(self, connection: Connection, pool: Pool, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *pool.address)
        except asyncio.CancelledError:  # the attempt has ended
            connection.drop()
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("connecting to %s", pool.name)
            connection.drop()
            attempt.connecting = None
            attempt.end(Outcome.UNREACHED)
        else:
            attempt.connecting = None
            is_there = self._pools.get(pool.name) is pool  # else it has left or moved
            if not attempt.is_over() and is_there and attempt.may_go():
                self._carry(connection, attempt)
                return
            connection.drop()
            attempt.end(Outcome.NOT_SENT)

    def _carry(self, connection: Connection, attempt: Attempt) -> None:
        try:
            connection.carry(attempt)
        except Exception:  # the attempt still owes its outcome, and some of it may have gone out
            log.exception("could not write a request")
            attempt.end(Outcome.BROKEN)
            connection.drop()

    def _has_room(self) -> bool:
        """Whether another connection may be opened; the one idle for longest gives way."""
        if self._open < self._max_open:
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
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        self._said_full = False
        now = self.host.monotonic()
        for connection in list(self.long):
            connection.sweep(now)
        limit = now - self._idle_limit
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since < limit:
                pool.idle[0].drop()
