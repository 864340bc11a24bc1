"""Nights in which the first tier's balancers are sidecars with an operator's file."""

from __future__ import annotations

import random
import re
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from passpost.operator.checks import check
from passpost.operator.model import File
from passpost.operator.reader import UnreadableError, parse
from passpost.rehearsal import carried, live, model
from passpost.rehearsal.carried import MismatchError
from passpost.rehearsal.model import Class, Clients, Contract, NodeKind, Scenario, Tier
from passpost.rehearsal.script import ScenarioError, dump, load
from passpost.rehearsal.script import parse as parse_script
from passpost.rehearsal.summary import summarize
from passpost.rehearsal.virtual import play
from tests.operator.files import GOOD, broken
from tests.rehearsal import nights

EXAMPLES = sorted((Path(__file__).parent.parent.parent / "examples").glob("*/rehearsal.toml"))
# For a file that says nothing of its servers' starts, nodes are warm at once: faults of every other kind.
FAULTS: tuple[model.Event, ...] = (
    model.Slow(at_s=0.5, for_s=1.0, nodes=("render-plain-1",), factor=5.0),
    model.Reset(at_s=0.6, for_s=1.0, nodes=("render-plain-2",), share=0.5),
    model.Drain(at_s=0.8, for_s=0.5, nodes=("render-plain-3",), back_s=0.2),
    model.Reload(at_s=1.0, balancer="b1"),
    model.Silent(at_s=1.2, for_s=0.5, nodes=("render-plain-2",)),
    model.Crash(at_s=1.5, for_s=0.3, nodes=("render-plain-1",)),
)


def good(text: str = GOOD) -> File:
    file = parse(text, "f.toml").file
    assert file is not None
    return file


def script(file: File, *events: model.Event, tiers: int = 1, **changes: Any) -> Scenario:
    """A short night of the file's first application, all its classes alike."""
    application = file.applications[0]
    kinds = (NodeKind(name="plain", count=4),)
    first = Tier(name="render", kinds=kinds, balancers=min(application.balancers, 2))
    last = Tier(name="store", kinds=kinds, part=0.5)
    base: dict[str, Any] = {
        "version": 1,
        "title": "A short night of a sidecar",
        "length_s": 2.5,
        "sidecar": model.Sidecar(file="nowhere.toml", application=application.name),
        "clients": Clients(rate_per_s=40, try_share=1.0),
        "classes": tuple(Class(name=c.name, work_ms=15) for c in application.classes),
        "tiers": (first,) if tiers == 1 else (msgspec.structs.replace(first, part=0.5), last),
        "events": events,
    }
    return Scenario(**(base | changes))


def test_a_file_s_classes_keys_and_tenants_come_through() -> None:
    file = good()
    played = play(
        script(file, tenants=(model.Tenant(name="harbour"), model.Tenant(name="castle"))), 1, file=file
    )
    assert played.is_good(), (played.faults, played.breaks)
    figures = summarize(played)
    assert figures.total.served == 1.0 and {line.name for line in figures.by_class} == {
        "submit",
        "frame",
        "pay",
    }
    assert played.script.classes[0].window_ms == 3_000 and played.script.contract.attempts == 3


def test_a_second_tier_behind_a_sidecar_speaks_the_platform_s_form() -> None:
    file = good()
    played = play(script(file, *FAULTS, tiers=2), 3, file=file)
    assert played.is_good(), (played.faults, played.breaks)
    assert played.attempts > 1.5 * len(played.jobs)


def test_reloads_under_load_lose_nothing() -> None:
    file = good()
    reloads = [model.Reload(at_s=0.2 * i, balancer="b1") for i in range(1, 12)]
    played = play(script(file, *reloads, clients=Clients(rate_per_s=80, try_share=1.0)), 1, file=file)
    assert played.is_good(), (played.faults, played.breaks)
    assert len(played.jobs) > 150 and summarize(played).total.served == 1.0
    assert Counter(text for _, text in played.log)["b1: discovery moves, SIGHUP"] == 11


def test_the_same_seed_gives_the_same_decisions() -> None:
    file, first, second, other = good(), list[str](), list[str](), list[str]()
    night = script(file, *FAULTS)
    play(night, 4, first.append, file=file)
    play(night, 4, second.append, file=file)
    play(night, 5, other.append, file=file)
    assert len(first) > 80 and first == second != other


@pytest.mark.parametrize(
    ("module", "event", "rule"),
    [
        (nights.ServesTwice, (), "twice"),
        (nights.IgnoresDrains, (model.Drain(at_s=0.3, for_s=2.0, nodes=("render-plain-*",)),), "drain"),
    ],
)
def test_a_broken_module_in_a_sidecar_is_caught(module: Any, event: Any, rule: str) -> None:
    file = good()
    played = play(script(file, *event), 1, module=module, file=file)
    assert rule in {b.rule for b in played.breaks}


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.parent.name)
def test_an_example_s_rehearsal_keeps_the_rules(path: Path) -> None:
    night = load(str(path))
    played = play(night, night.seed)
    assert played.is_good(), (played.faults, played.breaks)
    assert summarize(played).total.served > 0.9
    assert "b1: discovery moves, SIGHUP" in {text for _, text in played.log}
    assert parse_script(dump(night), "elsewhere/copy.toml") == night  # its file is found from anywhere


def test_there_is_a_rehearsal_for_each_example() -> None:
    folder = Path(__file__).parent.parent.parent / "examples"
    assert {p.parent.name for p in EXAMPLES} == {p.name for p in folder.iterdir()} and len(EXAMPLES) >= 3


def test_a_live_night_runs_the_command_itself(tmp_path: Path) -> None:
    (tmp_path / "f.toml").write_text(
        broken(
            ("deadline_ms = 3000\naim_ms = 1200\nattempt_ms = 1000", "deadline_ms = 40000"),
            ("descriptors = 1024", "descriptors = 256"),
            ("kill_after_s = 30", "kill_after_s = 60"),
        )
    )
    (tmp_path / "night.toml").write_text(
        dump(
            script(
                good(),
                model.Reload(at_s=0.4, balancer="b1"),
                classes=(Class(name="frame", work_ms=5),),
                sidecar=model.Sidecar(file="f.toml", application="render"),
                length_s=1.5,
            )
        )
    )
    played = live.play(load(str(tmp_path / "night.toml")), 1)
    assert played.faults == [] and summarize(played).total.served > 0
    assert played.attempts >= summarize(played).total.requests > 10


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (
            {"sidecar": model.Sidecar(file="f.toml", application="stills")},
            "sidecar.application: 'stills' is none of",
        ),
        ({"sidecar": model.Sidecar(file="none.toml", application="render")}, "sidecar.file: .*No such file"),
        ({"classes": (Class(name="view"),)}, r"classes\[0\].name: render has no class 'view'"),
        (
            {"classes": (Class(name="frame", deadline_ms=500),)},
            r"classes\[0\].deadline_ms: the operator's file says",
        ),
        ({"contract": Contract(cold_ms=4.0)}, "contract.cold_ms: the operator's file says"),
        (
            {"tiers": (Tier(name="render", kinds=(NodeKind(name="plain"),), balancers=3),)},
            r"tiers\[0\].balancers: 3 sidecars, and the file counts on 1",
        ),
    ],
)
def test_a_script_that_does_not_fit_its_file_is_refused(tmp_path: Path, change: Any, reason: str) -> None:
    (tmp_path / "f.toml").write_text(GOOD)
    night = tmp_path / "night.toml"
    fits = script(good(), sidecar=model.Sidecar(file="f.toml", application="render"))
    night.write_text(dump(fits))
    assert load(str(night)).classes == fits.classes
    night.write_text(dump(msgspec.structs.replace(fits, **change)))
    with pytest.raises(ScenarioError, match=reason):
        load(str(night))


@pytest.mark.parametrize(
    ("edits", "reason"),
    [
        ((('path = "/frames/*"', 'path = "/frames/*"\nmethods = ["HEAD"]'),), "it takes HEAD only"),
        ((("version = 1", "version = 7"),), "sidecar.file: .*f.toml:1: version: 7 is not allowed"),
    ],
)
def test_a_file_that_can_not_be_rehearsed_is_named(tmp_path: Path, edits: Any, reason: str) -> None:
    (tmp_path / "f.toml").write_text(broken(*edits))
    with pytest.raises(MismatchError, match=reason):
        carried.merged(script(good()), carried.read(str(tmp_path / "f.toml")))


# ---- random edits


VALUE = re.compile(r"^(\w[\w-]*) = (.*)$")
CHOICES = (
    "safe",
    "keyed",
    "unsafe",
    "GET",
    "PUT",
    "/jobs",
    "/**",
    "harbour",
    "X-Tenant",
    "X-Request-Id",
    "Idempotency-Key",
)
MORE = (
    "copies = true", "balancers = 3", "retry_after_ms = 0", "idle_s = 0.2", "connect_ms = 5", "worth = 0",
    "attempts = 1", "attempt_ms = 20", "late_share = 1", "deadline_ms = 40", "serve_s = 0", "body_kb = 1",
    "effect = \"keyed\"", "tenant = \"\"", "descriptors = 64", "connections = 3", "upstream_connections = 2",
    "start = 0.01", "most = 1",
)  # fmt: skip


def edited(chance: random.Random) -> str:
    """The good file after one to four edits of the kinds that people make."""
    lines = GOOD.splitlines()
    for _ in range(chance.randint(1, 3)):
        kind = chance.choice(["number", "number", "choice", "more", "drop", "twice", "swap"])
        i = chance.randrange(len(lines))
        if kind in ("number", "choice"):  # of a line that has such a value
            i = chance.choice(
                [n for n, x in enumerate(lines) if ('"' in x) == (kind == "choice") and VALUE.match(x)]
            )
        found = VALUE.match(lines[i])
        if kind == "number" and found and re.fullmatch(r"[\d.]+", found[2]):
            value = float(found[2]) * chance.choice([0, -1, 0.01, 0.1, 0.5, 0.9, 1.1, 2, 10, 100, 1e6])
            lines[i] = f"{found[1]} = {int(value) if '.' not in found[2] else value}"
        elif kind == "choice" and found and '"' in found[2]:
            word = chance.choice(CHOICES)
            lines[i] = f'{found[1]} = ["{word}"]' if found[2].startswith("[") else f'{found[1]} = "{word}"'
        elif kind == "more":
            lines.insert(i + 1, chance.choice(MORE))
        elif kind == "drop":
            del lines[i]
        elif kind == "twice":
            lines.insert(i, lines[i])
        elif kind == "swap":
            j = chance.randrange(len(lines))
            lines[i], lines[j] = lines[j], lines[i]
    return "\n".join(lines) + "\n"


def outcome(seed: int) -> str:
    """What came of a file with random edits: refused, unfit for a rehearsal, or played; a broken rule raises."""
    text = edited(random.Random(f"edits {seed}"))
    try:
        reading = parse(text, "f.toml")
    except UnreadableError:
        return "unreadable"
    file = reading.file
    if file is None or any(not p.warning for p in reading.with_meaning(check(file))):
        return "refused"
    night = script(file, *FAULTS)
    try:
        carried.merged(night, file)
    except MismatchError:
        return "unfit"
    played = play(night, seed, file=file)
    assert played.is_good(), (seed, text, played.faults, [b for b in played.breaks[:2]])
    return "played"


def test_random_edits_never_give_a_sidecar_that_breaks_a_rule() -> None:
    found = Counter(outcome(seed) for seed in range(200))
    assert found["played"] > 20 and found["refused"] > 25, found
