"""Files from descriptions: accepted by `check`, served by `run`, the same each time, and edits survive."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.operator.checks import check, split_host_port
from passpost.operator.description import Description
from passpost.operator.model import File, Names
from passpost.operator.reader import parse
from passpost.operator.writer import build, merge, render
from tests.operator.rig import Rig, Upstream, play


def described(**changes: Any) -> Description:
    base: dict[str, Any] = {
        "application": "survey",
        "calls": [
            {
                "service": "render",
                "at": ["render.internal:8080"],
                "waits_ms": 2000,
                "requests": [
                    {"name": "frame", "path": "/frames/**"},
                    {
                        "name": "submit",
                        "path": "/jobs",
                        "methods": ["POST"],
                        "repeat": "with-key",
                        "key_kept_ms": 3000,
                    },
                    {"name": "pay", "path": "/orders", "methods": ["POST"], "repeat": "never"},
                ],
            }
        ],
    }
    return msgspec.convert(base | changes, Description)


def read(text: str) -> File:
    reading = parse(text, "f.toml")
    assert reading.problems == [] and reading.file is not None
    assert [p for p in check(reading.file) if not p.warning] == []
    return reading.file


def test_what_is_written_is_what_was_built_and_the_same_each_time() -> None:
    file = build(described())
    text = render(file, "survey.toml")
    assert read(text) == file
    assert text == render(build(described()), "survey.toml")
    frame, submit, pay = file.applications[0].classes
    assert (frame.effect, frame.attempts, submit.attempts, pay.attempts) == ("safe", 3, 2, 1)
    assert submit.attempt_ms * 2 <= submit.deadline_ms and submit.attempt_ms < submit.window_ms
    assert isinstance(file.applications[0].upstreams, Names)


def test_every_key_stands_there_with_its_meaning() -> None:
    text = render(build(described()))
    for key in (
        "descriptors",
        "kill_after_s",
        "retry_after_ms",
        "copies",
        "span_ms",
        "expires_s",
        "late_share",
    ):
        assert f"{key} = " in text
    lines = text.split("\n")
    for i, line in enumerate(lines):
        if " = " in line and not line.startswith(("kind", "#")) and "[" not in line[:1]:
            assert lines[i - 1].startswith("# "), line


names = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)
requests_ = st.fixed_dictionaries(
    {
        "name": names,
        "path": st.from_regex(r"/[a-z]{1,6}(/[a-z0-9]{1,4}){0,2}(/\*|/\*\*)?", fullmatch=True),
        "methods": st.lists(
            st.sampled_from(["GET", "POST", "PUT", "DELETE"]), min_size=1, max_size=3, unique=True
        ),
        "waits_ms": st.sampled_from([0.0, 400.0, 2_000.0, 12_345.678]),
        "repeat": st.sampled_from(["freely", "with-key", "never"]),
        "key_kept_ms": st.sampled_from([300.0, 1_000.0, 60_000.0]),
        "worth": st.floats(0, 100),
    }
)
services = st.fixed_dictionaries(
    {
        "service": names,
        "at": st.lists(
            st.from_regex(r"10\.0\.0\.[1-9]:[1-9][0-9]{3}", fullmatch=True),
            min_size=1,
            max_size=3,
            unique=True,
        ),
        "waits_ms": st.sampled_from([500.0, 2_000.0, 10_000.0]),
        "rate_per_s": st.floats(0, 1e4),
        "requests": st.lists(requests_, max_size=3, unique_by=(lambda r: r["name"], lambda r: r["path"])),
    }
)


@settings(max_examples=60, deadline=None)
@given(
    names, st.lists(services, min_size=1, max_size=3, unique_by=lambda s: s["service"]), st.integers(0, 1000)
)
def test_whatever_is_written_is_accepted_and_served(
    name: str, calls: list[dict[str, Any]], seed: int
) -> None:
    description = described(application=name, calls=calls)
    file = build(description)
    text = render(file)
    reading = parse(text, "f.toml")
    assert reading.file == file
    errors = [p for p in check(file) if not p.warning]
    # Paths that contradict one another are the description's own; `new` refuses it with this sentence.
    assert all(p.key.endswith(".path") for p in errors), errors
    if errors:
        return

    async def test(rig: Rig) -> None:
        for address in {a for app in file.applications for a in app.upstreams.addresses}:  # type: ignore[union-attr]
            pair = split_host_port(address)
            assert pair is not None
            rig.serve(pair, Upstream())
        rig.carry(file)
        for app in file.applications:
            pair = split_host_port(app.listen)
            assert pair is not None
            for cls in app.classes:
                target = cls.path.replace("/**", "/x/y").replace("/*", "/x")
                headers = {"Idempotency_Key": "k"} if cls.effect == "keyed" else {}
                got = await rig.ask(pair, target, cls.methods[-1], b"", **headers)
                assert got is not None and got.status == 200, (target, got)
        await asyncio.sleep(0)

    play(test, seed)


# ---- edits


def test_the_operators_edits_survive_a_new_description() -> None:
    old = render(build(described()))
    mine = old.replace("memory_mb = 256", "memory_mb = 512").replace(
        "# descriptors = 1024", "descriptors = 4096  # a busy box"
    )
    mine = mine.replace("[drain]", "# Agreed with the platform team.\n[drain]")
    calls = msgspec.to_builtins(described())["calls"]
    calls[0]["requests"][0]["waits_ms"] = 900.0
    new = render(build(described(calls=calls)))
    merged = merge(old, mine, new)
    assert merged.conflicts == ()
    found = read(merged.text)
    assert found.limits.descriptors == 4096 and found.applications[0].classes[0].deadline_ms == 900
    assert (
        "descriptors = 4096  # a busy box\n" in merged.text
        and "# Agreed with the platform team.\n" in merged.text
    )
    assert merge(new, merged.text, new).text == merged.text  # and again


def test_what_both_changed_is_a_conflict_at_its_line() -> None:
    old = render(build(described()))
    mine = old.replace("at = ", "at = ").replace("deadline_ms = 2000", "deadline_ms = 2500", 1)
    calls = msgspec.to_builtins(described())["calls"]
    calls[0]["requests"][0]["waits_ms"] = 900.0
    merged = merge(old, mine, render(build(described(calls=calls))))
    [conflict] = merged.conflicts
    assert "deadline_ms = 2500" in conflict.current and "deadline_ms = 900" in conflict.new
    assert "deadline_ms = 2500" in mine.split("\n")[conflict.line - 1 : conflict.line + 3]


lines = st.lists(st.sampled_from(["a", "b", "c", "d"]), max_size=8).map(
    lambda x: "".join(f"{w}\n" for w in x)
)


@settings(max_examples=200, deadline=None)
@given(lines, lines)
def test_a_side_that_changed_nothing_yields(base: str, other: str) -> None:
    assert merge(base, base, other) == merge(base, other, base) == merge(base, other, other)
    assert merge(base, base, other).text == other


def test_a_description_of_another_form_is_refused() -> None:
    with pytest.raises(msgspec.ValidationError):
        described(application="Survey!")
