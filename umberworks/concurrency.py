"""Limits the calls in flight at each server, so that it keeps its speed (contract: umberworks/interface.py).

A server that holds too many calls slows down; some slow down a lot, and stay slow until they have been idle
for a while. A fleet that is kept in that state serves only a part of what it could, and refused callers
that retry at once keep it there. So calls queue in the balancer, which answers them early, and not at the
servers.
"""

from __future__ import annotations

from umberworks.servers import Server

# A measurement is the mean over at least this many calls and this much time; with fewer calls one long call
# would dominate it.
BLOCK_CALLS, BLOCK_MS = 30, 500.0
MIN_CALLS_PER_SERVER = 7.0  # calls in flight that every server is assumed to handle, over all balancers
NEAR_LIMIT = 0.7  # share of its limit that a server has to hold for a measurement to show what it handles
# Where a server kept its speed, its limit becomes this multiple of the calls that it held. That reaches the
# capacity of a machine of 32 cores within about 4 s.
GROWTH_FACTOR = 1.4
# Ratio of service time to usual service time up to which a server kept its speed, and above which it holds
# too many calls.
KEPT_SPEED_RATIO, OVERLOADED_RATIO = 1.2, 2.5
SHRINK_FACTOR = 0.8
# Growth of a ceiling, set after congestion, with each measurement in which the server kept its speed.
CEILING_GROWTH_FACTOR = 1.02
# Smoothing factors of the usual service time, towards shorter and longer times: it stays near the short ones.
SMOOTHING_DOWN, SMOOTHING_UP = 0.3, 0.03


class ConcurrencyLimits:
    """Decides which servers may get one more call."""

    def __init__(self, balancers: int, calling_tier: int = 0) -> None:
        self.min_limit = MIN_CALLS_PER_SERVER / balancers
        # With many balancers each has one call or none at a server, which does not show how many it holds.
        # Inner tiers admit every call: a refusal there wastes the work of the tiers above. Nothing is
        # measured in either case.
        self.enabled = self.min_limit >= 1 and calling_tier == 0

    def limit(self, server: Server) -> float:
        """The limit on the mean number of calls that this balancer has in flight at a server."""
        return min(max(server.concurrency_limit, self.min_limit), server.concurrency_ceiling)

    def admits(self, server: Server, now: float) -> bool:
        """Whether a server may get another call.

        Both the mean and the current number of calls in flight have to be below the limit, so that a burst
        exceeds it by less than one call. A server without calls always gets one.
        """
        server.catch_up(now)
        limit = self.limit(server)
        return not server.calls_out or (server.calls_out < limit and server.mean_calls_out < limit)

    def record_served(self, server: Server, aim_ms: float, now: float) -> None:
        """Count a served call; when that completes a measurement, update the server's limit."""
        if not self.enabled:
            return
        server.recent_aims_ms += aim_ms
        server.recent_calls += 1
        server.block_calls += 1
        server.block_aims_ms += aim_ms
        span = now - server.block_start
        if server.block_calls < BLOCK_CALLS or span < BLOCK_MS:
            return
        service_time, in_flight = server.block_call_ms / server.block_aims_ms, server.block_call_ms / span
        server.block_calls, server.block_aims_ms, server.block_call_ms, server.block_start = 0, 0.0, 0.0, now
        baseline = server.baseline_time or service_time
        limit = self.limit(server)
        if service_time > OVERLOADED_RATIO * baseline:
            server.concurrency_limit = SHRINK_FACTOR * limit
        elif service_time <= KEPT_SPEED_RATIO * baseline and in_flight >= NEAR_LIMIT * limit:
            server.concurrency_limit = GROWTH_FACTOR * in_flight
            server.concurrency_ceiling *= CEILING_GROWTH_FACTOR
        # While the server is overloaded or faulty, its usual time stays as it is.
        if service_time < OVERLOADED_RATIO * baseline:
            server.baseline_time = baseline + (
                SMOOTHING_DOWN if service_time < baseline else SMOOTHING_UP
            ) * (service_time - baseline)
