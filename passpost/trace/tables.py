"""A day's entries of all balancers added up, and one request followed through them. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from passpost.trace.model import Call, End, Entry

Row = tuple[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class Step:
    """One balancer's part of a request."""

    balancer: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Asked:
    """One balancer's call for the list."""

    balancer: str
    call: Call


@dataclass(frozen=True, slots=True)
class Tables:
    """Counts: requests by second since the first and by reason, attempts by upstream."""

    seconds: tuple[Row, ...]
    upstreams: tuple[Row, ...]
    reasons: tuple[Row, ...]


def add_up(steps: Iterable[Step | Asked]) -> Tables:
    """The tables. Seconds count from the first request of all; upstreams come by failed attempts, reasons by count."""
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    upstreams: dict[str, Counter[str]] = defaultdict(Counter)
    reasons: dict[str, Counter[str]] = defaultdict(Counter)
    for step in steps:
        if isinstance(step, Asked):
            continue
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


def follow(steps: Iterable[Step | Asked], txn: str) -> list[Step]:
    """The parts of one request, in the order in which balancers took it up.

    Calls of later tiers have ids of their own (PROTOCOL), which an upstream's own words must tell.
    """
    found = (s for s in steps if isinstance(s, Step) and s.entry.txn == txn)
    return sorted(found, key=lambda s: (s.entry.at_ms, s.balancer))


@dataclass(frozen=True, slots=True)
class Moment:
    """Something that happened around a server; `at_ms` is Unix time in milliseconds."""

    at_ms: int
    balancer: str
    text: str
    late_ms: int = 0  # of what went out: how long ago the first balancer had heard that the server leaves


def around(steps: Iterable[Step | Asked], server: str, balancer: str | None = None) -> list[Moment]:
    """What balancers heard of a server's leaving and what went out to it, in order of time.

    With `balancer` its calls for the list are in it too, whatever they told, and no other balancer's sends.
    """
    heard, sent = [], []
    for step in steps:
        ours = balancer in (None, step.balancer)
        if isinstance(step, Asked):
            call = step.call
            phases = [phase for name, phase in call.away if name == server]
            if phases or (balancer is not None and ours):
                told = f"; {server} is {phases[-1]}" if phases else ""
                after = "whole list" if call.after is None else f"after {call.after}"
                text = (
                    f"{call.place} {after}, wait {call.wait_ms} ms: {call.end} after {call.took_ms} ms{told}"
                )
                heard.append((bool(phases), Moment(call.at_ms + call.took_ms, step.balancer, text)))
        elif ours:
            for one in step.entry.tries:
                if one.server == server:
                    at = step.entry.at_ms + one.after_ms
                    gone = (
                        "never went out" if one.written_ms is None else f"went out after {one.written_ms} ms"
                    )
                    text = f"{step.entry.txn} chosen; {gone}, {one.outcome} after {one.took_ms} ms"
                    sent.append((one.written_ms is not None, Moment(at, step.balancer, text)))
    first = min((moment.at_ms for names, moment in heard if names), default=None)
    found = [moment for _, moment in heard]
    for went, moment in sent:
        late = moment.at_ms - first if first is not None and went else 0
        found.append(Moment(moment.at_ms, moment.balancer, moment.text, max(late, 0)))
    return sorted(found, key=lambda m: (m.at_ms, m.balancer))
