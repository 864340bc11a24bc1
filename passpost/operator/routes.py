"""Which class a request has, by method and path. No I/O.

A pattern is a path whose segments may be `*` (any one segment) and whose last may be `**` (any number of
segments, none too). Classes are asked in the file's order and the first that fits has the request, so that a
general pattern may stand below a special one. Two patterns can be compared: one may cover the other, or both
may fit some path and neither cover the other, which the check refuses as nobody can tell what was meant.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

from passpost.operator.model import Class


@lru_cache(maxsize=4096)
def segments(pattern: str) -> tuple[str, ...]:
    """A pattern's or a path's segments."""
    return tuple(pattern.split("/")[1:])


def matches(pattern: Sequence[str], path: Sequence[str]) -> bool:
    """Whether a path has a pattern's form."""
    if pattern and pattern[-1] == "**":
        fixed = pattern[:-1]
        return len(path) >= len(fixed) and all(p in ("*", s) for p, s in zip(fixed, path, strict=False))
    return len(pattern) == len(path) and all(p in ("*", s) for p, s in zip(pattern, path, strict=True))


def covers(general: Sequence[str], special: Sequence[str]) -> bool:
    """Whether every path that fits `special` fits `general` too."""
    if general and general[-1] == "**":
        fixed = general[:-1]
        plain = special[:-1] if special and special[-1] == "**" else special
        if len(plain) < len(fixed):
            return False
        return all(g in ("*", s) for g, s in zip(fixed, plain, strict=False))
    if special and special[-1] == "**":
        return False
    return len(general) == len(special) and all(g in ("*", s) for g, s in zip(general, special, strict=True))


def overlap(a: Sequence[str], b: Sequence[str]) -> bool:
    """Whether some path fits both."""
    if not a or not b:
        return all(x == "**" for x in (*a, *b))
    if "**" in (a[0], b[0]):
        return True
    return (a[0] == b[0] or "*" in (a[0], b[0])) and overlap(a[1:], b[1:])


class Routes:
    """The classes of one application, asked in order."""

    def __init__(self, classes: Iterable[Class]) -> None:
        self._by_method: dict[str, list[tuple[tuple[str, ...], Class]]] = {}
        for cls in classes:
            for method in cls.methods:
                self._by_method.setdefault(method, []).append((segments(cls.path), cls))

    def find(self, method: str, path: str) -> Class | None:
        """The class of a request; None if no class takes its path with this method."""
        parts = tuple(path.split("/")[1:])
        for pattern, cls in self._by_method.get(method, ()):
            if matches(pattern, parts):
                return cls
        # RFC 9110, 9.1: whoever takes GET takes HEAD. A class that names HEAD itself goes before.
        return self.find("GET", path) if method == "HEAD" else None

    def accepts_path(self, path: str) -> bool:
        """Whether any method is taken at a path."""
        parts = tuple(path.split("/")[1:])
        return any(matches(p, parts) for entries in self._by_method.values() for p, _ in entries)
