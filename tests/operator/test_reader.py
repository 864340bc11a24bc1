"""The reader: an unreadable file gives a one-line error; in others all mistakes are reported at once, with lines."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.operator.checks import check
from passpost.operator.reader import UnreadableError, line_numbers, load, parse
from tests.operator.files import GOOD, good_file_with


@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (b"a = ", "f.toml:1: invalid TOML: Invalid value"),
        (b"version = 1\nversion = 2\n", "f.toml:2: invalid TOML: Cannot overwrite a value"),
        (b"version = 1\n[limits]\n[limits]\n", "f.toml:3: invalid TOML: Cannot declare ('limits',) twice"),
        (b"version = 1\n# caf\xe9\n", "f.toml:2: not UTF-8"),
        (b"a = " + b"[" * 20_000, "f.toml: nested too deeply"),
        (b"#" * 10_000_000, "f.toml: larger than the limit of 8 MB"),
        (b"\x00", "f.toml:1: invalid TOML: "),
    ],
)
def test_unparsable_file_gives_a_one_line_error(tmp_path: Path, data: bytes, wanted: str) -> None:
    (tmp_path / "f.toml").write_bytes(data)
    with pytest.raises(UnreadableError) as caught:
        load(str(tmp_path / "f.toml"))
    message = str(caught.value).removeprefix(f"{tmp_path}/")
    assert message.startswith(wanted) and "\n" not in message


def test_missing_or_invalid_path_gives_a_one_line_error(tmp_path: Path) -> None:
    for path, wanted in (
        (str(tmp_path), "Is a directory"),
        (str(tmp_path / "x"), "No such file"),
        ("a\0b", "null byte"),
    ):
        with pytest.raises(UnreadableError, match=wanted):
            load(path)


def test_file_without_permission_gives_a_one_line_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object) -> None:
        raise PermissionError(13, "Permission denied")

    monkeypatch.setattr("builtins.open", refuse)  # the user who runs the tests may be root
    with pytest.raises(UnreadableError, match=r"f\.toml: Permission denied"):
        load("f.toml")


def test_file_that_changes_during_reading_is_read_again_or_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "f.toml"
    path.write_text(GOOD)
    real, left = os.fstat, 1

    def fstat_after_write(descriptor: int) -> os.stat_result:
        nonlocal left
        left -= 1
        if left >= 0:
            with open(path, "a") as file:  # another process writes to the file
                file.write("# more\n")
        return real(descriptor)

    monkeypatch.setattr("passpost.operator.reader.os.fstat", fstat_after_write)
    assert load(str(path)).file is not None
    left = 99
    with pytest.raises(UnreadableError, match="it is being written"):
        load(str(path))


def test_all_mistakes_are_reported_at_once_with_their_lines() -> None:
    text = good_file_with(
        ("memory_mb = 256", 'memory_mb = "lots"'),
        ("serve_s = 2", "serv_s = 2"),
        ('effect = "unsafe"', 'effect = "unsave"'),
        ("share = 0.4", "share = 0.9"),
        ("deadline_ms = 1000", "deadline_ms = 9000"),
    )
    reading = parse(text, "f.toml")
    assert reading.file is not None
    found = reading.all_problems(check(reading.file))
    reported = {(p.key, p.line) for p in found if not p.warning}
    lines = text.split("\n")

    def line(part: str) -> int:
        return next(i for i, row in enumerate(lines, 1) if part in row)

    assert reported == {
        ("limits.memory_mb", line('"lots"')),
        ("drain.serv_s", line("serv_s")),
        ("applications[0].classes[2].effect", line("unsave")),
        ("applications[0].tenants", line("[[applications.tenants]]")),
        ("applications[0].classes[1].deadline_ms", line("deadline_ms = 3000")),
    }


def test_line_numbers_ignore_headers_and_keys_inside_strings() -> None:
    text = (
        '# [no]\na = """\n[fake]\nb = 1\n"""\n[t]  # table\n"x y" = [\n  1,\n  2]\nc.d = 1\n'
        "[[u]]\nk = 1\n[[u.v]]\nz = '[u]'\n[[u]]\nk = 2\n[[u.v]]\n[u.v.w]\nq = 1\n"
    )
    assert line_numbers(text) == {
        "": 1, "a": 2, "t": 6, "u": 11, "u[0].v": 13, "u[1].v": 17, "t.'x y'": 7, "t.c.d": 10, "u[0]": 11, "u[0].k": 12, "u[0].v[0]": 13,
        "u[0].v[0].z": 14, "u[1]": 15, "u[1].k": 16, "u[1].v[0]": 17, "u[1].v[0].w": 18, "u[1].v[0].w.q": 19,
    }  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_random_edits_of_a_valid_file_never_raise_unexpected_errors(data: st.DataObject) -> None:
    text = GOOD
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(text)))
        cut = data.draw(st.sampled_from([0, 1, 5, 40]))
        text = (
            text[:at]
            + data.draw(st.one_of(st.text(max_size=6), st.sampled_from(['"', "[", "\n", "=", "-9", "{}"])))
            + text[at + cut :]
        )
    try:
        reading = parse(text, "f.toml")
    except UnreadableError as error:
        assert "\n" not in str(error)
        return
    found = reading.all_problems(check(reading.file) if reading.file is not None else ())
    assert all("\n" not in p.text and 1 <= p.line <= text.count("\n") + 1 for p in found)
