"""The sidecar with ordinary callers and servers, and reloads while requests are open."""

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
from tests.operator.harness import OK, FakeServer, ReceivedRequest, SidecarHarness, run_simulated

RENDER, QUEUE = ("127.0.0.1", 17070), ("127.0.0.1", 17071)
PLAIN = good_file_with(
    ('kind = "names"\nnames = ["localhost:18003"]', 'kind = "static"\naddresses = ["127.0.0.1:18003"]'),
    ("span_ms = 10000", "span_ms = 0"),
)


def http_answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def add_servers(
    harness: SidecarHarness, one: FakeServer | None = None, two: FakeServer | None = None
) -> tuple[FakeServer, FakeServer]:
    one, two = one or FakeServer(), two or FakeServer()
    harness.add_server(("127.0.0.1", 18001), one)
    harness.add_server(("127.0.0.1", 18002), two)
    return one, two


def test_caller_needs_no_platform_header() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/frames/7?size=2")
        assert got is not None and (got.status, got.body) == (200, b"ok")
        [received] = one.received + two.received
        assert received.target == b"/frames/7?size=2"
        assert received.headers["x-request-id"].startswith("render-")
        assert 0 < float(received.headers["x-remaining"]) <= 1.0  # the time limit of one attempt
        assert (received.headers["x-studio"], received.headers["x-render-token"]) == ("north", "s3cret")

    run_simulated(test)


def test_callers_request_id_is_passed_on_and_may_be_reused() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        harness.start_sidecar(PLAIN)
        both = await asyncio.gather(
            *(harness.request(RENDER, "/frames/7", X_Request_Id="mine") for _ in range(2))
        )
        assert [b.status for b in both if b] == [200, 200]
        assert [s.headers["x-request-id"] for s in one.received + two.received] == ["mine", "mine"]

    run_simulated(test)


def test_remaining_time_uses_the_configured_header() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        harness.start_sidecar(
            PLAIN.replace('tenant = "harbour"', 'tenant = "harbour"\ndeadline_header = "X-Seconds"')
        )
        got = await harness.request(RENDER, "/frames/7", X_Seconds="0.5")
        assert got is not None and got.status == 200
        [received] = one.received + two.received
        assert 0.4 < float(received.headers["x-seconds"]) <= 0.5 and "x-remaining" not in received.headers

    run_simulated(test)


def test_request_with_two_keys_is_refused() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/jobs", "POST", b"x", Idempotency_Key="a", idempotency_key="b")
        assert got is not None and got.status == 400 and not one.received + two.received

    run_simulated(test)


def test_refused_request_gets_the_reason() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        harness.start_sidecar(PLAIN)
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
            got = await harness.request(RENDER, target, method, **headers)  # type: ignore[arg-type]
            assert got is not None and (got.status, got.body) == (status, reason)
        assert one.received + two.received == []

    run_simulated(test)


@pytest.mark.parametrize("status", [201, 204, 301, 304, 400, 404, 409])
def test_servers_answer_is_passed_on(status: int) -> None:
    async def test(harness: SidecarHarness) -> None:
        empty = status in (204, 304)
        raw = (
            b"HTTP/1.1 %d X\r\nEtag: a\r\n\r\n" % status
            if empty
            else http_answer(status, b"why", "Etag: a\r\n")
        )
        one, two = add_servers(harness, FakeServer(raw), FakeServer(raw))
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/frames/7")
        assert got is not None and (got.status, got.body) == (status, b"" if empty else b"why")
        assert (b"Etag", b"a") in got.headers and len(one.received + two.received) == 1
        assert (b"Content-Length" in harness.raw_answer) != empty

    run_simulated(test)


def test_head_answer_has_no_body_and_keeps_the_connection() -> None:
    async def test(harness: SidecarHarness) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nEtag: b\r\n\r\n"
        one, two = add_servers(harness, FakeServer(head), FakeServer(head))
        harness.start_sidecar(PLAIN.replace('path = "/frames/*"', 'path = "/frames/*"\nmethods = ["HEAD"]'))
        for _ in range(3):
            got = await harness.request(RENDER, "/frames/7", "HEAD")
            assert got is not None and (got.status, got.body) == (200, b"")
            assert harness.raw_answer.endswith(b"\r\n\r\n")
        assert [s.method for s in one.received + two.received] == [
            "HEAD"
        ] * 3 and one.closed + two.closed == 0

    run_simulated(test)


def test_errors_are_retried_only_if_safe_and_finally_passed_on() -> None:
    async def test(harness: SidecarHarness) -> None:
        raw = http_answer(500, b"stack trace")
        one, two = add_servers(harness, FakeServer(raw), FakeServer(raw))
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/orders/7", "POST", b"x")
        assert got is not None and (got.status, got.body) == (500, b"stack trace")
        # The request is unsafe and the attempt may have run, so it is not retried.
        assert len(one.received + two.received) == 1
        one.reply = OK
        got = await harness.request(RENDER, "/frames/7")
        assert got is not None and got.status == 200

    run_simulated(test)


@pytest.mark.parametrize("status", [429, 503])
def test_429_and_503_from_a_server_do_not_permit_a_retry_of_an_unsafe_request(status: int) -> None:
    async def test(harness: SidecarHarness) -> None:
        raw = http_answer(status, b"later", "Retry-After: 1\r\n")
        one, two = add_servers(harness, FakeServer(raw), FakeServer(raw))
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/orders/7", "POST", b"x")
        assert got is not None and got.status == 502
        assert len(one.received + two.received) == 1

    run_simulated(test)


def test_attempt_that_times_out_is_followed_by_another() -> None:
    async def test(harness: SidecarHarness) -> None:
        silent = FakeServer(lambda received: None)
        add_servers(harness, silent, FakeServer())
        harness.start_sidecar(PLAIN)
        begun = harness.loop.time()
        for _ in range(6):
            got = await harness.request(RENDER, "/frames/7")
            assert got is not None and got.status == 200
        assert silent.received  # each attempt there took a second, and the other server answered
        assert harness.loop.time() - begun < 6 * 2.5

    run_simulated(test)


def test_keyed_request_has_the_attempts_of_its_class() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness, FakeServer(http_answer(500)), FakeServer(http_answer(500)))
        harness.start_sidecar(PLAIN)
        got = await harness.request(RENDER, "/jobs", "POST", b"x", Idempotency_Key="k1")
        assert got is not None and got.status == 500
        assert len(one.received + two.received) == 2
        assert {s.headers["idempotency-key"] for s in one.received + two.received} == {"k1"}

    run_simulated(test)


def test_health_answer_names_the_application() -> None:
    async def test(harness: SidecarHarness) -> None:
        harness.start_sidecar(PLAIN.replace("127.0.0.1:18003", "127.0.0.1:18009"))
        got = await harness.request(QUEUE, "/health/ready")
        assert got is not None and got.status == 200 and (b"Server", b"passpost/queue") in got.headers

    run_simulated(test)


def test_bodies_up_to_the_limit_pass_in_both_directions() -> None:
    async def test(harness: SidecarHarness) -> None:
        big = b"b" * (1024 * 1024)
        one, two = add_servers(harness, FakeServer(http_answer(200, big)), FakeServer(http_answer(200, big)))
        harness.start_sidecar(
            PLAIN.replace("memory_mb = 256", "memory_mb = 256\nbody_mb = 1\nbody_kb = 1024")
        )
        got = await harness.request(RENDER, "/orders/1", "POST", big)
        assert got is not None and got.status == 200 and got.body == big
        assert (one.received + two.received)[0].body == big
        got = await harness.request(RENDER, "/orders/1", "POST", big + b"x")
        assert got is not None and got.status == 413

    run_simulated(test)


# ---- reloads


def replace_once(text: str, old: str, new: str) -> str:
    assert old in text
    return text.replace(old, new, 1)


def file(text: str) -> File:
    found = parse(text, "f.toml").file
    assert found is not None
    return found


def test_open_request_of_a_class_removed_by_a_reload_is_answered() -> None:
    async def test(harness: SidecarHarness) -> None:
        answers: asyncio.Queue[bytes] = asyncio.Queue()
        waiting: list[ReceivedRequest] = []

        def later(received: ReceivedRequest) -> bytes | None:
            waiting.append(received)
            return None

        one, two = add_servers(harness, FakeServer(later), FakeServer(later))
        sidecar = harness.start_sidecar(PLAIN)
        open_ = asyncio.ensure_future(harness.request(RENDER, "/frames/7"))
        await asyncio.sleep(0.2)
        assert len(waiting) == 1
        one.reply = two.reply = OK
        changes = sidecar.reload(
            file(
                replace_once(
                    PLAIN, 'name = "frame"\npath = "/frames/*"', 'name = "still"\npath = "/stills/*"'
                )
            )
        )
        assert [c.key for c in changes] == ["render.frame", "render.still"]
        gone, new = await asyncio.gather(
            harness.request(RENDER, "/frames/7"), harness.request(RENDER, "/stills/7")
        )
        assert gone is not None and gone.status == 404 and new is not None and new.status == 200
        # The attempt timed out after 1 s, and the engine that accepted the request retried it.
        got = await open_
        assert got is not None and got.status == 200
        assert answers.empty()

    run_simulated(test)


def test_reload_applies_new_upstreams() -> None:
    async def test(harness: SidecarHarness) -> None:
        one, two = add_servers(harness)
        third = FakeServer()
        harness.add_server(("127.0.0.1", 18007), third)
        sidecar = harness.start_sidecar(PLAIN)
        sidecar.reload(file(replace_once(PLAIN, '"127.0.0.1:18001", "127.0.0.1:18002"', '"127.0.0.1:18007"')))
        for _ in range(5):
            got = await harness.request(RENDER, "/frames/7")
            assert got is not None and got.status == 200
        assert len(third.received) == 5 and not one.received + two.received

    run_simulated(test)


def test_reload_that_partly_fails_changes_nothing() -> None:
    async def test(harness: SidecarHarness) -> None:
        add_servers(harness)
        sidecar = harness.start_sidecar(PLAIN)
        harness.add_server(("127.0.0.1", 17079), FakeServer())  # the port is in use by another process
        new = replace_once(
            PLAIN,
            'name = "queue"\nlisten = "127.0.0.1:17071"',
            'name = "archive"\nlisten = "127.0.0.1:17079"',
        )
        new = replace_once(
            replace_once(new, 'calls = ["queue"]\n', ""), 'path = "/frames/*"', 'path = "/stills/*"'
        )
        with pytest.raises(OSError, match="taken"):
            sidecar.reload(file(new))
        got = await harness.request(RENDER, "/frames/7")
        assert got is not None and got.status == 200
        assert set(sidecar.served) == {"render", "queue"}
        with pytest.raises(ValueError, match="NOWHERE is not set"):
            sidecar.reload(file(replace_once(PLAIN, "env:RENDER_TOKEN", "env:NOWHERE")))
        assert sidecar.file == file(PLAIN)

    run_simulated(test)


def test_reload_adds_and_removes_applications() -> None:
    async def test(harness: SidecarHarness) -> None:
        add_servers(harness)
        harness.add_server(("127.0.0.1", 18003), FakeServer())
        sidecar = harness.start_sidecar(PLAIN)
        new = replace_once(
            replace_once(PLAIN, 'name = "queue"', 'name = "archive"'), 'calls = ["queue"]\n', ""
        )
        new = replace_once(new, "127.0.0.1:17071", "127.0.0.1:17072")
        sidecar.reload(file(new))
        got = await harness.request(("127.0.0.1", 17072), "/x")
        assert got is not None and got.status == 200
        await asyncio.sleep(5)
        with pytest.raises(ConnectionRefusedError):
            await harness.request(QUEUE, "/x")
        await sidecar.stop()
        with pytest.raises(ConnectionRefusedError):
            await harness.request(RENDER, "/frames/7")

    run_simulated(test)


def test_no_request_is_lost_during_reloads_and_a_stop() -> None:
    async def test(harness: SidecarHarness) -> None:
        add_servers(harness)
        sidecar = harness.start_sidecar(PLAIN)
        results: list[Answer | None] = []

        async def caller(number: int) -> None:
            for i in range(40):
                results.append(await harness.request(RENDER, f"/frames/{number}-{i}"))
                await asyncio.sleep(0.01)

        callers = [asyncio.ensure_future(caller(n)) for n in range(8)]
        texts = itertools.cycle([replace_once(PLAIN, "deadline_ms = 3000", "deadline_ms = 3100"), PLAIN])
        for _ in range(12):
            sidecar.reload(file(next(texts)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*callers)
        assert len(results) == 320 and all(r is not None and r.status == 200 for r in results)
        # Engines without open requests are dropped.
        assert len(sidecar.served["render"]._replaced_engines) <= 2

        last = asyncio.ensure_future(harness.request(RENDER, "/frames/last"))
        await asyncio.sleep(0.0004)
        await sidecar.stop()
        got = await last
        assert got is not None and got.status == 200

    run_simulated(test)


def test_invalid_file_at_reload_is_logged_and_changes_nothing(
    tmp_path: object, caplog: pytest.LogCaptureFixture
) -> None:
    from pathlib import Path

    path = Path(str(tmp_path)) / "f.toml"

    async def test(harness: SidecarHarness) -> None:
        add_servers(harness)
        sidecar = harness.start_sidecar(PLAIN)
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
        run_simulated(test)
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
def test_each_request_gets_one_answer_and_unsafe_ones_run_at_most_once(seed: int, script: list[str]) -> None:
    raws = {
        "error": http_answer(500),
        "silent": None,
        "ok": OK,
        "away": http_answer(503, b"", "X-Turned-Away: 1\r\n"),
    }

    async def test(harness: SidecarHarness) -> None:
        steps = itertools.cycle(script)
        ran: dict[str, int] = {}

        def reply(received: ReceivedRequest) -> bytes | None:
            step = next(steps)
            name = received.headers["x-request-id"]
            ran[name] = ran.get(name, 0) + (step != "away")
            return raws[step]

        add_servers(harness, FakeServer(reply), FakeServer(reply))
        harness.start_sidecar(PLAIN)

        async def one(number: int) -> None:
            got = await harness.request(RENDER, "/orders/1", "POST", b"x", X_Request_Id=f"pay-{number}")
            assert got is not None
            if got.status == 503:
                assert ran.get(f"pay-{number}", 0) == 0

        await asyncio.gather(*(one(n) for n in range(12)))
        assert all(count <= 1 for count in ran.values())

    run_simulated(test, seed)


def test_valid_file_parses() -> None:
    assert parse(GOOD, "f").file is not None
