"""How fast servers of a kind are, beside all others (the contract: umberworks/interface.py).

Of a large fleet a balancer sees a call now and then at each server, which tells little of any of them. The
servers of a kind have shown enough together: a new one, and one of few calls, is taken to be as fast.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from umberworks import interface as face
from umberworks.servers import MEMORY_MS, Server

LONG_MS = 60_000.0  # what a kind has shown fades by 1/e over this: a kind stays what it is
PRIOR_CALLS = 8.0  # calls' worth of belief that a kind is as fast as all; single calls differ by a lot
MOVED = 0.15  # a change of so large a part is worth to set the draws anew
ALL = "\0"  # no kind is named like this


class KindSpeeds:
    """The sizes that servers are drawn by until they have shown their own speed."""

    def __init__(self, sizes_exact: bool) -> None:
        self._exact = sizes_exact
        self._factors: dict[str, float] = {}
        self._shown: dict[str, tuple[float, float]] = {}  # of each kind: calls, and the time that they took
        self._seen = 0.0

    def listed_size(self, member: face.Member) -> float:
        """What the list says of a server's size."""
        return member.size if self._exact else 1.0

    def estimated_size(self, member: face.Member) -> float:
        """That, by what its kind has shown."""
        return self.listed_size(member) * self._factors.get(member.kind, 1.0)

    def set_size(self, server: Server) -> None:
        """Set a server's size by it."""
        server.size = self.estimated_size(server.member)

    def update(self, servers: Iterable[Server], now: float) -> bool:
        """Look at what servers have shown up to `now`; whether some size has changed by it."""
        gap, self._seen = now - self._seen, now
        fade = math.exp(-gap / LONG_MS)
        known: Mapping[str, list[tuple[float, float]]] = defaultdict(list)
        for server in servers:
            if server.served and server.busy:
                speed = server.served / server.busy / self.listed_size(server.member)
                for kind in (server.member.kind, ALL):
                    known[kind].append((speed, server.served))
        for kind in {*known, *self._shown}:
            calls, time = self._shown.get(kind, (0.0, 0.0))
            more, took = pool_middle_half(known.get(kind, []))
            part = min(gap / MEMORY_MS, 1.0)  # the rest of it was there at the last look
            self._shown[kind] = calls * fade + more * part, time * fade + took * part
        moved, (all_calls, all_time) = False, self._shown.get(ALL, (0.0, 0.0))
        if len(self._shown) <= 2 or not all_time:  # all are of one kind, or none is told
            return False
        usual = all_calls / all_time
        for kind, (calls, time) in self._shown.items():
            factor = (calls + PRIOR_CALLS) / (time * usual + PRIOR_CALLS)
            if abs(factor / self._factors.get(kind, 1.0) - 1) > MOVED and kind != ALL:
                self._factors[kind], moved = factor, True
        return moved


def pool_middle_half(known: list[tuple[float, float]]) -> tuple[float, float]:
    """Calls, and their time, of the middle half of some servers, given by speed and calls.

    Of few calls each most are far off, and one that hangs must not stand for all.
    """
    known.sort()
    middle = known[len(known) // 4 : len(known) - len(known) // 4]
    return sum(calls for _, calls in middle), sum(calls / speed for speed, calls in middle)
