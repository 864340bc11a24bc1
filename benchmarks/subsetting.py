"""Compares subsetting methods by balance and by the connections that move when servers or balancers change.

    python benchmarks/subsetting.py [--keep 16] [--json FILE]

A subset is the set of servers that a balancer uses. Balance: the number of balancers on the busiest server divided by
the mean, and the share of servers in no subset. Moved: the share of all connections between balancers and servers that
changes when one server leaves, and when one balancer is added, without the connections that have to change (those of
that server or balancer). Nothing here runs passpost.
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
# The arguments are servers, balancers, keep and seed; the result is the subset of each balancer.
SubsetMethod = Callable[[list[int], list[int], int, int], dict[int, set[int]]]


def stable_hash(*parts: int) -> int:
    """Returns a 64-bit hash that is the same in every run."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest())


def random_ranks(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """The current method: a balancer draws a random rank for each server it first hears of and uses the lowest."""
    subsets = {}
    for balancer in balancers:
        rng = random.Random(stable_hash(seed, balancer))
        # One rank for each server that the balancer has ever heard of.
        rank_by_server = [rng.random() for _ in range(max(servers) + 1)]
        subsets[balancer] = set(sorted(servers, key=rank_by_server.__getitem__)[:keep])
    return subsets


def rendezvous(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """Like `random_ranks` with a hash of both names as the rank, so that a restart of a balancer keeps its subset."""
    subsets = {}
    for balancer in balancers:
        balancer_hash = stable_hash(seed, balancer)
        subsets[balancer] = set(
            sorted(
                servers,
                key=lambda server: (
                    (server * 0x9E3779B97F4A7C15 ^ balancer_hash) * 0xBF58476D1CE4E5B9 % 2**64 >> 7
                ),
            )[:keep]
        )
    return subsets


def deterministic(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """Deterministic subsetting in rounds of balancers.

    The servers are shuffled for each round, and each balancer of the round takes the next `keep` of them.
    Needs balancers numbered without gaps, so each balancer has to be told its number.
    """
    keep = min(keep, len(servers))
    balancers_per_round = max(len(servers) // keep, 1)
    subsets = {}
    shuffled_by_round: dict[int, list[int]] = {}
    for i, balancer in enumerate(sorted(balancers)):
        round_number, position = divmod(i, balancers_per_round)
        if round_number not in shuffled_by_round:
            shuffled_by_round[round_number] = sorted(servers)
            random.Random(stable_hash(seed, round_number)).shuffle(shuffled_by_round[round_number])
        subsets[balancer] = set(shuffled_by_round[round_number][position * keep : (position + 1) * keep])
    return subsets


def ring(servers: list[int], balancers: list[int], keep: int, seed: int) -> dict[int, set[int]]:
    """Servers are ordered on a ring by hash; each balancer takes the next `keep` from its evenly spaced position.

    Needs the number of balancers and the index of each balancer.
    """
    order = sorted(servers, key=lambda server: stable_hash(seed, server))
    subsets = {}
    for i, balancer in enumerate(sorted(balancers)):
        start = i * len(order) // len(balancers)
        subsets[balancer] = {order[(start + j) % len(order)] for j in range(min(keep, len(order)))}
    return subsets


METHODS: dict[str, SubsetMethod] = {
    "ranks (today)": random_ranks,
    "rendezvous": rendezvous,
    "deterministic": deterministic,
    "ring": ring,
}


def moved_share(
    before: dict[int, set[int]], after: dict[int, set[int]], removed_server: int | None = None
) -> float:
    """Returns the share of all connections that is new at balancers present before and after the change.

    If `removed_server` left, the one replacement that each of its balancers has to choose isn't counted.
    """
    common_balancers = before.keys() & after.keys()
    new_connections = sum(len(after[balancer] - before[balancer]) for balancer in common_balancers)
    if removed_server is not None:
        new_connections -= sum(
            removed_server in before[balancer] and len(after[balancer]) == len(before[balancer])
            for balancer in common_balancers
        )
    return max(new_connections, 0) / max(sum(len(before[balancer]) for balancer in common_balancers), 1)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--keep", type=int, default=16, help="servers in the subset of a balancer")
    parser.add_argument("--json", metavar="FILE", help="also write the figures to this file")
    options = parser.parse_args()
    rows = []
    headings = ("servers", "balancers", "way", "busiest/mean", "unused", "server leaves", "balancer comes")
    print("{:>8} {:>9}  {:<15} {:>12} {:>7} {:>13} {:>14}".format(*headings))
    for server_count, balancer_count in SIZES:
        servers, balancers = list(range(server_count)), list(range(balancer_count))
        for name, method in METHODS.items():
            busiest_ratios, unused_shares, moved_by_server, moved_by_balancer = [], [], [], []
            for seed in range(SEEDS):
                subsets = method(servers, balancers, options.keep, seed)
                balancers_by_server = Counter(server for subset in subsets.values() for server in subset)
                busiest_ratios.append(
                    max(balancers_by_server.values()) / (balancers_by_server.total() / server_count)
                )
                unused_shares.append(1 - len(balancers_by_server) / server_count)
                removed_server = next(iter(subsets[balancers[-1]]))
                moved_by_server.append(
                    moved_share(
                        subsets,
                        method(
                            [server for server in servers if server != removed_server],
                            balancers,
                            options.keep,
                            seed,
                        ),
                        removed_server,
                    )
                )
                moved_by_balancer.append(
                    moved_share(subsets, method(servers, [*balancers, balancer_count], options.keep, seed))
                )
            row = {
                "servers": server_count, "balancers": balancer_count, "way": name,
                "busiest": round(statistics.mean(busiest_ratios), 2),
                "unused": round(statistics.mean(unused_shares), 3),
                "moved_server": round(statistics.mean(moved_by_server), 4),
                "moved_balancer": round(statistics.mean(moved_by_balancer), 4),
            }  # fmt: skip
            rows.append(row)
            print(
                f"{server_count:>8,} {balancer_count:>9,}  {name:<15} {row['busiest']:>12} {row['unused']:>7.1%} "
                f"{row['moved_server']:>13.2%} {row['moved_balancer']:>14.2%}"
            )
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
