"""Finds the class of a request by method and path. No I/O.

A pattern is a path in which any segment may be `*` (exactly one arbitrary segment) and the last one may be `**` (any
number of segments, including none). Classes are tried in the file's order and the first match wins, so a general
pattern may follow a specific one. Two patterns can be compared: one may cover the other, or they may overlap without
either covering the other, which `checks.py` refuses because the intention is ambiguous.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

from passpost.operator.model import Class


@lru_cache(maxsize=4096)
def segments(pattern: str) -> tuple[str, ...]:
    """The segments of a pattern or a path."""
    return tuple(pattern.split("/")[1:])


def matches(pattern: Sequence[str], path: Sequence[str]) -> bool:
    """Whether a path matches a pattern; both are given as segments."""
    if pattern and pattern[-1] == "**":
        fixed = pattern[:-1]
        return len(path) >= len(fixed) and all(p in ("*", s) for p, s in zip(fixed, path, strict=False))
    return len(pattern) == len(path) and all(p in ("*", s) for p, s in zip(pattern, path, strict=True))


def covers(general: Sequence[str], specific: Sequence[str]) -> bool:
    """Whether every path that matches `specific` also matches `general`."""
    if general and general[-1] == "**":
        fixed = general[:-1]
        segments_before = specific[:-1] if specific and specific[-1] == "**" else specific
        if len(segments_before) < len(fixed):
            return False
        return all(g in ("*", s) for g, s in zip(fixed, segments_before, strict=False))
    if specific and specific[-1] == "**":
        return False
    return len(general) == len(specific) and all(
        g in ("*", s) for g, s in zip(general, specific, strict=True)
    )


def overlap(a: Sequence[str], b: Sequence[str]) -> bool:
    """Whether some path matches both patterns."""
    if not a or not b:
        return all(x == "**" for x in (*a, *b))
    if "**" in (a[0], b[0]):
        return True
    return (a[0] == b[0] or "*" in (a[0], b[0])) and overlap(a[1:], b[1:])


class Routes:
    """The classes of one application, tried in the file's order."""

    def __init__(self, classes: Iterable[Class]) -> None:
        self._by_method: dict[str, list[tuple[tuple[str, ...], Class]]] = {}
        for cls in classes:
            for method in cls.methods:
                self._by_method.setdefault(method, []).append((segments(cls.path), cls))

    def find(self, method: str, path: str) -> Class | None:
        """The class of a request; None if no class accepts its method and path."""
        parts = tuple(path.split("/")[1:])
        for pattern, cls in self._by_method.get(method, ()):
            if matches(pattern, parts):
                return cls
        # RFC 9110, section 9.1: a server that supports GET supports HEAD. A class that lists HEAD takes precedence.
        return self.find("GET", path) if method == "HEAD" else None

    def accepts_path(self, path: str) -> bool:
        """Whether some class accepts the path, with any method."""
        parts = tuple(path.split("/")[1:])
        return any(matches(p, parts) for entries in self._by_method.values() for p, _ in entries)
