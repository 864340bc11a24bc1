"""The trace: a line a request, read again whatever else lies in a log, added up, and off by default."""

from __future__ import annotations

import asyncio
import json
import logging
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost import config
from passpost.cli import command
from passpost.engine import Engine
from passpost.listing import parse_address
from passpost.node import Node
from passpost.trace.discovery import TracedDiscovery
from passpost.trace.engine import TracedCountingEngine, TracedEngine
from passpost.trace.model import Call, End, Entry, Try, read, read_call, write, write_call
from passpost.trace.tables import Asked, Step, add_up, around, follow
from tests.loopback import Balancer, FakeServer, answer_json, config_data, listing, member, run, silent, until

WORDS = st.text("abcXYZ019_.:-", min_size=1, max_size=12)
TRIES = st.builds(
    Try,
    WORDS,
    st.integers(0, 10**6),
    st.integers(0, 10**6),
    st.sampled_from(["served", "turned_away", "timed_out", "error"]),
    st.none() | st.integers(0, 10**6),
)
CALLS = st.builds(
    Call,
    WORDS,
    st.none() | st.integers(0, 10**6),
    st.integers(0, 60_000),
    st.integers(0, 10**13),
    st.integers(0, 10**6),
    st.sampled_from(["answered", "status_503", "timed_out", "cut_off", "dropped"]),
    st.lists(st.tuples(WORDS, st.sampled_from(["leaving", "left"])), max_size=4).map(tuple),
)
ENTRIES = st.builds(
    Entry,
    WORDS,
    WORDS,
    st.integers(0, 10**13),
    st.integers(0, 10**6),
    st.sampled_from(End),
    st.lists(TRIES, max_size=4).map(tuple),
)


@given(ENTRIES)
def test_a_line_is_read_as_it_was_written_whatever_the_log_puts_before_it(entry: Entry) -> None:
    assert read(f"12.345 INFO passpost.trace.engine: {write(entry)}\n") == entry


@given(ENTRIES, st.integers(1, 200))
def test_a_line_that_was_cut_short_is_no_other_request(entry: Entry, cut: int) -> None:
    line = write(entry)
    got = read(line[: max(len(line) - cut, 0)])
    assert got is None or (got.txn, got.end, got.at_ms) == (entry.txn, entry.end, entry.at_ms)


@given(CALLS, st.integers(0, 200))
def test_a_call_is_read_as_it_was_written_and_never_as_a_request(call: Call, cut: int) -> None:
    line = f"12.345 INFO passpost.trace.discovery: {write_call(call)}"
    assert read_call(line + "\n") == call and read(line) is None
    got = read_call(line[: len(line) - cut])
    assert got is None or (got.place, got.after, got.at_ms, got.end) == (
        call.place,
        call.after,
        call.at_ms,
        call.end,
    )


@pytest.mark.parametrize(
    "line", ["", "trace ", "trace txn=a class=b", "trace txn=a class=b at_ms=1 took_ms=2 end=lost tries=-"]
)
def test_other_lines_are_passed_over(line: str) -> None:
    assert read(line) is None


def entry(txn: str, at: int, end: End, *tries: Try) -> Entry:
    return Entry(txn, "read", at, 10, end, tries)


DAY = [
    Step("n1", entry("a", 5_100, End.SERVED, Try("s0", 0, 9, "served"))),
    Step("n1", entry("b", 6_200, End.REFUSED, Try("s1", 0, 1, "unreached"), Try("s1", 1, 1, "turned_away"))),
    Step("n2", entry("c", 6_300, End.REFUSED)),
    Step("n2", entry("c", 6_100, End.REFUSED)),
    Step("n3", entry("d", 6_400, End.REFUSED)),
]


def test_a_day_is_added_up_by_second_reason_and_upstream() -> None:
    tables = add_up(DAY)
    assert tables.seconds == (
        ("0", {"requests": 1, "served": 1, "attempts": 1}),
        ("1", {"requests": 4, "refused": 4, "attempts": 2}),
    )
    assert tables.reasons == (
        ("refused:not_sent", {"requests": 3, "balancers": 2, "most_at_one": 2}),
        ("refused:turned_away", {"requests": 1, "balancers": 1, "most_at_one": 1}),
    )
    assert tables.upstreams[0] == ("s1", {"attempts": 2, "unreached": 1, "turned_away": 1})
    assert [s.entry.at_ms for s in follow(DAY, "c")] == [6_100, 6_300]


def write_day(folder: Path) -> None:
    for step in DAY:
        with (folder / f"{step.balancer}.log").open("a") as file:
            file.write(f"1.0 INFO x: another line\n1.0 INFO x: {write(step.entry)}\n")


def test_the_command_adds_up_and_follows(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write_day(tmp_path)
    assert command.run(["logs", str(tmp_path)]) == 0
    assert "refused:not_sent" in capsys.readouterr().out
    assert command.run(["logs", str(tmp_path), "--json"]) == 0
    said = json.loads(capsys.readouterr().out)
    assert said["reasons"][0] == {
        "name": "refused:not_sent",
        "requests": 3,
        "balancers": 2,
        "most_at_one": 2,
    }
    assert command.run(["logs", str(tmp_path), "--follow", "b"]) == 0
    assert "n1: b read at 6200 ms: refused after 10 ms\n  s1: unreached after 1 ms" in capsys.readouterr().out
    assert command.run(["logs", str(tmp_path), "--follow", "zz"]) == 1
    assert capsys.readouterr().out == "no balancer has traced zz\n"


LEAVING: list[Step | Asked] = [
    Asked("n1", Call("d:1", 4, 10_000, 5_000, 1_000, "answered", (("s0", "leaving"),))),
    Asked("n2", Call("d:1", 4, 10_000, 5_000, 1_500, "cut_off")),
    Asked("n2", Call("d:2", None, 0, 7_000, 2_000, "timed_out")),
    Step("n2", entry("a", 7_500, End.SERVED, Try("s1", 0, 9, "error", 1), Try("s0", 10, 9, "served", 2))),
    Step("n2", entry("b", 5_100, End.FAILED, Try("s0", 0, 200, "unreached"))),
]


def test_a_server_that_leaves_is_followed_through_all_balancers(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    all_of_it = around(LEAVING, "s0")
    assert [(m.at_ms, m.balancer, m.late_ms) for m in all_of_it] == [
        (5_100, "n2", 0),
        (6_000, "n1", 0),
        (7_510, "n2", 1_510),
    ]
    assert [m.at_ms for m in around(LEAVING, "s0", "n2")] == [5_100, 6_000, 6_500, 7_510, 9_000]
    for one in LEAVING:
        with (tmp_path / f"{one.balancer}.log").open("a") as file:
            file.write((write(one.entry) if isinstance(one, Step) else write_call(one.call)) + "\n")
    assert command.run(["logs", str(tmp_path), "--server", "s0", "--balancer", "n2"]) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[1] == "6000 ms n1: d:1 after 4, wait 10000 ms: answered after 1000 ms; s0 is leaving"
    assert out[3].endswith(
        "a chosen; went out after 2 ms, served after 9 ms [1510 ms after the first notice]"
    )
    assert command.run(["logs", str(tmp_path), "--server", "zz"]) == 1
    assert command.run(["logs", str(tmp_path), "--server", "s0", "--json"]) == 0
    assert [m["late_ms"] for m in json.loads(capsys.readouterr().out.partition("\n")[2])] == [0, 0, 1_510]
    assert command.run(["logs", str(tmp_path), "--balancer", "n2"]) == 2
    assert command.run(["logs", str(tmp_path), "--server", "s0", "--follow", "a"]) == 2
    assert command.run(["logs", str(tmp_path)]) == 0


def test_calls_for_the_list_leave_a_line_each(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        place = FakeServer(answer_json(listing(7, member("s0", "127.0.0.1:1", "leaving"))))
        await place.start()
        discovery = TracedDiscovery(parse_address(place.host_port), None)
        discovery.start(lambda update, addresses: None)
        discovery.subscribe()

        def calls() -> list[Call]:
            return [c for r in caplog.records if (c := read_call(r.getMessage())) is not None]

        await until(lambda: bool(calls()))
        place.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        await until(lambda: calls()[-1].end == "status_503")
        assert (calls()[0].after, calls()[0].end, calls()[0].away) == (None, "answered", (("s0", "leaving"),))
        assert calls()[-1].after == 7 and calls()[0].place == place.host_port
        place.reply = silent
        discovery.subscribe()
        asked = len(place.got)
        await until(lambda: len(place.got) > asked)
        discovery.stop()
        await until(lambda: calls()[-1].end == "dropped")
        place.stop()

    with caplog.at_level(logging.INFO, "passpost.trace.discovery"):
        run(test())


def test_nothing_to_add_up_is_told_in_one_sentence(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.run(["logs", str(tmp_path / "nowhere")]) == 2
    assert capsys.readouterr().err == f"passpost: {tmp_path / 'nowhere'}: no such folder\n"
    (tmp_path / "n0.log").write_bytes(b"\xff\xfe noise\n0.0 INFO passpost: n0 serves\n")
    assert command.run(["logs", str(tmp_path)]) == 2
    assert capsys.readouterr().err == f"passpost: {tmp_path}: no *.log in it has lines of PASSPOST_TRACE=1\n"
    (tmp_path / "n1.log").mkdir()
    assert command.run(["logs", str(tmp_path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize("engine", [TracedEngine, TracedCountingEngine])
def test_each_request_leaves_one_line_of_what_became_of_it(
    engine: type[Engine], caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        good, hangs = FakeServer(), FakeServer(silent)
        await good.start()
        await hangs.start()

        def node(server: FakeServer) -> Balancer:
            return Balancer(Node(config.read(config_data([member("s0", server.host_port)])), engine=engine))

        def traced() -> list[Entry]:
            return [e for r in caplog.records if (e := read(r.getMessage())) is not None]

        one, two = node(good), node(hangs)
        client = await one.connect()
        answer = await client.ask()
        assert answer is not None and answer.status == 200
        await until(lambda: len(traced()) == 1)
        leaver = await two.connect()
        leaver.send()
        await until(lambda: bool(hangs.got))
        leaver.writer.close()
        await until(lambda: len(traced()) == 2)
        served, left = traced()
        assert (served.end, [t.outcome for t in served.tries]) == (End.SERVED, ["served"])
        assert served.class_name == "read" and served.tries[0].server == "s0" and served.txn != "-"
        assert (left.end, [t.outcome for t in left.tries]) == (End.LEFT, ["cancelled"])
        for each in (one, two):
            assert not each.node.engine._traces  # type: ignore[attr-defined]
            each.node.server.close()
            each.node.close()
        good.stop()
        hangs.stop()
        await asyncio.sleep(0)

    with caplog.at_level(logging.INFO, "passpost.trace.engine"):
        run(test())


def test_the_plain_path_imports_nothing_of_it() -> None:
    code = "import sys, passpost.__main__; sys.exit(any(n.startswith('passpost.trace') for n in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
