"""What an operator's call means, and what becomes of the bans."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost.ops.model import AskFigures, AskReady, Bans, Command, Reply, Request, SetBan, SetDrain
from passpost.ops.rules import ban, difference, read
from passpost.ops.tally import Tally


@pytest.mark.parametrize(
    ("method", "path", "query", "wanted"),
    [
        ("GET", "/_ready", "", AskReady()),
        ("GET", "/_vars", "", AskFigures()),
        ("PUT", "/_upstreams/detach", "id=s-1", SetBan("s-1", True)),
        ("PUT", "/_upstreams/attach", "id=s%2D1", SetBan("s-1", False)),
        ("PUT", "/_lameduck/on", "", SetDrain(True)),
        ("PUT", "/_lameduck/off", "", SetDrain(False)),
    ],
)
def test_the_six_calls(method: str, path: str, query: str, wanted: Command) -> None:
    assert read(Request(method, path, query)) == wanted


@pytest.mark.parametrize(
    ("method", "path", "query", "status"),
    [
        ("GET", "/", "", 404),
        ("GET", "/_ready/", "", 404),
        ("PUT", "/_ready", "", 405),
        ("POST", "/_lameduck/on", "", 405),
        ("GET", "/_upstreams/detach", "id=s-1", 405),
        ("PUT", "/_upstreams/detach", "", 400),
        ("PUT", "/_upstreams/detach", "id=", 400),
        ("PUT", "/_upstreams/detach", "id=a&id=b", 400),
        ("PUT", "/_upstreams/attach", "name=a", 400),
        ("PUT", "/_upstreams/attach", "id=" + "a" * 300, 400),
    ],
)
def test_all_else_is_told_no_and_why(method: str, path: str, query: str, status: int) -> None:
    reply = read(Request(method, path, query))
    assert isinstance(reply, Reply)
    assert reply.status == status and path in reply.text


def test_one_call_back_answers_any_number_out() -> None:
    bans = Bans()
    for _ in range(2):
        bans, reply = ban(bans, SetBan("a", True), {"a"}, 1_000, 500)
        assert (reply.status, bans.out) == (200, frozenset({"a"}))
    bans, reply = ban(bans, SetBan("a", False), {"a"}, 2_000, 500)
    assert (reply.status, bans) == (200, Bans(frozenset(), {"a": 2_000}))


def test_an_id_nobody_has_is_told_no_and_one_that_left_the_list_while_out_can_come_back() -> None:
    for out in (True, False):
        bans, reply = ban(Bans(), SetBan("x", out), {"a"}, 0, 500)
        assert (reply.status, bans) == (404, Bans())
    held = Bans(frozenset({"gone"}))
    assert ban(held, SetBan("gone", True), {"a"}, 0, 500)[1].status == 200
    bans, reply = ban(held, SetBan("gone", False), {"a"}, 0, 500)
    assert (reply.status, bans.out) == (200, frozenset())


def test_putting_back_what_was_not_out_does_not_make_it_cold() -> None:
    bans, reply = ban(Bans(), SetBan("a", False), {"a"}, 1_000, 500)
    assert (reply.status, bans) == (200, Bans())


def test_what_no_longer_matters_is_forgotten() -> None:
    bans = Bans(frozenset(), {"a": 0, "b": 900})
    assert ban(bans, SetBan("c", True), {"c"}, 1_000, 500)[0] == Bans(frozenset({"c"}), {"b": 900})


calls = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20)


@given(calls)
def test_telling_the_differences_one_by_one_comes_to_the_whole(changes: list[tuple[str, bool]]) -> None:
    bans, told, back_at = Bans(), set[str](), dict[str, float]()
    for now, (name, out) in enumerate(changes):
        new, _ = ban(bans, SetBan(name, out), {"a", "b", "c"}, float(now), 5.0)
        outs, backs = difference(bans, new)
        told |= set(outs)
        for server, at in backs:
            told.discard(server)
            back_at[server] = at
        bans = new
        assert told == bans.out
        assert all(back_at.get(n) == at for n, at in bans.back.items())


@given(calls)
def test_a_version_that_starts_later_knows_the_same(changes: list[tuple[str, bool]]) -> None:
    bans = Bans()
    for now, (name, out) in enumerate(changes):
        bans, _ = ban(bans, SetBan(name, out), {"a", "b", "c"}, float(now), 5.0)
    outs, backs = difference(Bans(), bans)
    assert set(outs) == bans.out
    assert dict(backs) == {n: at for n, at in bans.back.items() if n not in bans.out}


def test_figures_have_one_line_each() -> None:
    tally = Tally(["frame", "job"])
    tally.classes["frame"].served = 812
    tally.classes["job"].attempts = 3
    tally.open = 14
    lines = tally.write(known=12, excluded=2).splitlines()
    assert "edge.served.frame=812" in lines and "edge.attempts.job=3" in lines
    assert {"edge.in_flight=14", "edge.upstreams_known=12", "edge.upstreams_excluded=2"} <= set(lines)
    assert len(lines) == len({line.partition("=")[0] for line in lines}) == 2 * 4 + 5
