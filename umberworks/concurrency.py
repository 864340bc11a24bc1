"""How many calls a server may hold at full speed (the contract: umberworks/interface.py).

A server that holds too many turns slower, some of them by far and until they have been idle for a while; a
fleet that is kept there serves a part of what it could, and refused callers who come back at once keep it
there. So calls pile up here, where they are answered early, and not at the servers.
"""

from __future__ import annotations

from umberworks.servers import Server

# A measure is the mean of so many calls over so long: of fewer, one long call would decide.
BLOCK_CALLS, BLOCK_MS = 30, 500.0
MIN_CALLS_PER_SERVER = 7.0  # calls that any server is taken to carry, over all balancers
NEAR = 0.7  # of what it may hold, from which a server shows what it carries
# Tried where a server kept its speed; a machine of 32 cores is filled within some 4 s.
GROWTH_FACTOR = 1.4
KEPT, LOST = (
    1.2,
    2.5,
)  # usual times in service up to which it kept its speed, and from which it holds too many
SHRINK = 0.8
EASE = 1.02  # after it was choked, with each measure in which it keeps its speed
DOWN, UP = 0.3, 0.03  # how fast the usual time follows shorter and longer ones: it stays near the short ones


class ConcurrencyLimits:
    """Which servers may take one more call."""

    def __init__(self, balancers: int, calling_tier: int = 0) -> None:
        self.min_limit = MIN_CALLS_PER_SERVER / balancers
        # Of many balancers each has a call at a server or none, which says nothing of how many it holds.
        # Inner tiers let all in: a refusal there wastes what the tiers above have done. No measure is kept.
        self.enabled = self.min_limit >= 1 and calling_tier == 0

    def limit(self, server: Server) -> float:
        """How many of our calls it may hold in the mean."""
        return min(max(server.carries, self.min_limit), server.ceiling)

    def admits(self, server: Server, now: float) -> bool:
        """Whether it can take a call: its mean stays under what it may hold, and bursts too but for one."""
        server.catch_up(now)
        most = self.limit(server)
        return not server.live or (server.live < most and server.crowd < most)

    def record_served(self, server: Server, aim_ms: float, now: float) -> None:
        """Count a served call; with a whole measure, note what the server carries."""
        if not self.enabled:
            return
        server.recent += aim_ms
        server.recent_calls += 1
        server.block_calls += 1
        server.block_aims += aim_ms
        span = now - server.block_from
        if server.block_calls < BLOCK_CALLS or span < BLOCK_MS:
            return
        time, held = server.block_times / server.block_aims, server.block_times / span
        server.block_calls, server.block_aims, server.block_times, server.block_from = 0, 0.0, 0.0, now
        usual = server.usual_time or time
        most = self.limit(server)
        if time > LOST * usual:
            server.carries = SHRINK * most
        elif time <= KEPT * usual and held >= NEAR * most:
            server.carries = GROWTH_FACTOR * held
            server.ceiling *= EASE
        if time < LOST * usual:  # else something is wrong with it: the usual time stands meanwhile
            server.usual_time = usual + (DOWN if time < usual else UP) * (time - usual)
