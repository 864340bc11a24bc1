"""Measures how fast the servers of a kind are compared with all servers (contract: umberworks/interface.py).

In a large fleet a balancer sees few calls at each server, which say little about any one of them. The
servers of a kind have served enough calls together: a new server, or one with few calls, is assumed to be
as fast as they are.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from umberworks import interface
from umberworks.servers import EVIDENCE_DECAY_MS, Server

DECAY_MS = 60_000.0  # measurements of a kind decay by a factor of e over this span: a kind rarely changes
# Weight, in calls, of the assumption that a kind is as fast as all servers: single calls vary a lot.
PRIOR_CALLS = 8.0
# Relative change of a kind's speed from which the sizes that servers are drawn by are updated.
MIN_CHANGE = 0.15
ALL_KINDS = "\0"  # key for all servers; no kind has this name


class KindSpeeds:
    """The sizes of servers, relative capacities, that apply until a server's own speed has been measured."""

    def __init__(self, sizes_exact: bool) -> None:
        self._sizes_exact = sizes_exact
        self._factors: dict[str, float] = {}
        self._measured: dict[str, tuple[float, float]] = {}  # per kind: calls, and their total time
        self._updated_at = 0.0

    def listed_size(self, member: interface.Member) -> float:
        """The size of a server according to the list; 1 where the list's sizes are not exact."""
        return member.size if self._sizes_exact else 1.0

    def estimated_size(self, member: interface.Member) -> float:
        """The listed size times the measured speed factor of the server's kind."""
        return self.listed_size(member) * self._factors.get(member.kind, 1.0)

    def set_size(self, server: Server) -> None:
        """Set a server's size to the estimate."""
        server.size = self.estimated_size(server.member)

    def update(self, servers: Iterable[Server], now: float) -> bool:
        """Add the measurements of the servers up to `now`; returns whether the size of a kind has changed."""
        elapsed, self._updated_at = now - self._updated_at, now
        decay = math.exp(-elapsed / DECAY_MS)
        speeds: Mapping[str, list[tuple[float, float]]] = defaultdict(list)
        for server in servers:
            if server.served and server.busy_ms:
                speed = server.served / server.busy_ms / self.listed_size(server.member)
                for kind in (server.member.kind, ALL_KINDS):
                    speeds[kind].append((speed, server.served))
        for kind in {*speeds, *self._measured}:
            calls, time_ms = self._measured.get(kind, (0.0, 0.0))
            new_calls, new_time_ms = pool_middle_half(speeds.get(kind, []))
            new_share = min(elapsed / EVIDENCE_DECAY_MS, 1.0)  # the last update has counted the rest
            self._measured[kind] = (
                calls * decay + new_calls * new_share,
                time_ms * decay + new_time_ms * new_share,
            )
        changed, (all_calls, all_time_ms) = False, self._measured.get(ALL_KINDS, (0.0, 0.0))
        if len(self._measured) <= 2 or not all_time_ms:  # a single kind, or the list names none
            return False
        mean_speed = all_calls / all_time_ms
        for kind, (calls, time_ms) in self._measured.items():
            factor = (calls + PRIOR_CALLS) / (time_ms * mean_speed + PRIOR_CALLS)
            if abs(factor / self._factors.get(kind, 1.0) - 1) > MIN_CHANGE and kind != ALL_KINDS:
                self._factors[kind], changed = factor, True
        return changed


def pool_middle_half(speeds: list[tuple[float, float]]) -> tuple[float, float]:
    """The calls, and their total time, of the middle half of some servers by speed.

    `speeds`: the speed and the calls of each server; the list is sorted in place. With few calls each, most
    speeds are far off, and a server that hangs must not decide the result for all.
    """
    speeds.sort()
    middle = speeds[len(speeds) // 4 : len(speeds) - len(speeds) // 4]
    return sum(calls for _, calls in middle), sum(calls / speed for speed, calls in middle)
