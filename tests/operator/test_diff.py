"""Differences between two files are described as behaviour, with whether they need a restart."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.operator.diff import difference
from passpost.operator.model import File
from passpost.operator.reader import parse
from tests.operator.files import GOOD, good_file_with


def file(*edits: tuple[str, str]) -> File:
    found = parse(good_file_with(*edits), "f.toml").file
    assert found is not None
    return found


@pytest.mark.parametrize(
    ("old", "new", "description", "restart"),
    [
        ("deadline_ms = 3000", "deadline_ms = 2500", "render.frame.deadline_ms: 2500, was 3000", False),
        ("attempts = 2", "attempts = 1", "render.submit.attempts: 1, was 2", False),
        ("share = 0.4", "share = 0.3", "render.tenants.castle: may use 30%, was 40%", False),
        ("name = \"castle\"", "name = \"abbey\"", "render.tenants.castle: no longer has a share", False),
        ("\"127.0.0.1:18002\"", "\"127.0.0.1:18009\"", "render.upstreams.addresses: 127.0.0.1:18001, 127.0.0.1:18009, was", False),
        ("kind = \"names\"\nnames = [\"localhost:18003\"]", "kind = \"file\"\npath = \"/x\"", "queue.upstreams: upstreams come from a file instead of names", False),
        ("listen = \"127.0.0.1:17071\"", "listen = \"127.0.0.1:17079\"", "queue.listen: '127.0.0.1:17079', was '127.0.0.1:17071'", True),
        ("memory_mb = 256", "memory_mb = 512", "limits.memory_mb: 512, was 256", True),
        ("name = \"studio\"", "name = \"atelier\"", "name: the sidecar is named 'atelier', was 'studio'", True),
        ("name = \"pay\"", "name = \"order\"", "render.pay: POST, DELETE /orders/** no longer has class 'pay'; open requests are answered", False),
        ("X-Studio = \"north\"", "X-Studio = \"south\"", "render.add_headers: added headers: X-Studio, X-Render-Token; before:", False),
        ("rate_per_s = 200", "rate_per_s = 200\ncopies = true", "render.copies: yes, was no", False),
    ],
)  # fmt: skip
def test_each_change_is_described_as_behaviour(old: str, new: str, description: str, restart: bool) -> None:
    found = difference(file(), file((old, new)))
    first = found[0]
    assert f"{first.key}: {first.text}".startswith(description) and first.restart is restart


def test_added_and_removed_applications_are_described() -> None:
    other = file(('name = "queue"', 'name = "archive"'))
    description = [f"{c.key}: {c.text}" for c in difference(file(('calls = ["queue"]\n', "")), other)]
    assert (
        "queue: 'queue' is no longer served: open requests are answered, and 127.0.0.1:17071 is closed"
        in description
    )
    assert "archive: 'archive' is served on 127.0.0.1:17071 (frame)" in description


def test_changed_order_of_classes_is_a_difference() -> None:
    text = GOOD.replace('name = "frame"\npath = "/frames/*"', 'name = "XX"\npath = "/frames/*"')
    first, last = (
        text.index('[[applications.classes]]\nname = "XX"'),
        text.index('[[applications.classes]]\nname = "pay"'),
    )
    end = text.index('[[applications]]\nname = "queue"')
    moved = text[:first] + text[last:end] + text[first:last] + text[end:]
    a, b = (parse(t.replace('"XX"', '"frame"'), "f").file for t in (text, moved))
    assert a is not None and b is not None
    assert [c.text for c in difference(a, b)] == ["are matched in another order: submit, pay, frame"]


EDITS = [
    ("deadline_ms = 3000", "deadline_ms = 2500"),
    ("share = 0.4", "share = 0.3"),
    ("kill_after_s = 30", "kill_after_s = 60"),
    ('name = "queue"', 'name = "archive"'),
    ("span_ms = 10000", "span_ms = 9000"),
]


@settings(max_examples=60, deadline=None)
@given(st.sets(st.sampled_from(EDITS)))
def test_differences_exist_exactly_if_the_files_differ(edits: set[tuple[str, str]]) -> None:
    other = file(*edits)
    assert bool(difference(file(), other)) == bool(edits) == (other != file())
    assert difference(other, other) == []
