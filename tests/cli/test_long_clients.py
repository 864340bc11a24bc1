"""Long and streamed answers through `passpost run` with a shipped example; the clients are http.client and aiohttp."""

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
LONG_BODY_BYTES = 20 * MB


class Server(BaseHTTPRequestHandler):
    """An ordinary server that records its requests. Streams wait for `proceed` before each further part."""

    protocol_version = "HTTP/1.1"
    request_lines: list[str]
    proceed: threading.Event

    def do_GET(self) -> None:
        self.request_lines.append(f"{self.command} {self.path}")
        match self.path.rpartition("/")[2]:
            case "long":
                self.send_body(b"x" * LONG_BODY_BYTES)
            case "chunked":
                self.send_chunks([b"y" * MB] * 5)
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
                self.send_body(body, ("Content-Encoding", "gzip"))
            case "204" | "304" as status:
                self.send_response(int(status))
                self.end_headers()
            case "part":
                self.send_response(200)
                self.send_header("Content-Length", "10")
                self.end_headers()
                self.wfile.write(b"first")
                self.proceed.wait(TIMEOUT_S)
                self.proceed.clear()
                self.wfile.write(b"later")
            case "feed":
                self.send_events()
            case _:
                self.send_body(b"ok")

    do_HEAD = do_GET

    def do_POST(self) -> None:
        self.request_lines.append(f"{self.command} {self.path}")
        if self.headers.get("Transfer-Encoding") == "chunked":
            length = 0
            while size := int(self.rfile.readline(), 16):
                length += len(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
        else:
            length = len(self.rfile.read(int(self.headers["Content-Length"])))
        self.send_body(str(length).encode())

    def send_body(self, body: bytes, *headers: tuple[str, str]) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def send_chunks(self, pieces: list[bytes]) -> None:
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for piece in [*pieces, b""]:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))

    def send_events(self) -> None:
        """Sends server-sent events: the first at once, each further one after the test has read the previous one."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(3):
            event = b"data: %d\n\n" % number
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            if not self.proceed.wait(TIMEOUT_S):
                return
            self.proceed.clear()
        self.wfile.write(b"0\r\n\r\n")

    def log_message(self, format: str, *args: object) -> None:
        pass


@contextmanager
def example(folder: Path) -> Iterator[tuple[int, type[Server], subprocess.Popen[str]]]:
    """Runs the example with servers at both addresses; yields the listen port, the servers' class and the process."""
    server_class = type("RecordingServer", (Server,), {"request_lines": [], "proceed": threading.Event()})
    text, port = EXAMPLE.read_text(), free_port()
    with (
        ThreadingHTTPServer(("127.0.0.1", 0), server_class) as one,
        ThreadingHTTPServer(("127.0.0.1", 0), server_class) as two,
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
            yield port, server_class, process
        one.shutdown()
        two.shutdown()


@pytest.fixture(scope="module")
def sidecar(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[int, type[Server]]]:
    with example(tmp_path_factory.mktemp("long")) as (port, server_class, _):
        yield port, server_class


def send_request(
    port: int, method: str, path: str, body: bytes | Iterator[bytes] | None = None, **headers: str
) -> tuple[int, bytes, http.client.HTTPResponse]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, body, names, encode_chunked=False)
    got = connection.getresponse()
    return got.status, got.read(), got


def count_requests(server_class: type[Server], request_line: str) -> int:
    return server_class.request_lines.count(request_line)


@pytest.mark.parametrize(
    ("name", "length"), [("long", LONG_BODY_BYTES), ("chunked", 5 * MB), ("to-the-end", 300_000)]
)
def test_long_answer_is_complete_and_requested_once(
    sidecar: tuple[int, type[Server]], name: str, length: int
) -> None:
    port, server_class = sidecar
    status, body, _ = send_request(port, "GET", f"/jobs/{name}")
    assert (status, len(body)) == (200, length)
    assert count_requests(server_class, f"GET /jobs/{name}") == 1


def test_answer_over_the_size_limit_is_refused_without_a_retry(sidecar: tuple[int, type[Server]]) -> None:
    port, server_class = sidecar
    status, body, _ = send_request(port, "GET", "/jobs/huge")
    assert status == 502 and b"limits.body_mb" in body
    # Not retried: the answer of another server would have the same length.
    assert count_requests(server_class, "GET /jobs/huge") == 1


def test_long_error_answer_is_retried_on_another_server(sidecar: tuple[int, type[Server]]) -> None:
    port, server_class = sidecar
    status, body, _ = send_request(port, "GET", "/jobs/failing")
    assert status in (502, 503) and b"limits.body_mb" not in body
    assert count_requests(server_class, "GET /jobs/failing") > 1


def test_long_request_bodies_pass_with_a_length_in_chunks_and_after_100_continue(
    sidecar: tuple[int, type[Server]],
) -> None:
    port, _ = sidecar
    key = {"Idempotency_Key": "k-1"}
    assert send_request(port, "POST", "/jobs", b"b" * LONG_BODY_BYTES, **key)[:2] == (
        200,
        str(LONG_BODY_BYTES).encode(),
    )
    chunks = (b"%x\r\n%b\r\n" % (len(p), p) for p in [b"c" * MB] * 3 + [b""])
    got = send_request(port, "POST", "/jobs", chunks, Transfer_Encoding="chunked", **key)
    assert got[:2] == (200, str(3 * MB).encode())
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
        head = "POST /jobs HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nExpect: 100-continue\r\n"
        caller.sendall(f"{head}Content-Length: {MB}\r\n\r\n".encode())
        reader = caller.makefile("rb")
        assert reader.readline() == b"HTTP/1.1 100 Continue\r\n"  # before any of the body was sent
        caller.sendall(b"d" * MB)
        assert reader.readline() == b"\r\n"
        assert reader.readline() == b"HTTP/1.1 200 OK\r\n"


def test_head_is_accepted_wherever_get_is(sidecar: tuple[int, type[Server]]) -> None:
    port, _ = sidecar
    status, body, _ = send_request(port, "HEAD", "/jobs/long")
    assert (status, body) == (200, b"")
    assert send_request(port, "HEAD", "/fees")[0] == 405  # the class doesn't accept GET


def test_bodyless_and_compressed_answers_pass_unchanged(sidecar: tuple[int, type[Server]]) -> None:
    port, _ = sidecar
    for status in (204, 304):
        got, body, answer = send_request(port, "GET", f"/jobs/{status}")
        assert (got, body, answer.getheader("Transfer-Encoding")) == (status, b"", None)
        got, body, answer = send_request(port, "GET", f"/events/{status}")  # a class with streamed answers
        assert (got, body, answer.getheader("Transfer-Encoding")) == (status, b"", None)
    _, body, answer = send_request(port, "GET", "/jobs/packed")
    assert answer.getheader("Content-Encoding") == "gzip" and gzip.decompress(body) == b"frame " * 1000


def test_each_streamed_event_arrives_before_the_next_is_sent(sidecar: tuple[int, type[Server]]) -> None:
    port, server_class = sidecar

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
                    server_class.proceed.set()
        return events

    assert asyncio.run(read()) == [b"data: 0\n", b"data: 1\n", b"data: 2\n"]
    assert count_requests(server_class, "GET /events/feed") == 1


def test_streaming_class_passes_first_bytes_at_once_with_a_content_length(
    sidecar: tuple[int, type[Server]],
) -> None:
    port, server_class = sidecar
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    connection.request("GET", "/events/part")
    got = connection.getresponse()  # the server waits for `proceed` before it sends the rest
    assert got.read(5) == b"first"
    server_class.proceed.set()
    assert got.read() == b"later"
    connection.close()


def test_open_stream_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    with example(tmp_path) as (port, server_class, process):
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
            caller.sendall(b"GET /events/feed HTTP/1.1\r\nHost: a\r\n\r\n")
            reader = caller.makefile("rb")
            assert reader.readline() == b"HTTP/1.1 200 OK\r\n"
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
            rest = reader.read()  # the stream was cut off: its last chunk is missing
            assert b"data: 0" in rest and not rest.endswith(b"0\r\n\r\n")
        server_class.proceed.set()
