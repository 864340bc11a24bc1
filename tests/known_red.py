"""Tests that fail for a fault which is known and not mended yet: KNOWN-RED.txt at the root, one line each.

    tests/test_endings.py::test_name[case] | what is at fault | issue 43

The run passes over just these and prints them. It fails where a line names no test, where a listed test passes, and
with more lines than the file may have.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MOST = 3


class KnownRedError(Exception):
    """KNOWN-RED.txt can't be used, with a plain reason."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails, and why it may."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"known red: {self.test}: {self.cause} ({self.issue})"


def read(text: str) -> list[KnownRed]:
    """The tests that the file's text lists; KnownRedError if it may not say that."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise KnownRedError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        entries.append(KnownRed(*parts))
    if len({e.test for e in entries}) < len(entries):
        raise KnownRedError("KNOWN-RED.txt: a test is listed twice")
    return entries


def missing(entries: Iterable[KnownRed], collected: Iterable[str], selected: bool) -> list[str]:
    """The listed tests that there are not; where only some were `selected`, none can be missed."""
    there = set(collected)
    return [] if selected else [e.test for e in entries if e.test not in there]
