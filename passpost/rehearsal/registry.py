"""The list of nodes as a service: asked and watched, or pushed to an agent beside each balancer."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from passpost.host import Address
from passpost.rehearsal.http import Request, RequestConnection
from passpost.rehearsal.model import Discovery
from passpost.rehearsal.stage import Stage, listen
from passpost.rehearsal.watch import InvariantChecker

LINE_TIMEOUT_S = 2.0  # a call that would wait longer for its turn is turned down
# What an agent learns in the moment before it goes silent, nobody that reads it now and then can know: it counts
# as told once the agent has had it so long, and could be asked. Five times as long as the balancer's own pause.
AGENT_S = 0.25
AGAIN_S = 0.25  # a balancer that is cut off counts as told once it is no longer: looked at this often
GOES_ON_S = 0.2  # a watch goes on while the next such call comes within this of the last answer
FAILED_TIMES = 4  # as long may pass after a call that failed
OLD_CLOSES_S = 1.5  # after a move the old address closes its open connections this late


@dataclass(slots=True)
class Entry:
    """One node as it is listed; `started` in seconds of the night, -inf for long ago."""

    node: str
    tier: str
    phase: str
    cell: int
    up_since_ms: float
    started: float
    revision: int = 0


class _Connection(RequestConnection):
    def __init__(self, registry: Registry, balancer: str) -> None:
        super().__init__(registry.stage)
        self.registry, self.balancer = registry, balancer
        registry.connections[self] = None
        self.watch_timer: asyncio.TimerHandle | None = None
        self.after = 0
        self.watched_at = -math.inf  # when a watch was last answered here

    def request_came(self, request: Request) -> None:
        self.registry.call(self, request)

    def gone(self) -> None:
        self.registry.connections.pop(self, None)
        if self in self.registry.watchers:
            del self.registry.watchers[self]
            self.registry.unwatched(self.balancer)
        if self.watch_timer is not None:
            self.watch_timer.cancel()


class Registry:
    """The list. `address_of(node, balancer)` says where a balancer finds a node."""

    def __init__(
        self,
        stage: Stage,
        watch: InvariantChecker,
        settings: Discovery,
        ask_within_s: float,
        seed: int,
        address_of: Callable[[str, str], Address],
        tier_of: Callable[[str], str],
    ) -> None:
        self.stage, self._watch, self._settings, self._ask_within = stage, watch, settings, ask_within_s
        self._address_of, self._tier_of = address_of, tier_of
        self._random = random.Random(f"list {seed}")
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.down = 0
        self._up_since = 0.0
        self._next_turn = 0.0
        self.connections: dict[_Connection, None] = {}
        self.watchers: dict[_Connection, None] = {}
        self._closers: dict[str, Callable[[], None]] = {}
        self._running: dict[str, float] = {}  # balancers that run, each with when it started
        # Of each, from when on it neither watches nor asks, and how often as long that may be.
        self._unasked: dict[str, tuple[float, int]] = {}
        self.reachable: Callable[[str, float], bool] = lambda balancer, since: True

    # ---- what happens to nodes

    def add(self, entry: Entry) -> None:
        """A node that stands in the list from the start."""
        entry.revision = self.revision
        self.entries[entry.node] = entry

    def change(self, entry: Entry) -> None:
        """Something has happened to a node; it is noticed a little later."""
        low, high = self._settings.notice_s
        delay = self._random.uniform(low, high)
        loop = asyncio.get_running_loop()
        self.stage.run_as("discovery", lambda: loop.call_later(delay, self._noticed, entry))

    def _noticed(self, entry: Entry) -> None:
        known = self.entries.get(entry.node)
        if known is not None and known.started > entry.started:
            return  # older news than what is listed
        if known is not None and known.started == entry.started and known.phase == "left":
            return  # it was noticed to be gone before it was noticed to leave
        self.revision += 1
        entry.revision = self.revision
        self.entries[entry.node] = entry
        loop = asyncio.get_running_loop()
        if entry.phase != "active":
            for balancer, life in self._running.items():
                if self._tier_of(balancer) == entry.tier:
                    loop.call_later(self._ask_within, self._counts_as_told, entry, balancer, life)
        for connection in self.connections:
            if connection.watched_at >= self.stage.now() - GOES_ON_S and connection not in self.watchers:
                self._tell(connection.balancer, entry)  # what changes between two calls of a watch
        if self._settings.mode == "push" and not self.down:
            loop.call_later(AGENT_S, self._sent, entry, self._up_since)
        for connection in list(self.watchers):
            self._answer_watch(connection)

    def _sent(self, entry: Entry, up_since: float) -> None:
        """Pushed to every balancer's agent: what the agent has counts as told, asked for or not."""
        if self.down or up_since != self._up_since:
            return  # it went silent meanwhile; once it is back all is sent again
        for balancer in self._running:
            if self._tier_of(balancer) == entry.tier:
                self._tell(balancer, entry)

    def _counts_as_told(self, entry: Entry, balancer: str, life: float) -> None:
        """Who has neither watched nor asked for so long counts as told, if it could have asked.

        One that has asked since it was noticed has been told, or its call has failed.
        """
        if self._running.get(balancer) != life or self.entries.get(entry.node) is not entry:
            return
        if any(c.balancer == balancer for c in self.watchers):
            return
        now, (unasked, times) = self.stage.now(), self._unasked.get(balancer, (life, 1))
        due = unasked + times * self._ask_within
        if self.down or self._up_since > now - self._ask_within or not self.reachable(balancer, due):
            due = max(due, now + AGAIN_S)
        if due > now + 1e-6:
            loop = asyncio.get_running_loop()
            loop.call_later(due - now, self._counts_as_told, entry, balancer, life)
        else:
            self._watch.list_notified(now, balancer, entry.node, False, entry.started)

    def unwatched(self, balancer: str, failed: bool = False) -> None:
        """A balancer neither watches nor asks from now on; `failed`: its call has."""
        self._unasked[balancer] = (self.stage.now(), FAILED_TIMES if failed else 1)

    # ---- who asks

    def serve(self, balancer: str, address: Address = ("127.0.0.1", 0)) -> Address:
        """An address of the list for one balancer; a second call moves it."""
        got, close = listen(self.stage.host, address, lambda: _Connection(self, balancer))
        if (old := self._closers.pop(balancer, None)) is not None:
            old()
            for connection in [c for c in self.connections if c.balancer == balancer]:
                asyncio.get_running_loop().call_later(OLD_CLOSES_S, self._cut, connection)
        self._closers[balancer] = close
        return got

    def _cut(self, connection: _Connection) -> None:
        """Ends a connection itself: a call that is out there has failed."""
        if connection.transport is not None:
            connection.abort()
            self.unwatched(connection.balancer, failed=True)

    def balancer_started(self, balancer: str) -> dict[str, Any]:
        """A balancer starts: it knows the list of now, which counts as told."""
        self._running[balancer] = self.stage.now()
        self.unwatched(balancer)
        return self._listing(balancer, None)

    def balancer_ended(self, balancer: str) -> None:
        """It runs no more."""
        self._running.pop(balancer, None)

    def set_down(self, on: bool) -> None:
        """Out of reach, or back."""
        self.down += 1 if on else -1
        self._up_since = self.stage.now()
        if on and self._settings.mode == "ask":
            for connection in list(self.watchers):
                self._drop(connection)
        elif not self.down:
            if self._settings.mode == "push":
                loop = asyncio.get_running_loop()
                for entry in self.entries.values():
                    loop.call_later(AGENT_S, self._sent, entry, self._up_since)
            for connection in list(self.watchers):
                self._answer_watch(connection)

    def _drop(self, connection: _Connection) -> None:
        self.watchers.pop(connection, None)
        self.unwatched(connection.balancer, failed=True)
        if self._random.random() < 0.5:
            connection.reply(503, close=True)
        else:
            connection.abort()

    def call(self, connection: _Connection, request: Request) -> None:
        """A call for the list or for changes."""
        if request.path != "/registry/instances":
            connection.reply(404)
            return
        if self._settings.mode == "push":
            if not self.down:
                self._answer(connection, request)
            return  # an agent that is cut off from its service is silent
        if self.down:
            self._drop(connection)
            return
        now = self.stage.now()
        self.unwatched(connection.balancer)
        if "wait_ms" in request.query and connection.watched_at >= now - GOES_ON_S:
            self._answer(connection, request)
            return
        turn = max(self._next_turn, now)
        if turn - now > LINE_TIMEOUT_S:
            self.unwatched(connection.balancer, failed=True)
            connection.reply(503, close=True)
            return
        self._next_turn = turn + 1 / self._settings.calls_per_s
        asyncio.get_running_loop().call_later(turn - now, self._answer, connection, request)

    def _answer(self, connection: _Connection, request: Request) -> None:
        if connection.transport is None:
            return  # its caller has hung up, or it was cut off; it took its turn all the same
        if self.down:
            if self._settings.mode == "ask":
                self._drop(connection)
            return
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        after = int(query["after"]) if "after" in query else None
        if after is None or after > self.revision:
            self._write(connection, None)
            return
        connection.after = after
        wait = min(float(query.get("wait_ms", "0")), 60_000) / 1000
        if self._settings.mode == "push":
            wait = 0.0  # an agent answers at once
        self.watchers[connection] = None
        if after < self.revision or wait <= 0:
            self._answer_watch(connection, at_once=True)
            return
        timer = asyncio.get_running_loop().call_later(wait, self._answer_watch, connection, True)
        connection.watch_timer = timer

    def _answer_watch(self, connection: _Connection, at_once: bool = False) -> None:
        if self.down or connection not in self.watchers:
            return
        tier = self._tier_of(connection.balancer)
        news = any(e.revision > connection.after and e.tier == tier for e in self.entries.values())
        if news or at_once:
            del self.watchers[connection]
            self.unwatched(connection.balancer)
            connection.watched_at = self.stage.now()
            if connection.watch_timer is not None:
                connection.watch_timer.cancel()
            self._write(connection, connection.after)

    def _write(self, connection: _Connection, after: int | None) -> None:
        if connection.transport is not None:
            connection.reply(200, json.dumps(self._listing(connection.balancer, after)).encode())

    def _tell(self, balancer: str, entry: Entry) -> None:
        """An entry is written to a balancer: it counts as told once that can have reached it."""
        if balancer not in self._running or self.entries.get(entry.node) is not entry:
            return
        if self._settings.mode == "push" and self.down:
            return  # whoever could not read it in time hears it when the agent is back
        if entry.phase != "active" and not self.reachable(balancer, self.stage.now()):
            asyncio.get_running_loop().call_later(AGAIN_S, self._tell, balancer, entry)
            return
        self._watch.list_notified(
            self.stage.now(), balancer, entry.node, entry.phase == "active", entry.started
        )

    def _listing(self, balancer: str, after: int | None) -> dict[str, Any]:
        """What is told, in discovery's form; the watch hears of it."""
        tier = self._tier_of(balancer)
        members = []
        for entry in self.entries.values():
            if entry.tier != tier or (after is not None and entry.revision <= after):
                continue
            self._tell(balancer, entry)
            if entry.phase == "left" and after is None:
                continue  # a whole list names it no more, and so tells that it is gone
            host, port = self._address_of(entry.node, balancer)
            members.append(
                {
                    "id": entry.node,
                    "host_port": f"{host}:{port}",
                    "locality": "a",
                    "flavor": "m",
                    "cell": entry.cell,
                    "phase": entry.phase,
                    "size": 1.0,
                    "up_since_ms": entry.up_since_ms,
                }
            )
        return {"revision": self.revision, "complete": after is None, "members": members}
