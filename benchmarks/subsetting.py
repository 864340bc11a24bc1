"""Which servers a balancer keeps to: ways compared by balance and by what moves when either side changes.

    python benchmarks/subsetting.py [--keep 16] [--json FILE]

Balance: balancers on the busiest server over the mean, and the share of servers that nobody keeps to. Moved: of all
connections between balancers and servers, the part that changes when one server leaves, and when one balancer comes;
what must change (the server's own, the balancer's own) is left out. Nothing here runs passpost.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

SIZES = ((10, 1), (10, 10), (100, 10), (100, 100), (1_000, 100), (1_000, 1_000), (10_000, 10), (10_000, 100))
SEEDS = 3
Way = Callable[[list[int], list[int], int, int], dict[int, set[int]]]  # servers, balancers, keep, seed


def number(*parts: int) -> int:
    """A hash that is the same in every run."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest())


def ranks(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """Today: each balancer draws a rank for each server when it first hears of it; the lowest are kept."""
    found = {}
    for b in balancers:
        chance = random.Random(number(seed, b))
        rank = [chance.random() for _ in range(max(servers) + 1)]  # of all it has ever heard of
        found[b] = set(sorted(servers, key=rank.__getitem__)[:keep])
    return found


def rendezvous(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """As ranks, but by a hash of both names: a balancer that restarts keeps to the same."""
    found = {}
    for b in balancers:
        mixed = number(seed, b)
        found[b] = set(
            sorted(servers, key=lambda s: (s * 0x9E3779B97F4A7C15 ^ mixed) * 0xBF58476D1CE4E5B9 % 2**64 >> 7)[
                :keep
            ]
        )
    return found


def deterministic(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """In rounds: the servers are shuffled by the round, and each balancer of it takes the next `keep`.

    Needs balancers numbered without gaps, which somebody must tell them.
    """
    keep = min(keep, len(servers))
    each = max(len(servers) // keep, 1)
    found = {}
    shuffled: dict[int, list[int]] = {}
    for i, b in enumerate(sorted(balancers)):
        turn, place = divmod(i, each)
        if turn not in shuffled:
            shuffled[turn] = sorted(servers)
            random.Random(number(seed, turn)).shuffle(shuffled[turn])
        found[b] = set(shuffled[turn][place * keep : (place + 1) * keep])
    return found


def ring(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """Servers on a ring by hash; each balancer takes the next `keep` from its even place on it.

    Needs the number of balancers, and each one's own.
    """
    order = sorted(servers, key=lambda s: number(seed, s))
    found = {}
    for i, b in enumerate(sorted(balancers)):
        start = i * len(order) // len(balancers)
        found[b] = {order[(start + j) % len(order)] for j in range(min(keep, len(order)))}
    return found


WAYS: dict[str, Way] = {
    "ranks (today)": ranks,
    "rendezvous": rendezvous,
    "deterministic": deterministic,
    "ring": ring,
}


def moved(before: dict[int, set[int]], after: dict[int, set[int]], without: int | None = None) -> float:
    """The part of all connections that is new at balancers that were there before.

    Where a server left, each of its balancers must take one in its place.
    """
    both = before.keys() & after.keys()
    new = sum(len(after[b] - before[b]) for b in both)
    if without is not None:
        new -= sum(without in before[b] and len(after[b]) == len(before[b]) for b in both)
    return max(new, 0) / max(sum(len(before[b]) for b in both), 1)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--keep", type=int, default=16, help="servers that a balancer keeps to")
    parser.add_argument("--json", metavar="FILE", help="write the figures there too")
    options = parser.parse_args()
    rows = []
    heads = ("servers", "balancers", "way", "busiest/mean", "unused", "server leaves", "balancer comes")
    print("{:>8} {:>9}  {:<15} {:>12} {:>7} {:>13} {:>14}".format(*heads))
    for size, count in SIZES:
        servers, balancers = list(range(size)), list(range(count))
        for name, way in WAYS.items():
            busiest, unused, leaves, comes = [], [], [], []
            for seed in range(SEEDS):
                kept = way(servers, balancers, options.keep, seed)
                on = Counter(s for chosen in kept.values() for s in chosen)
                busiest.append(max(on.values()) / (on.total() / size))
                unused.append(1 - len(on) / size)
                gone = next(iter(kept[balancers[-1]]))
                leaves.append(
                    moved(kept, way([s for s in servers if s != gone], balancers, options.keep, seed), gone)
                )
                comes.append(moved(kept, way(servers, [*balancers, count], options.keep, seed)))
            row = {
                "servers": size, "balancers": count, "way": name,
                "busiest": round(statistics.mean(busiest), 2), "unused": round(statistics.mean(unused), 3),
                "moved_server": round(statistics.mean(leaves), 4), "moved_balancer": round(statistics.mean(comes), 4),
            }  # fmt: skip
            rows.append(row)
            print(
                f"{size:>8,} {count:>9,}  {name:<15} {row['busiest']:>12} {row['unused']:>7.1%} "
                f"{row['moved_server']:>13.2%} {row['moved_balancer']:>14.2%}"
            )
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
