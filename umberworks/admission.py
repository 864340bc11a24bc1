"""Admission control: limits the calls in flight by their time in service (contract: umberworks/interface.py).

The time in service of a call is measured in aims, that is, divided by the target time of its class.
"""

from __future__ import annotations

import math

BASE_CALLS = 30  # served calls per measurement of the service time; in the first one servers are still idle
# The base service time grows by a factor of e over this span: a fleet that stays slower regains its limit.
BASE_DRIFT_MS = 100_000.0
RATE_DECAY_MS = 2_000.0  # time constant of the exponential decay of this balancer's rate of served calls
MIN_LIMIT_PER_SERVER = 4.0  # calls in flight per ready server, over all balancers, that are always admitted
MIN_LIMIT = 16.0  # calls in flight that a balancer admits while service times stay close to the base
# Ratio of service time to base up to which MIN_LIMIT applies in full, and from which it does not apply.
MIN_LIMIT_FULL_RATIO, MIN_LIMIT_NONE_RATIO = 1.5, 2.0
# Mean service time, in aims, from which some requests are refused, and from which all are.
REFUSE_SOME_LOAD, REFUSE_ALL_LOAD = 0.3, 0.55
OVER_QUOTA_LOAD = 0.2  # tenants over their quota are refused at a load lower by this
# With more than MANY_BALANCERS no limit applies while the mean service time is below UNLIMITED_LOAD aims.
MANY_BALANCERS, UNLIMITED_LOAD = 7, 0.2
MIN_ADMIT_PROBABILITY = 0.05  # some requests are always admitted, to notice when the overload has ended
# The load includes this many calls that took no time, so that a few slow calls cause no refusals.
PRIOR_CALLS = 2.0


class AdmissionControl:
    """Counts the calls in flight and measures their time in service, in aims of their classes."""

    def __init__(self, balancers: int) -> None:
        self._balancers = balancers
        self.in_flight = 0
        # Both with exponential decay: the aims of served calls, and the time that calls were in flight.
        self._served_aims_ms, self._in_flight_time_ms, self._updated_at = 0.0, 0.0, 0.0
        # The current measurement block: served calls, their aims, time that calls were in flight, start.
        self._block_calls, self._block_aims_ms, self._block_time_ms, self._block_start = 0, 0.0, 0.0, 0.0
        # The last and the lowest time in service, in aims; 0 before the first measurement.
        self.mean_service_time, self.base_service_time = 0.0, 0.0

    def catch_up(self, now: float) -> None:
        """Update the measurements to `now`: add the time of the calls in flight and apply the decay."""
        elapsed = now - self._updated_at
        if elapsed > 0:
            decay = math.exp(-elapsed / RATE_DECAY_MS)
            self._served_aims_ms *= decay
            self._in_flight_time_ms = self._in_flight_time_ms * decay + self.in_flight * RATE_DECAY_MS * (
                1 - decay
            )
            self._block_time_ms += self.in_flight * elapsed
            # The exponent is capped, as the balancer may have been idle for hours.
            self.base_service_time = min(
                self.base_service_time * math.exp(min(elapsed / BASE_DRIFT_MS, 1.0)), 1.0
            )
            self._updated_at = now

    def record_served(self, aim_ms: float, now: float) -> None:
        """Count a served call, and finish the measurement block if it is complete."""
        self._block_calls += 1
        self._served_aims_ms += aim_ms
        self._block_aims_ms += aim_ms
        if self._block_calls >= BASE_CALLS and (
            not self.base_service_time or now - self._block_start >= RATE_DECAY_MS
        ):
            self.mean_service_time = self._block_time_ms / self._block_aims_ms
            self.base_service_time = min(self.base_service_time or math.inf, self.mean_service_time)
            self._block_calls, self._block_aims_ms, self._block_time_ms, self._block_start = 0, 0.0, 0.0, now

    def load(self, aim_ms: float) -> float:
        """The mean time in service, in aims, with a prior for a class with this aim."""
        return self._in_flight_time_ms / (self._served_aims_ms + PRIOR_CALLS * aim_ms)

    def admit_probability(self, aim_ms: float, over_quota: bool) -> float:
        """The share of the requests of a class to admit at the current load."""
        probability = (REFUSE_ALL_LOAD - self.load(aim_ms) - OVER_QUOTA_LOAD * over_quota) / (
            REFUSE_ALL_LOAD - REFUSE_SOME_LOAD
        )
        return max(probability, MIN_ADMIT_PROBABILITY)

    def limit(self, ready: int) -> float:
        """How many calls may be in flight with so many ready servers.

        More calls than a server's capacity only queue there, and a server that holds too many slows down.
        """
        if (
            self._balancers > MANY_BALANCERS
            and self._in_flight_time_ms < UNLIMITED_LOAD * self._served_aims_ms
        ):
            return math.inf
        servers_per_balancer = ready / self._balancers
        # One queued call per server on top of the calls in service at the base service time. With a factor
        # instead of this sum the limit would keep shrinking once calls take longer than the factor allows.
        with_queue = servers_per_balancer + self.base_service_time * self._served_aims_ms / RATE_DECAY_MS
        base_time_ms = self.base_service_time * self._served_aims_ms
        slowdown = self._in_flight_time_ms / base_time_ms if base_time_ms else 1.0
        min_limit_share = min(
            max((MIN_LIMIT_NONE_RATIO - slowdown) / (MIN_LIMIT_NONE_RATIO - MIN_LIMIT_FULL_RATIO), 0.0), 1.0
        )
        min_limit = min_limit_share * min(MIN_LIMIT, MIN_LIMIT_PER_SERVER * ready)
        mean_limit = max(MIN_LIMIT_PER_SERVER * servers_per_balancer, with_queue, min_limit)
        # Bursts do no harm, sustained overload does: once the base is known, `mean_limit` bounds the mean
        # number of calls in flight, and a burst may reach twice that.
        return (
            2 * mean_limit - min(self._in_flight_time_ms / RATE_DECAY_MS, mean_limit)
            if self.base_service_time
            else mean_limit
        )
