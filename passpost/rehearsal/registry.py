"""Simulated service registry.

In mode "ask" the balancers poll or watch it. In mode "push" an agent next to each balancer holds a pushed copy.
A watch is a long poll: a call with `wait_ms` that is answered at the next change. To notify a balancer means
here to report to the checker of the invariants that the balancer can know an entry from now on.
"""

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
from passpost.rehearsal.stage import Backend, listen
from passpost.rehearsal.watch import InvariantChecker

MAX_QUEUE_WAIT_S = 2.0  # a call that would wait longer for its turn is rejected with 503
# A balancer that polls an agent can't know a change that the agent receives just before it stops responding. A
# pushed change therefore counts as notified only after the agent has had it, and could be polled, for this long:
# five times the balancer's own polling interval.
AGENT_SETTLE_S = 0.25
UNREACHABLE_RECHECK_S = 0.25  # interval of checks whether an unreachable balancer can be notified
WATCH_CONTINUES_S = 0.2  # a watch continues if the next call comes within this time of the last answer
FAILED_CALL_FACTOR = 4  # factor on the time allowed without polling after a failed call
OLD_ADDRESS_CLOSE_S = 1.5  # delay before connections to the old address are closed after a move


@dataclass(slots=True)
class RegistryEntry:
    """One node in the registry; `started_at` in seconds of simulation time, -inf for a node that is not cold."""

    node: str
    tier: str
    phase: str
    cell: int
    up_since_ms: float
    started_at: float
    revision: int = 0


class _Connection(RequestConnection):
    def __init__(self, registry: Registry, balancer: str) -> None:
        super().__init__(registry.backend)
        self.registry, self.balancer = registry, balancer
        registry.connections[self] = None
        self.watch_timer: asyncio.TimerHandle | None = None
        self.after = 0
        self.watch_answered_at = -math.inf  # when a watch on this connection was last answered

    def request_received(self, request: Request) -> None:
        self.registry.handle_call(self, request)

    def connection_closed(self) -> None:
        self.registry.connections.pop(self, None)
        if self in self.registry.watchers:
            del self.registry.watchers[self]
            self.registry.mark_not_polling(self.balancer)
        if self.watch_timer is not None:
            self.watch_timer.cancel()


class Registry:
    """The registry. `address_of(node, balancer)` returns the address at which a balancer reaches a node."""

    def __init__(
        self,
        backend: Backend,
        checker: InvariantChecker,
        settings: Discovery,
        ask_within_s: float,
        seed: int,
        address_of: Callable[[str, str], Address],
        tier_of: Callable[[str], str],
    ) -> None:
        self.backend, self._checker, self._settings, self._ask_within_s = (
            backend,
            checker,
            settings,
            ask_within_s,
        )
        self._address_of, self._tier_of = address_of, tier_of
        self._random = random.Random(f"list {seed}")
        self.entries: dict[str, RegistryEntry] = {}
        self.revision = 1
        self.outage_count = 0
        self._availability_changed_at = 0.0
        self._next_slot_at = 0.0
        self.connections: dict[_Connection, None] = {}
        self.watchers: dict[_Connection, None] = {}
        self._listener_closers: dict[str, Callable[[], None]] = {}
        self._running_since: dict[str, float] = {}  # start time of each running balancer
        # For each balancer: since when it has neither watched nor polled, and the factor on the time allowed for that.
        self._not_polling_since: dict[str, tuple[float, int]] = {}
        # Whether a balancer was reachable from `since` until now; replaced by World.
        self.is_reachable: Callable[[str, float], bool] = lambda balancer, since: True

    # ---- changes of nodes

    def add(self, entry: RegistryEntry) -> None:
        """Add a node that is in the registry from the start."""
        entry.revision = self.revision
        self.entries[entry.node] = entry

    def schedule_change(self, entry: RegistryEntry) -> None:
        """Record a change of a node after the random delay `notice_s` of the scenario."""
        low, high = self._settings.notice_s
        delay = self._random.uniform(low, high)
        loop = asyncio.get_running_loop()
        self.backend.run_as("discovery", lambda: loop.call_later(delay, self._apply_change, entry))

    def _apply_change(self, entry: RegistryEntry) -> None:
        current = self.entries.get(entry.node)
        if current is not None and current.started_at > entry.started_at:
            return  # older than the listed process of this node
        if current is not None and current.started_at == entry.started_at and current.phase == "left":
            return  # its end was recorded before its drain
        self.revision += 1
        entry.revision = self.revision
        self.entries[entry.node] = entry
        loop = asyncio.get_running_loop()
        if entry.phase != "active":
            for balancer, running_since in self._running_since.items():
                if self._tier_of(balancer) == entry.tier:
                    loop.call_later(
                        self._ask_within_s, self._notify_if_overdue, entry, balancer, running_since
                    )
        for connection in self.connections:
            if (
                connection.watch_answered_at >= self.backend.now() - WATCH_CONTINUES_S
                and connection not in self.watchers
            ):
                self._notify(connection.balancer, entry)  # a change between two calls of one watch
        if self._settings.mode == "push" and not self.outage_count:
            loop.call_later(AGENT_SETTLE_S, self._push, entry, self._availability_changed_at)
        for connection in list(self.watchers):
            self._answer_watch(connection)

    def _push(self, entry: RegistryEntry, availability_changed_at: float) -> None:
        """Push an entry to the agents of all balancers of its tier; it counts as notified, polled or not."""
        if self.outage_count or availability_changed_at != self._availability_changed_at:
            return  # an outage began or ended meanwhile; at its end all entries are pushed again
        for balancer in self._running_since:
            if self._tier_of(balancer) == entry.tier:
                self._notify(balancer, entry)

    def _notify_if_overdue(self, entry: RegistryEntry, balancer: str, running_since: float) -> None:
        """Count a balancer as notified that could have polled and did neither poll nor watch for the allowed time.

        A balancer that has called since the change was recorded was notified then, or its call failed.
        """
        if self._running_since.get(balancer) != running_since or self.entries.get(entry.node) is not entry:
            return
        if any(c.balancer == balancer for c in self.watchers):
            return
        now, (not_polling_since, factor) = (
            self.backend.now(),
            self._not_polling_since.get(balancer, (running_since, 1)),
        )
        due_at = not_polling_since + factor * self._ask_within_s
        if (
            self.outage_count
            or self._availability_changed_at > now - self._ask_within_s
            or not self.is_reachable(balancer, due_at)
        ):
            due_at = max(due_at, now + UNREACHABLE_RECHECK_S)
        if due_at > now + 1e-6:
            loop = asyncio.get_running_loop()
            loop.call_later(due_at - now, self._notify_if_overdue, entry, balancer, running_since)
        else:
            self._checker.list_notified(now, balancer, entry.node, False, entry.started_at)

    def mark_not_polling(self, balancer: str, failed: bool = False) -> None:
        """Record that a balancer neither watches nor polls from now on; `failed`: because its call failed."""
        self._not_polling_since[balancer] = (self.backend.now(), FAILED_CALL_FACTOR if failed else 1)

    # ---- calls of balancers

    def listen_for(self, balancer: str, address: Address = ("127.0.0.1", 0)) -> Address:
        """Open an address of the registry for one balancer; a further call moves the registry to a new address."""
        bound_address, close_listener = listen(
            self.backend.host, address, lambda: _Connection(self, balancer)
        )
        if (close_old := self._listener_closers.pop(balancer, None)) is not None:
            close_old()
            for connection in [c for c in self.connections if c.balancer == balancer]:
                asyncio.get_running_loop().call_later(OLD_ADDRESS_CLOSE_S, self._reset, connection)
        self._listener_closers[balancer] = close_listener
        return bound_address

    def _reset(self, connection: _Connection) -> None:
        """Reset a connection; an open call on it has failed."""
        if connection.transport is not None:
            connection.abort()
            self.mark_not_polling(connection.balancer, failed=True)

    def balancer_started(self, balancer: str) -> dict[str, Any]:
        """Record the start of a balancer and return the current list, of which it counts as notified."""
        self._running_since[balancer] = self.backend.now()
        self.mark_not_polling(balancer)
        return self._listing(balancer, None)

    def balancer_ended(self, balancer: str) -> None:
        """Record that a balancer no longer runs."""
        self._running_since.pop(balancer, None)

    def set_unreachable(self, on: bool) -> None:
        """Begin or end an outage of the registry."""
        self.outage_count += 1 if on else -1
        self._availability_changed_at = self.backend.now()
        if on and self._settings.mode == "ask":
            for connection in list(self.watchers):
                self._fail_call(connection)
        elif not self.outage_count:
            if self._settings.mode == "push":
                loop = asyncio.get_running_loop()
                for entry in self.entries.values():
                    loop.call_later(AGENT_SETTLE_S, self._push, entry, self._availability_changed_at)
            for connection in list(self.watchers):
                self._answer_watch(connection)

    def _fail_call(self, connection: _Connection) -> None:
        self.watchers.pop(connection, None)
        self.mark_not_polling(connection.balancer, failed=True)
        if self._random.random() < 0.5:
            connection.reply(503, close=True)
        else:
            connection.abort()

    def handle_call(self, connection: _Connection, request: Request) -> None:
        """Handle a call for the whole list or for changes."""
        if request.path != "/registry/instances":
            connection.reply(404)
            return
        if self._settings.mode == "push":
            if not self.outage_count:
                self._answer_call(connection, request)
            return  # an agent that has lost its registry does not respond
        if self.outage_count:
            self._fail_call(connection)
            return
        now = self.backend.now()
        self.mark_not_polling(connection.balancer)
        if "wait_ms" in request.query and connection.watch_answered_at >= now - WATCH_CONTINUES_S:
            self._answer_call(connection, request)
            return
        slot_at = max(self._next_slot_at, now)
        if slot_at - now > MAX_QUEUE_WAIT_S:
            self.mark_not_polling(connection.balancer, failed=True)
            connection.reply(503, close=True)
            return
        self._next_slot_at = slot_at + 1 / self._settings.calls_per_s
        asyncio.get_running_loop().call_later(slot_at - now, self._answer_call, connection, request)

    def _answer_call(self, connection: _Connection, request: Request) -> None:
        if connection.transport is None:
            return  # the caller closed it or it was reset; it used its turn all the same
        if self.outage_count:
            if self._settings.mode == "ask":
                self._fail_call(connection)
            return
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        after = int(query["after"]) if "after" in query else None
        if after is None or after > self.revision:
            self._send_listing(connection, None)
            return
        connection.after = after
        wait_s = min(float(query.get("wait_ms", "0")), 60_000) / 1000
        if self._settings.mode == "push":
            wait_s = 0.0  # an agent does not support waiting
        self.watchers[connection] = None
        if after < self.revision or wait_s <= 0:
            self._answer_watch(connection, even_without_changes=True)
            return
        timer = asyncio.get_running_loop().call_later(wait_s, self._answer_watch, connection, True)
        connection.watch_timer = timer

    def _answer_watch(self, connection: _Connection, even_without_changes: bool = False) -> None:
        if self.outage_count or connection not in self.watchers:
            return
        tier = self._tier_of(connection.balancer)
        has_changes = any(e.revision > connection.after and e.tier == tier for e in self.entries.values())
        if has_changes or even_without_changes:
            del self.watchers[connection]
            self.mark_not_polling(connection.balancer)
            connection.watch_answered_at = self.backend.now()
            if connection.watch_timer is not None:
                connection.watch_timer.cancel()
            self._send_listing(connection, connection.after)

    def _send_listing(self, connection: _Connection, after: int | None) -> None:
        if connection.transport is not None:
            connection.reply(200, json.dumps(self._listing(connection.balancer, after)).encode())

    def _notify(self, balancer: str, entry: RegistryEntry) -> None:
        """Report an entry that was written to a balancer, once the balancer is reachable."""
        if balancer not in self._running_since or self.entries.get(entry.node) is not entry:
            return
        if self._settings.mode == "push" and self.outage_count:
            return  # the balancer is notified when the agent is back
        if entry.phase != "active" and not self.is_reachable(balancer, self.backend.now()):
            asyncio.get_running_loop().call_later(UNREACHABLE_RECHECK_S, self._notify, balancer, entry)
            return
        self._checker.list_notified(
            self.backend.now(), balancer, entry.node, entry.phase == "active", entry.started_at
        )

    def _listing(self, balancer: str, after: int | None) -> dict[str, Any]:
        """Return the whole list or the changes after a revision as a discovery response, and notify the checker."""
        tier = self._tier_of(balancer)
        if self._settings.whole:
            after = None
        members = []
        for entry in self.entries.values():
            if entry.tier != tier or (after is not None and entry.revision <= after):
                continue
            self._notify(balancer, entry)
            if after is None and (
                entry.phase == "left" or (self._settings.whole and entry.phase != "active")
            ):
                continue  # its absence from a whole list tells that it is gone
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
