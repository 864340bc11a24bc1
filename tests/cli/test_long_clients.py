"""Long and living answers through `passpost run` on a shipped example, by ordinary clients: http.client and aiohttp."""

from __future__ import annotations

import asyncio
import gzip
import http.client
import socket
import subprocess
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import aiohttp
import pytest

from tests.cli.test_operator import TIMEOUT_S, free_port, run_process, wait_until_ready

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "consent-desk" / "passpost.toml"
MB = 1024 * 1024
LONG = 20 * MB


class Server(BaseHTTPRequestHandler):
    """An ordinary server that counts what it is asked, and streams until it is told to end."""

    protocol_version = "HTTP/1.1"
    asked: list[str]
    go_on: threading.Event

    def do_GET(self) -> None:
        self.asked.append(f"{self.command} {self.path}")
        match self.path.rpartition("/")[2]:
            case "long":
                self.plain(b"x" * LONG)
            case "chunked":
                self.chunks([b"y" * MB] * 5)
            case "to-the-end":
                self.send_response(200)
                self.send_header("Connection", "close")
                self.end_headers()
                self.wfile.write(b"z" * 300_000)
                self.close_connection = True
            case "huge":
                self.send_response(200)
                self.send_header("Content-Length", str(100 * MB))
                self.end_headers()
                self.close_connection = True
            case "failing":
                self.send_response(500)
                self.send_header("Content-Length", str(2 * MB))
                self.end_headers()
                self.wfile.write(b"e" * 2 * MB)
            case "packed":
                body = gzip.compress(b"frame " * 1000)
                self.plain(body, ("Content-Encoding", "gzip"))
            case "204" | "304" as status:
                self.send_response(int(status))
                self.end_headers()
            case "part":
                self.send_response(200)
                self.send_header("Content-Length", "10")
                self.end_headers()
                self.wfile.write(b"first")
                self.go_on.wait(TIMEOUT_S)
                self.go_on.clear()
                self.wfile.write(b"later")
            case "feed":
                self.feed()
            case _:
                self.plain(b"ok")

    do_HEAD = do_GET

    def do_POST(self) -> None:
        self.asked.append(f"{self.command} {self.path}")
        if self.headers.get("Transfer-Encoding") == "chunked":
            length = 0
            while size := int(self.rfile.readline(), 16):
                length += len(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
        else:
            length = len(self.rfile.read(int(self.headers["Content-Length"])))
        self.plain(str(length).encode())

    def plain(self, body: bytes, *headers: tuple[str, str]) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def chunks(self, pieces: list[bytes]) -> None:
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for piece in [*pieces, b""]:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))

    def feed(self) -> None:
        """Server-sent events: the first at once, the next when the test has read it."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(3):
            event = b"data: %d\n\n" % number
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            if not self.go_on.wait(TIMEOUT_S):
                return
            self.go_on.clear()
        self.wfile.write(b"0\r\n\r\n")

    def log_message(self, format: str, *args: object) -> None:
        pass


@contextmanager
def example(folder: Path) -> Iterator[tuple[int, type[Server], subprocess.Popen[str]]]:
    """The example with one such server at both addresses; the port where callers connect."""
    kind = type("Told", (Server,), {"asked": [], "go_on": threading.Event()})
    text, port = EXAMPLE.read_text(), free_port()
    with (
        ThreadingHTTPServer(("127.0.0.1", 0), kind) as one,
        ThreadingHTTPServer(("127.0.0.1", 0), kind) as two,
    ):
        for server, old in ((one, "127.0.0.1:18201"), (two, "127.0.0.1:18202")):
            server.daemon_threads = True
            threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
            text = text.replace(old, f"127.0.0.1:{server.server_address[1]}")
        path = folder / "passpost.toml"
        path.write_text(
            text.replace("127.0.0.1:17201", f"127.0.0.1:{port}").replace("# serve_s = 2", "serve_s = 0.1")
        )
        with run_process(path) as process:
            wait_until_ready(port, process)
            yield port, kind, process
        one.shutdown()
        two.shutdown()


@pytest.fixture(scope="module")
def served(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[int, type[Server]]]:
    with example(tmp_path_factory.mktemp("long")) as (port, kind, _):
        yield port, kind


def ask(
    port: int, method: str, path: str, body: bytes | Iterator[bytes] | None = None, **headers: str
) -> tuple[int, bytes, http.client.HTTPResponse]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, body, names, encode_chunked=False)
    got = connection.getresponse()
    return got.status, got.read(), got


def asked(kind: type[Server], what: str) -> int:
    return kind.asked.count(what)


@pytest.mark.parametrize(("name", "length"), [("long", LONG), ("chunked", 5 * MB), ("to-the-end", 300_000)])
def test_a_long_answer_comes_whole_and_is_asked_of_one_server(
    served: tuple[int, type[Server]], name: str, length: int
) -> None:
    port, kind = served
    status, body, _ = ask(port, "GET", f"/jobs/{name}")
    assert (status, len(body)) == (200, length)
    assert asked(kind, f"GET /jobs/{name}") == 1


def test_an_answer_beyond_the_bound_is_refused_once(served: tuple[int, type[Server]]) -> None:
    port, kind = served
    status, body, _ = ask(port, "GET", "/jobs/huge")
    assert status == 502 and b"limits.body_mb" in body
    assert asked(kind, "GET /jobs/huge") == 1  # no other server's would be shorter


def test_a_long_error_is_a_failure_and_another_server_is_asked(served: tuple[int, type[Server]]) -> None:
    port, kind = served
    status, body, _ = ask(port, "GET", "/jobs/failing")
    assert status in (502, 503) and b"limits.body_mb" not in body
    assert asked(kind, "GET /jobs/failing") > 1


def test_long_bodies_go_up_with_a_length_in_chunks_and_after_100_continue(
    served: tuple[int, type[Server]],
) -> None:
    port, _ = served
    key = {"Idempotency_Key": "k-1"}
    assert ask(port, "POST", "/jobs", b"b" * LONG, **key)[:2] == (200, str(LONG).encode())
    chunks = (b"%x\r\n%b\r\n" % (len(p), p) for p in [b"c" * MB] * 3 + [b""])
    got = ask(port, "POST", "/jobs", chunks, Transfer_Encoding="chunked", **key)
    assert got[:2] == (200, str(3 * MB).encode())
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
        head = "POST /jobs HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nExpect: 100-continue\r\n"
        caller.sendall(f"{head}Content-Length: {MB}\r\n\r\n".encode())
        reader = caller.makefile("rb")
        assert reader.readline() == b"HTTP/1.1 100 Continue\r\n"  # nothing of the body has been sent yet
        caller.sendall(b"d" * MB)
        assert reader.readline() == b"\r\n"
        assert reader.readline() == b"HTTP/1.1 200 OK\r\n"


def test_head_is_taken_wherever_get_is(served: tuple[int, type[Server]]) -> None:
    port, _ = served
    status, body, _ = ask(port, "HEAD", "/jobs/long")
    assert (status, body) == (200, b"")
    assert ask(port, "HEAD", "/fees")[0] == 405  # no GET there


def test_answers_without_a_body_and_packed_ones_pass_unchanged(served: tuple[int, type[Server]]) -> None:
    port, _ = served
    for status in (204, 304):
        got, body, answer = ask(port, "GET", f"/jobs/{status}")
        assert (got, body, answer.getheader("Transfer-Encoding")) == (status, b"", None)
        got, body, answer = ask(port, "GET", f"/events/{status}")  # of a class whose answers live on
        assert (got, body, answer.getheader("Transfer-Encoding")) == (status, b"", None)
    _, body, answer = ask(port, "GET", "/jobs/packed")
    assert answer.getheader("Content-Encoding") == "gzip" and gzip.decompress(body) == b"frame " * 1000


def test_each_event_of_a_feed_comes_before_the_next_is_made(served: tuple[int, type[Server]]) -> None:
    port, kind = served

    async def read() -> list[bytes]:
        wait = aiohttp.ClientTimeout(total=TIMEOUT_S)
        events = []
        async with (
            aiohttp.ClientSession(timeout=wait) as session,
            session.get(f"http://127.0.0.1:{port}/events/feed") as got,
        ):
            assert got.headers["Content-Type"] == "text/event-stream"
            while line := await got.content.readline():
                if line != b"\n":
                    events.append(line)
                    kind.go_on.set()
        return events

    assert asyncio.run(read()) == [b"data: 0\n", b"data: 1\n", b"data: 2\n"]
    assert asked(kind, "GET /events/feed") == 1


def test_of_a_class_that_streams_the_first_bytes_come_at_once_whatever_the_length(
    served: tuple[int, type[Server]],
) -> None:
    port, kind = served
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    connection.request("GET", "/events/part")
    got = connection.getresponse()  # the server waits for us
    assert got.read(5) == b"first"
    kind.go_on.set()
    assert got.read() == b"later"
    connection.close()


def test_a_feed_that_lives_on_does_not_hold_up_the_end(tmp_path: Path) -> None:
    with example(tmp_path) as (port, kind, process):
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
            caller.sendall(b"GET /events/feed HTTP/1.1\r\nHost: a\r\n\r\n")
            reader = caller.makefile("rb")
            assert reader.readline() == b"HTTP/1.1 200 OK\r\n"
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
            rest = reader.read()  # the feed was cut, which its framing tells
            assert b"data: 0" in rest and not rest.endswith(b"0\r\n\r\n")
        kind.go_on.set()
