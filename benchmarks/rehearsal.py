"""Measures what a rehearsal costs, and how far its simulated and its live run of a script agree.

    python benchmarks/rehearsal.py cost                 # simulated seconds per wall-clock second, and peak memory
    python benchmarks/rehearsal.py agree [SCRIPT ...]   # each script simulated and live; by default all of rehearsals/

Prints a table; `--json FILE` also writes the figures. It asserts nothing about them.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import resource
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from passpost.rehearsal import live, virtual
from passpost.rehearsal.model import Class, Clients, NodeKind, Scenario, Tier
from passpost.rehearsal.script import load
from passpost.rehearsal.summary import summarize

ROOT = Path(__file__).parent.parent


def cost_script(balancers: int, nodes: int, rate_per_s: float, length_s: float) -> Scenario:
    """Returns a script with one tier of nodes, loaded to about half of their capacity."""
    work_ms = nodes * 2 * 1000 / rate_per_s / 2  # per request: half the time of two cores on each node
    return Scenario(
        version=1,
        title=f"{balancers} balancers x {nodes} nodes, {rate_per_s:g} requests a second",
        length_s=length_s,
        clients=Clients(rate_per_s=rate_per_s, processes=2 * balancers),
        classes=(Class(name="read", work_ms=work_ms, aim_ms=work_ms * 10, deadline_ms=work_ms * 30),),
        tiers=(Tier(name="render", balancers=balancers, kinds=(NodeKind(name="plain", count=nodes),)),),
    )


def measure_cost(balancers: int, nodes: int, rate_per_s: float, length_s: float) -> dict[str, Any]:
    """Measures one simulated run; called in a separate process, so that the peak memory is that of this run alone."""
    result = virtual.play(cost_script(balancers, nodes, rate_per_s, length_s), 1)
    figures = summarize(result)
    return {
        "night": result.scenario.title,
        "simulated_s": round(figures.seconds, 1),
        "wall_s": round(result.wall_s, 2),
        "simulated_s_a_wall_s": round(figures.seconds / result.wall_s, 2),
        "requests_a_wall_s": round(figures.total.requests / result.wall_s),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "served": round(figures.total.served, 4),
        "good": result.is_good(),
    }


def measure_agreement(path: str) -> dict[str, Any]:
    """Plays one script simulated and live and returns the figures of both runs."""
    script = load(path)
    results = {"virtual": virtual.play(script, script.seed)}
    try:
        results["live"] = live.play(script, script.seed)
    except live.UnsupportedScenarioError as error:
        return {"script": Path(path).stem, "not played live": str(error)}
    row: dict[str, Any] = {"script": Path(path).stem}
    for mode, result in results.items():
        figures = summarize(result)
        row[f"{mode}_served"] = round(figures.total.served, 4)
        row[f"{mode}_in_time"] = round(figures.total.in_time, 4)
        row[f"{mode}_p99_ms"] = round(figures.total.p99_ms)
        row[f"{mode}_breaks"] = sum(figures.violations.values())
        row[f"{mode}_faults"] = result.faults[:3]
        if result.violations:
            row[f"{mode}_first_break"] = result.violations[0].text
    row["difference"] = round(abs(row["virtual_served"] - row["live_served"]), 4)
    return row


def print_table(rows: list[dict[str, Any]]) -> None:
    """Prints the rows as a table without the columns that hold lists."""
    columns = [key for key in rows[0] if not isinstance(rows[0][key], list)]
    widths = [
        max(len(column), *(len(str(table_row.get(column, ""))) for table_row in rows)) for column in columns
    ]
    for row in [dict(zip(columns, columns, strict=True)), *rows]:
        print(
            "  ".join(
                str(row.get(column, "")).ljust(width) for column, width in zip(columns, widths, strict=True)
            )
        )


def main() -> None:
    """Runs the measurement that the command line selects and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("cost", "agree"))
    parser.add_argument("scripts", nargs="*")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = []
    if options.what == "cost":
        for arguments in ((2, 12, 200.0, 60.0), (20, 200, 1000.0, 20.0)):
            with ProcessPoolExecutor(1, mp_context=multiprocessing.get_context("spawn")) as pool:
                rows.append(pool.submit(measure_cost, *arguments).result())
    else:
        paths = options.scripts or sorted(map(str, (ROOT / "rehearsals").glob("*.toml")))
        for path in paths:
            started = time.perf_counter()
            rows.append(measure_agreement(path))
            print(f"{path}: {time.perf_counter() - started:.0f} s", flush=True)
    print_table(rows)
    if options.json:
        Path(options.json).write_bytes(msgspec.json.format(json.dumps(rows).encode()))


if __name__ == "__main__":
    main()
