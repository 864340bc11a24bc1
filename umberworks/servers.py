"""The servers known to a balancer, and sampling them by capacity (interface: umberworks/interface.py).

Servers are sampled with probability proportional to their capacity, by rejection sampling. They lie in
buckets by an upper bound of their capacity, a power of two. A bound holds until the server serves a call
again, since evidence only decays towards the median capacity and calls in flight only lower the estimate. A
trial picks a bucket with probability proportional to the sum of its bounds and a server in it at random, and
accepts the server with probability capacity / bound. No bound is below the median capacity, which half of the
servers reach, so sampling takes a few trials, however many servers there are.
"""

from __future__ import annotations

import math
import random
from bisect import bisect, bisect_left
from collections.abc import Callable, Iterator
from itertools import accumulate

from umberworks import interface

EVIDENCE_DECAY_MS = 6_000.0  # time constant: long enough for a few calls, short enough to recover
PRIOR_CALLS = 2.0  # weight of the median in an estimate, in calls, so that one slow answer does not ruin it
CHOICES = 4  # servers compared in a pick; with few calls out per server, 2 too often miss the idle one
GOOD_SHARE = 0.5  # a server below this share of the median capacity is slow, cold or silent
MAX_TRIALS = 64  # trials of a pick before it gives up: then few servers, or none, are acceptable
MAX_MEDIAN_RISE = 2.0  # the factor by which the median capacity may rise before all bounds are set anew


# The share of its capacity, above 0 and up to 1, that a server has at least at a given time.
Warmth = Callable[["Server", float], float]


class Server:
    """A server's list entry, this balancer's calls in flight there, and the evidence on its capacity."""

    def __init__(self, member: interface.Member, now: float, rank: float, warmth: Warmth) -> None:
        self.member, self.rank, self.size = member, rank, 1.0
        self.in_group_since = now  # when the list first showed it in its present zone and cell
        self.warmth = warmth
        # Ready according to the list; ready and not detached by an operator; when it last served a call.
        self.listed_ready, self.eligible, self.last_served_at = False, False, now
        self.in_flight = 0  # calls in flight, including the slots that failed calls still hold
        self.calls_out = 0  # calls in flight without those slots
        self.last_sent = -math.inf
        # When an operator last attached it again; counts as its start until the list says otherwise.
        self.reattached_at = 0.0
        self.bucket: _Bucket | None = None  # its bucket while it is in the subset
        self.index = 0  # its position in that bucket
        self.calls_outside_subset = 0.0  # what it adds to `Fleet._other_calls` while it is not in the subset
        self.reset_evidence(now)

    def set_member(self, member: interface.Member, now: float) -> None:
        """Take over its new list entry; one that says that it is gone tells nothing of its zone and cell."""
        if member.readiness is interface.Readiness.GONE:
            return
        if (member.zone, member.cell) != (self.member.zone, self.member.cell):
            self.in_group_since = now
        self.member = member

    def reset_evidence(self, now: float) -> None:
        """Drop the evidence, as the process that it was about has been replaced or may have been."""
        # Served calls and the time that calls were in flight, both decayed up to `updated_at`.
        self.served, self.busy_ms, self.updated_at = 0.0, 0.0, now
        self.cold_window_ends_at, self.may_send_when_cold = now, False  # see slow_start.py
        self.mean_calls_out = float(self.calls_out)  # decayed mean, three times as fast as `served`
        self.concurrency_limit, self.baseline_time = 0.0, 0.0  # see concurrency.py; 0: not known
        self.recent_aims_ms, self.recent_calls = 0.0, 0.0  # of served calls, decayed as fast as that mean
        self.concurrency_ceiling, self.rests_until = math.inf, 0.0  # see recovery.py
        # The measurement block of concurrency.py: served calls, their aims, calls out times ms, start.
        self.block_calls, self.block_aims_ms, self.block_call_ms, self.block_start = 0, 0.0, 0.0, now

    def catch_up(self, now: float) -> None:
        """Bring the evidence up to `now`: add the time of calls in flight, and let all of it decay."""
        gap = now - self.updated_at
        if gap > 0:
            fade = math.exp(-gap / EVIDENCE_DECAY_MS)
            self.served *= fade
            # The time that calls in flight add decays within the gap: one long gap adds as much as many short
            # ones. It is scaled by the warmth, so that the estimate is of the capacity when warm.
            self.busy_ms *= fade
            if self.in_flight:
                self.busy_ms += self.in_flight * EVIDENCE_DECAY_MS * (1 - fade) * self.warmth(self, now)
            fast_fade = fade * fade * fade
            self.mean_calls_out = self.calls_out + (self.mean_calls_out - self.calls_out) * fast_fade
            self.recent_aims_ms *= fast_fade
            self.recent_calls *= fast_fade
            self.block_call_ms += self.calls_out * gap
            self.updated_at = now

    def time_in_service(self) -> float:
        """Mean time in service of recent calls, as a multiple of their aims; 0 without recent calls."""
        return (
            self.mean_calls_out * EVIDENCE_DECAY_MS / 3 / self.recent_aims_ms if self.recent_aims_ms else 0.0
        )

    def capacity(self, median: float, now: float) -> float:
        """Estimate of its capacity when warm, in calls per ms in flight, with the median as a prior."""
        self.catch_up(now)
        return (self.served + PRIOR_CALLS) / (self.busy_ms + PRIOR_CALLS / (median * self.size))

    def capacity_bound(self, median: float) -> float:
        """Upper bound of its capacity until it serves again, unless the median is higher; 0: no evidence."""
        if not self.served:
            return 0.0
        estimate = (self.served + PRIOR_CALLS) / (self.busy_ms + PRIOR_CALLS / (MAX_MEDIAN_RISE * median))
        return min(estimate, self.served / self.busy_ms) if self.busy_ms > 0 else estimate


class _Bucket:
    """Servers whose capacity per size is at most `top_capacity`, and whose size at most `largest_size`."""

    __slots__ = ("largest_size", "servers", "top_capacity")

    def __init__(self, top_capacity: float, largest_size: float) -> None:
        self.top_capacity, self.largest_size = top_capacity, largest_size
        self.servers: list[Server] = []


class ServerSampler:
    """A set of servers that can be sampled by capacity."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[int, int], _Bucket] = {}
        self._table: tuple[float, list[_Bucket], list[float]] | None = None

    def put(self, server: Server, median: float) -> None:
        """Add a server, or set its bound anew; `median` is the median capacity per size."""
        bound, size = server.capacity_bound(median * server.size) / server.size, server.size
        key = (math.frexp(bound)[1] if bound else -10_000, 0 if size == 1.0 else math.frexp(size)[1])
        bucket = self._buckets.get(key)
        if bucket is None:
            top_capacity = 2.0 ** key[0] if bound else 0.0
            bucket = self._buckets[key] = _Bucket(top_capacity, 1.0 if size == 1.0 else 2.0 ** key[1])
        if bucket is not server.bucket:
            self.drop(server)
            server.bucket, server.index = bucket, len(bucket.servers)
            bucket.servers.append(server)

    def drop(self, server: Server) -> None:
        """Remove a server, if it is in the set."""
        self._table = None
        bucket, server.bucket = server.bucket, None
        if bucket is not None:
            last = bucket.servers.pop()
            if last is not server:
                bucket.servers[server.index], last.index = last, server.index

    def cumulative_bounds(self, median: float) -> tuple[list[_Bucket], list[float]]:
        """The buckets that aren't empty, and the cumulative sums of the bounds of all their servers."""
        if self._table is None or self._table[0] != median:
            buckets = [b for b in self._buckets.values() if b.servers]
            sums = list(
                accumulate(len(b.servers) * b.largest_size * max(b.top_capacity, median) for b in buckets)
            )
            self._table = (median, buckets, sums)
        return self._table[1], self._table[2]

    def __iter__(self) -> Iterator[Server]:
        for bucket in list(self._buckets.values()):
            yield from list(bucket.servers)


class Fleet:
    """The eligible servers in order of rank; the first `subset_size` of them are the subset that is used.

    Each balancer draws its own random ranks, so that the subsets of many balancers cover the fleet.
    """

    def __init__(self) -> None:
        self.ready: list[Server] = []
        self.in_subset = ServerSampler()
        self.subset_size = 0
        self._lowest_median = 1.0  # lowest median capacity since all bounds were last set
        # Decayed served calls: of the subset as of a time, and of the others as of when each left the subset.
        self._subset_calls, self._subset_calls_at, self._other_calls = 0.0, 0.0, 0.0

    def add(self, server: Server, median: float, now: float) -> None:
        """Add a server that has become eligible."""
        i = bisect(self.ready, server.rank, key=_rank)
        self.ready.insert(i, server)
        self._assign(server, i < self.subset_size, median, now)
        server.eligible = True
        if i < self.subset_size < len(self.ready):
            self._assign(self.ready[self.subset_size], False, median, now)

    def remove(self, server: Server, median: float, now: float) -> None:
        """Remove a server that is not eligible any more."""
        i = bisect_left(self.ready, server.rank, key=_rank)
        while self.ready[i] is not server:
            i += 1
        del self.ready[i]
        self._unassign(server, now)
        server.eligible = False
        if i < self.subset_size <= len(self.ready):
            self._assign(self.ready[self.subset_size - 1], True, median, now)

    def resize_subset(self, count: int, median: float, now: float) -> None:
        """Make the first `count` servers by rank the subset."""
        for server in self.ready[self.subset_size : count]:
            self._assign(server, True, median, now)
        for server in self.ready[count : self.subset_size]:
            self._assign(server, False, median, now)
        self.subset_size = count

    def decayed_calls(self, now: float) -> float:
        """Decayed number of served calls, over all eligible servers."""
        if now > self._subset_calls_at:
            self._subset_calls *= math.exp((self._subset_calls_at - now) / EVIDENCE_DECAY_MS)
            self._subset_calls_at = now
        return self._subset_calls + self._other_calls

    def served(self, server: Server, median: float, now: float) -> None:
        """Count a served call, and update the server's bound, as its capacity may have risen."""
        if (bucket := server.bucket) is not None:
            self.decayed_calls(now)
            self._subset_calls += 1
            if (
                not bucket.top_capacity / 4
                < server.capacity_bound(median * server.size) / server.size
                <= bucket.top_capacity
            ):
                self.in_subset.put(server, median)
        elif server.eligible:
            server.calls_outside_subset += 1
            self._other_calls += 1

    def median_changed(self, median: float) -> None:
        """Set all bounds anew if the median capacity has risen too far since they were last set."""
        if median > MAX_MEDIAN_RISE * self._lowest_median:
            for server in self.in_subset:
                self.in_subset.put(server, median)
            self._lowest_median = median
        self._lowest_median = min(self._lowest_median, median)

    def _assign(self, server: Server, in_subset: bool, median: float, now: float) -> None:
        self._unassign(server, now)
        if in_subset:
            self._subset_calls += server.served
            self.in_subset.put(server, median)
        else:
            server.calls_outside_subset = server.served
            self._other_calls += server.calls_outside_subset

    def _unassign(self, server: Server, now: float) -> None:
        self.decayed_calls(now)
        server.catch_up(now)
        if server.bucket is not None:
            self._subset_calls = max(self._subset_calls - server.served, 0.0)
            self.in_subset.drop(server)
        elif server.eligible:
            self._other_calls = max(self._other_calls - server.calls_outside_subset, 0.0)


def _rank(server: Server) -> float:
    return server.rank


class ServerPicker:
    """Samples some servers by capacity, and picks the one with the lowest load after this call.

    Where calls are few (`sparse`), most counts of calls in flight are 0, and the fastest of the sampled
    servers would always win. There an idle server of good capacity ends the sampling, so that the servers'
    shares of the calls are proportional to their capacity, and not to a power of it.
    """

    def __init__(self, rng: random.Random, now: float, median: float, cold: bool, sparse: bool) -> None:
        self._random, self._now, self._median = rng.random, now, median
        self._cold, self._sparse = cold, sparse  # whether a server may be cold; whether calls are few
        self._best = (math.inf, 0.0, 0.0)
        self._chosen: Server | None = None

    def _consider(self, server: Server, capacity: float) -> bool:
        """Compare a sampled server with the best one so far; whether to stop sampling."""
        load = ((server.in_flight + 1) / capacity, -capacity, self._random())
        if load < self._best:
            self._best, self._chosen = load, server
        return self._sparse and not server.in_flight and capacity >= GOOD_SHARE * self._median * server.size

    def pick_from(self, candidates: list[Server]) -> Server | None:
        """Pick one of a list, whose capacities are all computed; None only if the list is empty."""
        self._best, self._chosen = (math.inf, 0.0, 0.0), None
        if not candidates:
            return None
        median, now = self._median, self._now
        capacity = [s.capacity(median, now) * (s.warmth(s, now) if self._cold else 1.0) for s in candidates]
        sums = list(accumulate(capacity))
        for _ in range(CHOICES):
            i = min(bisect(sums, self._random() * sums[-1]), len(candidates) - 1)
            if self._consider(candidates[i], capacity[i]):
                break
        return self._chosen or candidates[-1]

    def pick_sampled(self, sampler: ServerSampler, accepts: Callable[[Server], bool] | None) -> Server | None:
        """Pick an acceptable server of a set; None if sampling does not find `CHOICES` of them in time."""
        median, now, cold = self._median, self._now, self._cold
        buckets, sums = sampler.cumulative_bounds(median)
        drawn, total, last = 0, sums[-1], len(sums) - 1
        for _ in range(MAX_TRIALS):
            position = self._random() * total
            j = min(bisect(sums, position), last)
            bucket = buckets[j]
            i, offset = divmod(
                position - (sums[j - 1] if j else 0.0), bucket.largest_size * max(bucket.top_capacity, median)
            )
            server = bucket.servers[min(int(i), len(bucket.servers) - 1)]
            capacity = server.capacity(median, now)
            if cold:
                capacity *= server.warmth(server, now)
            if offset < capacity and (accepts is None or accepts(server)):
                drawn += 1
                if self._consider(server, capacity) or drawn == CHOICES:
                    return self._chosen
        return None
