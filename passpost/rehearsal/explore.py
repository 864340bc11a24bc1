"""Runs a scenario with random faults, one draw per seed, and shrinks the first run that violates an invariant."""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from itertools import islice

import msgspec

from passpost.rehearsal import model
from passpost.rehearsal.model import Event, Scenario
from passpost.rehearsal.virtual import play
from passpost.rehearsal.world import Run
from umberworks.rules import Balancer

Module = type[Balancer]


@dataclass(frozen=True)
class Finding:
    """A run that violated an invariant or had a fault of the program, shrunk; `scenario` replays it."""

    seed: int
    problem: str
    scenario: Scenario
    drawn_events: int  # number of events before the scenario was shrunk


def draw_scenario(base: Scenario, seed: int, max_faults: int) -> Scenario:
    """The base scenario with up to `max_faults` random faults in addition, some of them at the same time."""
    rng = random.Random(f"explore {seed}")
    events = list(base.events)
    for _ in range(rng.randint(min(1, max_faults), max_faults)):
        events.append(_draw_event(base, rng))
    events.sort(key=lambda event: event.at_s)
    return msgspec.structs.replace(base, seed=seed, events=tuple(events))


def _draw_event(base: Scenario, rng: random.Random) -> Event:
    length_s = base.length_s
    at_s = round(rng.uniform(0, length_s * 0.8), 2)
    for_s = round(rng.uniform(0.5, max(length_s / 2, 1.0)), 2)
    tier = rng.choice(base.tiers)
    tier_nodes = [n for n in base.node_names() if n.startswith(f"{tier.name}-")]
    some_nodes = tuple(rng.sample(tier_nodes, rng.randint(1, max(len(tier_nodes) // 3, 1))))
    balancer = f"b{rng.randint(1, base.tiers[0].balancers)}"
    share = round(rng.uniform(0.1, 0.9), 2)
    factor = round(rng.uniform(1.5, 8), 2)
    back_s = round(rng.uniform(0.5, 4), 2)
    candidates: list[Callable[[], Event]] = [
        lambda: model.Slow(at_s=at_s, for_s=for_s, nodes=some_nodes, factor=factor),
        lambda: model.Silent(at_s=at_s, for_s=for_s, nodes=some_nodes),
        lambda: model.Hang(at_s=at_s, for_s=for_s, nodes=some_nodes),
        lambda: model.Pause(at_s=at_s, for_s=for_s, nodes=some_nodes),
        lambda: model.Pause(at_s=at_s, for_s=min(for_s, 3.0), nodes=(balancer,)),
        lambda: model.Reset(at_s=at_s, for_s=for_s, nodes=some_nodes, share=share),
        lambda: model.Spoil(at_s=at_s, for_s=for_s, nodes=some_nodes, share=share),
        lambda: model.Crash(at_s=at_s, for_s=for_s, nodes=some_nodes, back_as="same"),
        lambda: model.Crash(at_s=at_s, for_s=for_s, nodes=some_nodes, back_as="new"),
        lambda: model.Drain(at_s=at_s, for_s=for_s, nodes=some_nodes, back_s=back_s),
        lambda: model.Delay(at_s=at_s, for_s=for_s, nodes=some_nodes, ms=round(rng.uniform(5, 300), 1)),
        lambda: model.ListDown(at_s=at_s, for_s=for_s),
        lambda: model.SharedSlow(at_s=at_s, for_s=for_s, factor=min(factor, 4.0)),
        lambda: model.Partition(at_s=at_s, for_s=for_s, a=some_nodes, b=(balancer,)),
        lambda: model.Partition(at_s=at_s, for_s=for_s, a=("discovery",), b=("b*",)),
        lambda: model.Rush(at_s=at_s, for_s=for_s, factor=min(factor, 5.0)),
        lambda: model.Stop(at_s=at_s, balancer=balancer, back_s=back_s),
        lambda: model.Kill(at_s=at_s, balancer=balancer, back_s=back_s),
        lambda: model.Reload(at_s=at_s, balancer=balancer),
        lambda: model.Clock(at_s=at_s, balancer=balancer, by_s=round(rng.uniform(-5000, 5000), 1)),
    ]
    if any(c.answer_bytes for c in base.classes):  # drawn for these only: seeds of others keep their events
        late_ms = round(rng.uniform(50, 1_500), 1)
        candidates.append(lambda: model.LateConnect(at_s=at_s, for_s=for_s, nodes=some_nodes, ms=late_ms))
    return rng.choice(candidates)()


def first_problem(run: Run) -> str:
    """The first violation or fault of a run, in one line; empty if there is none."""
    if run.violations:
        return f"{run.violations[0].rule}: {run.violations[0].text}"
    return f"fault: {run.faults[0]}" if run.faults else ""


def _problem_kind(problem: str) -> str:
    """The violated rule, or `fault`."""
    return problem.partition(":")[0]


def try_seed(base: Scenario, seed: int, max_faults: int, module: Module = Balancer) -> str:
    """Runs the scenario drawn for a seed; returns its first problem, or an empty text."""
    return first_problem(play(draw_scenario(base, seed, max_faults), seed, module=module))


def explore(
    base: Scenario,
    seeds: Iterable[int],
    jobs: int,
    max_faults: int,
    progress: Callable[[], None] = lambda: None,
    module: Module = Balancer,
) -> tuple[Finding | None, int]:
    """Runs seeds until one has a problem; returns that run, shrunk, and the number of runs played.

    The finding does not depend on `jobs`: of several runs with problems it is the one with the lowest seed.
    """
    remaining_seeds, played = iter(seeds), 0
    if jobs == 1:
        for seed in remaining_seeds:
            problem = try_seed(base, seed, max_faults, module)
            played += 1
            progress()
            if problem:
                return shrink(draw_scenario(base, seed, max_faults), problem, module), played
        return None, played
    problems: dict[int, str] = {}
    context = multiprocessing.get_context("spawn")  # a fork would inherit what the caller runs
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        pending: dict[Future[str], int] = {
            pool.submit(try_seed, base, seed, max_faults, module): seed
            for seed in islice(remaining_seeds, 2 * jobs)
        }
        while pending:
            done, _ = wait(pending, return_when=FIRST_COMPLETED)
            for future in done:
                seed, problem = pending.pop(future), future.result()
                played += 1
                progress()
                if problem:
                    problems[seed] = problem
                if not problems and (following := next(remaining_seeds, None)) is not None:
                    pending[pool.submit(try_seed, base, following, max_faults, module)] = following
    if not problems:
        return None, played
    seed = min(problems)
    return shrink(draw_scenario(base, seed, max_faults), problems[seed], module), played


def shrink(scenario: Scenario, problem: str, module: Module = Balancer) -> Finding:
    """Removes events, then shortens the run, as long as a problem of the same kind occurs."""
    seed, drawn_events = scenario.seed, len(scenario.events)

    def reproduce(candidate: Scenario) -> str:
        """The first problem of a run of the candidate if it is of the same kind; else an empty text."""
        found = first_problem(play(candidate, seed, module=module))
        return found if _problem_kind(found) == _problem_kind(problem) else ""

    shrinking = True
    while shrinking:
        shrinking = False
        for i in reversed(range(len(scenario.events))):
            events = scenario.events[:i] + scenario.events[i + 1 :]
            candidate = msgspec.structs.replace(scenario, events=events)
            if found := reproduce(candidate):
                scenario, problem, shrinking = candidate, found, True
    for share in (0.25, 0.5, 0.75):
        length_s = round(scenario.length_s * share, 2)
        if all(event.at_s < length_s for event in scenario.events):
            candidate = msgspec.structs.replace(scenario, length_s=length_s)
            if found := reproduce(candidate):
                scenario, problem = candidate, found
                break
    title = f"Found: {_problem_kind(problem)} with seed {seed}"
    return Finding(seed, problem, msgspec.structs.replace(scenario, title=title, about=problem), drawn_events)
