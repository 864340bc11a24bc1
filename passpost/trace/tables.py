"""Sums up the trace entries of all balancers, and finds those of one request or one server. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from passpost.trace.model import ListCallEntry, RequestEnd, RequestEntry

Row = tuple[str, dict[str, int]]  # a name, and counts by their names


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request, as traced by one balancer."""

    balancer: str
    entry: RequestEntry


@dataclass(frozen=True, slots=True)
class ListCallRecord:
    """One call to discovery, as traced by one balancer."""

    balancer: str
    call: ListCallEntry


@dataclass(frozen=True, slots=True)
class Tables:
    """Counts of requests by second and by the reason why they were not served, and of attempts by upstream.

    A second's name is its number from the second of the first request.
    """

    seconds: tuple[Row, ...]
    upstreams: tuple[Row, ...]
    reasons: tuple[Row, ...]


def summarize(records: Iterable[RequestRecord | ListCallRecord]) -> Tables:
    """Sum up the requests; calls to discovery are skipped.

    Upstreams are sorted by attempts that were not served and reasons by requests, both with the largest
    number first.
    """
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    upstreams: dict[str, Counter[str]] = defaultdict(Counter)
    reasons: dict[str, Counter[str]] = defaultdict(Counter)
    for record in records:
        if isinstance(record, ListCallRecord):
            continue
        entry = record.entry
        second = seconds[entry.at_ms // 1000]
        second["requests"] += 1
        second[entry.end.value] += 1
        second["attempts"] += len(entry.tries)
        for attempt in entry.tries:
            upstreams[attempt.server]["attempts"] += 1
            upstreams[attempt.server][attempt.outcome] += 1
        if entry.end is not RequestEnd.SERVED:
            reasons[f"{entry.end.value}:{entry.reason()}"][record.balancer] += 1
    first = min(seconds, default=0)
    return Tables(
        tuple((str(at - first), dict(seconds[at])) for at in sorted(seconds)),
        tuple(
            (n, dict(upstreams[n]))
            for n in sorted(upstreams, key=lambda n: (-_unserved_attempts(upstreams[n]), n))
        ),
        tuple(
            (n, _count_by_balancer(reasons[n]))
            for n in sorted(reasons, key=lambda n: (-reasons[n].total(), n))
        ),
    )


def _unserved_attempts(counts: Counter[str]) -> int:
    return counts["attempts"] - counts["served"]


def _count_by_balancer(by_balancer: Counter[str]) -> dict[str, int]:
    """Requests, balancers that had them, and the most at one: shows whether all balancers refuse or a few."""
    return {
        "requests": by_balancer.total(),
        "balancers": len(by_balancer),
        "most_at_one": max(by_balancer.values()),
    }


def find_request(records: Iterable[RequestRecord | ListCallRecord], txn: str) -> list[RequestRecord]:
    """The entries of one request, in the order in which balancers received it.

    The requests that an upstream sends to later tiers have ids of their own (PROTOCOL) and are not included;
    only the upstream itself can tell which belong to this one.
    """
    found = (s for s in records if isinstance(s, RequestRecord) and s.entry.txn == txn)
    return sorted(found, key=lambda s: (s.entry.at_ms, s.balancer))


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """A call to discovery, or an attempt at a server; `at_ms` is Unix time in milliseconds.

    `late_ms`: for an attempt that was written, the time from the first notice to any balancer that the server
    leaves to the choice of the server for this attempt; else 0.
    """

    at_ms: int
    balancer: str
    text: str
    late_ms: int = 0


def server_timeline(
    records: Iterable[RequestRecord | ListCallRecord], server: str, balancer: str | None = None
) -> list[TimelineEvent]:
    """The discovery answers in which a server leaves, and the attempts at that server, in order of time.

    With `balancer`, only that balancer's attempts, and all its calls to discovery, whatever they returned.
    """
    list_calls, attempts = [], []
    for record in records:
        is_selected = balancer in (None, record.balancer)
        if isinstance(record, ListCallRecord):
            call = record.call
            phases = [phase for name, phase in call.away if name == server]
            if phases or (balancer is not None and is_selected):
                notice = f"; {server} is {phases[-1]}" if phases else ""
                after = "whole list" if call.after is None else f"after {call.after}"
                text = f"{call.place} {after}, wait {call.wait_ms} ms: {call.end} after {call.took_ms} ms{notice}"
                list_calls.append(
                    (bool(phases), TimelineEvent(call.at_ms + call.took_ms, record.balancer, text))
                )
        elif is_selected:
            for attempt in record.entry.tries:
                if attempt.server == server:
                    chosen_ms = record.entry.at_ms + attempt.after_ms
                    written = (
                        "never went out"
                        if attempt.written_ms is None
                        else f"went out after {attempt.written_ms} ms"
                    )
                    text = (
                        f"{record.entry.txn} chosen; {written}, {attempt.outcome} after {attempt.took_ms} ms"
                    )
                    attempts.append(
                        (attempt.written_ms is not None, TimelineEvent(chosen_ms, record.balancer, text))
                    )
    first_notice_ms = min((event.at_ms for is_notice, event in list_calls if is_notice), default=None)
    events = [event for _, event in list_calls]
    for was_written, event in attempts:
        late_ms = event.at_ms - first_notice_ms if first_notice_ms is not None and was_written else 0
        events.append(TimelineEvent(event.at_ms, event.balancer, event.text, max(late_ms, 0)))
    return sorted(events, key=lambda m: (m.at_ms, m.balancer))
