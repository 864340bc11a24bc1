"""Reference implementation of picking a server, by a walk over all of them.

`Balancer._pick` samples servers instead, and must pick them with the same distribution.
"""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate
from typing import Any

from umberworks.interface import DedupScope, Effect
from umberworks.rules import Balancer
from umberworks.servers import CHOICES, GOOD_SHARE, Server


def candidates(balancer: Balancer, request: Any, now: float) -> list[Server]:
    """The servers that the next attempt may go to."""
    settings, fleet, cls = balancer._settings, balancer._fleet, request.cls
    ran = next((a for a in request.attempts if a.ran), None)
    if request.is_out() and not settings.may_duplicate:
        return []
    if ran is None or cls.effect is Effect.REPEATABLE:
        found = fleet.ready[: fleet.subset_size]
    elif cls.effect is Effect.ONCE or now >= ran.sent + cls.dedup_window_ms - settings.tick_ms:
        return []
    else:
        found = [s for s in fleet.ready if s.member.up_since_ms <= ran.sent]
        if cls.dedup_scope is not DedupScope.ALL:
            place = "zone" if cls.dedup_scope is DedupScope.ZONE else "cell"
            found = [s for s in found if getattr(s.member, place) == getattr(ran.server.member, place)]
    if now < balancer._slow_start.cold_until:
        found = [s for s in found if balancer._slow_start.admits(s, now)]
    if request.attempts:
        tried = [a.server for a in request.attempts]
        found = [s for s in found if s not in tried] or found
    return found


def pick(balancer: Balancer, request: Any, now: float) -> Server | None:
    """Computes the capacity of each candidate, and compares `CHOICES` of them drawn by capacity."""
    median = balancer._refresh_median(now)
    found = candidates(balancer, request, now)
    if not found:
        return None
    capacity = []
    for server in found:
        warmth = balancer._slow_start.warmth(server, now) if now < balancer._slow_start.cold_until else 1.0
        capacity.append(server.capacity(median, now) * warmth)
    sums = list(accumulate(capacity))
    best, chosen = (math.inf, 0.0, 0.0), found[-1]
    for _ in range(CHOICES):
        i = min(bisect(sums, balancer._random.random() * sums[-1]), len(found) - 1)
        load = ((found[i].in_flight + 1) / capacity[i], -capacity[i], balancer._random.random())
        if load < best:
            best, chosen = load, found[i]
        if balancer._sparse and not found[i].in_flight and capacity[i] >= GOOD_SHARE * median * found[i].size:
            break
    return chosen
