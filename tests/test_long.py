"""Long bodies both ways, over loopback sockets: passed on as they come, never piled up, never sent twice."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from passpost.callers import connection
from passpost.http1 import MAX_STREAM_BYTES
from passpost.streams import STREAM_ABOVE_BYTES, UPLOAD_BUFFER_BYTES, Upload
from passpost.upstreams import connection as upstream_connection
from tests.loopback import Client, Reader, Writer, balancer, run, until

MB = 1024 * 1024
PATTERN = bytes(range(251)) * 4_200  # a little over 1 MB, and no part of it repeats at a chunk's border


class Taker:
    """An upstream that speaks bytes: `script(reader, writer, head)` is called for each connection's request."""

    def __init__(self, script: Callable[[Reader, Writer, bytes], object]) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.writers: list[Writer] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**18)
        self.host_port = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.script(reader, writer, head)  # type: ignore[misc]
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def stop(self) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()


async def read_body(reader: Reader, head: bytes) -> bytes:
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        body = b""
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    length = int(lowered.partition(b"content-length: ")[2].split(b"\r\n")[0])
    return await reader.readexactly(length)


def head_of(client: Client, length: int | None, target: str = "/order", txn: str = "t") -> bytes:
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST {target} HTTP/1.1\r\nHost: b\r\nX-Txn: {txn}-{id(client)}\r\nX-Remaining: 9.0\r\n"
        f"Idempotency-Key: k\r\n{framing}\r\n\r\n"
    ).encode()


async def answer_of(reader: Reader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await read_body(reader, head)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("piece", [1_000, 300_000])
def test_a_long_body_reaches_the_upstream_unchanged(chunked: bool, piece: int) -> None:
    got: list[bytes] = []

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        got.append(await read_body(reader, head))
        writer.write(OK)

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            for turn in range(2):  # the connections are of use again behind it
                client.writer.write(head_of(client, None if chunked else len(PATTERN), txn=f"t{turn}"))
                for i in range(0, len(PATTERN), piece):
                    data = PATTERN[i : i + piece]
                    client.writer.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
                    await client.writer.drain()
                if chunked:
                    client.writer.write(b"0\r\n\r\n")
                assert (await answer_of(client.reader))[1] == b"ok"
            assert got == [PATTERN, PATTERN]

    run(test())


def test_an_upstream_is_told_the_callers_time_while_the_body_is_still_coming() -> None:
    # Its attempt is unbounded until the last byte, and the header said so: "X-Remaining: inf".
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        await read_body(reader, head)
        writer.write(OK)

    async def test() -> None:
        upstream = Taker(script)
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(head_of(client, 3 * STREAM_ABOVE_BYTES) + bytes(2 * STREAM_ABOVE_BYTES))
            await until(lambda: len(upstream.heads) == 1)
            client.writer.write(bytes(STREAM_ABOVE_BYTES))
            assert (await answer_of(client.reader))[1] == b"ok"
            told = upstream.heads[0].partition(b"X-Remaining: ")[2].partition(b"\r\n")[0]
            assert float(told) == 9.0

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_answer_reaches_the_caller_unchanged(chunked: bool) -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        if chunked:
            writer.write(b"HTTP/1.1 200 OK\r\nX-Found: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
            for i in range(0, len(PATTERN), 70_000):
                data = PATTERN[i : i + 70_000]
                writer.write(b"%x;a=b\r\n%b\r\n" % (len(data), data))
            writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
        else:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Found: 1\r\nContent-Length: %d\r\n\r\n" % len(PATTERN) + PATTERN
            )
        await writer.drain()

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            for _ in range(3):
                client.send()
                head, body = await answer_of(client.reader)
                assert body == PATTERN and b"X-Found: 1" in head
            await until(lambda: b.node.engine.is_idle())

    run(test())


def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_last() -> None:
    go_on = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * STREAM_ABOVE_BYTES) + b"a" * 10)
        await go_on.wait()
        writer.write(b"b" * (2 * STREAM_ABOVE_BYTES - 10))

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.send()
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(10) == b"a" * 10
            go_on.set()
            assert await client.reader.readexactly(2 * STREAM_ABOVE_BYTES - 10) == b"b" * (
                2 * STREAM_ABOVE_BYTES - 10
            )

    run(test())


def test_an_answer_of_untold_length_that_takes_its_time_goes_on_before_it_is_long() -> None:
    go_on = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        await go_on.wait()
        writer.write(b"2\r\nde\r\n0\r\n\r\n")

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.send()
            assert b"chunked" in await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(8) == b"3\r\nabc\r\n"
            go_on.set()
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"2\r\nde\r\n0\r\n\r\n"

    run(test())


@pytest.mark.parametrize("framing", [b"Content-Length: 1000000", b"Transfer-Encoding: chunked"])
def test_a_long_answer_that_is_cut_short_is_seen_to_be(framing: bytes) -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
        writer.write(b"x" * 200_000 if b"Length" in framing else b"30d40\r\n" + b"x" * 200_000 + b"\r\n")
        await writer.drain()
        writer.close()

    async def test() -> None:
        taker = Taker(script)
        async with balancer(taker) as b:
            client = await b.connect()
            client.send()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await answer_of(client.reader)
            assert len(taker.heads) == 1  # and nothing was sent again
            await until(lambda: b.node.engine.is_idle())

    run(test())


def test_an_upstream_that_breaks_under_a_long_body_means_a_refusal_and_no_second_send() -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        await reader.readexactly(200_000)
        writer.transport.abort()

    async def test() -> None:
        first, second = Taker(script), Taker(script)
        async with balancer(first, second) as b:
            client = await b.connect()
            client.writer.write(head_of(client, 4 * MB) + b"x" * 500_000)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in head
            assert len(first.heads) + len(second.heads) == 1
            await until(lambda: b.node.engine.is_idle())

    run(test())


def test_a_long_body_goes_elsewhere_where_the_first_upstream_is_not_there() -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        assert await read_body(reader, head) == b"x" * MB
        writer.write(OK)

    async def test() -> None:
        good, bad = Taker(script), Taker(script)
        async with balancer(good, bad) as b:
            bad.stop()
            for turn in range(6):
                client = await b.connect()
                client.writer.write(head_of(client, MB, txn=f"t{turn}") + b"x" * MB)
                assert (await answer_of(client.reader))[1] == b"ok"

    run(test())


def test_a_slow_upstream_holds_its_caller_and_a_slow_caller_its_upstream() -> None:
    go_on = asyncio.Event()
    sent = 0

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        nonlocal sent
        await go_on.wait()
        await read_body(reader, head)
        go_on.clear()
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * MB))
        for _ in range(512):
            writer.write(b"y" * 64 * 1024)
            await writer.drain()
            sent += 64 * 1024

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.writer.transport.set_write_buffer_limits(high=64 * 1024)
            client.writer.write(head_of(client, 32 * MB))
            (caller,) = b.node.server.connections
            count = 0
            while not caller._held:
                client.writer.write(b"x" * 64 * 1024)
                count += 1
                await asyncio.sleep(0)
            upload = caller._current.upload  # type: ignore[union-attr]
            assert upload is not None and upload._buffered_bytes < UPLOAD_BUFFER_BYTES + 1024 * 1024
            go_on.set()
            left = 32 * MB - 64 * 1024 * count
            client.writer.write(b"x" * left)
            await client.reader.readuntil(b"\r\n\r\n")
            await until(lambda: caller._clogged)
            assert caller._transport is not None and caller._transport.get_write_buffer_size() < 2 * MB
            assert sent < 32 * MB
            got = 0
            while got < 32 * MB:
                got += len(await client.reader.read(MB))
            await until(lambda: b.node.engine.is_idle())

    run(test())


def test_bodies_beyond_the_bound_are_refused_whether_told_or_found() -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        await read_body(reader, head)
        writer.write(OK)

    async def test() -> None:
        taker = Taker(script)
        async with balancer(taker) as b:
            told = await b.connect()
            told.writer.write(head_of(told, MAX_STREAM_BYTES + 1))
            assert (await told.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 413 ")
            found = await b.connect()
            found.writer.write(head_of(found, None))
            chunk = b"%x\r\n%b\r\n" % (MB, b"x" * MB)
            for _ in range(MAX_STREAM_BYTES // MB + 1):
                found.writer.write(chunk)
                await found.writer.drain()
            assert (await found.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 413 ")
            await until(lambda: b.node.engine.is_idle())
            assert len(taker.heads) == 1  # only the one that had begun, and it was never whole

    run(test())


def test_a_body_that_stops_coming_is_told_so_and_frees_its_upstream(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "BODY_S", 0.2)
    ended = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        try:
            await read_body(reader, head)
        finally:
            ended.set()

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.writer.write(head_of(client, MB) + b"x" * (STREAM_ABOVE_BYTES + 1))
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 408 ")
            await ended.wait()
            await until(lambda: b.node.engine.is_idle())

    run(test())


@pytest.mark.parametrize("after", ["head", "answer"])
def test_a_caller_that_goes_ends_the_attempt(monkeypatch: pytest.MonkeyPatch, after: str) -> None:
    monkeypatch.setattr(upstream_connection, "STALL_S", 1e9)  # nobody else ends it
    ended = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        try:
            await read_body(reader, head)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MB + b"x" * 1_000)
            await reader.readexactly(1)
        finally:
            ended.set()

    async def test() -> None:
        taker = Taker(script)
        async with balancer(taker) as b:
            client = await b.connect()
            client.writer.write(head_of(client, MB) + b"x" * (MB if after == "answer" else 200_000))
            if after == "answer":
                await client.reader.readuntil(b"\r\n\r\n")
            else:
                await until(lambda: bool(taker.heads))
            client.writer.transport.abort()
            await ended.wait()
            await until(lambda: b.node.engine.is_idle())

    run(test())


def test_a_request_behind_a_long_one_is_answered_next() -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        body = await read_body(reader, head) if head.startswith(b"POST") else b""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n%07d" % len(body))

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.send("/read")
            client.writer.write(head_of(client, MB) + b"x" * MB)
            client.send("/read")
            client.writer.write(
                head_of(client, None, txn="u") + b"20000\r\n" + b"x" * 0x20000 + b"\r\n0\r\n\r\n"
            )
            sizes = [int((await answer_of(client.reader))[1]) for _ in range(4)]
            assert sizes == [0, MB, 0, 0x20000]

    run(test())


def test_an_answer_of_untold_length_to_a_caller_of_http_1_0_ends_with_the_connection() -> None:
    cut = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 0x20000 + b"\r\n"
        )
        if cut.is_set():
            await writer.drain()
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            raw = b"GET /read HTTP/1.0\r\nX-Txn: %b\r\nX-Remaining: 9.0\r\n\r\n"
            client = await b.connect()
            client.writer.write(raw % b"a")
            head, _, body = (await client.reader.read(-1)).partition(b"\r\n\r\n")
            assert b"chunked" not in head and body == b"x" * 0x20000
            cut.set()
            loop = asyncio.get_running_loop()
            with socket.create_connection(("127.0.0.1", b.node.server.port)) as plain:
                plain.setblocking(False)
                await loop.sock_sendall(plain, raw % b"b")
                with pytest.raises(ConnectionResetError):  # nothing else would tell it from a whole one
                    while await loop.sock_recv(plain, 65536):
                        pass

    run(test())


def test_a_question_of_health_with_a_long_body_is_refused_and_kept_nowhere() -> None:
    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        raise AssertionError("nothing of it goes on")

    async def test() -> None:
        async with balancer(Taker(script)) as b:
            client = await b.connect()
            client.writer.write(b"GET /health/ready HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % MB + b"x" * MB)
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 413 ")

    run(test())


def test_a_long_body_under_the_id_of_an_open_request_is_refused_and_read_away() -> None:
    go_on = asyncio.Event()

    async def script(reader: Reader, writer: Writer, head: bytes) -> None:
        await read_body(reader, head)
        await go_on.wait()
        writer.write(OK)

    async def test() -> None:
        taker = Taker(script)
        async with balancer(taker) as b:
            first, second = await b.connect(), await b.connect()
            raw = head_of(first, MB)
            first.writer.write(raw + b"x" * MB)
            await until(lambda: len(taker.heads) == 1)
            second.writer.write(raw + b"x" * MB)
            assert (await second.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 409 ")
            await second.writer.drain()  # what still came was taken, not left in the way of the answer
            go_on.set()
            assert (await answer_of(first.reader))[1] == b"ok"
            assert len(taker.heads) == 1

    run(test())


class Held:
    def __init__(self) -> None:
        self.said: list[bool] = []

    def __call__(self, on: bool) -> None:
        self.said.append(on)


def test_an_upload_is_held_while_nobody_takes_it_and_spent_once_somebody_has() -> None:
    held, spent = Held(), list[bool]()
    upload = Upload(None, held)
    upload.on_consumed = lambda: spent.append(True)
    for _ in range(UPLOAD_BUFFER_BYTES // 1_000 + 1):
        upload.feed(b"x" * 1_000)
    assert held.said == [True] and not spent
    while upload.take() is not None:
        pass
    assert held.said == [True, False] and spent == [True]
    upload.feed(b"x" * UPLOAD_BUFFER_BYTES)
    upload.drop()
    assert held.said == [True, False, True, False] and upload.is_empty()
