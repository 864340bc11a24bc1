"""CPU of the decision module by the size of its fleet: a request, and a list that changes.

    python benchmarks/decisions.py [--json FILE]

Each figure is the median of turns that go round the sizes, so that a slow spell of the machine meets them all.
A request is its arrival, its attempt's end, and the module's part of both; calls last 10 ms at 1,000 a second.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
from collections import deque

from umberworks.interface import (
    AttemptEnded,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Readiness,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from umberworks.rules import Balancer

SIZES = (12, 100, 1_000, 10_000)
TURNS, REQUESTS, WARM_UP = 7, 2_000, 20_000
RATE_PER_MS, TAKES_MS = 1.0, 10.0
SLICE = 256  # members in a change of the list, as discovery tells them
CLASS = RequestClass("frame", 500.0, 2_000.0, Effect.REPEATABLE)


class Bench:
    """A balancer with a fleet of one size under a steady load."""

    def __init__(self, size: int) -> None:
        self.size, self.now, self.number = size, 1_000.0, 0
        self.balancer = Balancer(Settings((CLASS,), max_attempts=3, may_cancel=True), 1)
        self.balancer.handle(
            ListUpdate(ListKind.WHOLE, tuple(Member(f"s{i}") for i in range(size))), self.now
        )
        self.chance = random.Random(size)
        self.out: deque[tuple[float, int, str]] = deque()

    def run(self, requests: int) -> float:
        """Serve so many; CPU for each, in microseconds."""
        begun, handle = time.process_time(), self.balancer.handle
        for _ in range(requests):
            self.now += self.chance.expovariate(RATE_PER_MS)
            while self.out and self.out[0][0] <= self.now:
                at, number, server = self.out.popleft()
                handle(AttemptEnded(number, 0, server, Outcome.SERVED, True), at)
            self.number += 1
            for action in handle(RequestArrived(self.number, "frame", 2_000.0), self.now):
                if isinstance(action, Send):
                    self.out.append((self.now + TAKES_MS, self.number, action.server))
        return (time.process_time() - begun) / requests * 1e6

    def change(self) -> float:
        """A slice of the fleet drains and comes back; the longer of both, in milliseconds."""
        some = self.chance.sample(range(self.size), min(SLICE, self.size // 2))
        longest = 0.0
        for readiness in (Readiness.DRAINING, Readiness.READY):
            update = ListUpdate(ListKind.CHANGES, tuple(Member(f"s{i}", readiness) for i in some))
            begun = time.perf_counter()
            self.balancer.handle(update, self.now)
            longest = max(longest, time.perf_counter() - begun)
        return longest * 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write the figures there too")
    arguments = parser.parse_args()
    benches = [Bench(size) for size in SIZES]
    for bench in benches:
        bench.run(WARM_UP)
    spent: dict[int, list[float]] = {size: [] for size in SIZES}
    changed: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(TURNS):
        for bench in benches:
            spent[bench.size].append(bench.run(REQUESTS))
            changed[bench.size].append(bench.change())
    base = statistics.median(spent[SIZES[0]])
    rows = [
        {
            "servers": size,
            "us_a_request": round(statistics.median(spent[size]), 1),
            "times_12": round(statistics.median(spent[size]) / base, 2),
            "kept": bench.balancer._fleet.subset_size if hasattr(bench.balancer, "_fleet") else None,
            "change_ms": round(statistics.median(changed[size]), 2),
            "change_worst_ms": round(max(changed[size]), 2),
        }
        for size, bench in zip(SIZES, benches, strict=True)
    ]
    print(f"{'servers':>8} {'us a request':>13} {'times 12':>9} {'change of 256, ms':>18} {'worst':>6}")
    for row in rows:
        print(
            f"{row['servers']:>8,} {row['us_a_request']:>13} {row['times_12']:>9} {row['change_ms']:>18} "
            f"{row['change_worst_ms']:>6}"
        )
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=2)


if __name__ == "__main__":
    main()
