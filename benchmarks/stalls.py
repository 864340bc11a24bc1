"""Measures whether the system recovers from a temporary stall, by simulated runs with and without the stall.

    python benchmarks/stalls.py                              # the whole grid
    python benchmarks/stalls.py --loads 0.9 --crowd 2 --only all-slow --seeds 20
    python benchmarks/stalls.py --json F

The fleet is that of `rehearsals/two-tiers-down.toml` without its failures. Load is given as a share of the rate that
the nodes sustain without exceeding the number of concurrent jobs above which they slow down (`capacity`, below). With
`crowd = 0` concurrent jobs never slow a node down. The stalls:

`all-slow`: all nodes of the inner tier are 6 times slower; `front-slow`: those of the outer tier are; `balancer`: one
balancer of the outer tier is paused; `list`: the list is unreachable, and meanwhile one node of each tier is down.

Clients retry at once (`at-once`), after the advised time (`advised`), or mostly after longer pauses (`spread`).

The figures of each combination, over all seeds: the share of requests refused or failed after the end of the stall; the
recovery time, with its median, its second worst value, and the number of seeds that met `--within`. The recovery time
is the time from the end of the stall until the served requests stay at 95% or more of those that the same seed serves
in the same seconds without a stall. Prints the figures and asserts nothing about them.
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
BASE_SCRIPT = ROOT / "rehearsals" / "two-tiers-down.toml"
STALL_BEGIN_S, LENGTH_S = 8.0, 36.0
# The service is recovered if it serves, in a window of this length, this share of what it serves without a stall.
WINDOW_S, RECOVERED_SHARE = 3, 0.95
STALLS = ("all-slow", "front-slow", "balancer", "list")
CLIENTS = {
    "at-once": {"retries": 4, "honour": 0.0, "backoff_ms": 20.0},
    "advised": {"retries": 3, "honour": 1.0, "backoff_ms": 20.0},
    "spread": {"retries": 3, "honour": 0.3, "backoff_ms": 200.0},
}


@dataclass(frozen=True)
class Case:
    """One combination of stall, load, clients and crowd."""

    stall: str
    stall_s: float
    load_share: float
    clients: str
    crowd: float

    def label(self) -> str:
        """Returns the label of the case in the table."""
        return (
            f"{self.stall} {self.stall_s:g} s, load {self.load_share:g}, {self.clients}, crowd {self.crowd:g}"
        )


def capacity(script: Scenario, crowd: float) -> float:
    """Returns the requests per second that the nodes sustain, limited by their cores and by their concurrent jobs.

    The limit by jobs: above a number of concurrent jobs a node slows down. A request occupies an outer node during its
    own work and during the work of its inner calls; each is taken to run alone on a core of its tier's mean speed.
    """
    total_share = sum(request_class.share for request_class in script.classes)
    mean_work_s = (
        sum(request_class.work_ms * request_class.share for request_class in script.classes)
        / total_share
        / 1000
    )
    limit_by_cores, outer_s, job_limits = math.inf, 0.0, []
    calls_per_request = 1.0
    for tier in script.tiers:
        core_speed = sum(kind.count * kind.cores * kind.speed for kind in tier.kinds)
        core_count = sum(kind.count * kind.cores for kind in tier.kinds)
        limit_by_cores = min(limit_by_cores, core_speed / (mean_work_s * tier.part * calls_per_request))
        outer_s += calls_per_request * mean_work_s * tier.part / (core_speed / core_count)
        job_limits.append(
            sum(kind.count * (kind.cores + crowd * math.sqrt(kind.cores)) for kind in tier.kinds)
        )
        calls_per_request *= sum(tier.calls) / 2
    return min(limit_by_cores, job_limits[0] / outer_s) if crowd else limit_by_cores


def build_script(case: Case) -> Scenario:
    """Returns the script of a case; with `stall_s` 0 there is no stall."""
    base_script = load(str(BASE_SCRIPT))
    rate_per_s = case.load_share * capacity(base_script, case.crowd)
    tiers = tuple(
        msgspec.structs.replace(
            tier, kinds=tuple(msgspec.structs.replace(kind, crowd=case.crowd) for kind in tier.kinds)
        )
        for tier in base_script.tiers
    )
    quotas = tuple(msgspec.structs.replace(tenant, quota_per_s=rate_per_s) for tenant in base_script.tenants)
    clients = msgspec.structs.replace(base_script.clients, rate_per_s=rate_per_s, **CLIENTS[case.clients])
    at_s, stall_s = STALL_BEGIN_S, case.stall_s
    events: tuple[Any, ...] = ()
    if stall_s:
        outer_tier, inner_tier = base_script.tiers[0].name, base_script.tiers[-1].name
        events = {
            "all-slow": (model.SharedSlow(at_s=at_s, for_s=stall_s, factor=6.0, tier=inner_tier),),
            "front-slow": (model.SharedSlow(at_s=at_s, for_s=stall_s, factor=6.0, tier=outer_tier),),
            "balancer": (model.Pause(at_s=at_s, for_s=stall_s, nodes=("b1",)),),
            "list": (
                model.ListDown(at_s=at_s, for_s=stall_s),
                model.Crash(at_s=at_s, for_s=stall_s, nodes=(f"{outer_tier}-fast-1", f"{inner_tier}-fast-1")),
            ),
        }[case.stall]
    return msgspec.structs.replace(
        base_script,
        title=case.label(),
        length_s=LENGTH_S,
        clients=clients,
        tiers=tiers,
        tenants=quotas,
        events=events,
    )


def served_per_second(result: Run) -> list[tuple[int, int]]:
    """Returns for each second the number of requests first tried in it and how many of those were served."""
    counts = [[0, 0] for _ in range(int(LENGTH_S))]
    for job in result.requests:
        second = int(job.started_at - result.started_at)
        if job.outcome and 0 <= second < len(counts):
            counts[second][0] += 1
            counts[second][1] += job.outcome == "served"
    return [(tries, successes) for tries, successes in counts]


def recovery_s(
    stalled_seconds: list[tuple[int, int]], baseline_seconds: list[tuple[int, int]], end_s: float
) -> float:
    """Returns the seconds from `end_s` until the service stays recovered; infinite if it never does."""
    first_start, last_start = math.ceil(end_s), len(stalled_seconds) - WINDOW_S
    recovered = [
        sum(successes for _, successes in stalled_seconds[i : i + WINDOW_S])
        >= RECOVERED_SHARE * sum(successes for _, successes in baseline_seconds[i : i + WINDOW_S])
        for i in range(first_start, last_start + 1)
    ]
    unrecovered = [i for i, is_recovered in enumerate(recovered) if not is_recovered]
    if not unrecovered:
        return 0.0
    return math.inf if unrecovered[-1] == len(recovered) - 1 else unrecovered[-1] + 1.0


def play_case(args: tuple[Case, int]) -> dict[str, Any]:
    """Plays a case with one seed, with and without the stall, and returns the figures."""
    case, seed = args
    stalled_result = play(build_script(case), seed)
    baseline_result = play(
        build_script(Case(case.stall, 0.0, case.load_share, case.clients, case.crowd)), seed
    )
    stalled_seconds, baseline_seconds = served_per_second(stalled_result), served_per_second(baseline_result)
    end_s = STALL_BEGIN_S + case.stall_s
    seconds_after, baseline_after_begin = (
        stalled_seconds[math.ceil(end_s) :],
        baseline_seconds[int(STALL_BEGIN_S) :],
    )
    return {
        "recovery_s": recovery_s(stalled_seconds, baseline_seconds, end_s),
        "lost_share": 1
        - sum(successes for _, successes in seconds_after) / max(sum(tries for tries, _ in seconds_after), 1),
        "calm_lost": 1
        - sum(successes for _, successes in baseline_after_begin)
        / max(sum(tries for tries, _ in baseline_after_begin), 1),
        "tries": sum(job.tries for job in stalled_result.requests) / max(len(stalled_result.requests), 1),
        "breaks": len(stalled_result.violations) + len(baseline_result.violations),
        "faults": len(stalled_result.faults) + len(baseline_result.faults),
        "seconds": [successes / tries if tries else 1.0 for tries, successes in stalled_seconds],
    }


def summarize_case(case: Case, results: list[dict[str, Any]], within_s: float) -> dict[str, Any]:
    """Combines the figures of all seeds of a case into a row of the table."""
    recovery_times_s = sorted(result["recovery_s"] for result in results)
    return {
        "case": case.label(),
        "median_s": statistics.median(recovery_times_s),
        "second_worst_s": recovery_times_s[max(len(recovery_times_s) - 2, 0)],
        "never": sum(math.isinf(time_s) for time_s in recovery_times_s),
        "met": sum(time_s <= within_s for time_s in recovery_times_s),
        "of": len(recovery_times_s),
        "lost_after": statistics.mean(result["lost_share"] for result in results),
        "lost_calm": statistics.mean(result["calm_lost"] for result in results),
        "tries": statistics.mean(result["tries"] for result in results),
        "breaks": sum(result["breaks"] for result in results),
        "faults": sum(result["faults"] for result in results),
    }


def main() -> None:
    """Plays all combinations and prints a row for each."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    parser.add_argument("--loads", default="0.5,0.7,0.9")
    parser.add_argument("--spans", default="0.3,3")
    parser.add_argument("--crowd", default="0,2")
    parser.add_argument("--only", default=",".join(STALLS), help="stalls to play")
    parser.add_argument("--clients", default=",".join(CLIENTS))
    parser.add_argument(
        "--within",
        type=float,
        help="recovery time to meet, in seconds; by default 12 where concurrent jobs slow nodes down, else 3",
    )
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()

    def parse_numbers(text: str) -> list[float]:
        return [float(number) for number in text.split(",")]

    cases = [
        Case(stall, stall_s, load_share, clients, crowd)
        for stall, stall_s, load_share, clients, crowd in itertools.product(
            options.only.split(","),
            parse_numbers(options.spans),
            parse_numbers(options.loads),
            options.clients.split(","),
            parse_numbers(options.crowd),
        )
    ]
    columns = (
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
    print(f"{'':52}" + " ".join(f"{column[:10]:>10}" for column in columns))
    rows = []
    with multiprocessing.Pool(options.jobs) as pool:
        arguments = [(case, seed) for case in cases for seed in range(1, options.seeds + 1)]
        results = pool.imap(play_case, arguments)
        for case in cases:
            within_s = options.within or (12.0 if case.crowd else 3.0)
            figures = summarize_case(case, [next(results) for _ in range(options.seeds)], within_s)
            rows.append(figures)
            print(
                f"{case.label():52}" + " ".join(f"{figures[column]:10.3g}" for column in columns), flush=True
            )
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
