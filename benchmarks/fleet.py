"""Simulates fleets of different sizes: calls for the list, calls to cold servers, and one busier balancer.

    python benchmarks/fleet.py [--json FILE]

All balancers are instances of the decision module on one virtual clock. Nothing is measured in wall time, so every run
of the same code prints the same figures. Discovery is one service that answers calls one after the other, fast enough
for one call of each balancer in 5 s; it also processes calls that timed out after 2 s. The time that a server takes
for a call doesn't depend on how many others it has.
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
DISCOVERY_ROUND_MS, CALL_TIMEOUT_MS, RATE_WINDOW_MS = 5_000.0, 2_000.0, 100.0
SIMULATED_MS = 30_000.0
REQUEST_CLASS = RequestClass("frame", 1_000.0, 3_000.0, Effect.REPEATABLE)
ATTEMPT_MS, REQUESTS_PER_S, BUSY_FACTOR, SERVERS_PER_BALANCER = 150.0, 40.0, 5.0, 5
MEMBERS = tuple(Member(f"s{i}") for i in range(20))
# Cold servers have two cores each. The others are the settings behind the rule "no cold node is pushed over".
CORES, COLD_MS, COLD_FROM, OVERLOAD_FACTOR, WINDOW_MS, LOAD_SHARE = 2, 15_000.0, 0.2, 3.0, 1_500.0, 0.8
COLD_START_AFTER_MS, OBSERVED_MS, ANNOUNCEMENT_DELAY_MS = 8_000.0, 12_000.0, 300.0


def create_balancer(size: int, seed: int, pulls_list: bool) -> Balancer:
    """Creates one balancer of a fleet of `size`."""
    return Balancer(Settings((REQUEST_CLASS,), balancers=size, pulls_list=pulls_list, max_attempts=3), seed)


class EventQueue:
    """The virtual clock and the pending events of all balancers, in order of time."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self._queue: list[tuple[float, int, int, Event]] = []
        self._sequence = count()

    def schedule(self, at_ms: float, balancer_index: int, event: Event) -> None:
        """Schedules an event for a balancer."""
        heappush(self._queue, (at_ms, next(self._sequence), balancer_index, event))

    def pop_until(self, end_ms: float) -> tuple[int, Event] | None:
        """Removes and returns the next event that is due by `end_ms` and advances the clock; None if there is none."""
        if not self._queue or self._queue[0][0] > end_ms:
            self.now_ms = end_ms
            return None
        self.now_ms, _, balancer_index, event = heappop(self._queue)
        return balancer_index, event


def measure_list_calls(size: int) -> dict[str, float]:
    """All balancers ask for the list at the same time: at a common start, and after all watches ended together."""
    events, service_ms = EventQueue(), DISCOVERY_ROUND_MS / size
    fleet = [create_balancer(size, seed, pulls_list=True) for seed in range(size)]
    free_at_ms, call_times_ms, received_at_ms = events.now_ms, list[float](), dict[int, float]()

    def process_actions(balancer_index: int, actions: list[Action]) -> None:
        nonlocal free_at_ms
        for action in actions:
            if isinstance(action, SetTimer) and action.token == "list":
                events.schedule(action.at_ms, balancer_index, TimerDue("list"))
            elif isinstance(action, Subscribe):
                call_times_ms.append(events.now_ms)
                free_at_ms = max(free_at_ms, events.now_ms) + service_ms
                timed_out = free_at_ms - events.now_ms > CALL_TIMEOUT_MS
                kind = ListKind.FAILED if timed_out else ListKind.CHANGES
                events.schedule(
                    events.now_ms + CALL_TIMEOUT_MS if timed_out else free_at_ms,
                    balancer_index,
                    ListUpdate(kind),
                )

    def run_scenario(first_update: ListUpdate) -> tuple[float, float, float]:
        """Returns the most calls in 100 ms, the failed calls per balancer, and the seconds until all had the list."""
        start_ms, failed_calls = events.now_ms, 0
        call_times_ms.clear()
        received_at_ms.clear()
        for balancer_index, balancer in enumerate(fleet):
            process_actions(balancer_index, balancer.handle(first_update, events.now_ms))
        while (entry := events.pop_until(start_ms + SIMULATED_MS)) is not None:
            balancer_index, event = entry
            if isinstance(event, ListUpdate):
                failed_calls += event.kind is ListKind.FAILED
                if event.kind is ListKind.CHANGES:
                    received_at_ms[balancer_index] = events.now_ms
            process_actions(balancer_index, fleet[balancer_index].handle(event, events.now_ms))
        busiest_window = max(
            sum(time_ms <= other_ms < time_ms + RATE_WINDOW_MS for other_ms in call_times_ms)
            for time_ms in set(call_times_ms)
        )
        last_received_s = (
            (max(received_at_ms.values()) - start_ms) / 1000 if len(received_at_ms) == size else float("inf")
        )
        return busiest_window, failed_calls / size, last_received_s

    startup_figures = run_scenario(ListUpdate(ListKind.SAVED, MEMBERS))
    names = ("most_in_100_ms", "failed_each", "all_have_it_s")
    watch_end_figures = run_scenario(ListUpdate(ListKind.FAILED))
    return {f"start_{name}": value for name, value in zip(names, startup_figures, strict=True)} | {
        f"ended_{name}": value for name, value in zip(names, watch_end_figures, strict=True)
    }


def measure_cold_servers(size: int, replaced_share: float) -> dict[str, float]:
    """Replaces a share of the servers by cold ones, announced to all balancers at once; one balancer is busier.

    For each cold server, the calls of all balancers in a window are divided by the rule's budget: N + 2 sqrt(N) + 2,
    where N is the overload factor times what the server can process in a window. The highest quotient of a server
    counts. Returns the figure of the worst server and the mean over the cold servers.
    """
    events, rng = EventQueue(), random.Random(size)
    settings = Settings(
        (REQUEST_CLASS,),
        balancers=size,
        max_attempts=3,
        cold_ms=COLD_MS,
        cold_from=COLD_FROM,
        cold_overload_factor=OVERLOAD_FACTOR,
        cold_window_ms=WINDOW_MS,
    )
    fleet = [Balancer(settings, seed) for seed in range(size)]
    start_ms, cold_start_ms = events.now_ms, events.now_ms + COLD_START_AFTER_MS
    cold_servers = [f"n{i}" for i in range(round(replaced_share * len(MEMBERS)))]
    call_times_ms: dict[str, list[float]] = {name: [] for name in cold_servers}

    def relative_speed(server: str) -> float:
        return (
            1.0
            if server not in call_times_ms
            else min(COLD_FROM + (1 - COLD_FROM) * (events.now_ms - cold_start_ms) / COLD_MS, 1.0)
        )

    def process_actions(balancer_index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                events.schedule(action.at_ms, balancer_index, TimerDue(action.token))
            elif isinstance(action, Send):
                if action.server in call_times_ms:
                    call_times_ms[action.server].append(events.now_ms)
                ends_ms = events.now_ms + ATTEMPT_MS * rng.expovariate(1.0) / relative_speed(action.server)
                events.schedule(
                    ends_ms,
                    balancer_index,
                    AttemptEnded(action.request, 0, action.server, Outcome.SERVED, answered=True),
                )

    announcement = [Member(name, up_since_ms=cold_start_ms) for name in cold_servers]
    announcement += [
        Member(member.server, readiness=Readiness.GONE) for member in MEMBERS[: len(cold_servers)]
    ]
    for balancer_index, balancer in enumerate(fleet):
        process_actions(balancer_index, balancer.handle(ListUpdate(ListKind.WHOLE, MEMBERS), events.now_ms))
        events.schedule(
            cold_start_ms + ANNOUNCEMENT_DELAY_MS,
            balancer_index,
            ListUpdate(ListKind.CHANGES, tuple(announcement)),
        )
    arrival_ms, request_count, weights = events.now_ms, 0, [BUSY_FACTOR] + [1.0] * (size - 1)
    while (
        arrival_ms := arrival_ms + rng.expovariate(LOAD_SHARE * len(MEMBERS) * CORES / ATTEMPT_MS)
    ) < cold_start_ms + OBSERVED_MS:
        request_count += 1
        events.schedule(
            arrival_ms,
            rng.choices(range(size), weights)[0],
            RequestArrived(request_count, REQUEST_CLASS.name, REQUEST_CLASS.deadline_ms),
        )
    while (entry := events.pop_until(start_ms + COLD_START_AFTER_MS + OBSERVED_MS)) is not None:
        process_actions(entry[0], fleet[entry[0]].handle(entry[1], events.now_ms))
    highest_shares = []
    for server_times_ms in call_times_ms.values():
        highest_share = 0.0
        for i, time_ms in enumerate(server_times_ms):
            speed = min(COLD_FROM + (1 - COLD_FROM) * (time_ms - cold_start_ms) / COLD_MS, 1.0)
            allowed_calls = OVERLOAD_FACTOR * speed * CORES / ATTEMPT_MS * WINDOW_MS
            calls_in_window = sum(time_ms - WINDOW_MS < other_ms for other_ms in server_times_ms[: i + 1])
            highest_share = max(
                highest_share, calls_in_window / (allowed_calls + 2 * math.sqrt(allowed_calls) + 2)
            )
        highest_shares.append(highest_share)
    return {
        f"cold_{replaced_share:.0%}_worst": max(highest_shares),
        f"cold_{replaced_share:.0%}_mean": sum(highest_shares) / len(highest_shares),
    }


def measure_busy_balancer(size: int) -> dict[str, float]:
    """One balancer gets five times the requests of each other one, and no server is slow: the share each refuses."""
    members = tuple(Member(f"s{i}") for i in range(SERVERS_PER_BALANCER * size))
    # A server's time for a call doesn't depend on its load, so each balancer can be simulated by itself.
    request_rates = {"busy": (REQUESTS_PER_S * BUSY_FACTOR, 1), "other": (REQUESTS_PER_S, 2)}
    return {
        f"{name}_refused": refused_share(size, rate_per_s, seed, members)
        for name, (rate_per_s, seed) in request_rates.items()
    }


def refused_share(size: int, rate_per_s: float, seed: int, members: tuple[Member, ...]) -> float:
    """Returns the share of its requests that one balancer of a fleet of `size` refuses at the given rate."""
    events, balancer, rng = EventQueue(), create_balancer(size, seed, pulls_list=False), random.Random(seed)
    balancer.handle(ListUpdate(ListKind.WHOLE, members), events.now_ms)
    arrival_ms, end_ms = events.now_ms, events.now_ms + SIMULATED_MS
    request_count, refused_count = 0, 0
    while (arrival_ms := arrival_ms + rng.expovariate(rate_per_s / 1000)) < end_ms:
        request_count += 1
        events.schedule(
            arrival_ms, 0, RequestArrived(request_count, REQUEST_CLASS.name, REQUEST_CLASS.deadline_ms)
        )
    while (entry := events.pop_until(end_ms + REQUEST_CLASS.deadline_ms)) is not None:
        for action in balancer.handle(entry[1], events.now_ms):
            if isinstance(action, SetTimer):
                events.schedule(action.at_ms, 0, TimerDue(action.token))
            elif isinstance(action, Send):
                ended = AttemptEnded(action.request, 0, action.server, Outcome.SERVED, answered=True)
                events.schedule(events.now_ms + ATTEMPT_MS * rng.expovariate(1.0), 0, ended)
            refused_count += isinstance(action, Refuse)
    return refused_count / request_count


def main() -> None:
    """Prints the table and writes it as JSON if requested."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--json", type=Path, help="also write the figures to this file")
    options = parser.parse_args()
    rows = [
        {"balancers": float(size)}
        | measure_list_calls(size)
        | measure_cold_servers(size, 0.6)
        | measure_cold_servers(size, 1.0)
        | measure_busy_balancer(size)
        for size in SIZES
    ]
    for name in rows[0]:
        print(f"{name:24}" + "".join(f"{row[name]:10.3g}" for row in rows))
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
