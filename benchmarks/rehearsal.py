"""What a rehearsal costs, and how far a virtual night and a live one agree.

    python benchmarks/rehearsal.py cost                 # simulated seconds a wall second, and peak memory
    python benchmarks/rehearsal.py agree [SCRIPT ...]   # each script both ways; all of rehearsals/ by default

Prints a table; `--json FILE` writes the figures. It asserts nothing.
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


def fleet(balancers: int, nodes: int, rate: float, seconds: float) -> Scenario:
    """One tier of nodes at about half of what they can do."""
    work = nodes * 2 * 1000 / rate / 2  # ms a request
    return Scenario(
        version=1,
        title=f"{balancers} balancers x {nodes} nodes, {rate:g} requests a second",
        length_s=seconds,
        clients=Clients(rate_per_s=rate, processes=2 * balancers),
        classes=(Class(name="read", work_ms=work, aim_ms=work * 10, deadline_ms=work * 30),),
        tiers=(Tier(name="render", balancers=balancers, kinds=(NodeKind(name="plain", count=nodes),)),),
    )


def cost(balancers: int, nodes: int, rate: float, seconds: float) -> dict[str, Any]:
    """One night by itself, in a process of its own so that the peak is its own."""
    night = virtual.play(fleet(balancers, nodes, rate, seconds), 1)
    figures = summarize(night)
    return {
        "night": night.scenario.title,
        "simulated_s": round(figures.seconds, 1),
        "wall_s": round(night.wall_s, 2),
        "simulated_s_a_wall_s": round(figures.seconds / night.wall_s, 2),
        "requests_a_wall_s": round(figures.total.requests / night.wall_s),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "served": round(figures.total.served, 4),
        "good": night.is_good(),
    }


def agree(path: str) -> dict[str, Any]:
    """One script both ways."""
    script = load(path)
    both = {"virtual": virtual.play(script, script.seed)}
    try:
        both["live"] = live.play(script, script.seed)
    except live.UnsupportedScenarioError as error:
        return {"script": Path(path).stem, "not played live": str(error)}
    row: dict[str, Any] = {"script": Path(path).stem}
    for host, night in both.items():
        figures = summarize(night)
        row[f"{host}_served"] = round(figures.total.served, 4)
        row[f"{host}_in_time"] = round(figures.total.in_time, 4)
        row[f"{host}_p99_ms"] = round(figures.total.p99_ms)
        row[f"{host}_breaks"] = sum(figures.violations.values())
        row[f"{host}_faults"] = night.faults[:3]
        if night.violations:
            row[f"{host}_first_break"] = night.violations[0].text
    row["difference"] = round(abs(row["virtual_served"] - row["live_served"]), 4)
    return row


def show(rows: list[dict[str, Any]]) -> None:
    """A plain table."""
    heads = [k for k in rows[0] if not isinstance(rows[0][k], list)]
    widths = [max(len(h), *(len(str(r.get(h, ""))) for r in rows)) for h in heads]
    for row in [dict(zip(heads, heads, strict=True)), *rows]:
        print("  ".join(str(row.get(h, "")).ljust(w) for h, w in zip(heads, widths, strict=True)))


def main() -> None:
    """Run what was asked for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("cost", "agree"))
    parser.add_argument("scripts", nargs="*")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = []
    if options.what == "cost":
        for args in ((2, 12, 200.0, 60.0), (20, 200, 1000.0, 20.0)):
            with ProcessPoolExecutor(1, mp_context=multiprocessing.get_context("spawn")) as pool:
                rows.append(pool.submit(cost, *args).result())
    else:
        paths = options.scripts or sorted(map(str, (ROOT / "rehearsals").glob("*.toml")))
        for path in paths:
            begun = time.perf_counter()
            rows.append(agree(path))
            print(f"{path}: {time.perf_counter() - begun:.0f} s", flush=True)
    show(rows)
    if options.json:
        Path(options.json).write_bytes(msgspec.json.format(json.dumps(rows).encode()))


if __name__ == "__main__":
    main()
