"""Many seeds, each a night with failures drawn at random; the first that breaks a rule is shrunk."""

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
from passpost.rehearsal.world import Night
from umberworks.rules import Balancer

Module = type[Balancer]


@dataclass(frozen=True)
class Finding:
    """A night on which something went against the rules, shrunk; its script replays it."""

    seed: int
    what: str
    scenario: Scenario
    drawn_events: int  # failures before the scenario was shrunk


def draw_scenario(base: Scenario, seed: int, most: int) -> Scenario:
    """The base's night with up to `most` failures more, some at the same time."""
    chance = random.Random(f"explore {seed}")
    events = list(base.events)
    for _ in range(chance.randint(min(1, most), most)):
        events.append(_draw_event(base, chance))
    events.sort(key=lambda event: event.at_s)
    return msgspec.structs.replace(base, seed=seed, events=tuple(events))


def _draw_event(base: Scenario, chance: random.Random) -> Event:
    end = base.length_s
    at = round(chance.uniform(0, end * 0.8), 2)
    span = round(chance.uniform(0.5, max(end / 2, 1.0)), 2)
    tier = chance.choice(base.tiers)
    names = [n for n in base.node_names() if n.startswith(f"{tier.name}-")]
    some = tuple(chance.sample(names, chance.randint(1, max(len(names) // 3, 1))))
    front = f"b{chance.randint(1, base.tiers[0].balancers)}"
    share = round(chance.uniform(0.1, 0.9), 2)
    factor = round(chance.uniform(1.5, 8), 2)
    back = round(chance.uniform(0.5, 4), 2)
    kinds: list[Callable[[], Event]] = [
        lambda: model.Slow(at_s=at, for_s=span, nodes=some, factor=factor),
        lambda: model.Silent(at_s=at, for_s=span, nodes=some),
        lambda: model.Hang(at_s=at, for_s=span, nodes=some),
        lambda: model.Pause(at_s=at, for_s=span, nodes=some),
        lambda: model.Pause(at_s=at, for_s=min(span, 3.0), nodes=(front,)),
        lambda: model.Reset(at_s=at, for_s=span, nodes=some, share=share),
        lambda: model.Spoil(at_s=at, for_s=span, nodes=some, share=share),
        lambda: model.Crash(at_s=at, for_s=span, nodes=some, back_as="same"),
        lambda: model.Crash(at_s=at, for_s=span, nodes=some, back_as="new"),
        lambda: model.Drain(at_s=at, for_s=span, nodes=some, back_s=back),
        lambda: model.Delay(at_s=at, for_s=span, nodes=some, ms=round(chance.uniform(5, 300), 1)),
        lambda: model.ListDown(at_s=at, for_s=span),
        lambda: model.SharedSlow(at_s=at, for_s=span, factor=min(factor, 4.0)),
        lambda: model.Partition(at_s=at, for_s=span, a=some, b=(front,)),
        lambda: model.Partition(at_s=at, for_s=span, a=("discovery",), b=("b*",)),
        lambda: model.Rush(at_s=at, for_s=span, factor=min(factor, 5.0)),
        lambda: model.Stop(at_s=at, balancer=front, back_s=back),
        lambda: model.Kill(at_s=at, balancer=front, back_s=back),
        lambda: model.Reload(at_s=at, balancer=front),
        lambda: model.Clock(at_s=at, balancer=front, by_s=round(chance.uniform(-5000, 5000), 1)),
    ]
    return chance.choice(kinds)()


def verdict(night: Night) -> str:
    """What went wrong, in one line; empty for a good night."""
    if night.breaks:
        return f"{night.breaks[0].rule}: {night.breaks[0].text}"
    return f"fault: {night.faults[0]}" if night.faults else ""


def _kind(what: str) -> str:
    return what.partition(":")[0]


def try_seed(base: Scenario, seed: int, most: int, module: Module = Balancer) -> str:
    """Play one drawn night; the verdict."""
    return verdict(play(draw_scenario(base, seed, most), seed, module=module))


def explore(
    base: Scenario,
    seeds: Iterable[int],
    jobs: int,
    most: int,
    progress: Callable[[], None] = lambda: None,
    module: Module = Balancer,
) -> tuple[Finding | None, int]:
    """Play nights until one goes wrong; that one, shrunk, and how many were played.

    The result does not depend on `jobs`: of several bad nights it is the one with the lowest seed.
    """
    order, played = iter(seeds), 0
    if jobs == 1:
        for seed in order:
            what = try_seed(base, seed, most, module)
            played += 1
            progress()
            if what:
                return shrink(draw_scenario(base, seed, most), what, module), played
        return None, played
    bad: dict[int, str] = {}
    context = multiprocessing.get_context("spawn")  # a fork would carry over what the caller has running
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        out: dict[Future[str], int] = {
            pool.submit(try_seed, base, seed, most, module): seed for seed in islice(order, 2 * jobs)
        }
        while out:
            done, _ = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                seed, what = out.pop(future), future.result()
                played += 1
                progress()
                if what:
                    bad[seed] = what
                if not bad and (following := next(order, None)) is not None:
                    out[pool.submit(try_seed, base, following, most, module)] = following
    if not bad:
        return None, played
    seed = min(bad)
    return shrink(draw_scenario(base, seed, most), bad[seed], module), played


def shrink(script: Scenario, what: str, module: Module = Balancer) -> Finding:
    """Leave out failures, then shorten the night, as long as the same rule breaks."""
    seed, drawn = script.seed, len(script.events)

    def still(candidate: Scenario) -> str:
        found = verdict(play(candidate, seed, module=module))
        return found if _kind(found) == _kind(what) else ""

    smaller = True
    while smaller:
        smaller = False
        for i in reversed(range(len(script.events))):
            events = script.events[:i] + script.events[i + 1 :]
            candidate = msgspec.structs.replace(script, events=events)
            if found := still(candidate):
                script, what, smaller = candidate, found, True
    for part in (0.25, 0.5, 0.75):
        length = round(script.length_s * part, 2)
        if all(event.at_s < length for event in script.events):
            candidate = msgspec.structs.replace(script, length_s=length)
            if found := still(candidate):
                script, what = candidate, found
                break
    title = f"Found: {_kind(what)} with seed {seed}"
    return Finding(seed, what, msgspec.structs.replace(script, title=title, about=what), drawn)
