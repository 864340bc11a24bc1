"""Measures the CPU cost of the decision module for a request and for a change of the server list, by fleet size.

    python benchmarks/decisions.py [--json FILE]

Each figure is the median of several rounds. Every round measures all sizes in turn, so that a temporary slowdown of
the machine affects them all. The cost of a request covers the handling of its arrival and of the end of its attempt.
The simulated load is 1,000 requests a second, and each call takes 10 ms.
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
ROUNDS, REQUESTS_PER_ROUND, WARM_UP_REQUESTS = 7, 2_000, 20_000
REQUESTS_PER_MS, CALL_MS = 1.0, 10.0
MEMBERS_PER_CHANGE = 256  # most members in one list update from discovery
REQUEST_CLASS = RequestClass("frame", 500.0, 2_000.0, Effect.REPEATABLE)


class Simulation:
    """A balancer with a fleet of a given size under a steady simulated load."""

    def __init__(self, size: int) -> None:
        self.size, self.now_ms, self.last_request = size, 1_000.0, 0
        self.balancer = Balancer(Settings((REQUEST_CLASS,), max_attempts=3, may_cancel=True), 1)
        self.balancer.handle(
            ListUpdate(ListKind.WHOLE, tuple(Member(f"s{i}") for i in range(size))), self.now_ms
        )
        self.rng = random.Random(size)
        self.in_flight: deque[tuple[float, int, str]] = deque()

    def run_requests(self, requests: int) -> float:
        """Serves the given number of requests and returns the CPU time per request, in microseconds."""
        started, handle = time.process_time(), self.balancer.handle
        for _ in range(requests):
            self.now_ms += self.rng.expovariate(REQUESTS_PER_MS)
            while self.in_flight and self.in_flight[0][0] <= self.now_ms:
                ends_ms, request, server = self.in_flight.popleft()
                handle(AttemptEnded(request, 0, server, Outcome.SERVED, True), ends_ms)
            self.last_request += 1
            for action in handle(RequestArrived(self.last_request, "frame", 2_000.0), self.now_ms):
                if isinstance(action, Send):
                    self.in_flight.append((self.now_ms + CALL_MS, self.last_request, action.server))
        return (time.process_time() - started) / requests * 1e6

    def apply_changes(self) -> float:
        """Drains a part of the fleet and makes it ready again; returns the duration of the slower update, in ms."""
        drained = self.rng.sample(range(self.size), min(MEMBERS_PER_CHANGE, self.size // 2))
        longest_s = 0.0
        for readiness in (Readiness.DRAINING, Readiness.READY):
            update = ListUpdate(ListKind.CHANGES, tuple(Member(f"s{i}", readiness) for i in drained))
            started = time.perf_counter()
            self.balancer.handle(update, self.now_ms)
            longest_s = max(longest_s, time.perf_counter() - started)
        return longest_s * 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="also write the figures to this file")
    options = parser.parse_args()
    simulations = [Simulation(size) for size in SIZES]
    for simulation in simulations:
        simulation.run_requests(WARM_UP_REQUESTS)
    request_us: dict[int, list[float]] = {size: [] for size in SIZES}
    change_ms: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for simulation in simulations:
            request_us[simulation.size].append(simulation.run_requests(REQUESTS_PER_ROUND))
            change_ms[simulation.size].append(simulation.apply_changes())
    smallest_us = statistics.median(request_us[SIZES[0]])
    rows = [
        {
            "servers": size,
            "us_a_request": round(statistics.median(request_us[size]), 1),
            "times_12": round(statistics.median(request_us[size]) / smallest_us, 2),
            "kept": simulation.balancer._fleet.subset_size
            if hasattr(simulation.balancer, "_fleet")
            else None,
            "change_ms": round(statistics.median(change_ms[size]), 2),
            "change_worst_ms": round(max(change_ms[size]), 2),
        }
        for size, simulation in zip(SIZES, simulations, strict=True)
    ]
    print(f"{'servers':>8} {'us a request':>13} {'times 12':>9} {'change of 256, ms':>18} {'worst':>6}")
    for row in rows:
        print(
            f"{row['servers']:>8,} {row['us_a_request']:>13} {row['times_12']:>9} {row['change_ms']:>18} "
            f"{row['change_worst_ms']:>6}"
        )
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=2)


if __name__ == "__main__":
    main()
