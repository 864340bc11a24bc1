"""Rests for servers that stay slow when the cause has gone (the contract: umberworks/interface.py).

A choked server works at a fraction of its speed until its cores have been nearly idle for some seconds.
Kept just busy enough, it never is. So when calls are refused for want of room, and most servers take far
longer than they used to, half of them are sent nothing for a while, and the other half when the first is
back at its speed. If it is as slow as before, it was not choked, and no other is rested.

Balancers rest the same servers at the same time without talking: they see the same majority slow, all
divide the ready servers by the order of their names, take the even places first, and end on a whole second
of the clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberworks.concurrency import GROWTH_FACTOR
from umberworks.servers import MEMORY_MS, Server

SLOW, MOST = 1.6, 0.5  # usual times in service from which a server is slow; the share that has to be slow
MIN_SLOW_MS = 3_500.0
FAST = 1.3  # the others' time during a first rest, up to which nobody was choked: the cause is over
WELL = 0.75  # of its time before the rest, up to which a group was choked
# What a server holds must end first, and balancers begin up to a second apart; then most need 3 s.
PAUSE_MS, GRID_MS, LONGER, LONGEST_MS = 5_000.0, 1_000.0, 1.5, 12_000.0
LEAST_CALLS = 4.0  # in memory, to judge a server
JUDGE_MS = 3_000.0  # after the rest; who has served too little by then tells nothing
DISABLED_MS = 60_000.0  # no rest for so long after one that was of no use
CONFIRMED_MS = 20_000.0  # after a rest that was of use the slow are taken for choked for so long
CEILING_FACTOR = 0.8  # of what it could hold that a server may hold after it was choked


class Recovery:
    """Who rests, and who is next."""

    def __init__(self) -> None:
        self._slow_since = [math.inf, math.inf, math.inf]  # of all, and of each half
        self._half = 0  # that rests, or rested last
        self._group: list[Server] = []  # that rests, or is not judged yet
        self._until, self._off_until, self._whole_until = 0.0, 0.0, 0.0
        self._sure_until = -math.inf
        self._before, self._span = 0.0, PAUSE_MS

    def update(self, ready: list[Server], short: bool, least: float, now: float) -> str:
        """Begin a rest, or judge the last one; to be called twice a second. The result is for the log.

        `short`: whether calls are refused for want of room. `least`: what a server may hold in any case.
        """
        for server in ready:
            server.catch_up(now)
        order = sorted(ready, key=lambda s: s.member.server)
        halves = (order[0::2], order[1::2])
        for i, some in enumerate((order, *halves)):
            slow = is_slow([s for s in some if s.rests_until <= now])
            self._slow_since[i] = min(self._slow_since[i], now) if slow else math.inf
        if now < self._until:
            others = [s for s in ready if s.rests_until <= now]
            over = now >= max(self._whole_until, self._sure_until) and are_most(others, False, FAST)
            if not others or over:
                self._whole_until = now + CONFIRMED_MS  # should it begin again, it is for the whole time
                self._free(now)
                return "the rest ends early: nobody is slow any more"
            return ""
        if self._group:
            return self._judge(halves, least, now)
        if not short or now < self._off_until or len(ready) < 2:
            return ""
        lasting = [now - since >= MIN_SLOW_MS for since in self._slow_since]
        if not lasting[0] and not (any(lasting) and now < self._sure_until):
            return ""
        even, odd = (sum(map(takes_long, half)) for half in halves)
        return self._begin(halves, int(odd > even), least, now)

    def _begin(self, halves: tuple[list[Server], list[Server]], half: int, least: float, now: float) -> str:
        self._half, self._group = half, halves[half]
        self._until = now // GRID_MS * GRID_MS + self._span
        self._before = time(self._group)
        for server in self._group:  # it choked with what it could hold, unless it was far from that
            server.rests_until = self._until
            server.ceiling = CEILING_FACTOR * min(max(server.carries / GROWTH_FACTOR, least), server.ceiling)
        return f"most servers are slow: {len(self._group)} of {sum(map(len, halves))} rest"

    def _judge(self, halves: tuple[list[Server], list[Server]], least: float, now: float) -> str:
        calls = sum(s.recent_calls for s in self._group if s.fit)
        if calls < 2 * LEAST_CALLS * len(self._group) and now - self._until < JUDGE_MS:
            return ""
        group, self._group = self._group, []
        if time(group) > WELL * self._before:
            if now >= self._sure_until:
                self._off_until = now + DISABLED_MS
                for server in group:
                    server.ceiling = math.inf
                return "a rest was of no use: the servers are slow, not choked"
            self._span = min(LONGER * self._span, LONGEST_MS)
            return f"a rest was too short; the next takes {self._span / 1000:.1f} s"
        self._sure_until = now + CONFIRMED_MS
        said = f"{len(group)} servers are back at their speed after a rest"
        if is_slow(halves[1 - self._half]):
            said += "; " + self._begin(halves, 1 - self._half, least, now)
        return said

    def _free(self, now: float) -> None:
        self._until = now
        for server in self._group:
            server.rests_until, server.ceiling = now, math.inf
        self._group = []


def tells(server: Server) -> bool:
    """Whether it has served enough of late to be judged."""
    return server.recent_calls >= LEAST_CALLS and server.usual_time > 0


def takes_long(server: Server, than: float = SLOW) -> bool:
    """Whether it takes so many times its usual time."""
    return tells(server) and server.time() >= than * server.usual_time


def are_most(servers: list[Server], slow: bool, than: float) -> bool:
    """Whether most of the servers that tell take so many times their usual time, or do not."""
    known = [s for s in servers if tells(s)]
    return sum(takes_long(s, than) is slow for s in known) > MOST * len(known)


def is_slow(servers: list[Server]) -> bool:
    """Whether most of the servers that tell take long."""
    return are_most(servers, True, SLOW)


def time(servers: Iterable[Server]) -> float:
    """The mean time in service of some servers, in aims; 0 where they have served none of late."""
    crowd, recent = 0.0, 0.0
    for server in servers:
        crowd += server.crowd
        recent += server.recent
    return crowd * MEMORY_MS / 3 / recent if recent else 0.0
