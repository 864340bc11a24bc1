"""Trace lines: logged for each request and call to discovery, parsed, summed up, and off by default."""

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
from passpost.trace.model import (
    AttemptEntry,
    ListCallEntry,
    RequestEnd,
    RequestEntry,
    format_list_call,
    format_request,
    parse_list_call,
    parse_request,
)
from passpost.trace.tables import ListCallRecord, RequestRecord, find_request, server_timeline, summarize
from tests.loopback import (
    Balancer,
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    config_data,
    listing,
    member,
    never_reply,
    run,
    wait_until,
)

WORDS = st.text("abcXYZ019_.:-", min_size=1, max_size=12)
ATTEMPTS = st.builds(
    AttemptEntry,
    WORDS,
    st.integers(0, 10**6),
    st.integers(0, 10**6),
    st.sampled_from(["served", "turned_away", "timed_out", "error"]),
    st.none() | st.integers(0, 10**6),
)
LIST_CALLS = st.builds(
    ListCallEntry,
    WORDS,
    st.none() | st.integers(0, 10**6),
    st.integers(0, 60_000),
    st.integers(0, 10**13),
    st.integers(0, 10**6),
    st.sampled_from(["answered", "status_503", "timed_out", "cut_off", "dropped"]),
    st.lists(st.tuples(WORDS, st.sampled_from(["leaving", "left"])), max_size=4).map(tuple),
)
REQUESTS = st.builds(
    RequestEntry,
    WORDS,
    WORDS,
    st.integers(0, 10**13),
    st.integers(0, 10**6),
    st.sampled_from(RequestEnd),
    st.lists(ATTEMPTS, max_size=4).map(tuple),
)


@given(REQUESTS)
def test_a_request_is_parsed_as_it_was_written_after_a_log_prefix(entry: RequestEntry) -> None:
    assert parse_request(f"12.345 INFO passpost.trace.engine: {format_request(entry)}\n") == entry


@given(REQUESTS, st.integers(1, 200))
def test_a_truncated_line_is_never_parsed_as_another_request(entry: RequestEntry, cut: int) -> None:
    line = format_request(entry)
    parsed = parse_request(line[: max(len(line) - cut, 0)])
    assert parsed is None or (parsed.txn, parsed.end, parsed.at_ms) == (entry.txn, entry.end, entry.at_ms)


@given(LIST_CALLS, st.integers(0, 200))
def test_a_list_call_is_parsed_as_it_was_written_and_never_as_a_request(
    call: ListCallEntry, cut: int
) -> None:
    line = f"12.345 INFO passpost.trace.discovery: {format_list_call(call)}"
    assert parse_list_call(line + "\n") == call and parse_request(line) is None
    parsed = parse_list_call(line[: len(line) - cut])
    assert parsed is None or (parsed.place, parsed.after, parsed.at_ms, parsed.end) == (
        call.place,
        call.after,
        call.at_ms,
        call.end,
    )


@pytest.mark.parametrize(
    "line", ["", "trace ", "trace txn=a class=b", "trace txn=a class=b at_ms=1 took_ms=2 end=lost tries=-"]
)
def test_lines_without_a_complete_entry_are_skipped(line: str) -> None:
    assert parse_request(line) is None


def request_entry(txn: str, at: int, end: RequestEnd, *tries: AttemptEntry) -> RequestEntry:
    return RequestEntry(txn, "read", at, 10, end, tries)


RECORDS = [
    RequestRecord("n1", request_entry("a", 5_100, RequestEnd.SERVED, AttemptEntry("s0", 0, 9, "served"))),
    RequestRecord(
        "n1",
        request_entry(
            "b",
            6_200,
            RequestEnd.REFUSED,
            AttemptEntry("s1", 0, 1, "unreached"),
            AttemptEntry("s1", 1, 1, "turned_away"),
        ),
    ),
    RequestRecord("n2", request_entry("c", 6_300, RequestEnd.REFUSED)),
    RequestRecord("n2", request_entry("c", 6_100, RequestEnd.REFUSED)),
    RequestRecord("n3", request_entry("d", 6_400, RequestEnd.REFUSED)),
]


def test_requests_are_counted_by_second_and_reason_and_attempts_by_upstream() -> None:
    tables = summarize(RECORDS)
    assert tables.seconds == (
        ("0", {"requests": 1, "served": 1, "attempts": 1}),
        ("1", {"requests": 4, "refused": 4, "attempts": 2}),
    )
    assert tables.reasons == (
        ("refused:not_sent", {"requests": 3, "balancers": 2, "most_at_one": 2}),
        ("refused:turned_away", {"requests": 1, "balancers": 1, "most_at_one": 1}),
    )
    assert tables.upstreams[0] == ("s1", {"attempts": 2, "unreached": 1, "turned_away": 1})
    assert [s.entry.at_ms for s in find_request(RECORDS, "c")] == [6_100, 6_300]


def write_logs(folder: Path) -> None:
    for record in RECORDS:
        with (folder / f"{record.balancer}.log").open("a") as file:
            file.write(f"1.0 INFO x: another line\n1.0 INFO x: {format_request(record.entry)}\n")


def test_the_logs_command_prints_the_tables_or_follows_one_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    write_logs(tmp_path)
    assert command.run(["logs", str(tmp_path)]) == 0
    assert "refused:not_sent" in capsys.readouterr().out
    assert command.run(["logs", str(tmp_path), "--json"]) == 0
    tables = json.loads(capsys.readouterr().out)
    assert tables["reasons"][0] == {
        "name": "refused:not_sent",
        "requests": 3,
        "balancers": 2,
        "most_at_one": 2,
    }
    assert command.run(["logs", str(tmp_path), "--follow", "b"]) == 0
    assert "n1: b read at 6200 ms: refused after 10 ms\n  s1: unreached after 1 ms" in capsys.readouterr().out
    assert command.run(["logs", str(tmp_path), "--follow", "zz"]) == 1
    assert capsys.readouterr().out == "no balancer has traced zz\n"


LEAVING_SERVER_RECORDS: list[RequestRecord | ListCallRecord] = [
    ListCallRecord("n1", ListCallEntry("d:1", 4, 10_000, 5_000, 1_000, "answered", (("s0", "leaving"),))),
    ListCallRecord("n2", ListCallEntry("d:1", 4, 10_000, 5_000, 1_500, "cut_off")),
    ListCallRecord("n2", ListCallEntry("d:2", None, 0, 7_000, 2_000, "timed_out")),
    RequestRecord(
        "n2",
        request_entry(
            "a",
            7_500,
            RequestEnd.SERVED,
            AttemptEntry("s1", 0, 9, "error", 1),
            AttemptEntry("s0", 10, 9, "served", 2),
        ),
    ),
    RequestRecord(
        "n2", request_entry("b", 5_100, RequestEnd.FAILED, AttemptEntry("s0", 0, 200, "unreached"))
    ),
]


def test_the_notices_of_a_leaving_server_and_the_attempts_at_it_are_listed_in_order(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    events = server_timeline(LEAVING_SERVER_RECORDS, "s0")
    assert [(m.at_ms, m.balancer, m.late_ms) for m in events] == [
        (5_100, "n2", 0),
        (6_000, "n1", 0),
        (7_510, "n2", 1_510),
    ]
    assert [m.at_ms for m in server_timeline(LEAVING_SERVER_RECORDS, "s0", "n2")] == [
        5_100,
        6_000,
        6_500,
        7_510,
        9_000,
    ]
    for item in LEAVING_SERVER_RECORDS:
        with (tmp_path / f"{item.balancer}.log").open("a") as file:
            file.write(
                (
                    format_request(item.entry)
                    if isinstance(item, RequestRecord)
                    else format_list_call(item.call)
                )
                + "\n"
            )
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


def test_each_call_to_discovery_logs_one_line(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        registry = FakeServer(answer_json(listing(7, member("s0", "127.0.0.1:1", "leaving"))))
        await registry.start()
        discovery = TracedDiscovery(parse_address(registry.host_port), None)
        discovery.start(lambda update, addresses: None)
        discovery.subscribe()

        def calls() -> list[ListCallEntry]:
            return [c for r in caplog.records if (c := parse_list_call(r.getMessage())) is not None]

        await wait_until(lambda: bool(calls()))
        registry.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        await wait_until(lambda: calls()[-1].end == "status_503")
        assert (calls()[0].after, calls()[0].end, calls()[0].away) == (None, "answered", (("s0", "leaving"),))
        assert calls()[-1].after == 7 and calls()[0].place == registry.host_port
        registry.reply = never_reply
        discovery.subscribe()
        calls_before = len(registry.got)
        await wait_until(lambda: len(registry.got) > calls_before)
        discovery.stop()
        await wait_until(lambda: calls()[-1].end == "dropped")
        registry.stop()

    with caplog.at_level(logging.INFO, "passpost.trace.discovery"):
        run(test())


def test_a_folder_without_trace_lines_is_an_error_in_one_sentence(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.run(["logs", str(tmp_path / "nowhere")]) == 2
    assert capsys.readouterr().err == f"passpost: {tmp_path / 'nowhere'}: no such folder\n"
    (tmp_path / "n0.log").write_bytes(b"\xff\xfe noise\n0.0 INFO passpost: n0 serves\n")
    assert command.run(["logs", str(tmp_path)]) == 2
    assert (
        capsys.readouterr().err
        == f"passpost: {tmp_path}: no *.log file in it has trace lines (written with PASSPOST_TRACE=1)\n"
    )
    (tmp_path / "n1.log").mkdir()
    assert command.run(["logs", str(tmp_path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize("engine", [TracedEngine, TracedCountingEngine])
def test_each_request_logs_one_line(engine: type[Engine], caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        good, hangs = FakeServer(), FakeServer(never_reply)
        await good.start()
        await hangs.start()

        def node(server: FakeServer) -> Balancer:
            return Balancer(Node(config.read(config_data([member("s0", server.host_port)])), engine=engine))

        def traced() -> list[RequestEntry]:
            return [e for r in caplog.records if (e := parse_request(r.getMessage())) is not None]

        answering, hanging = node(good), node(hangs)
        client = await answering.connect()
        answer = await client.fetch()
        assert answer is not None and answer.status == 200
        await wait_until(lambda: len(traced()) == 1)
        leaver = await hanging.connect()
        leaver.send()
        await wait_until(lambda: bool(hangs.got))
        leaver.writer.close()
        await wait_until(lambda: len(traced()) == 2)
        served, left = traced()
        assert (served.end, [t.outcome for t in served.tries]) == (RequestEnd.SERVED, ["served"])
        assert served.class_name == "read" and served.tries[0].server == "s0" and served.txn != "-"
        assert (left.end, [t.outcome for t in left.tries]) == (RequestEnd.LEFT, ["cancelled"])
        for each in (answering, hanging):
            assert not each.node.engine._traces  # type: ignore[attr-defined]
            each.node.server.close()
            each.node.close()
        good.stop()
        hangs.stop()
        await asyncio.sleep(0)

    with caplog.at_level(logging.INFO, "passpost.trace.engine"):
        run(test())


@pytest.mark.parametrize("ending", [RequestEnd.SERVED, RequestEnd.FAILED, RequestEnd.LEFT])
def test_a_streamed_answer_logs_how_it_ended(ending: RequestEnd, caplog: pytest.LogCaptureFixture) -> None:
    # Each one was logged as "left": a whole one, one cut off and one that never ended looked alike.
    async def test() -> None:
        begun, go_on = asyncio.Event(), asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
            begun.set()
            await go_on.wait()
            if ending is RequestEnd.SERVED:
                writer.write(bytes(100_000))
            else:
                writer.transport.abort()

        upstream = FakeServer(reply)
        await upstream.start()
        data = config_data([member("s0", upstream.host_port)])
        balancer = Balancer(Node(config.read(data), engine=TracedEngine))
        client = await balancer.connect()
        client.send()
        await begun.wait()
        await client.reader.readexactly(70_000)
        if ending is RequestEnd.LEFT:
            client.writer.transport.abort()
            await wait_until(lambda: not balancer.node.server.connections)
        go_on.set()
        await wait_until(balancer.node.engine.is_idle)
        (entry,) = [e for r in caplog.records if (e := parse_request(r.getMessage())) is not None]
        assert entry.end is ending
        balancer.disconnect_clients()
        balancer.node.server.close()
        balancer.node.close()
        upstream.stop()
        await asyncio.sleep(0)

    with caplog.at_level(logging.INFO, "passpost.trace.engine"):
        run(test())


def test_the_tracing_modules_are_not_imported_by_default() -> None:
    code = "import sys, passpost.__main__; sys.exit(any(n.startswith('passpost.trace') for n in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
