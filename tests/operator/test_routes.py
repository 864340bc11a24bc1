"""Routes find the class of a request, and patterns compare by the paths that they match."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.operator.model import Class
from passpost.operator.routes import Routes, covers, matches, overlap, segments

WORDS = ("a", "b")
PATHS = [p for n in range(5) for p in product(WORDS, repeat=n)]
patterns = st.tuples(st.lists(st.sampled_from([*WORDS, "*"]), max_size=3), st.booleans()).map(
    lambda x: tuple(x[0] + ["**"] * x[1])
)


@pytest.mark.parametrize(
    ("pattern", "path", "expected"),
    [
        ("/a", "/a", True),
        ("/a", "/a/", False),
        ("/a/*", "/a/x", True),
        ("/a/*", "/a", False),
        ("/a/*", "/a/x/y", False),
        ("/a/**", "/a", True),
        ("/a/**", "/a/x/y", True),
        ("/a/**", "/ab", False),
        ("/**", "/", True),
        ("/*/b", "/x/b", True),
        ("/A", "/a", False),
    ],
)
def test_pattern_matches_path(pattern: str, path: str, expected: bool) -> None:
    assert matches(segments(pattern), segments(path)) is expected


def test_first_matching_class_is_found() -> None:
    def cls(name: str, path: str, *methods: str) -> Class:
        return Class(name=name, path=path, methods=methods, deadline_ms=1)  # type: ignore[arg-type]

    routes = Routes([cls("one", "/x/1", "GET"), cls("any", "/x/*", "GET", "PUT"), cls("all", "/**", "GET")])

    def name(method: str, path: str) -> str | None:
        found = routes.find(method, path)
        return found.name if found else None

    assert [name("GET", p) for p in ("/x/1", "/x/2", "/x/2/3", "/")] == ["one", "any", "all", "all"]
    assert name("PUT", "/x/1") == "any" and name("PUT", "/y") is None and name("POST", "/x/1") is None
    assert routes.accepts_path("/y")


@settings(max_examples=400, deadline=None)
@given(patterns, patterns)
def test_covers_and_overlap_agree_with_enumerated_paths(a: tuple[str, ...], b: tuple[str, ...]) -> None:
    of_a, of_b = ({p for p in PATHS if matches(x, p)} for x in (a, b))
    # Every segment other than a and b behaves like c, which only * and ** match.
    other_a, other_b = ({p for p in product("abc", repeat=4) if matches(x, p)} for x in (a, b))
    assert covers(a, b) == (of_b <= of_a and other_b <= other_a)
    assert overlap(a, b) == bool(of_a & of_b or other_a & other_b)
    assert overlap(a, b) == overlap(b, a)
