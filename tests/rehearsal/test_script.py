"""Scenario files: invalid ones are rejected with a clear message, and written ones can be read back."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.rehearsal.explore import draw_scenario
from passpost.rehearsal.script import ScenarioError, dump, load, parse
from tests.rehearsal.nights import small_scenario

SHIPPED_SCENARIOS = sorted((Path(__file__).parent.parent.parent / "rehearsals").rglob("*.toml"))
VALID_TEXT = dump(small_scenario())


def rejection(text: str) -> str:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "night.toml")
    message = str(caught.value)
    assert message.startswith("night.toml: ") and "\n" not in message
    return message.removeprefix("night.toml: ")


def with_event(event: str) -> str:
    return f"{VALID_TEXT}\n[[events]]\n{event}\n"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("version = ", "invalid TOML: Invalid value (at end of document)"),
        ("a" * 5 + " = 1\naaaaa = 2", "invalid TOML: Cannot overwrite a value (at end of document)"),
        ("version = 2", "version: invalid enum value 2"),
        ('version = 1\ntitle = "x"', "top level: required key 'classes' is missing"),
        (
            VALID_TEXT.replace("length_s = 5.0", "lenght_s = 5.0"),
            "unknown key 'lenght_s'; did you mean 'length_s'?",
        ),
        (VALID_TEXT.replace("length_s = 5.0", "length_s = -5.0"), "length_s: expected `float` > 0.0"),
        (VALID_TEXT.replace("length_s = 5.0", 'length_s = "long"'), "length_s: expected `float`, got `str`"),
        (VALID_TEXT.replace("length_s = 5.0", "length_s = nan"), "length_s: "),
        (VALID_TEXT.replace("length_s = 5.0", "length_s = inf"), "length_s: expected `float` <= 86400.0"),
        (VALID_TEXT.replace('name = "submit"', 'name = "frame"'), "classes: the name 'frame' is used twice"),
        (
            VALID_TEXT.replace("aim_ms = 600", "aim_ms = 2600"),
            "classes[0].aim_ms: 2600 is greater than the deadline of 2000",
        ),
        (
            VALID_TEXT.replace('effect = "keyed"', 'effect = "key"'),
            "classes[1].effect: 'key' is not an allowed value; did you mean 'keyed'?",
        ),
        (
            with_event('kind = "slwo"\nat_s = 1'),
            "'slwo' is not an allowed value; did you mean 'slow'?",
        ),
        (with_event("at_s = 1"), "required key 'kind' is missing"),
        (with_event('kind = "slow"\nat_s = 1\nfor_s = 1'), "required key 'nodes' is missing"),
        (
            with_event('kind = "slow"\nat_s = 1\nfor_s = 1\nnodes = ["front-*"]'),
            "events[0].nodes: 'front-*' matches nothing; the names are render-fast-1, render-plain-1,",
        ),
        (
            with_event('kind = "slow"\nat_s = 1\nfor_s = 1\nnodes = ["b1"]'),
            "events[0].nodes: 'b1' matches nothing",
        ),
        (
            with_event('kind = "slow"\nat_s = 1\nfor_s = 1\nnodes = []'),
            "nodes: expected `array` of length >= 1",
        ),
        (
            with_event('kind = "slow"\nat_s = 1\nfor_s = 1\nnodes = ["*"]\nfactor = 0.5'),
            "factor: expected `float` > 1.0",
        ),
        (
            with_event('kind = "list-down"\nat_s = 5\nfor_s = 1'),
            "events[0].at_s: 5 is not before the end at 5",
        ),
        (
            with_event('kind = "kill"\nat_s = 1\nbalancer = "b9"'),
            "events[0].balancer: 'b9' is not one of b1, b2",
        ),
        (
            with_event('kind = "rush"\nat_s = 1\nfor_s = 1\ntenant = "x"'),
            "events[0].tenant: there is no tenant 'x'",
        ),
        (
            with_event('kind = "shared-slow"\nat_s = 1\nfor_s = 1\ntier = "x"'),
            "events[0].tier: there is no tier 'x'",
        ),
        (
            VALID_TEXT.replace('name = "render"', 'name = "render"\npart = 0.5'),
            "tiers: the parts of the work add up to 0.5",
        ),
        (
            VALID_TEXT.replace('name = "render"', 'name = "render"\ncalls = [2, 1]'),
            "tiers[0].calls: the minimum (first value)",
        ),
        (
            VALID_TEXT.replace('name = "render"', 'name = "Render 1"'),
            "tiers[0].name: expected `str` matching regex",
        ),
        ("a = " + "[" * 5_000, "nested too deeply"),
    ],
)
def test_an_error_is_one_line_with_key_and_reason(text: str, expected: str) -> None:
    assert expected in rejection(text)


def test_an_unreadable_file_is_an_error_with_its_reason(tmp_path: Path) -> None:
    cases = {
        "nowhere.toml": "No such file",
        ".": "directory",
        "bad.toml": "not UTF-8 at byte 2",
        "big.toml": "larger than",
    }
    (tmp_path / "bad.toml").write_bytes(b"a \xff")
    (tmp_path / "big.toml").write_bytes(b"#" * 1_000_001)
    for name, expected in cases.items():
        with pytest.raises(ScenarioError, match=expected):
            load(str(tmp_path / name))


@pytest.mark.parametrize("path", SHIPPED_SCENARIOS, ids=lambda p: p.stem)
def test_shipped_scenarios_survive_a_round_trip(path: Path) -> None:
    scenario = load(str(path))
    assert parse(dump(scenario), "again") == scenario


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 10**9), st.integers(0, 8))
def test_drawn_scenarios_are_valid_and_survive_a_round_trip(seed: int, max_faults: int) -> None:
    scenario = draw_scenario(small_scenario(tiers=2), seed, max_faults)
    text = dump(scenario)
    assert parse(text, "again") == scenario
    assert dump(parse(text, "again")) == text


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_a_damaged_file_is_read_or_raises_only_a_scenario_error(data: st.DataObject) -> None:
    at = data.draw(st.integers(0, len(VALID_TEXT)))
    cut = data.draw(st.integers(0, 20))
    text = VALID_TEXT[:at] + data.draw(st.text(max_size=8)) + VALID_TEXT[at + cut :]
    try:
        parse(text, "night.toml")
    except ScenarioError as error:
        assert "\n" not in str(error)


def test_written_text_is_valid_toml() -> None:
    assert tomllib.loads(VALID_TEXT)["title"] == "A small night"
