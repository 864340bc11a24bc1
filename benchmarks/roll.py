"""Late sends in a roll of the nodes while discovery moves, by how long a call for the list is heard out.

    python benchmarks/roll.py [--balancers N] [--calls-per-s X] [--seeds N] [--json FILE]

Plays the night in simulated time, watched from outside: so many balancers moved within 2 s, a twelfth of the nodes
leaving every second and a half, and discovery that works off so many calls a second and turns away whoever would wait
over 2 s. Prints for each seed how many sends came later than the grace after the drain was told, with calls given up
after 2 s, as discovery's own patience has it, and with the program as it is.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from passpost import discovery
from passpost.rehearsal.model import (
    Class,
    Clients,
    Contract,
    Discovery,
    Drain,
    Event,
    NodeKind,
    Reload,
    Scenario,
    Tier,
)
from passpost.rehearsal.virtual import play


def night(balancers: int, calls_per_s: float) -> Scenario:
    """The script."""
    kinds = (NodeKind(name="fast", count=24, cores=2, speed=2.0), NodeKind(name="plain", count=24, cores=2))
    events: list[Event] = [Reload(at_s=3 + 2 * i / balancers, balancer=f"b{i + 1}") for i in range(balancers)]
    for i in range(6):
        leaving = (f"render-*-{4 * i + 1}", f"render-*-{4 * i + 2}")
        events.append(Drain(at_s=4.0 + 1.5 * i, for_s=3.3, nodes=leaving, back_s=0.5))
    return Scenario(
        version=1,
        title="A roll with a move",
        length_s=16.0,
        contract=Contract(cold_ms=4_000, ask_within_ms=10_000),
        discovery=Discovery(notice_s=(0.1, 0.5), calls_per_s=calls_per_s),
        clients=Clients(rate_per_s=600, processes=100),
        classes=(Class(name="frame", work_ms=40, aim_ms=600, deadline_ms=2_000),),
        tiers=(Tier(name="render", kinds=kinds, balancers=balancers),),
        events=tuple(events),
    )


def late(script: Scenario, seed: int, patience: float | None) -> int:
    """Sends after the grace, with calls given up after so many seconds, or with the program as it is."""
    before = discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S
    if patience is not None:
        discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S = patience, 0.0
    try:
        found = play(script, seed)
    finally:
        discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S = before
    if found.faults:
        raise SystemExit(f"seed {seed}: {found.faults[0]}")
    return sum(b.rule == "drain" for b in found.violations)


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--balancers", type=int, default=200)
    parser.add_argument("--calls-per-s", type=float, default=25.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    script, rows = night(options.balancers, options.calls_per_s), []
    for seed in range(1, options.seeds + 1):
        row = {"seed": seed, "given_up_at_2_s": late(script, seed, 2.0), "as_it_is": late(script, seed, None)}
        rows.append(row)
        print(
            f"seed {seed}: {row['given_up_at_2_s']} late sends with 2 s, {row['as_it_is']} as it is",
            flush=True,
        )
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
