"""Limits the calls to servers that have started lately (the contract: umberworks/interface.py).

The contract gives each cold server one budget of calls per window for all balancers together, and all
balancers learn of a start at the same moment. A balancer whose part of the budget is below one call per
window draws at random, for each window, whether it may send one. Together the balancers then use the
budget, at different times, and a balancer that had no request to send saves up few calls for later.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from umberworks import interface
from umberworks.kinds import pool_middle_half
from umberworks.servers import EVIDENCE_DECAY_MS, Server

BUDGET_SHARE = 0.5  # share of a cold server's budget to use, as other balancers and expensive calls count too
MIN_CORES = 2  # every server is assumed to serve this many calls in parallel at full speed
MIN_CALLS = 4.0  # served calls, after decay, that it takes to estimate the speed of servers
# Windows whose calls a balancer may save up; few, as the saved calls of all balancers may come at once.
MAX_SAVED_WINDOWS = 2.0
MIN_BUDGET_CALLS = 3.0  # calls per window that the contract allows however small the server's capacity


class SlowStart:
    """The warmth of servers by their age, and the rate of calls that it allows."""

    def __init__(self, settings: interface.Settings, rng: random.Random) -> None:
        self._settings, self._random = settings, rng
        self.cold_until = 0.0  # no listed server is cold after this time
        self.warm_rate = 0.0  # calls per ms that a warm server serves for this balancer, in the mean
        # Rate at which a warm server of size 1 completes calls one after the other, in calls per ms.
        self.sequential_rate = 0.0

    def update(self, servers: Iterable[Server], now: float) -> None:
        """Measure the rate of warm servers, and the speed that servers have when they are warm."""
        warm_calls, speeds = [], []
        for server in servers:
            server.catch_up(now)
            if self.warmth(server, now) >= 1:
                warm_calls.append(server.served)
            if server.served and server.busy_ms:
                speeds.append((server.served / server.busy_ms / server.size, server.served))
        if warm_calls:
            self.warm_rate = sum(warm_calls) / len(warm_calls) / EVIDENCE_DECAY_MS
        calls, time_ms = pool_middle_half(speeds)
        if calls >= MIN_CALLS:
            self.sequential_rate = calls / time_ms

    def note_start(self, at: float) -> None:
        """Note that a server has started at this time."""
        self.cold_until = max(self.cold_until, at + self._settings.cold_ms)

    def warmth(self, server: Server, now: float) -> float:
        """The share of its full capacity that a server of this age has at least."""
        started_at = max(server.member.up_since_ms, server.reattached_at)
        age = max(now - started_at, 0.0)  # clocks may differ, so that the start may lie in the future
        if started_at <= 0 or age >= self._settings.cold_ms:
            return 1.0
        start = self._settings.cold_from
        return start + (1 - start) * age / self._settings.cold_ms

    def admits(self, server: Server, now: float) -> bool:
        """Whether a server may get another call; true for warm servers.

        Calls to a cold server are spaced evenly, as the bursts and roundings of many balancers add up.
        """
        warmth = self.warmth(server, now)
        if warmth >= 1:
            return True
        window_ms, balancers = self._settings.cold_window_ms, self._settings.balancers
        rate = max(self.warm_rate, MIN_CORES * self.sequential_rate * server.size / balancers)
        budget = BUDGET_SHARE * self._settings.cold_overload_factor * warmth * rate * window_ms
        own_budget = max(budget, min(MIN_BUDGET_CALLS / balancers, 1.0))
        since_last_ms = now - server.last_sent
        if own_budget >= 1:
            return since_last_ms * own_budget >= window_ms
        # One call at once and then one every 1 / own_budget windows would exceed the budget, as the
        # first calls of all balancers would come together.
        if now >= server.cold_window_ends_at:
            windows = min((now - server.cold_window_ends_at) / window_ms + 1, MAX_SAVED_WINDOWS)
            server.cold_window_ends_at, server.may_send_when_cold = (
                now + window_ms,
                self._random.random() < own_budget * windows,
            )
        return server.may_send_when_cold and since_last_ms >= window_ms
