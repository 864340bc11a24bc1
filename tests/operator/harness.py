"""A test harness: a sidecar on a simulated network, with ordinary servers and callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import httptools

from passpost.host import Address
from passpost.http1 import Answer, AnswerReader
from passpost.operator.model import File
from passpost.operator.reader import parse
from passpost.operator.sidecar import Sidecar
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost
from passpost.rehearsal.stage import listen

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
Reply = Callable[["ReceivedRequest"], bytes | None]


class ReceivedRequest:
    """A request as a server received it."""

    def __init__(self) -> None:
        self.method, self.target, self.body = "", b"", b""
        self.headers: dict[str, str] = {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.body += data


class FakeServer:
    """An ordinary server: sends `reply`, or what it returns for a request; with None it never answers."""

    def __init__(self, reply: Reply | bytes = OK) -> None:
        self.reply = reply
        self.received: list[ReceivedRequest] = []
        self.closed = 0

    def connection(self) -> asyncio.Protocol:
        server = self

        class Connection(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.Transport, transport)
                self.begin()

            def begin(self) -> None:
                self.current = ReceivedRequest()
                self.current.on_message_complete = self.complete  # type: ignore[attr-defined]
                self.parser = httptools.HttpRequestParser(self.current)

            def data_received(self, data: bytes) -> None:
                self.parser.feed_data(data)

            def complete(self) -> None:
                received = self.current
                received.method = self.parser.get_method().decode()
                server.received.append(received)
                answer = server.reply if isinstance(server.reply, bytes) else server.reply(received)
                self.begin()
                if answer is not None:
                    self.transport.write(answer)

            def connection_lost(self, exc: Exception | None) -> None:
                server.closed += 1

        return Connection()


class SidecarHarness:
    """A simulated machine with servers by address, a sidecar, and callers."""

    def __init__(self, loop: SimLoop, network: Network) -> None:
        self.loop, self.network, self.host = loop, network, SimHost(network)
        self.sidecar = cast(Sidecar, None)

    def add_server(self, address: Address, server: FakeServer) -> None:
        listen(self.host, address, server.connection)

    def start_sidecar(self, text_or_file: str | File, environment: dict[str, str] | None = None) -> Sidecar:
        file = text_or_file
        if isinstance(file, str):
            reading = parse(file, "f.toml")
            assert reading.file is not None, reading.problems
            file = reading.file
        self.sidecar = Sidecar(file, environment or {"RENDER_TOKEN": "s3cret"}, self.host)
        self.sidecar.start()
        return self.sidecar

    async def request(
        self, address: Address, target: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Answer | None:
        """Sends one request on a new connection; None if the connection ended without an answer.

        `raw_answer` keeps the bytes of the answer.
        """
        reader, writer = await asyncio.open_connection(*address)
        lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: x\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        parser, raw = AnswerReader(10_000_000, bodyless=method == "HEAD"), b""
        try:
            while (data := await reader.read(65536)) != b"":
                raw += data
                if (answer := parser.feed(data)) is not None:
                    return answer
            return None
        finally:
            self.raw_answer = raw
            writer.close()


def run_simulated(test: Callable[[SidecarHarness], Coroutine[Any, Any, None]], seed: int = 1) -> None:
    """Runs a test on a new simulated machine; fails if an exception was left unhandled in its event loop."""
    loop = SimLoop(seed)  # type: ignore[abstract]
    harness = SidecarHarness(loop, Network(loop, seed, 0.0005, 0.0002, 0.1))
    loop.run(test(harness))
    assert loop.faults == []
