"""Pauses traffic to servers that stay slow after the cause has gone (contract: umberworks/interface.py).

A congested server ("choked" in the log) works at a fraction of its speed until its cores have been nearly
idle for some seconds, which never happens while it gets just enough calls to stay busy. So when calls are
refused by the limit on calls in flight, and most servers take much longer than usual, half of the servers
are sent nothing for a while (they "rest", in the log), and the other half when the first is back at its
speed. If the first half is as slow as before, it was not congested, and no other server is paused.

Balancers pause the same servers at the same time without communicating: they see the same majority slow,
all split the ready servers by the order of their names, begin with the even positions, and end a pause at a
whole second of the clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberworks.concurrency import GROWTH_FACTOR
from umberworks.servers import EVIDENCE_DECAY_MS, Server

# Ratio of service time to usual service time from which a server is slow, and the share that has to be
# exceeded by the slow servers.
SLOW_RATIO, SLOW_SHARE = 1.6, 0.5
MIN_SLOW_MS = 3_500.0  # how long most servers have to be slow before a pause
# Ratio up to which the other servers count as fast during a first pause: then the cause has ended, and
# there was no congestion.
FAST_RATIO = 1.3
RECOVERED_RATIO = 0.75  # of the service times after and before a pause, up to which a group was congested
# The calls that a server holds have to end first, and balancers begin up to a second apart; after that most
# servers need 3 s. Pauses end on the grid; after one that was too short the next is longer by the factor.
PAUSE_MS, GRID_MS, LONGER_FACTOR, MAX_PAUSE_MS = 5_000.0, 1_000.0, 1.5, 12_000.0
MIN_CALLS = 4.0  # recent served calls, after decay, that it takes to judge a server
JUDGE_MS = 3_000.0  # after a pause; servers with too few calls by then are ignored
DISABLED_MS = 60_000.0  # no pause for this long after one that had no effect
CONFIRMED_MS = 20_000.0  # for this long after an effective pause, slow servers are assumed to be congested
CEILING_FACTOR = 0.8  # share of its limit that a server may hold after it was congested


class Recovery:
    """Decides which servers are paused, and which ones next."""

    def __init__(self) -> None:
        self._slow_since = [math.inf, math.inf, math.inf]  # of all servers, and of each half
        self._paused_half = 0  # the half that is paused, or was paused last
        self._paused: list[Server] = []  # the servers that are paused, or not judged yet
        self._pause_ends, self._disabled_until, self._full_pause_until = 0.0, 0.0, 0.0
        self._confirmed_until = -math.inf
        self._time_before, self._pause_ms = 0.0, PAUSE_MS

    def update(self, ready: list[Server], refusing: bool, min_limit: float, now: float) -> str:
        """Begin a pause, or judge the last one; to be called twice a second. Returns a log line or "".

        `refusing`: whether calls are refused by the limit on calls in flight. `min_limit`: the lower bound of
        each server's own limit.
        """
        for server in ready:
            server.catch_up(now)
        by_name = sorted(ready, key=lambda s: s.member.server)
        halves = (by_name[0::2], by_name[1::2])
        for i, group in enumerate((by_name, *halves)):
            slow = most_are_slow([s for s in group if s.rests_until <= now])
            self._slow_since[i] = min(self._slow_since[i], now) if slow else math.inf
        if now < self._pause_ends:
            others = [s for s in ready if s.rests_until <= now]
            cause_ended = now >= max(self._full_pause_until, self._confirmed_until) and most_are(
                others, False, FAST_RATIO
            )
            if not others or cause_ended:
                # If the servers become slow again soon, the next pause is not ended early.
                self._full_pause_until = now + CONFIRMED_MS
                self._end_pause(now)
                return "the rest ends early: nobody is slow any more"
            return ""
        if self._paused:
            return self._judge(halves, min_limit, now)
        if not refusing or now < self._disabled_until or len(ready) < 2:
            return ""
        slow_for_long = [now - since >= MIN_SLOW_MS for since in self._slow_since]
        if not slow_for_long[0] and not (any(slow_for_long) and now < self._confirmed_until):
            return ""
        even, odd = (sum(map(exceeds_usual_time, half)) for half in halves)
        return self._begin(halves, int(odd > even), min_limit, now)

    def _begin(
        self, halves: tuple[list[Server], list[Server]], half: int, min_limit: float, now: float
    ) -> str:
        self._paused_half, self._paused = half, halves[half]
        self._pause_ends = now // GRID_MS * GRID_MS + self._pause_ms
        self._time_before = mean_service_time(self._paused)
        # The servers became congested at their limits, unless they held far fewer calls.
        for server in self._paused:
            server.rests_until = self._pause_ends
            server.concurrency_ceiling = CEILING_FACTOR * min(
                max(server.concurrency_limit / GROWTH_FACTOR, min_limit), server.concurrency_ceiling
            )
        return f"most servers are slow: {len(self._paused)} of {sum(map(len, halves))} rest"

    def _judge(self, halves: tuple[list[Server], list[Server]], min_limit: float, now: float) -> str:
        calls = sum(s.recent_calls for s in self._paused if s.eligible)
        if calls < 2 * MIN_CALLS * len(self._paused) and now - self._pause_ends < JUDGE_MS:
            return ""
        group, self._paused = self._paused, []
        if mean_service_time(group) > RECOVERED_RATIO * self._time_before:
            if now >= self._confirmed_until:
                self._disabled_until = now + DISABLED_MS
                for server in group:
                    server.concurrency_ceiling = math.inf
                return "a rest was of no use: the servers are slow, not choked"
            self._pause_ms = min(LONGER_FACTOR * self._pause_ms, MAX_PAUSE_MS)
            return f"a rest was too short; the next takes {self._pause_ms / 1000:.1f} s"
        self._confirmed_until = now + CONFIRMED_MS
        message = f"{len(group)} servers are back at their speed after a rest"
        if most_are_slow(halves[1 - self._paused_half]):
            message += "; " + self._begin(halves, 1 - self._paused_half, min_limit, now)
        return message

    def _end_pause(self, now: float) -> None:
        self._pause_ends = now
        for server in self._paused:
            server.rests_until, server.concurrency_ceiling = now, math.inf
        self._paused = []


def has_enough_calls(server: Server) -> bool:
    """Whether a server has served enough calls lately to be judged."""
    return server.recent_calls >= MIN_CALLS and server.baseline_time > 0


def exceeds_usual_time(server: Server, ratio: float = SLOW_RATIO) -> bool:
    """Whether a server takes at least so many times its usual service time."""
    return has_enough_calls(server) and server.time_in_service() >= ratio * server.baseline_time


def most_are(servers: list[Server], slow: bool, ratio: float) -> bool:
    """Whether most of the servers that can be judged take at least `ratio` times their usual service time.

    With `slow` false: whether most of them take less than that.
    """
    judged = [s for s in servers if has_enough_calls(s)]
    return sum(exceeds_usual_time(s, ratio) is slow for s in judged) > SLOW_SHARE * len(judged)


def most_are_slow(servers: list[Server]) -> bool:
    """Whether most of the servers that can be judged are slow."""
    return most_are(servers, True, SLOW_RATIO)


def mean_service_time(servers: Iterable[Server]) -> float:
    """The mean time in service at some servers, in aims; 0 where they have served nothing lately."""
    in_flight, recent = 0.0, 0.0
    for server in servers:
        in_flight += server.mean_calls_out
        recent += server.recent_aims_ms
    return in_flight * EVIDENCE_DECAY_MS / 3 / recent if recent else 0.0
