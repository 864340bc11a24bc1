"""The sidecar: ordinary callers, ordinary servers, and reloads with requests open."""

from __future__ import annotations

import asyncio
import itertools
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.http1 import Answer
from passpost.operator import sidecar as module
from passpost.operator.model import File
from passpost.operator.reader import parse
from tests.operator.files import GOOD, good_file_with
from tests.operator.rig import OK, Rig, Seen, Upstream, play

RENDER, QUEUE = ("127.0.0.1", 17070), ("127.0.0.1", 17071)
PLAIN = good_file_with(
    ('kind = "names"\nnames = ["localhost:18003"]', 'kind = "static"\naddresses = ["127.0.0.1:18003"]'),
    ("span_ms = 10000", "span_ms = 0"),
)


def answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def fleet(rig: Rig, one: Upstream | None = None, two: Upstream | None = None) -> tuple[Upstream, Upstream]:
    one, two = one or Upstream(), two or Upstream()
    rig.serve(("127.0.0.1", 18001), one)
    rig.serve(("127.0.0.1", 18002), two)
    return one, two


def test_a_caller_needs_no_header_of_ours() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/frames/7?size=2")
        assert got is not None and (got.status, got.body) == (200, b"ok")
        [seen] = one.got + two.got
        assert seen.target == b"/frames/7?size=2"
        assert seen.headers["x-request-id"].startswith("render-")
        assert 0 < float(seen.headers["x-remaining"]) <= 1.0  # one attempt's time
        assert (seen.headers["x-studio"], seen.headers["x-render-token"]) == ("north", "s3cret")

    play(test)


def test_an_id_from_outside_is_kept_and_never_trusted_to_be_new() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        rig.carry(PLAIN)
        both = await asyncio.gather(*(rig.ask(RENDER, "/frames/7", X_Request_Id="mine") for _ in range(2)))
        assert [b.status for b in both if b] == [200, 200]
        assert [s.headers["x-request-id"] for s in one.got + two.got] == ["mine", "mine"]

    play(test)


def test_the_time_left_is_read_and_written_in_the_files_own_header() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        rig.carry(PLAIN.replace('tenant = "harbour"', 'tenant = "harbour"\ndeadline_header = "X-Seconds"'))
        got = await rig.ask(RENDER, "/frames/7", X_Seconds="0.5")
        assert got is not None and got.status == 200
        [seen] = one.got + two.got
        assert 0.4 < float(seen.headers["x-seconds"]) <= 0.5 and "x-remaining" not in seen.headers

    play(test)


def test_two_keys_in_one_request_are_refused() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/jobs", "POST", b"x", Idempotency_Key="a", idempotency_key="b")
        assert got is not None and got.status == 400 and not one.got + two.got

    play(test)


def test_what_no_class_takes_is_told_why() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        rig.carry(PLAIN)
        for target, method, headers, status, reason in (
            ("/nothing", "GET", {}, 404, b"no class takes this path"),
            ("/frames/7", "PUT", {}, 405, b"no class takes this method here"),
            (
                "/jobs",
                "POST",
                {},
                400,
                b"submit needs a key in Idempotency-Key: without one no repeat is dropped",
            ),
            ("/frames/7", "GET", {"X_Remaining": "soon"}, 400, b"the time left is no number"),
            ("/frames/7", "GET", {"X_Tenant": "a", "x_tenant": "b"}, 400, b""),
        ):
            got = await rig.ask(RENDER, target, method, **headers)  # type: ignore[arg-type]
            assert got is not None and (got.status, got.body) == (status, reason)
        assert one.got + two.got == []

    play(test)


@pytest.mark.parametrize("status", [201, 204, 301, 304, 400, 404, 409])
def test_a_servers_own_answer_is_passed_on(status: int) -> None:
    async def test(rig: Rig) -> None:
        empty = status in (204, 304)
        raw = b"HTTP/1.1 %d X\r\nEtag: a\r\n\r\n" % status if empty else answer(status, b"why", "Etag: a\r\n")
        one, two = fleet(rig, Upstream(raw), Upstream(raw))
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/frames/7")
        assert got is not None and (got.status, got.body) == (status, b"" if empty else b"why")
        assert (b"Etag", b"a") in got.headers and len(one.got + two.got) == 1
        assert (b"Content-Length" in rig.raw) != empty

    play(test)


def test_a_head_has_no_body_and_its_connection_is_kept() -> None:
    async def test(rig: Rig) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nEtag: b\r\n\r\n"
        one, two = fleet(rig, Upstream(head), Upstream(head))
        rig.carry(PLAIN.replace('path = "/frames/*"', 'path = "/frames/*"\nmethods = ["HEAD"]'))
        for _ in range(3):
            got = await rig.ask(RENDER, "/frames/7", "HEAD")
            assert got is not None and (got.status, got.body) == (200, b"")
            assert rig.raw.endswith(b"\r\n\r\n")
        assert [s.method for s in one.got + two.got] == ["HEAD"] * 3 and one.closed + two.closed == 0

    play(test)


def test_errors_are_repeated_where_that_is_safe_and_passed_on_in_the_end() -> None:
    async def test(rig: Rig) -> None:
        raw = answer(500, b"stack trace")
        one, two = fleet(rig, Upstream(raw), Upstream(raw))
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/orders/7", "POST", b"x")
        assert got is not None and (got.status, got.body) == (500, b"stack trace")
        assert len(one.got + two.got) == 1  # unsafe: it may have run
        one.reply = OK
        got = await rig.ask(RENDER, "/frames/7")
        assert got is not None and got.status == 200

    play(test)


@pytest.mark.parametrize("status", [429, 503])
def test_only_the_module_says_that_trying_again_is_harmless(status: int) -> None:
    async def test(rig: Rig) -> None:
        raw = answer(status, b"later", "Retry-After: 1\r\n")
        one, two = fleet(rig, Upstream(raw), Upstream(raw))
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/orders/7", "POST", b"x")
        assert got is not None and got.status == 502
        assert len(one.got + two.got) == 1

    play(test)


def test_an_attempt_has_its_own_time_and_another_follows() -> None:
    async def test(rig: Rig) -> None:
        silent = Upstream(lambda seen: None)
        fleet(rig, silent, Upstream())
        rig.carry(PLAIN)
        begun = rig.loop.time()
        for _ in range(6):
            got = await rig.ask(RENDER, "/frames/7")
            assert got is not None and got.status == 200
        assert silent.got  # it was tried, for a second each time, and the others served
        assert rig.loop.time() - begun < 6 * 2.5

    play(test)


def test_a_keyed_request_has_as_many_attempts_as_its_class() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig, Upstream(answer(500)), Upstream(answer(500)))
        rig.carry(PLAIN)
        got = await rig.ask(RENDER, "/jobs", "POST", b"x", Idempotency_Key="k1")
        assert got is not None and got.status == 500
        assert len(one.got + two.got) == 2
        assert {s.headers["idempotency-key"] for s in one.got + two.got} == {"k1"}

    play(test)


def test_health_says_who_answers() -> None:
    async def test(rig: Rig) -> None:
        rig.carry(PLAIN.replace("127.0.0.1:18003", "127.0.0.1:18009"))
        got = await rig.ask(QUEUE, "/health/ready")
        assert got is not None and got.status == 200 and (b"Server", b"passpost/queue") in got.headers

    play(test)


def test_bodies_up_to_the_bound_pass_both_ways() -> None:
    async def test(rig: Rig) -> None:
        big = b"b" * (1024 * 1024)
        one, two = fleet(rig, Upstream(answer(200, big)), Upstream(answer(200, big)))
        rig.carry(PLAIN.replace("memory_mb = 256", "memory_mb = 256\nbody_mb = 1\nbody_kb = 1024"))
        got = await rig.ask(RENDER, "/orders/1", "POST", big)
        assert got is not None and got.status == 200 and got.body == big
        assert (one.got + two.got)[0].body == big
        got = await rig.ask(RENDER, "/orders/1", "POST", big + b"x")
        assert got is not None and got.status == 413

    play(test)


# ---- reloads


def with_(text: str, old: str, new: str) -> str:
    assert old in text
    return text.replace(old, new, 1)


def file(text: str) -> File:
    found = parse(text, "f.toml").file
    assert found is not None
    return found


def test_a_class_that_a_reload_removes_still_answers_what_it_has_open() -> None:
    async def test(rig: Rig) -> None:
        answers: asyncio.Queue[bytes] = asyncio.Queue()
        waiting: list[Seen] = []

        def later(seen: Seen) -> bytes | None:
            waiting.append(seen)
            return None

        one, two = fleet(rig, Upstream(later), Upstream(later))
        sidecar = rig.carry(PLAIN)
        open_ = asyncio.ensure_future(rig.ask(RENDER, "/frames/7"))
        await asyncio.sleep(0.2)
        assert len(waiting) == 1
        one.reply = two.reply = OK
        changes = sidecar.reload(
            file(with_(PLAIN, 'name = "frame"\npath = "/frames/*"', 'name = "still"\npath = "/stills/*"'))
        )
        assert [c.key for c in changes] == ["render.frame", "render.still"]
        gone, new = await asyncio.gather(rig.ask(RENDER, "/frames/7"), rig.ask(RENDER, "/stills/7"))
        assert gone is not None and gone.status == 404 and new is not None and new.status == 200
        got = await open_  # its attempt's second is over, and the engine that took it tries again
        assert got is not None and got.status == 200
        assert answers.empty()

    play(test)


def test_a_reload_takes_over_another_list_of_upstreams() -> None:
    async def test(rig: Rig) -> None:
        one, two = fleet(rig)
        third = Upstream()
        rig.serve(("127.0.0.1", 18007), third)
        sidecar = rig.carry(PLAIN)
        sidecar.reload(file(with_(PLAIN, '"127.0.0.1:18001", "127.0.0.1:18002"', '"127.0.0.1:18007"')))
        for _ in range(5):
            got = await rig.ask(RENDER, "/frames/7")
            assert got is not None and got.status == 200
        assert len(third.got) == 5 and not one.got + two.got

    play(test)


def test_a_reload_that_can_not_be_taken_whole_changes_nothing() -> None:
    async def test(rig: Rig) -> None:
        fleet(rig)
        sidecar = rig.carry(PLAIN)
        rig.serve(("127.0.0.1", 17079), Upstream())  # taken by somebody else
        new = with_(
            PLAIN,
            'name = "queue"\nlisten = "127.0.0.1:17071"',
            'name = "archive"\nlisten = "127.0.0.1:17079"',
        )
        new = with_(with_(new, 'calls = ["queue"]\n', ""), 'path = "/frames/*"', 'path = "/stills/*"')
        with pytest.raises(OSError, match="taken"):
            sidecar.reload(file(new))
        got = await rig.ask(RENDER, "/frames/7")
        assert got is not None and got.status == 200
        assert set(sidecar.served) == {"render", "queue"}
        with pytest.raises(ValueError, match="NOWHERE is not set"):
            sidecar.reload(file(with_(PLAIN, "env:RENDER_TOKEN", "env:NOWHERE")))
        assert sidecar.file == file(PLAIN)

    play(test)


def test_applications_come_and_go_with_a_reload() -> None:
    async def test(rig: Rig) -> None:
        fleet(rig)
        rig.serve(("127.0.0.1", 18003), Upstream())
        sidecar = rig.carry(PLAIN)
        new = with_(with_(PLAIN, 'name = "queue"', 'name = "archive"'), 'calls = ["queue"]\n', "")
        new = with_(new, "127.0.0.1:17071", "127.0.0.1:17072")
        sidecar.reload(file(new))
        got = await rig.ask(("127.0.0.1", 17072), "/x")
        assert got is not None and got.status == 200
        await asyncio.sleep(5)
        with pytest.raises(ConnectionRefusedError):
            await rig.ask(QUEUE, "/x")
        await sidecar.stop()
        with pytest.raises(ConnectionRefusedError):
            await rig.ask(RENDER, "/frames/7")

    play(test)


def test_nothing_is_lost_under_reloads_and_a_stop() -> None:
    async def test(rig: Rig) -> None:
        fleet(rig)
        sidecar = rig.carry(PLAIN)
        results: list[Answer | None] = []

        async def caller(number: int) -> None:
            for i in range(40):
                results.append(await rig.ask(RENDER, f"/frames/{number}-{i}"))
                await asyncio.sleep(0.01)

        callers = [asyncio.ensure_future(caller(n)) for n in range(8)]
        texts = itertools.cycle([with_(PLAIN, "deadline_ms = 3000", "deadline_ms = 3100"), PLAIN])
        for _ in range(12):
            sidecar.reload(file(next(texts)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*callers)
        assert len(results) == 320 and all(r is not None and r.status == 200 for r in results)
        assert len(sidecar.served["render"]._replaced_engines) <= 2  # engines with nothing open are let go

        last = asyncio.ensure_future(rig.ask(RENDER, "/frames/last"))
        await asyncio.sleep(0.0004)
        await sidecar.stop()
        got = await last
        assert got is not None and got.status == 200

    play(test)


def test_a_bad_file_at_sighup_is_logged_and_changes_nothing(
    tmp_path: object, caplog: pytest.LogCaptureFixture
) -> None:
    from pathlib import Path

    path = Path(str(tmp_path)) / "f.toml"

    async def test(rig: Rig) -> None:
        fleet(rig)
        sidecar = rig.carry(PLAIN)
        for text in (
            PLAIN.replace("share = 0.4", "share = 0.9"),
            "version = ",
            PLAIN.replace("env:REN", "env:NO"),
        ):
            path.write_text(text)
            module.reload(sidecar, str(path))
        assert sidecar.file == file(PLAIN)
        path.write_text(
            PLAIN.replace("deadline_ms = 3000", "deadline_ms = 3100").replace(
                "memory_mb = 256", "memory_mb = 300"
            )
        )
        module.reload(sidecar, str(path))
        assert sidecar.served["render"].application.classes[1].deadline_ms == 3100

    with caplog.at_level(logging.INFO):
        play(test)
    assert (
        "the shares add up to 150%" in caplog.text
        and "invalid TOML" in caplog.text
        and "is not set" in caplog.text
    )
    assert "limits.memory_mb: 300, was 256 (waits for a restart)" in caplog.text
    assert "render.frame.deadline_ms: 3100, was 3000" in caplog.text


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.sampled_from(["error", "silent", "ok", "away"]), min_size=4, max_size=30),
)
def test_whatever_servers_do_each_request_has_one_answer_and_unsafe_ones_run_once(
    seed: int, script: list[str]
) -> None:
    raws = {"error": answer(500), "silent": None, "ok": OK, "away": answer(503, b"", "X-Turned-Away: 1\r\n")}

    async def test(rig: Rig) -> None:
        steps = itertools.cycle(script)
        ran: dict[str, int] = {}

        def reply(seen: Seen) -> bytes | None:
            step = next(steps)
            name = seen.headers["x-request-id"]
            ran[name] = ran.get(name, 0) + (step != "away")
            return raws[step]

        fleet(rig, Upstream(reply), Upstream(reply))
        rig.carry(PLAIN)

        async def one(number: int) -> None:
            got = await rig.ask(RENDER, "/orders/1", "POST", b"x", X_Request_Id=f"pay-{number}")
            assert got is not None
            if got.status == 503:
                assert ran.get(f"pay-{number}", 0) == 0

        await asyncio.gather(*(one(n) for n in range(12)))
        assert all(count <= 1 for count in ran.values())

    play(test, seed)


def test_the_good_file_itself_is_what_the_tests_break() -> None:
    assert parse(GOOD, "f").file is not None
