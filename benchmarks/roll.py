"""Counts late sends while nodes leave in turn and balancers change discovery, by the time-out of a call for the list.

    python benchmarks/roll.py [--balancers N] [--calls-per-s X] [--seeds N] [--json FILE]

Plays the scenario in simulated time. All balancers move to another discovery address within 2 s, and a twelfth of the
nodes starts to leave every 1.5 s. Discovery processes a limited number of calls a second and turns away those that
would wait longer than 2 s. Prints for each seed how many sends, counted outside the balancers, came later than the
grace period after a drain was announced: with calls that time out after 2 s, which is discovery's own limit for a
waiting call, and with the current time-outs of the program.
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


def build_script(balancers: int, calls_per_s: float) -> Scenario:
    """Returns the scenario's script."""
    kinds = (NodeKind(name="fast", count=24, cores=2, speed=2.0), NodeKind(name="plain", count=24, cores=2))
    events: list[Event] = [Reload(at_s=3 + 2 * i / balancers, balancer=f"b{i + 1}") for i in range(balancers)]
    for i in range(6):
        leaving = (f"render-*-{4 * i + 1}", f"render-*-{4 * i + 2}")
        events.append(Drain(at_s=4.0 + 1.5 * i, for_s=3.3, nodes=leaving, back_s=0.5))
    return Scenario(
        version=1,
        title="Nodes leave in turn while balancers change discovery",
        length_s=16.0,
        contract=Contract(cold_ms=4_000, ask_within_ms=10_000),
        discovery=Discovery(notice_s=(0.1, 0.5), calls_per_s=calls_per_s),
        clients=Clients(rate_per_s=600, processes=100),
        classes=(Class(name="frame", work_ms=40, aim_ms=600, deadline_ms=2_000),),
        tiers=(Tier(name="render", kinds=kinds, balancers=balancers),),
        events=tuple(events),
    )


def count_late_sends(script: Scenario, seed: int, timeout_s: float | None) -> int:
    """Counts sends after the grace period; `timeout_s` is the time-out of a call, None the program's own."""
    original_limits = discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S
    if timeout_s is not None:
        discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S = timeout_s, 0.0
    try:
        result = play(script, seed)
    finally:
        discovery.ANSWER_TIMEOUT_S, discovery.QUEUE_MARGIN_S = original_limits
    if result.faults:
        raise SystemExit(f"seed {seed}: {result.faults[0]}")
    return sum(violation.rule == "drain" for violation in result.violations)


def main() -> None:
    """Plays the scenario for each seed and prints the figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--balancers", type=int, default=200)
    parser.add_argument("--calls-per-s", type=float, default=25.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    script, rows = build_script(options.balancers, options.calls_per_s), []
    for seed in range(1, options.seeds + 1):
        row = {
            "seed": seed,
            "given_up_at_2_s": count_late_sends(script, seed, 2.0),
            "as_it_is": count_late_sends(script, seed, None),
        }
        rows.append(row)
        print(
            f"seed {seed}: {row['given_up_at_2_s']} late sends with 2 s, {row['as_it_is']} as it is",
            flush=True,
        )
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
