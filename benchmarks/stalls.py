"""Does a stall leave the system in a bad state? Nights with one stall, each beside the same night without it.

    python benchmarks/stalls.py                              # the whole grid
    python benchmarks/stalls.py --loads 0.9 --crowd 2 --only all-slow --seeds 20
    python benchmarks/stalls.py --json F

The fleet is that of `rehearsals/two-tiers-down.toml` with its failures left out. A load is a share of what its nodes
carry with no more jobs inside them than chokes them (`capacity`, below); with `crowd = 0` nothing chokes. The stalls:

`all-slow`: all nodes of the inner tier 6 times slower; `front-slow`: those of the outer one; `balancer`: one front
balancer stands still; `list`: the list out of reach, and a node of each tier down meanwhile.

Clients try again at once (`at-once`), at the advice (`advised`), or after pauses (`spread`).

For each combination, over the seeds: the share refused or failed from the stall's end on; the seconds from there until
95% is served again of what the same seed serves in the same seconds without a stall, for good: the median, the second
worst, and how many seeds met `--within`. Prints figures and asserts nothing about them.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
import multiprocessing
import statistics
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from passpost.rehearsal import model
from passpost.rehearsal.model import Scenario
from passpost.rehearsal.script import load
from passpost.rehearsal.virtual import play
from passpost.rehearsal.world import Run

ROOT = Path(__file__).parent.parent
BASE = ROOT / "rehearsals" / "two-tiers-down.toml"
BEGIN_S, LENGTH_S = 8.0, 36.0
WINDOW_S, AGAIN = 3, 0.95  # served again: over so many seconds, this share of what is served without a stall
STALLS = ("all-slow", "front-slow", "balancer", "list")
CLIENTS = {
    "at-once": {"retries": 4, "honour": 0.0, "backoff_ms": 20.0},
    "advised": {"retries": 3, "honour": 1.0, "backoff_ms": 20.0},
    "spread": {"retries": 3, "honour": 0.3, "backoff_ms": 200.0},
}


@dataclass(frozen=True)
class Case:
    """One combination."""

    stall: str
    seconds: float
    load: float
    clients: str
    crowd: float

    def name(self) -> str:
        """As the table has it."""
        return f"{self.stall} {self.seconds:g} s, load {self.load:g}, {self.clients}, crowd {self.crowd:g}"


def capacity(script: Scenario, crowd: float) -> float:
    """Requests a second that the nodes carry: by their cores, and by how many jobs choke none of them.

    By jobs: a request is inside an outer node while it works there and while its inner calls work; each takes what
    it takes at a speed of the tier's mean with its cores to itself.
    """
    shares = sum(c.share for c in script.classes)
    work = sum(c.work_ms * c.share for c in script.classes) / shares / 1000
    by_cores, inside, limits = math.inf, 0.0, []
    calls = 1.0
    for tier in script.tiers:
        cores = sum(k.count * k.cores * k.speed for k in tier.kinds)
        plain = sum(k.count * k.cores for k in tier.kinds)
        by_cores = min(by_cores, cores / (work * tier.part * calls))
        inside += calls * work * tier.part / (cores / plain)
        limits.append(sum(k.count * (k.cores + crowd * math.sqrt(k.cores)) for k in tier.kinds))
        calls *= sum(tier.calls) / 2
    return min(by_cores, limits[0] / inside) if crowd else by_cores


def night(case: Case) -> Scenario:
    """The night of a combination; without seconds one without a stall."""
    base = load(str(BASE))
    rate = case.load * capacity(base, case.crowd)
    tiers = tuple(
        msgspec.structs.replace(t, kinds=tuple(msgspec.structs.replace(k, crowd=case.crowd) for k in t.kinds))
        for t in base.tiers
    )
    quotas = tuple(msgspec.structs.replace(t, quota_per_s=rate) for t in base.tenants)
    clients = msgspec.structs.replace(base.clients, rate_per_s=rate, **CLIENTS[case.clients])
    at, span = BEGIN_S, case.seconds
    events: tuple[Any, ...] = ()
    if span:
        front, inner = base.tiers[0].name, base.tiers[-1].name
        events = {
            "all-slow": (model.SharedSlow(at_s=at, for_s=span, factor=6.0, tier=inner),),
            "front-slow": (model.SharedSlow(at_s=at, for_s=span, factor=6.0, tier=front),),
            "balancer": (model.Pause(at_s=at, for_s=span, nodes=("b1",)),),
            "list": (
                model.ListDown(at_s=at, for_s=span),
                model.Crash(at_s=at, for_s=span, nodes=(f"{front}-fast-1", f"{inner}-fast-1")),
            ),
        }[case.stall]
    return msgspec.structs.replace(
        base,
        title=case.name(),
        length_s=LENGTH_S,
        clients=clients,
        tiers=tiers,
        tenants=quotas,
        events=events,
    )


def served(of: Run) -> list[tuple[int, int]]:
    """For each second of first tries: how many there were, and how many were served."""
    seconds = [[0, 0] for _ in range(int(LENGTH_S))]
    for job in of.requests:
        at = int(job.started_at - of.started_at)
        if job.outcome and 0 <= at < len(seconds):
            seconds[at][0] += 1
            seconds[at][1] += job.outcome == "served"
    return [(a, b) for a, b in seconds]


def recovery(stalled: list[tuple[int, int]], calm: list[tuple[int, int]], end: float) -> float:
    """Seconds from `end` until served again, for good; infinite if never."""
    start, last = math.ceil(end), len(stalled) - WINDOW_S
    good = [
        sum(s for _, s in stalled[i : i + WINDOW_S]) >= AGAIN * sum(s for _, s in calm[i : i + WINDOW_S])
        for i in range(start, last + 1)
    ]
    bad = [i for i, ok in enumerate(good) if not ok]
    if not bad:
        return 0.0
    return math.inf if bad[-1] == len(good) - 1 else bad[-1] + 1.0


def one(args: tuple[Case, int]) -> dict[str, Any]:
    """The figures of one seed."""
    case, seed = args
    stalled_night = play(night(case), seed)
    calm_night = play(night(Case(case.stall, 0.0, case.load, case.clients, case.crowd)), seed)
    stalled, calm = served(stalled_night), served(calm_night)
    end = BEGIN_S + case.seconds
    after, calm_all = stalled[math.ceil(end) :], calm[int(BEGIN_S) :]
    return {
        "recovery_s": recovery(stalled, calm, end),
        "lost_share": 1 - sum(s for _, s in after) / max(sum(n for n, _ in after), 1),
        "calm_lost": 1 - sum(s for _, s in calm_all) / max(sum(n for n, _ in calm_all), 1),
        "tries": sum(j.tries for j in stalled_night.requests) / max(len(stalled_night.requests), 1),
        "breaks": len(stalled_night.violations) + len(calm_night.violations),
        "faults": len(stalled_night.faults) + len(calm_night.faults),
        "seconds": [s / n if n else 1.0 for n, s in stalled],
    }


def row(case: Case, results: list[dict[str, Any]], within: float) -> dict[str, Any]:
    """The figures of a combination."""
    times = sorted(r["recovery_s"] for r in results)
    return {
        "case": case.name(),
        "median_s": statistics.median(times),
        "second_worst_s": times[max(len(times) - 2, 0)],
        "never": sum(math.isinf(t) for t in times),
        "met": sum(t <= within for t in times),
        "of": len(times),
        "lost_after": statistics.mean(r["lost_share"] for r in results),
        "lost_calm": statistics.mean(r["calm_lost"] for r in results),
        "tries": statistics.mean(r["tries"] for r in results),
        "breaks": sum(r["breaks"] for r in results),
        "faults": sum(r["faults"] for r in results),
    }


def main() -> None:
    """Play the grid and print a row for each combination."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    parser.add_argument("--loads", default="0.5,0.7,0.9")
    parser.add_argument("--spans", default="0.3,3")
    parser.add_argument("--crowd", default="0,2")
    parser.add_argument("--only", default=",".join(STALLS), help="stalls")
    parser.add_argument("--clients", default=",".join(CLIENTS))
    parser.add_argument(
        "--within", type=float, help="seconds; by default 12 where nodes choke and 3 elsewhere"
    )
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()

    def numbers(text: str) -> list[float]:
        return [float(part) for part in text.split(",")]

    cases = [
        Case(stall, span, load_, clients, crowd)
        for stall, span, load_, clients, crowd in itertools.product(
            options.only.split(","),
            numbers(options.spans),
            numbers(options.loads),
            options.clients.split(","),
            numbers(options.crowd),
        )
    ]
    head = (
        "median_s",
        "second_worst_s",
        "never",
        "met",
        "of",
        "lost_after",
        "lost_calm",
        "tries",
        "breaks",
        "faults",
    )
    print(f"{'':52}" + " ".join(f"{h[:10]:>10}" for h in head))
    rows = []
    with multiprocessing.Pool(options.jobs) as pool:
        plays = [(case, seed) for case in cases for seed in range(1, options.seeds + 1)]
        results = pool.imap(one, plays)
        for case in cases:
            within = options.within or (12.0 if case.crowd else 3.0)
            figures = row(case, [next(results) for _ in range(options.seeds)], within)
            rows.append(figures)
            print(f"{case.name():52}" + " ".join(f"{figures[h]:10.3g}" for h in head), flush=True)
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
