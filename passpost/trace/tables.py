"""A day's entries of all balancers added up, and one request followed through them. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from passpost.trace.model import End, Entry

Row = tuple[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class Step:
    """One balancer's part of a request."""

    balancer: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Tables:
    """Counts: requests by second since the first and by reason, attempts by upstream."""

    seconds: tuple[Row, ...]
    upstreams: tuple[Row, ...]
    reasons: tuple[Row, ...]


def add_up(steps: Iterable[Step]) -> Tables:
    """The tables. Seconds count from the first request of all; upstreams come by failed attempts, reasons by count."""
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    upstreams: dict[str, Counter[str]] = defaultdict(Counter)
    reasons: dict[str, Counter[str]] = defaultdict(Counter)
    for step in steps:
        entry = step.entry
        second = seconds[entry.at_ms // 1000]
        second["requests"] += 1
        second[entry.end.value] += 1
        second["attempts"] += len(entry.tries)
        for one in entry.tries:
            upstreams[one.server]["attempts"] += 1
            upstreams[one.server][one.outcome] += 1
        if entry.end is not End.SERVED:
            reasons[f"{entry.end.value}:{entry.reason()}"][step.balancer] += 1
    first = min(seconds, default=0)
    return Tables(
        tuple((str(at - first), dict(seconds[at])) for at in sorted(seconds)),
        tuple((n, dict(upstreams[n])) for n in sorted(upstreams, key=lambda n: (-_lost(upstreams[n]), n))),
        tuple((n, _spread(reasons[n])) for n in sorted(reasons, key=lambda n: (-reasons[n].total(), n))),
    )


def _lost(counts: Counter[str]) -> int:
    return counts["attempts"] - counts["served"]


def _spread(by_balancer: Counter[str]) -> dict[str, int]:
    """How many, over how many balancers, and the most at one: whether all refuse, or a few."""
    return {
        "requests": by_balancer.total(),
        "balancers": len(by_balancer),
        "most_at_one": max(by_balancer.values()),
    }


def follow(steps: Iterable[Step], txn: str) -> list[Step]:
    """The parts of one request, in the order in which balancers took it up.

    Calls of later tiers have ids of their own (PROTOCOL), which an upstream's own words must tell.
    """
    return sorted((s for s in steps if s.entry.txn == txn), key=lambda s: (s.entry.at_ms, s.balancer))
