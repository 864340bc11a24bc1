"""Summarizes a run for the table, for JSON and for the report's plots. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from passpost.rehearsal.clients import ClientRequest
from passpost.rehearsal.watch import RULES
from passpost.rehearsal.world import Run

COLUMN_TITLES = ("", "requests", "served", "in time", "refused", "failed", "p50 ms", "p99 ms", "worth")
OUTCOMES = ("in time", "late", "refused", "failed")


def outcome(request: ClientRequest) -> str:
    """How a request ended, retries included: one of OUTCOMES."""
    if request.outcome == "served":
        return "in time" if (request.ended_at - request.started_at) * 1000 <= request.cls.aim_ms else "late"
    return "refused" if request.outcome == "refused" else "failed"


def worth(request: ClientRequest) -> float:
    """The worth of the request's response: the full worth in time, a share of it if late, otherwise 0."""
    return request.cls.worth * {"in time": 1.0, "late": request.cls.late_share}.get(outcome(request), 0.0)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    `p50_ms` and `p99_ms` are quantiles over served requests. `served`, `in_time`, `refused` and `failed` are
    shares of all requests, and `worth` is a share of what these would be worth if all were served in time.
    The field names are keys of the JSON.
    """

    name: str
    requests: int
    served: float
    in_time: float
    refused: float
    failed: float
    p50_ms: float
    p99_ms: float
    worth: float

    def cells(self) -> tuple[str, ...]:
        """The formatted cells, in the order of COLUMN_TITLES."""
        shares = (f"{x:.1%}" for x in (self.served, self.in_time, self.refused, self.failed))
        return (
            self.name,
            f"{self.requests:,}",
            *shares,
            f"{self.p50_ms:.0f}",
            f"{self.p99_ms:.0f}",
            f"{self.worth:.1%}",
        )


@dataclass(frozen=True, slots=True)
class Summary:
    """All figures of a run."""

    title: str
    seed: int
    seconds: float
    wall_s: float
    total: Row
    by_class: tuple[Row, ...]
    by_tenant: tuple[Row, ...]
    attempts: int
    attempts_each: float  # attempts in all tiers for each request of a client
    tries_each: float  # tries of the client for each request
    violations: dict[str, int]
    faults: int
    left_waiting: int  # clients that left while no attempt was out
    sent_after: int  # of their requests, those sent to a node 0.3 s later or after that

    def as_json(self) -> dict[str, Any]:
        """The figures as values that can be encoded as JSON."""

        def as_dict(row: Row) -> dict[str, Any]:
            return {n: _rounded(getattr(row, n)) for n in Row.__slots__}

        return {
            "title": self.title,
            "seed": self.seed,
            "seconds": _rounded(self.seconds),
            "wall_s": _rounded(self.wall_s),
            "all": as_dict(self.total),
            "classes": [as_dict(row) for row in self.by_class],
            "tenants": [as_dict(row) for row in self.by_tenant],
            "attempts": self.attempts,
            "attempts_each": _rounded(self.attempts_each),
            "tries_each": _rounded(self.tries_each),
            "rule_breaks": self.violations,
            "faults": self.faults,
            "left_waiting": self.left_waiting,
            "sent_after": self.sent_after,
        }


def _rounded(value: Any) -> Any:
    return round(value, 4) if isinstance(value, float) else value


def summarize(run: Run) -> Summary:
    """Computes the figures of a run."""
    requests = [request for request in run.requests if request.outcome]
    violation_counts = Counter(b.rule for b in run.violations)
    request_count = max(len(requests), 1)
    return Summary(
        title=run.scenario.title,
        seed=run.seed,
        seconds=run.ended_at - run.started_at,
        wall_s=run.wall_s,
        total=_row("all", requests),
        by_class=tuple(
            _row(c.name, [r for r in requests if r.cls.name == c.name]) for c in run.scenario.classes
        ),
        by_tenant=tuple(
            _row(t.name, [r for r in requests if r.tenant == t.name]) for t in run.scenario.tenants
        ),
        attempts=run.attempts,
        attempts_each=run.attempts / request_count,
        tries_each=sum(r.tries for r in requests) / request_count,
        violations={rule: violation_counts[rule] for rule in RULES},
        faults=len(run.faults),
        left_waiting=run.left_waiting,
        sent_after=run.sent_after,
    )


def _row(name: str, requests: list[ClientRequest]) -> Row:
    total = max(len(requests), 1)
    outcome_counts = Counter(map(outcome, requests))
    durations_ms = sorted((r.ended_at - r.started_at) * 1000 for r in requests if r.outcome == "served")
    total_worth = sum(r.cls.worth for r in requests)
    return Row(
        name=name,
        requests=len(requests),
        served=len(durations_ms) / total,
        in_time=outcome_counts["in time"] / total,
        refused=outcome_counts["refused"] / total,
        failed=outcome_counts["failed"] / total,
        p50_ms=quantile(durations_ms, 0.5),
        p99_ms=quantile(durations_ms, 0.99),
        worth=sum(map(worth, requests)) / total_worth if total_worth else 0.0,
    )


def quantile(ordered: list[float], share: float) -> float:
    """The value below which this share of the sorted values lies; 0 if there are none."""
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0.0


def outcomes_by_second(run: Run) -> list[Counter[str]]:
    """Counts outcomes of requests by the second of the run in which each was first sent."""
    seconds = [Counter[str]() for _ in range(int(run.ended_at - run.started_at) + 1)]
    for request in run.requests:
        at = int(request.started_at - run.started_at)
        if request.outcome and 0 <= at < len(seconds):
            seconds[at][outcome(request)] += 1
    while len(seconds) > 1 and not seconds[-1]:
        seconds.pop()
    return seconds
