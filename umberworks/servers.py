"""The servers that a balancer knows, and drawing them by capacity (the contract: umberworks/interface.py).

A draw with probability proportional to capacity is a rejection against a bound. Servers lie in buckets by
a power of two that their capacity can't pass: what is learned of a server only fades towards the usual
capacity, and calls in flight only lower it, so that a bound holds until the server serves again. A draw
takes a bucket by its whole bound, a server in it at random, and keeps it with probability capacity / bound.
The usual capacity is a bound at the least, and half of the servers reach it: a draw takes a few trials,
however many servers there are.
"""

from __future__ import annotations

import math
import random
from bisect import bisect, bisect_left
from collections.abc import Callable, Iterator
from itertools import accumulate

from umberworks import interface

EVIDENCE_DECAY_MS = (
    6_000.0  # evidence fades by 1/e over this; long enough for a few calls, short enough to recover
)
PRIOR_CALLS = 2.0  # calls' worth of belief in the median, so that one slow answer does not ruin an estimate
DRAWS = 4  # d of the design; with few calls out for each server a draw of 2 too often misses the free one
GOOD = 0.5  # of its usual capacity; below it a server is slow, cold or silent
TRIALS = 64  # that a pick makes before it gives up; then few servers are able, or none
RISE = 2.0  # bounds hold until the usual capacity has risen by this


Warmth = Callable[["Server", float], float]


class Server:
    """What is known of one server: its list entry, our calls there and the evidence on its capacity."""

    def __init__(self, member: interface.Member, now: float, rank: float, warmth: Warmth) -> None:
        self.member, self.rank, self.size = member, rank, 1.0
        self.warmth = warmth  # of a server at a moment: the part that it has of its capacity at the least
        self.listed_ready, self.eligible, self.last_served_at = (
            False,
            False,
            now,
        )  # ready by the list; and nobody took it out
        self.in_flight = 0  # m of the design, held slots of failures included
        self.calls_out = 0  # the same without these
        self.last_sent = -math.inf
        self.reattached_at = (
            0.0  # when it was last called back by hand: until the list tells, it started then
        )
        self.bucket: _Bucket | None = None  # while it is kept to
        self.index = 0  # in its bucket
        self.counted = 0.0  # calls of it that count as in memory while it is not kept to
        self.reset_evidence(now)

    def reset_evidence(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served, self.busy_ms, self.updated_at = 0.0, 0.0, now
        self.cold_window_ends_at, self.may_send_when_cold = now, False  # see slow_start.py
        self.mean_calls_out = float(
            self.calls_out
        )  # our calls there, in the mean over a third of that memory
        self.concurrency_limit, self.baseline_time = 0.0, 0.0  # see crowd.py; 0: not known
        self.recent_aims_ms, self.recent_calls = 0.0, 0.0  # served over that memory: aims in ms, calls
        self.concurrency_ceiling, self.rests_until = math.inf, 0.0  # see rest.py
        self.block_calls, self.block_aims_ms, self.block_call_ms, self.block_start = 0, 0.0, 0.0, now

    def catch_up(self, now: float) -> None:
        """Bring the evidence to `now`: calls in flight add time, and all of it fades."""
        gap = now - self.updated_at
        if gap > 0:
            fade = math.exp(-gap / EVIDENCE_DECAY_MS)
            self.served *= fade
            # The time that calls in flight add fades too: one long gap comes to as much as many short ones.
            # It counts as warm time: what a cold server shows tells what it will do once it is warm.
            self.busy_ms *= fade
            if self.in_flight:
                self.busy_ms += self.in_flight * EVIDENCE_DECAY_MS * (1 - fade) * self.warmth(self, now)
            third = fade * fade * fade
            self.mean_calls_out = self.calls_out + (self.mean_calls_out - self.calls_out) * third
            self.recent_aims_ms *= third
            self.recent_calls *= third
            self.block_call_ms += self.calls_out * gap
            self.updated_at = now

    def time_in_service(self) -> float:
        """How long its calls take now, in aims; 0 where it has served none of late."""
        return (
            self.mean_calls_out * EVIDENCE_DECAY_MS / 3 / self.recent_aims_ms if self.recent_aims_ms else 0.0
        )

    def capacity(self, usual: float, now: float) -> float:
        """c of the design when it is warm: served calls over our time in flight, leaning on what is usual."""
        self.catch_up(now)
        return (self.served + PRIOR_CALLS) / (self.busy_ms + PRIOR_CALLS / (usual * self.size))

    def bound(self, usual: float) -> float:
        """What its capacity can't pass from now on, unless it is what is usual; 0 without evidence."""
        if not self.served:
            return 0.0
        leaning = (self.served + PRIOR_CALLS) / (self.busy_ms + PRIOR_CALLS / (RISE * usual))
        return min(leaning, self.served / self.busy_ms) if self.busy_ms > 0 else leaning


class _Bucket:
    __slots__ = ("largest", "servers", "top")

    def __init__(self, top: float, largest: float) -> None:
        self.top, self.largest = top, largest  # no capacity for each size, and no size, is above these
        self.servers: list[Server] = []


class Draws:
    """A set of servers to draw from."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[int, int], _Bucket] = {}
        self._table: tuple[float, list[_Bucket], list[float]] | None = None

    def put(self, server: Server, usual: float) -> None:
        """Take a server in, or set its bound anew; `usual` is the capacity for each size."""
        bound, size = server.bound(usual * server.size) / server.size, server.size
        key = (math.frexp(bound)[1] if bound else -10_000, 0 if size == 1.0 else math.frexp(size)[1])
        bucket = self._buckets.get(key)
        if bucket is None:
            top = 2.0 ** key[0] if bound else 0.0
            bucket = self._buckets[key] = _Bucket(top, 1.0 if size == 1.0 else 2.0 ** key[1])
        if bucket is not server.bucket:
            self.drop(server)
            server.bucket, server.index = bucket, len(bucket.servers)
            bucket.servers.append(server)

    def drop(self, server: Server) -> None:
        """Let a server go, if it is in."""
        self._table = None
        bucket, server.bucket = server.bucket, None
        if bucket is not None:
            last = bucket.servers.pop()
            if last is not server:
                bucket.servers[server.index], last.index = last, server.index

    def table(self, usual: float) -> tuple[list[_Bucket], list[float]]:
        """The buckets that hold a server, and their whole bounds, each with those before it."""
        if self._table is None or self._table[0] != usual:
            buckets = [b for b in self._buckets.values() if b.servers]
            sums = list(accumulate(len(b.servers) * b.largest * max(b.top, usual) for b in buckets))
            self._table = (usual, buckets, sums)
        return self._table[1], self._table[2]

    def __iter__(self) -> Iterator[Server]:
        for bucket in list(self._buckets.values()):
            yield from list(bucket.servers)


class Fleet:
    """The ready servers in the order of their ranks; the first `keeps` of them can be drawn from."""

    def __init__(self) -> None:
        self.ready: list[Server] = []
        self.in_subset = Draws()
        self.subset_size = 0
        self._lowest = 1.0  # usual capacity since all bounds were set
        # Served calls in memory: of the kept ones as of a moment, of the others as of when they were let go.
        self._kept_calls, self._as_of, self._other_calls = 0.0, 0.0, 0.0

    def enter(self, server: Server, usual: float, now: float) -> None:
        """A server is ready."""
        i = bisect(self.ready, server.rank, key=_rank)
        self.ready.insert(i, server)
        self._take(server, i < self.subset_size, usual, now)
        server.eligible = True
        if i < self.subset_size < len(self.ready):
            self._take(self.ready[self.subset_size], False, usual, now)

    def leave(self, server: Server, usual: float, now: float) -> None:
        """A server is not ready any more."""
        i = bisect_left(self.ready, server.rank, key=_rank)
        while self.ready[i] is not server:
            i += 1
        del self.ready[i]
        self._let_go(server, now)
        server.eligible = False
        if i < self.subset_size <= len(self.ready):
            self._take(self.ready[self.subset_size - 1], True, usual, now)

    def resize_subset(self, count: int, usual: float, now: float) -> None:
        """Keep to so many."""
        for server in self.ready[self.subset_size : count]:
            self._take(server, True, usual, now)
        for server in self.ready[count : self.subset_size]:
            self._take(server, False, usual, now)
        self.subset_size = count

    def calls(self, now: float) -> float:
        """Served calls in memory, over all ready servers."""
        if now > self._as_of:
            self._kept_calls *= math.exp((self._as_of - now) / EVIDENCE_DECAY_MS)
            self._as_of = now
        return self._kept_calls + self._other_calls

    def served(self, server: Server, usual: float, now: float) -> None:
        """A server has served: its capacity may have risen."""
        if (bucket := server.bucket) is not None:
            self.calls(now)
            self._kept_calls += 1
            if not bucket.top / 4 < server.bound(usual * server.size) / server.size <= bucket.top:
                self.in_subset.put(server, usual)
        elif server.eligible:
            server.counted += 1
            self._other_calls += 1

    def is_usual(self, usual: float) -> None:
        """The usual capacity has changed."""
        if usual > RISE * self._lowest:
            for server in self.in_subset:
                self.in_subset.put(server, usual)
            self._lowest = usual
        self._lowest = min(self._lowest, usual)

    def _take(self, server: Server, in_subset: bool, usual: float, now: float) -> None:
        self._let_go(server, now)
        if in_subset:
            self._kept_calls += server.served
            self.in_subset.put(server, usual)
        else:
            server.counted = server.served
            self._other_calls += server.counted

    def _let_go(self, server: Server, now: float) -> None:
        self.calls(now)
        server.catch_up(now)
        if server.bucket is not None:
            self._kept_calls = max(self._kept_calls - server.served, 0.0)
            self.in_subset.drop(server)
        elif server.eligible:
            self._other_calls = max(self._other_calls - server.counted, 0.0)


def _rank(server: Server) -> float:
    return server.rank


class Pick:
    """The ordinary path: some servers drawn by capacity, and of these the one least loaded after this call.

    Of few calls our counts are mostly 0, and the fastest of four idle servers would always win: there
    (`sliver`) an idle server in good standing ends the draws, and shares follow capacity, no power of it.
    """

    def __init__(self, chance: random.Random, now: float, usual: float, cold: bool, sliver: bool) -> None:
        self._random, self._now, self._usual = chance.random, now, usual
        self._cold, self._sliver = cold, sliver  # not cold: all are warm
        self._best = (math.inf, 0.0, 0.0)
        self._chosen: Server | None = None

    def _offer(self, server: Server, capacity: float) -> bool:
        """Take note of a server that was drawn; whether it ends the draws."""
        load = ((server.in_flight + 1) / capacity, -capacity, self._random())
        if load < self._best:
            self._best, self._chosen = load, server
        return self._sliver and not server.in_flight and capacity >= GOOD * self._usual * server.size

    def of(self, able: list[Server]) -> Server | None:
        """The pick of a list, by a walk over it."""
        self._best, self._chosen = (math.inf, 0.0, 0.0), None
        if not able:
            return None
        usual, now = self._usual, self._now
        capacity = [s.capacity(usual, now) * (s.warmth(s, now) if self._cold else 1.0) for s in able]
        sums = list(accumulate(capacity))
        for _ in range(DRAWS):
            i = min(bisect(sums, self._random() * sums[-1]), len(able) - 1)
            if self._offer(able[i], capacity[i]):
                break
        return self._chosen or able[-1]

    def among(self, draws: Draws, test: Callable[[Server], bool] | None) -> Server | None:
        """The pick of a set's servers that pass a test; None if too few pass to be met with by chance."""
        usual, now, cold = self._usual, self._now, self._cold
        buckets, sums = draws.table(usual)
        drawn, whole, last = 0, sums[-1], len(sums) - 1
        for _ in range(TRIALS):
            x = self._random() * whole
            j = min(bisect(sums, x), last)
            bucket = buckets[j]
            i, part = divmod(x - (sums[j - 1] if j else 0.0), bucket.largest * max(bucket.top, usual))
            server = bucket.servers[min(int(i), len(bucket.servers) - 1)]
            capacity = server.capacity(usual, now)
            if cold:
                capacity *= server.warmth(server, now)
            if part < capacity and (test is None or test(server)):
                drawn += 1
                if self._offer(server, capacity) or drawn == DRAWS:
                    return self._chosen
        return None
