"""How many calls may be out at once, by their time in service (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math

BASE_CALLS = 30  # served calls that make a measure of the time in service; the first find servers free
BASE_DRIFT_MS = 100_000.0  # it rises by 1/e over this, so that a fleet that stays slower gets its room back
RATE_DECAY_MS = 2_000.0  # smoothing of our own served rate
FREE_PER_SERVER = 4.0  # calls out for each ready server, over all balancers, let through in any case
LEAST_ROOM = 16.0  # calls out that a balancer lets through while calls take about as long as at best
LEAST_FULL, LEAST_NONE = 1.5, 2.0  # time in service, in lowest ones, up to which it holds in full, or at all
LOAD_FREE, LOAD_FULL = 0.3, 0.55  # mean time in service, in aims, from which some, from which all are refused
LOAD_OVER_SHARE = 0.2  # a tenant past its share is held back this much sooner
MANY_BALANCERS, LOAD_CALM = 7, 0.2  # past so many balancers, none is bounded up to so long a time in service
LEAST_ADMITTED = 0.05  # the share let in all the same, to notice that the crowd has gone
LOAD_PRIOR = 2.0  # calls' worth of belief that all is well, so that a few slow calls do not refuse others


class AdmissionControl:
    """Counts the calls out and measures how long they take, in aims of their classes."""

    def __init__(self, balancers: int) -> None:
        self._balancers = balancers
        self.in_flight = 0
        # In memory: aims of served calls, time in flight; of the block measured: calls, aims, time, start.
        self._served_aims_ms, self._in_flight_time_ms, self._seen = 0.0, 0.0, 0.0
        self._calls, self._block_aims, self._times, self._block_from = 0, 0.0, 0.0, 0.0
        self.mean_service_time, self.base_service_time = (
            0.0,
            0.0,
        )  # time in service, last and lowest, in aims; 0: not measured yet

    def catch_up(self, now: float) -> None:
        """Bring the measure to `now`: calls that are still out add time, and all of it fades."""
        gap = now - self._seen
        if gap > 0:
            fade = math.exp(-gap / RATE_DECAY_MS)
            self._served_aims_ms *= fade
            self._in_flight_time_ms = self._in_flight_time_ms * fade + self.in_flight * RATE_DECAY_MS * (
                1 - fade
            )
            self._times += self.in_flight * gap
            self.base_service_time = min(
                self.base_service_time * math.exp(min(gap / BASE_DRIFT_MS, 1.0)), 1.0
            )  # idle for hours
            self._seen = now

    def record_served(self, aim_ms: float, now: float) -> None:
        """Count a served call."""
        self._calls += 1
        self._served_aims_ms += aim_ms
        self._block_aims += aim_ms
        if self._calls >= BASE_CALLS and (
            not self.base_service_time or now - self._block_from >= RATE_DECAY_MS
        ):
            self.mean_service_time = self._times / self._block_aims
            self.base_service_time = min(self.base_service_time or math.inf, self.mean_service_time)
            self._calls, self._block_aims, self._times, self._block_from = 0, 0.0, 0.0, now

    def load(self, aim_ms: float) -> float:
        """The mean time in service as a class with this aim sees it."""
        return self._in_flight_time_ms / (self._served_aims_ms + LOAD_PRIOR * aim_ms)

    def admit_probability(self, aim_ms: float, over_share: bool) -> float:
        """The share of its requests to let in by that."""
        chance = (LOAD_FULL - self.load(aim_ms) - LOAD_OVER_SHARE * over_share) / (LOAD_FULL - LOAD_FREE)
        return max(chance, LEAST_ADMITTED)

    def limit(self, ready: int) -> float:
        """How many calls may be out: past its capacity a server only queues, a crowded one slows down."""
        if self._balancers > MANY_BALANCERS and self._in_flight_time_ms < LOAD_CALM * self._served_aims_ms:
            return math.inf
        ours = ready / self._balancers
        # A factor in place of the sum would let the room shrink away once calls take longer than it allows.
        queued = ours + self.base_service_time * self._served_aims_ms / RATE_DECAY_MS
        lowest = self.base_service_time * self._served_aims_ms
        slower = self._in_flight_time_ms / lowest if lowest else 1.0
        calm = min(max((LEAST_NONE - slower) / (LEAST_NONE - LEAST_FULL), 0.0), 1.0)
        least = calm * min(LEAST_ROOM, FREE_PER_SERVER * ready)
        room = max(FREE_PER_SERVER * ours, queued, least)
        # A burst may pass, a standing crowd does harm: the room bounds the mean once it has been measured.
        return (
            2 * room - min(self._in_flight_time_ms / RATE_DECAY_MS, room) if self.base_service_time else room
        )
