"""A night in figures: for the table, for JSON, and for the report's plots. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from passpost.rehearsal.clients import Job
from passpost.rehearsal.watch import RULES
from passpost.rehearsal.world import Night

COLUMN_TITLES = ("", "requests", "served", "in time", "refused", "failed", "p50 ms", "p99 ms", "worth")
OUTCOMES = ("in time", "late", "refused", "failed")


def outcome(job: Job) -> str:
    """How a first try ended, retries included: one of OUTCOMES."""
    if job.outcome == "served":
        return "in time" if (job.ended - job.first) * 1000 <= job.cls.aim_ms else "late"
    return "refused" if job.outcome == "refused" else "failed"


def worth(job: Job) -> float:
    """The worth of its answer."""
    return job.cls.worth * {"in time": 1.0, "late": job.cls.late_share}.get(outcome(job), 0.0)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; times in milliseconds, over served requests; shares of what was asked."""

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
        """As people read it, under COLUMN_TITLES."""
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
    """All figures of a night."""

    title: str
    seed: int
    seconds: float
    wall_s: float
    total: Row
    by_class: tuple[Row, ...]
    by_tenant: tuple[Row, ...]
    attempts: int
    attempts_each: float  # at all tiers, for one first try
    tries_each: float
    violations: dict[str, int]
    faults: int
    left_waiting: int
    sent_after: int

    def as_json(self) -> dict[str, Any]:
        """Plain values for a program to read."""

        def row(line: Row) -> dict[str, Any]:
            return {n: _rounded(getattr(line, n)) for n in Row.__slots__}

        return {
            "title": self.title,
            "seed": self.seed,
            "seconds": _rounded(self.seconds),
            "wall_s": _rounded(self.wall_s),
            "all": row(self.total),
            "classes": [row(line) for line in self.by_class],
            "tenants": [row(line) for line in self.by_tenant],
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


def summarize(night: Night) -> Summary:
    """The figures of a night."""
    jobs = [job for job in night.jobs if job.outcome]
    counts = Counter(b.rule for b in night.breaks)
    each = max(len(jobs), 1)
    return Summary(
        title=night.script.title,
        seed=night.seed,
        seconds=night.ended - night.began,
        wall_s=night.wall_s,
        total=_row("all", jobs),
        by_class=tuple(_row(c.name, [j for j in jobs if j.cls.name == c.name]) for c in night.script.classes),
        by_tenant=tuple(_row(t.name, [j for j in jobs if j.tenant == t.name]) for t in night.script.tenants),
        attempts=night.attempts,
        attempts_each=night.attempts / each,
        tries_each=sum(j.tries for j in jobs) / each,
        violations={rule: counts[rule] for rule in RULES},
        faults=len(night.faults),
        left_waiting=night.left_waiting,
        sent_after=night.sent_after,
    )


def _row(name: str, jobs: list[Job]) -> Row:
    total = max(len(jobs), 1)
    count = Counter(map(outcome, jobs))
    times = sorted((j.ended - j.first) * 1000 for j in jobs if j.outcome == "served")
    asked = sum(j.cls.worth for j in jobs)
    return Row(
        name=name,
        requests=len(jobs),
        served=len(times) / total,
        in_time=count["in time"] / total,
        refused=count["refused"] / total,
        failed=count["failed"] / total,
        p50_ms=quantile(times, 0.5),
        p99_ms=quantile(times, 0.99),
        worth=sum(map(worth, jobs)) / asked if asked else 0.0,
    )


def quantile(ordered: list[float], share: float) -> float:
    """The value below which this share lies; 0 of nothing."""
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0.0


def outcomes_by_second(night: Night) -> list[Counter[str]]:
    """Outcomes of first tries, by the second in which they were first sent."""
    seconds = [Counter[str]() for _ in range(int(night.ended - night.began) + 1)]
    for job in night.jobs:
        at = int(job.first - night.began)
        if job.outcome and 0 <= at < len(seconds):
            seconds[at][outcome(job)] += 1
    while len(seconds) > 1 and not seconds[-1]:
        seconds.pop()
    return seconds
