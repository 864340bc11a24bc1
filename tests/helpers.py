"""Request classes, settings, and a harness that drives a balancer, for the tests of the decision module."""

from __future__ import annotations

from typing import Any

from umberworks.interface import (
    Action,
    AttemptEnded,
    DedupScope,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from umberworks.rules import Balancer
from umberworks.servers import Server

READ = RequestClass("read", 1_000, 3_000, Effect.REPEATABLE)
ORDER = RequestClass("order", 1_000, 3_000, Effect.KEYED, DedupScope.CELL, 2_000)
ANYWHERE = RequestClass("anywhere", 1_000, 3_000, Effect.KEYED, DedupScope.ALL, 2_000)
ZONAL = RequestClass("zonal", 1_000, 3_000, Effect.KEYED, DedupScope.ZONE, 2_000)
# A deduplication window has no effect on a class that must not run twice, but settings may contain one.
PAY = RequestClass("pay", 1_000, 3_000, Effect.ONCE, dedup_window_ms=2_000)
CLASSES = (READ, ORDER, ANYWHERE, ZONAL, PAY)


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": CLASSES,
        "max_attempts": 4,
        "may_cancel": True,
        "may_duplicate": True,
        "cold_ms": 10_000,
        "cold_from": 0.2,
        "cold_overload_factor": 3.0,
    }
    return Settings(**(base | changes))


def members(count: int, **changes: Any) -> tuple[Member, ...]:
    return tuple(Member(f"s{i}", zone=f"z{i % 2}", cell=i // 2, **changes) for i in range(count))


class BalancerHarness:
    """A balancer with a server list; keeps the clock, numbers the requests and records all actions."""

    def __init__(self, count: int = 4, seed: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 1_000.0
        self.all_actions: list[Action] = []
        self.update_list(*members(count))
        self._next = 0

    def deliver(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        self.all_actions.extend(actions)
        return actions

    def update_list(self, *entries: Member, kind: ListKind = ListKind.WHOLE) -> list[Action]:
        return self.deliver(ListUpdate(kind, entries))

    def new_request(
        self, cls: RequestClass = READ, remaining: float = 3_000, **more: Any
    ) -> tuple[int, list[Action]]:
        self._next += 1
        return self._next, self.deliver(RequestArrived(self._next, cls.name, remaining, **more))

    def end_attempt(self, request: int, attempt: int, server: str, outcome: Outcome) -> list[Action]:
        return self.deliver(AttemptEnded(request, attempt, server, outcome, outcome is Outcome.SERVED))

    def serve_request(self, cls: RequestClass = READ, takes: float | dict[str, float] = 50.0) -> str:
        """Serve one request on the server that it is sent to; `takes` in ms, for all or by server."""
        request, actions = self.new_request(cls)
        server = sent(actions)[0].server
        self.now += takes[server] if isinstance(takes, dict) else takes
        self.end_attempt(request, 0, server, Outcome.SERVED)
        return server


def always_warm(server: Server, now: float) -> float:
    """The warmth of a server that started long ago."""
    return 1.0


def sent(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def of_kind(actions: list[Action], *kinds: type) -> list[Action]:
    return [a for a in actions if isinstance(a, kinds)]
