"""What many balancers come to together, by their number: calls for the list, calls to cold servers, and a busy one.

    python benchmarks/fleet.py [--json FILE]

All balancers are instances of the module on one virtual clock; nothing is measured in wall time, and the same program
prints the same figures. Discovery is one service that takes calls in turn and could answer one of each balancer in 5 s;
it works off a call whose 2 s are over too. The servers take each call the same time, whatever they hold.
"""

from __future__ import annotations

import argparse
import json
import math
import random
from heapq import heappop, heappush
from itertools import count
from pathlib import Path

from umberworks.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Readiness,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerDue,
)
from umberworks.rules import Balancer

SIZES = (5, 20, 60, 200)
ROUND_MS, TIMEOUT_MS, SLICE_MS = 5_000.0, 2_000.0, 100.0
LENGTH_MS = 30_000.0
CLASS = RequestClass("frame", 1_000.0, 3_000.0, Effect.REPEATABLE)
TAKES_MS, EACH_PER_S, BUSY, SERVERS_EACH = 150.0, 40.0, 5.0, 5
MEMBERS = tuple(Member(f"s{i}") for i in range(20))
# Cold servers: two cores each, and of the settings what the fourth rule rests on.
CORES, COLD_MS, COLD_FROM, FACTOR, WINDOW_MS, LOAD = 2, 15_000.0, 0.2, 3.0, 1_500.0, 0.8
KNOWN_MS, WATCHED_MS, NEWS_MS = 8_000.0, 12_000.0, 300.0


def balancer(size: int, seed: int, asks: bool) -> Balancer:
    """One of so many."""
    return Balancer(Settings((CLASS,), balancers=size, pulls_list=asks, max_attempts=3), seed)


class Clock:
    """Events of all balancers in their order."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._due: list[tuple[float, int, int, Event]] = []
        self._count = count()

    def at(self, when: float, who: int, event: Event) -> None:
        """Something will happen."""
        heappush(self._due, (when, next(self._count), who, event))

    def next(self, end: float) -> tuple[int, Event] | None:
        """The next that happens before `end`."""
        if not self._due or self._due[0][0] > end:
            self.now = end
            return None
        self.now, _, who, event = heappop(self._due)
        return who, event


def lists(size: int) -> dict[str, float]:
    """All ask for the list: at a start together, and once all watches have ended together."""
    clock, turn = Clock(), ROUND_MS / size
    fleet = [balancer(size, seed, asks=True) for seed in range(size)]
    free_at, calls, has = clock.now, list[float](), dict[int, float]()

    def carry_out(who: int, actions: list[Action]) -> None:
        nonlocal free_at
        for action in actions:
            if isinstance(action, SetTimer) and action.token == "list":
                clock.at(action.at_ms, who, TimerDue("list"))
            elif isinstance(action, Subscribe):
                calls.append(clock.now)
                free_at = max(free_at, clock.now) + turn
                late = free_at - clock.now > TIMEOUT_MS
                kind = ListKind.FAILED if late else ListKind.CHANGES
                clock.at(clock.now + TIMEOUT_MS if late else free_at, who, ListUpdate(kind))

    def play(first: ListUpdate) -> tuple[float, float, float]:
        """The most calls in a tenth of a second, failed calls for each balancer, and when the last had the list."""
        begun, failed = clock.now, 0
        calls.clear()
        has.clear()
        for who, one in enumerate(fleet):
            carry_out(who, one.handle(first, clock.now))
        while (found := clock.next(begun + LENGTH_MS)) is not None:
            who, event = found
            if isinstance(event, ListUpdate):
                failed += event.kind is ListKind.FAILED
                if event.kind is ListKind.CHANGES:
                    has[who] = clock.now
            carry_out(who, fleet[who].handle(event, clock.now))
        most = max(sum(t <= other < t + SLICE_MS for other in calls) for t in set(calls))
        last = (max(has.values()) - begun) / 1000 if len(has) == size else float("inf")
        return most, failed / size, last

    start = play(ListUpdate(ListKind.SAVED, MEMBERS))
    names = ("most_in_100_ms", "failed_each", "all_have_it_s")
    ended = play(ListUpdate(ListKind.FAILED))
    return {f"start_{n}": v for n, v in zip(names, start, strict=True)} | {
        f"ended_{n}": v for n, v in zip(names, ended, strict=True)
    }


def cold(size: int, new: float) -> dict[str, float]:
    """So large a part of the servers gives way to cold ones, of which all hear at one moment; one balancer is busier.

    What they get together in a window against the rule's budget (N + 2 roots of N + 2), the worst server and the mean.
    """
    clock, chance = Clock(), random.Random(size)
    settings = Settings(
        (CLASS,),
        balancers=size,
        max_attempts=3,
        cold_ms=COLD_MS,
        cold_from=COLD_FROM,
        cold_overload_factor=FACTOR,
        cold_window_ms=WINDOW_MS,
    )
    fleet = [Balancer(settings, seed) for seed in range(size)]
    begun, starts = clock.now, clock.now + KNOWN_MS
    fresh = [f"n{i}" for i in range(round(new * len(MEMBERS)))]
    calls: dict[str, list[float]] = {name: [] for name in fresh}

    def warmth(server: str) -> float:
        return (
            1.0
            if server not in calls
            else min(COLD_FROM + (1 - COLD_FROM) * (clock.now - starts) / COLD_MS, 1.0)
        )

    def carry_out(who: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                clock.at(action.at_ms, who, TimerDue(action.token))
            elif isinstance(action, Send):
                if action.server in calls:
                    calls[action.server].append(clock.now)
                ends = clock.now + TAKES_MS * chance.expovariate(1.0) / warmth(action.server)
                clock.at(
                    ends, who, AttemptEnded(action.request, 0, action.server, Outcome.SERVED, answered=True)
                )

    news = [Member(name, up_since_ms=starts) for name in fresh]
    news += [Member(m.server, readiness=Readiness.GONE) for m in MEMBERS[: len(fresh)]]
    for who, one in enumerate(fleet):
        carry_out(who, one.handle(ListUpdate(ListKind.WHOLE, MEMBERS), clock.now))
        clock.at(starts + NEWS_MS, who, ListUpdate(ListKind.CHANGES, tuple(news)))
    at, asked, weights = clock.now, 0, [BUSY] + [1.0] * (size - 1)
    while (at := at + chance.expovariate(LOAD * len(MEMBERS) * CORES / TAKES_MS)) < starts + WATCHED_MS:
        asked += 1
        clock.at(
            at, chance.choices(range(size), weights)[0], RequestArrived(asked, CLASS.name, CLASS.deadline_ms)
        )
    while (found := clock.next(begun + KNOWN_MS + WATCHED_MS)) is not None:
        carry_out(found[0], fleet[found[0]].handle(found[1], clock.now))
    shares = []
    for times in calls.values():
        worst = 0.0
        for i, t in enumerate(times):
            part = min(COLD_FROM + (1 - COLD_FROM) * (t - starts) / COLD_MS, 1.0)
            most = FACTOR * part * CORES / TAKES_MS * WINDOW_MS
            count = sum(t - WINDOW_MS < other for other in times[: i + 1])
            worst = max(worst, count / (most + 2 * math.sqrt(most) + 2))
        shares.append(worst)
    return {f"cold_{new:.0%}_worst": max(shares), f"cold_{new:.0%}_mean": sum(shares) / len(shares)}


def busy(size: int) -> dict[str, float]:
    """One balancer has five times the others' requests, and nothing is slow: who refuses what."""
    members = tuple(Member(f"s{i}") for i in range(SERVERS_EACH * size))
    # Servers take the same time whatever they hold, so that each balancer can be played by itself.
    shares = {"busy": (EACH_PER_S * BUSY, 1), "other": (EACH_PER_S, 2)}
    return {f"{name}_refused": refused(size, rate, seed, members) for name, (rate, seed) in shares.items()}


def refused(size: int, rate: float, seed: int, members: tuple[Member, ...]) -> float:
    """The share that one of so many balancers refuses of so many requests a second."""
    clock, one, chance = Clock(), balancer(size, seed, asks=False), random.Random(seed)
    one.handle(ListUpdate(ListKind.WHOLE, members), clock.now)
    at, end = clock.now, clock.now + LENGTH_MS
    asked, said_no = 0, 0
    while (at := at + chance.expovariate(rate / 1000)) < end:
        asked += 1
        clock.at(at, 0, RequestArrived(asked, CLASS.name, CLASS.deadline_ms))
    while (found := clock.next(end + CLASS.deadline_ms)) is not None:
        for action in one.handle(found[1], clock.now):
            if isinstance(action, SetTimer):
                clock.at(action.at_ms, 0, TimerDue(action.token))
            elif isinstance(action, Send):
                ended = AttemptEnded(action.request, 0, action.server, Outcome.SERVED, answered=True)
                clock.at(clock.now + TAKES_MS * chance.expovariate(1.0), 0, ended)
            said_no += isinstance(action, Refuse)
    return said_no / asked


def main() -> None:
    """Print the table, and write it as JSON if asked to."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--json", type=Path, help="write the figures to this file too")
    options = parser.parse_args()
    rows = [
        {"balancers": float(size)} | lists(size) | cold(size, 0.6) | cold(size, 1.0) | busy(size)
        for size in SIZES
    ]
    for name in rows[0]:
        print(f"{name:24}" + "".join(f"{row[name]:10.3g}" for row in rows))
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
