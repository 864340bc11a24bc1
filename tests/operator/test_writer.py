"""Generated files: deterministic, without errors, usable by a sidecar, and merged with the operator's edits."""

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
from tests.operator.harness import FakeServer, SidecarHarness, run_simulated


def make_description(**changes: Any) -> Description:
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


def parse_valid(text: str) -> File:
    reading = parse(text, "f.toml")
    assert reading.problems == [] and reading.file is not None
    assert [p for p in check(reading.file) if not p.warning] == []
    return reading.file


def test_generated_text_is_deterministic_and_parses_to_the_built_file() -> None:
    file = build(make_description())
    text = render(file, "survey.toml")
    assert parse_valid(text) == file
    assert text == render(build(make_description()), "survey.toml")
    frame, submit, pay = file.applications[0].classes
    assert (frame.effect, frame.attempts, submit.attempts, pay.attempts) == ("safe", 3, 2, 1)
    assert submit.attempt_ms * 2 <= submit.deadline_ms and submit.attempt_ms < submit.window_ms
    assert isinstance(file.applications[0].upstreams, Names)


def test_every_key_is_written_with_its_description() -> None:
    text = render(build(make_description()))
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
def test_generated_file_is_valid_and_serves_every_class(
    name: str, calls: list[dict[str, Any]], seed: int
) -> None:
    description = make_description(application=name, calls=calls)
    file = build(description)
    text = render(file)
    reading = parse(text, "f.toml")
    assert reading.file == file
    errors = [p for p in check(file) if not p.warning]
    # Conflicting paths come from the description itself; `passpost new` refuses it with this error.
    assert all(p.key.endswith(".path") for p in errors), errors
    if errors:
        return

    async def test(harness: SidecarHarness) -> None:
        for address in {a for app in file.applications for a in app.upstreams.addresses}:  # type: ignore[union-attr]
            pair = split_host_port(address)
            assert pair is not None
            harness.add_server(pair, FakeServer())
        harness.start_sidecar(file)
        for app in file.applications:
            pair = split_host_port(app.listen)
            assert pair is not None
            for cls in app.classes:
                target = cls.path.replace("/**", "/x/y").replace("/*", "/x")
                headers = {"Idempotency_Key": "k"} if cls.effect == "keyed" else {}
                got = await harness.request(pair, target, cls.methods[-1], b"", **headers)
                assert got is not None and got.status == 200, (target, got)
        await asyncio.sleep(0)

    run_simulated(test, seed)


# ---- edits


def test_edits_survive_a_new_description() -> None:
    old = render(build(make_description()))
    edited = old.replace("memory_mb = 256", "memory_mb = 512").replace(
        "# descriptors = 1024", "descriptors = 4096  # a busy box"
    )
    edited = edited.replace("[drain]", "# Agreed with the platform team.\n[drain]")
    calls = msgspec.to_builtins(make_description())["calls"]
    calls[0]["requests"][0]["waits_ms"] = 900.0
    new = render(build(make_description(calls=calls)))
    merged = merge(old, edited, new)
    assert merged.conflicts == ()
    found = parse_valid(merged.text)
    assert found.limits.descriptors == 4096 and found.applications[0].classes[0].deadline_ms == 900
    assert (
        "descriptors = 4096  # a busy box\n" in merged.text
        and "# Agreed with the platform team.\n" in merged.text
    )
    assert merge(new, merged.text, new).text == merged.text  # merging again changes nothing


def test_lines_changed_on_both_sides_are_a_conflict_with_its_line() -> None:
    old = render(build(make_description()))
    edited = old.replace("at = ", "at = ").replace("deadline_ms = 2000", "deadline_ms = 2500", 1)
    calls = msgspec.to_builtins(make_description())["calls"]
    calls[0]["requests"][0]["waits_ms"] = 900.0
    merged = merge(old, edited, render(build(make_description(calls=calls))))
    [conflict] = merged.conflicts
    assert "deadline_ms = 2500" in conflict.current and "deadline_ms = 900" in conflict.new
    assert "deadline_ms = 2500" in edited.split("\n")[conflict.line - 1 : conflict.line + 3]


lines = st.lists(st.sampled_from(["a", "b", "c", "d"]), max_size=8).map(
    lambda x: "".join(f"{w}\n" for w in x)
)


@settings(max_examples=200, deadline=None)
@given(lines, lines)
def test_merge_takes_the_only_changed_side(base: str, other: str) -> None:
    assert merge(base, base, other) == merge(base, other, base) == merge(base, other, other)
    assert merge(base, base, other).text == other


def test_malformed_description_is_refused() -> None:
    with pytest.raises(msgspec.ValidationError):
        make_description(application="Survey!")
