"""How much a server that has started lately may be sent (the contract: umberworks/interface.py).

The rule's budget is one for all balancers, which hear of a start at one moment. A balancer whose part of it
is under one call a window draws, for each window, whether it may send one: together they send what the budget
has, at differing times, and a balancer that had no request to send is owed little later.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from umberworks import interface as face
from umberworks.kinds import pool_middle_half
from umberworks.servers import MEMORY_MS, Server

SAFETY = 0.5  # the part of a cold server's budget that we use: other balancers and heavy calls count too
MIN_CORES = 2  # that a server has: so many calls it serves beside one another at full speed
LEAST_CALLS = 4.0  # in memory, to tell how fast a server is
MOST_OWED = 2.0  # windows' worth of calls that a balancer saves up: all balancers' may come at once
LEAST_BUDGET = 3.0  # calls in a window that the rule lets pass, however little a server can do


class SlowStart:
    """Warmth by age, and the pace that it allows."""

    def __init__(self, settings: face.Settings, chance: random.Random) -> None:
        self._settings, self._chance = settings, chance
        self.cold_until = 0.0  # some listed server may be cold up to then
        self.warm_rate = 0.0  # served calls a millisecond of a warm server
        self.sequential_rate = 0.0  # calls/ms that a warm server completes one after the other

    def update(self, servers: Iterable[Server], now: float) -> None:
        """Measure what warm servers serve, and how fast any would when it is warm."""
        warm, known = [], []
        for server in servers:
            server.catch_up(now)
            if self.warmth(server, now) >= 1:
                warm.append(server.served)
            if server.served and server.busy:
                known.append((server.served / server.busy / server.size, server.served))
        if warm:
            self.warm_rate = sum(warm) / len(warm) / MEMORY_MS
        calls, time = pool_middle_half(known)
        if calls >= LEAST_CALLS:
            self.sequential_rate = calls / time

    def note_start(self, at: float) -> None:
        """A server has started."""
        self.cold_until = max(self.cold_until, at + self._settings.cold_ms)

    def warmth(self, server: Server, now: float) -> float:
        """The share of its capacity that a server has at the least, by its age."""
        since = max(server.member.up_since_ms, server.back_at)
        age = max(now - since, 0.0)  # by clocks that disagree it may start yet
        if since <= 0 or age >= self._settings.cold_ms:
            return 1.0
        start = self._settings.cold_from
        return start + (1 - start) * age / self._settings.cold_ms

    def admits(self, server: Server, now: float) -> bool:
        """Whether a cold server can take a call: evenly spaced, as bursts and roundings of many add up."""
        warmth = self.warmth(server, now)
        if warmth >= 1:
            return True
        window, balancers = self._settings.cold_window_ms, self._settings.balancers
        rate = max(self.warm_rate, MIN_CORES * self.sequential_rate * server.size / balancers)
        budget = SAFETY * self._settings.cold_overload_factor * warmth * rate * window
        part = max(budget, min(LEAST_BUDGET / balancers, 1.0))
        gap = now - server.last_sent
        if part >= 1:
            return gap * part >= window
        # Not a call at once and then one each 1 / part windows: the first calls of all would come together.
        if now >= server.turn_ends:
            owed = min((now - server.turn_ends) / window + 1, MOST_OWED)
            server.turn_ends, server.has_turn = now + window, self._chance.random() < part * owed
        return server.has_turn and gap >= window
