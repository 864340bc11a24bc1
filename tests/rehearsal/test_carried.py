"""Scenarios in which the balancers of the first tier are sidecars with an operator's file."""

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
from tests.operator.files import GOOD, good_file_with
from tests.rehearsal import nights

EXAMPLES = sorted((Path(__file__).parent.parent.parent / "examples").glob("*/rehearsal.toml"))
# A file that sets no cold start makes nodes warm at once; these are faults of every other kind.
FAULTS: tuple[model.Event, ...] = (
    model.Slow(at_s=0.5, for_s=1.0, nodes=("render-plain-1",), factor=5.0),
    model.Reset(at_s=0.6, for_s=1.0, nodes=("render-plain-2",), share=0.5),
    model.Drain(at_s=0.8, for_s=0.5, nodes=("render-plain-3",), back_s=0.2),
    model.Reload(at_s=1.0, balancer="b1"),
    model.Silent(at_s=1.2, for_s=0.5, nodes=("render-plain-2",)),
    model.Crash(at_s=1.5, for_s=0.3, nodes=("render-plain-1",)),
)


def parsed_file(text: str = GOOD) -> File:
    file = parse(text, "f.toml").file
    assert file is not None
    return file


def sidecar_scenario(file: File, *events: model.Event, tiers: int = 1, **changes: Any) -> Scenario:
    """Return a short scenario of the file's first application, with the same load for each of its classes."""
    application = file.applications[0]
    kinds = (NodeKind(name="plain", count=4),)
    first_tier = Tier(name="render", kinds=kinds, balancers=min(application.balancers, 2))
    last_tier = Tier(name="store", kinds=kinds, part=0.5)
    base: dict[str, Any] = {
        "version": 1,
        "title": "A short night of a sidecar",
        "length_s": 2.5,
        "sidecar": model.Sidecar(file="nowhere.toml", application=application.name),
        "clients": Clients(rate_per_s=40, try_share=1.0),
        "classes": tuple(Class(name=c.name, work_ms=15) for c in application.classes),
        "tiers": (first_tier,) if tiers == 1 else (msgspec.structs.replace(first_tier, part=0.5), last_tier),
        "events": events,
    }
    return Scenario(**(base | changes))


def test_a_files_classes_keys_and_tenants_reach_the_servers() -> None:
    file = parsed_file()
    run = play(
        sidecar_scenario(file, tenants=(model.Tenant(name="harbour"), model.Tenant(name="castle"))),
        1,
        file=file,
    )
    assert run.is_good(), (run.faults, run.violations)
    summary = summarize(run)
    assert summary.total.served == 1.0 and {line.name for line in summary.by_class} == {
        "submit",
        "frame",
        "pay",
    }
    assert run.scenario.classes[0].window_ms == 3_000 and run.scenario.contract.attempts == 3


def test_a_second_tier_behind_a_sidecar_uses_the_platforms_request_format() -> None:
    file = parsed_file()
    run = play(sidecar_scenario(file, *FAULTS, tiers=2), 3, file=file)
    assert run.is_good(), (run.faults, run.violations)
    assert run.attempts > 1.5 * len(run.requests)


def test_reloads_under_load_lose_no_request() -> None:
    file = parsed_file()
    reloads = [model.Reload(at_s=0.2 * i, balancer="b1") for i in range(1, 12)]
    run = play(sidecar_scenario(file, *reloads, clients=Clients(rate_per_s=80, try_share=1.0)), 1, file=file)
    assert run.is_good(), (run.faults, run.violations)
    assert len(run.requests) > 150 and summarize(run).total.served == 1.0
    assert Counter(text for _, text in run.log)["b1: discovery moves, SIGHUP"] == 11


def test_the_same_seed_gives_the_same_decisions() -> None:
    file, first_lines, second_lines, other_seed_lines = parsed_file(), list[str](), list[str](), list[str]()
    scenario = sidecar_scenario(file, *FAULTS)
    play(scenario, 4, first_lines.append, file=file)
    play(scenario, 4, second_lines.append, file=file)
    play(scenario, 5, other_seed_lines.append, file=file)
    assert len(first_lines) > 80 and first_lines == second_lines != other_seed_lines


@pytest.mark.parametrize(
    ("module", "event", "rule"),
    [
        (nights.ServesTwice, (), "twice"),
        (nights.IgnoresDrains, (model.Drain(at_s=0.3, for_s=2.0, nodes=("render-plain-*",)),), "drain"),
    ],
)
def test_a_faulty_decision_module_in_a_sidecar_is_detected(module: Any, event: Any, rule: str) -> None:
    file = parsed_file()
    run = play(sidecar_scenario(file, *event), 1, module=module, file=file)
    assert rule in {b.rule for b in run.violations}


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.parent.name)
def test_the_scenario_of_each_example_keeps_the_rules(path: Path) -> None:
    scenario = load(str(path))
    run = play(scenario, scenario.seed)
    assert run.is_good(), (run.faults, run.violations)
    assert summarize(run).total.served > 0.9
    assert "b1: discovery moves, SIGHUP" in {text for _, text in run.log}
    assert parse_script(dump(scenario), "elsewhere/copy.toml") == scenario  # the path of its file is absolute


def test_each_example_has_a_scenario() -> None:
    folder = Path(__file__).parent.parent.parent / "examples"
    assert {p.parent.name for p in EXAMPLES} == {p.name for p in folder.iterdir()} and len(EXAMPLES) >= 3


def test_a_live_run_starts_the_command_itself(tmp_path: Path) -> None:
    (tmp_path / "f.toml").write_text(
        good_file_with(
            ("deadline_ms = 3000\naim_ms = 1200\nattempt_ms = 1000", "deadline_ms = 40000"),
            ("descriptors = 1024", "descriptors = 256"),
            ("kill_after_s = 30", "kill_after_s = 60"),
        )
    )
    (tmp_path / "night.toml").write_text(
        dump(
            sidecar_scenario(
                parsed_file(),
                model.Reload(at_s=0.4, balancer="b1"),
                classes=(Class(name="frame", work_ms=5),),
                sidecar=model.Sidecar(file="f.toml", application="render"),
                length_s=1.5,
            )
        )
    )
    run = live.play(load(str(tmp_path / "night.toml")), 1)
    assert run.faults == [] and summarize(run).total.served > 0
    assert run.attempts >= summarize(run).total.requests > 10


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
            r"classes\[0\].deadline_ms: the operator's file sets this",
        ),
        ({"contract": Contract(cold_ms=4.0)}, "contract.cold_ms: the operator's file sets this"),
        (
            {"tiers": (Tier(name="render", kinds=(NodeKind(name="plain"),), balancers=3),)},
            r"tiers\[0\].balancers: 3 sidecars, and the file is written for 1",
        ),
    ],
)
def test_a_scenario_that_contradicts_its_file_is_rejected(tmp_path: Path, change: Any, reason: str) -> None:
    (tmp_path / "f.toml").write_text(GOOD)
    scenario_path = tmp_path / "night.toml"
    valid_scenario = sidecar_scenario(
        parsed_file(), sidecar=model.Sidecar(file="f.toml", application="render")
    )
    scenario_path.write_text(dump(valid_scenario))
    assert load(str(scenario_path)).classes == valid_scenario.classes
    scenario_path.write_text(dump(msgspec.structs.replace(valid_scenario, **change)))
    with pytest.raises(ScenarioError, match=reason):
        load(str(scenario_path))


@pytest.mark.parametrize(
    ("edits", "reason"),
    [
        ((('path = "/frames/*"', 'path = "/frames/*"\nmethods = ["HEAD"]'),), "it takes HEAD only"),
        ((("version = 1", "version = 7"),), "sidecar.file: .*f.toml:1: version: 7 is not allowed"),
    ],
)
def test_the_error_for_a_file_that_cannot_be_simulated_names_the_reason(
    tmp_path: Path, edits: Any, reason: str
) -> None:
    (tmp_path / "f.toml").write_text(good_file_with(*edits))
    with pytest.raises(MismatchError, match=reason):
        carried.merge_operator_file(
            sidecar_scenario(parsed_file()), carried.read_operator_file(str(tmp_path / "f.toml"))
        )


# ---- random edits


KEY_VALUE_LINE = re.compile(r"^(\w[\w-]*) = (.*)$")
OTHER_VALUES = (
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
OTHER_LINES = (
    "copies = true", "balancers = 3", "retry_after_ms = 0", "idle_s = 0.2", "connect_ms = 5", "worth = 0",
    "attempts = 1", "attempt_ms = 20", "late_share = 1", "deadline_ms = 40", "serve_s = 0", "body_kb = 1",
    "effect = \"keyed\"", "tenant = \"\"", "descriptors = 64", "connections = 3", "upstream_connections = 2",
    "start = 0.01", "most = 1",
)  # fmt: skip


def randomly_edited_file(rng: random.Random) -> str:
    """Return GOOD after one to three random edits of kinds that people make."""
    lines = GOOD.splitlines()
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(["number", "number", "choice", "more", "drop", "twice", "swap"])
        i = rng.randrange(len(lines))
        if kind in ("number", "choice"):  # choose a line that has such a value
            i = rng.choice(
                [
                    n
                    for n, x in enumerate(lines)
                    if ('"' in x) == (kind == "choice") and KEY_VALUE_LINE.match(x)
                ]
            )
        match = KEY_VALUE_LINE.match(lines[i])
        if kind == "number" and match and re.fullmatch(r"[\d.]+", match[2]):
            value = float(match[2]) * rng.choice([0, -1, 0.01, 0.1, 0.5, 0.9, 1.1, 2, 10, 100, 1e6])
            lines[i] = f"{match[1]} = {int(value) if '.' not in match[2] else value}"
        elif kind == "choice" and match and '"' in match[2]:
            new_value = rng.choice(OTHER_VALUES)
            lines[i] = (
                f'{match[1]} = ["{new_value}"]' if match[2].startswith("[") else f'{match[1]} = "{new_value}"'
            )
        elif kind == "more":
            lines.insert(i + 1, rng.choice(OTHER_LINES))
        elif kind == "drop":
            del lines[i]
        elif kind == "twice":
            lines.insert(i, lines[i])
        elif kind == "swap":
            j = rng.randrange(len(lines))
            lines[i], lines[j] = lines[j], lines[i]
    return "\n".join(lines) + "\n"


def run_randomly_edited_file(seed: int) -> str:
    """Run a randomly edited file; return "unreadable", "refused", "unfit" or "played". A violation raises."""
    text = randomly_edited_file(random.Random(f"edits {seed}"))
    try:
        reading = parse(text, "f.toml")
    except UnreadableError:
        return "unreadable"
    file = reading.file
    if file is None or any(not p.warning for p in reading.all_problems(check(file))):
        return "refused"
    scenario = sidecar_scenario(file, *FAULTS)
    try:
        carried.merge_operator_file(scenario, file)
    except MismatchError:
        return "unfit"
    run = play(scenario, seed, file=file)
    assert run.is_good(), (seed, text, run.faults, [b for b in run.violations[:2]])
    return "played"


def test_a_sidecar_with_a_randomly_edited_file_breaks_no_rule() -> None:
    outcomes = Counter(run_randomly_edited_file(seed) for seed in range(200))
    assert outcomes["played"] > 20 and outcomes["refused"] > 25, outcomes
