"""What the cases share: stand-ins of upstreams, discovery and clients, and the balancer as a process of its own.

Only the standard library is used. Everything listens on 127.0.0.1, on free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._start = time.monotonic()
        self.hidden = [str(ROOT), sys.base_prefix]
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add a line, with the seconds since the start; paths of the machine are left out."""
        for prefix in self.hidden:
            text = text.replace(f"{prefix}/", "")
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Message:
    """A request or an answer: its first line, headers by lower-case name, and body."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, whole: bool = True) -> None:
        self.line, self.headers, self.body, self.whole = line, headers, body, whole

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the connection ended before its head, `whole` is false if it ended in the body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head[:-4].split("\r\n")
    headers = {name.lower(): value.strip() for name, value in (item.split(":", 1) for item in rest)}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while (size := int((await reader.readline()).strip() or b"-1", 16)) > 0:
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            if size < 0:
                return Message(line, headers, body, whole=False)
            await reader.readline()
        else:
            left = int(headers.get("content-length", 0))
            while left > 0:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    return Message(line, headers, body, whole=False)
                body += piece
                left -= len(piece)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Message(line, headers, body, whole=False)
    return Message(line, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, as the death of a process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    """An answer of known length."""
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Upstream:
    """An upstream process: answers each request by `serve`, which gets the request and the writer."""

    def __init__(
        self, name: str, serve: Callable[[Upstream, Message, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        self.name, self._serve = name, serve
        self.host_port, self.dead = "", False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.host_port = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None and request.whole:
                await self._serve(self, request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def die(self) -> None:
        """End as a killed process: connections are reset, new ones are refused."""
        self.dead = True
        self._server.close()
        for writer in list(self._writers):
            reset(writer)


class Discovery:
    """The discovery service. A watch waits until the list is newer than what its caller has.

    With `whole` every answer is the whole list, in which upstreams that are gone are missing; otherwise a watch gets
    the changed entries.
    """

    def __init__(self, record: Record, whole: bool) -> None:
        self._record, self._whole = record, whole
        self.revision = 1
        self._entries: dict[str, tuple[int, dict[str, Any]]] = {}  # id: revision of its last change, entry
        self._changed = asyncio.Event()
        self.address = ""

    def put(self, entry: dict[str, Any]) -> None:
        """Set the entry of an upstream; does not count as a change before `publish`."""
        self._entries[entry["id"]] = (self.revision + 1, entry)

    def publish(self) -> None:
        """Make the entries set since the last call known, as one change."""
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, after: int | None = None) -> dict[str, Any]:
        """The whole list, or with `after` the entries that changed since that revision."""
        whole = after is None or self._whole
        entries = [
            entry
            for changed_at, entry in self._entries.values()
            if (entry["phase"] != "left" if whole else changed_at > (after or 0))
        ]
        return {"revision": self.revision, "complete": whole, "members": entries}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                query = dict(p.split("=", 1) for p in call.target.partition("?")[2].split("&") if "=" in p)
                after = int(query["after"]) if "after" in query else None
                if after is not None and after >= self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                            await self._changed.wait()
                if after is not None and after >= self.revision:
                    data: dict[str, Any] = {"revision": self.revision, "complete": False, "members": []}
                else:
                    data = self.listing(after)
                self._record.write(
                    f"discovery: answers {call.target} with revision {data['revision']}, complete={data['complete']}, "
                    f"{len(data['members'])} members"
                )
                writer.write(answer(200, json.dumps(data).encode()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class BalancerProcess:
    """The balancer, started by `run` of the deploy file, with its log in the record."""

    def __init__(self, record: Record, config: dict[str, Any]) -> None:
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        record.hidden.append(str(self.folder))
        self.port = free_port()
        config["listen"] = f"127.0.0.1:{self.port}"
        (self.folder / "tmp").mkdir()
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        self._log = (self.folder / "log").open("wb")
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "PASSPOST_"))}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment | {"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_until_ready(self) -> None:
        """Wait until `GET /health/ready` is answered 200, as the front does."""
        until = time.monotonic() + 20
        while time.monotonic() < until and self.process.poll() is None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                    got = await read_message(reader)
                    writer.close()
                    if got is not None and got.status == 200:
                        return
            await asyncio.sleep(0.1)
        raise CaseError("the balancer did not become ready")

    def peak_memory_mb(self) -> float:
        """The most memory that the process has held so far (VmHWM), in MB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End the process and put its log into the record."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()
        for line in (self.folder / "log").read_text(errors="replace").splitlines()[:200]:
            self._record.write(f"balancer's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client's connection to the balancer."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self._record, self._name, self._port = record, name, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port)

    async def receive(self, txn: str, within_s: float) -> Message | None:
        """Wait for an answer; None if none came in this time, or if the connection ended instead."""
        try:
            async with asyncio.timeout(within_s):
                got = await read_message(self.reader)
        except TimeoutError:
            self._record.write(f"{self._name}: {txn} has no answer after {within_s:.2f} s")
            return None
        said = "the connection ended" if got is None else f"{got.line}, {len(got.body)} bytes"
        if got is not None and not got.whole:
            said += ", not whole"
        self._record.write(f"{self._name}: {txn} is answered: {said}")
        return got


def request(
    method: str, path: str, txn: str, remaining_s: float, key: str | None = None, body: bytes = b""
) -> bytes:
    """A request in the form of the protocol page."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: backend.local",
        f"X-Txn: {txn}",
        f"X-Remaining: {remaining_s:.3f}",
    ]
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request_class(
    name: str,
    effect: str,
    aim_ms: float,
    deadline_ms: float,
    window_ms: float,
    late: float,
    scope: str = "all",
) -> dict[str, Any]:
    """A class of requests as the settings give it."""
    return {
        "name": name,
        "effect": effect,
        "keyScope": scope,
        "target": aim_ms,
        "deadline": deadline_ms,
        "repeatWindow": window_ms,
        "lateShare": late,
        "stream": False,
        "worth": 3.0,
    }


def configuration(
    classes: list[dict[str, Any]], discovery: str, known: dict[str, Any], attempts: int = 6
) -> dict[str, Any]:
    """A balancer's configuration, with the figures of the first deployment's first tier but for the classes."""
    return {
        "name": "n0",
        "listen": "",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "azs": ["longman-room"],
            "balancers": 1,
            "classes": classes,
            "clients": {"marksRetry": False},
            "contract": {
                "askWithin": 10000.0,
                "cold": 24000.0,
                "coldFrom": 0.15,
                "drainGrace": 1000.0,
                "graceToAnswer": 16.0,
                "overloadFactor": 3.0,
                "tipAfter": 1500.0,
            },
            "discovery": "ask",
            "family": "chain",
            "familyInfo": {"passesDeadline": True},
            "kinds": ["front-fast"],
            "limits": {
                "attemptsCap": attempts,
                "connIdle": 30000.0,
                "connectTimeout": 200.0,
                "cpuUsPerRequest": 0.0,
                "cpuUsPerS": 1600000,
                "maxRetryAfter": 1500.0,
                "mayCancel": True,
                "mayDuplicate": True,
                "openCap": 40000,
                "peers": False,
                "probes": True,
                "retryAfter": True,
                "streamsPerConn": 1,
            },
            "myNumber": 0,
            "stages": ["job-front", "render-queue"],
            "telemetry": {"fields": [], "how": "none"},
            "tick": 4.0,
            "tier": 0,
            "weights": "rough",
            "worthBy": "request",
            "zone": "longman-room",
        },
    }


def entry(upstream: Upstream, cell: int = 0, phase: str = "active") -> dict[str, Any]:
    """An upstream's entry of the list."""
    return {
        "id": upstream.name,
        "host_port": upstream.host_port,
        "locality": "longman-room",
        "flavor": "front-fast",
        "cell": cell,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }


def run_case(folder: Path, case: Callable[[Record, bool, Callable[[Any], None]], Awaitable[int]]) -> int:
    """Run a case within 110 s; return its exit status. It gets the record, whether to disrupt, and a registrar.

    Each process that the case starts is registered, and ended here whatever happens.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started: list[Any] = []

    async def bounded() -> int:
        async with asyncio.timeout(110):
            return await case(record, trouble, started.append)

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)  # a stand-in's connection that was reset
    try:
        status = loop.run_until_complete(bounded())
    except (CaseError, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    finally:
        for process in started:
            process.end()
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
    result = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[status]
    record.write(f"{'with' if trouble else 'without'} the disruption: {result}")
    print(f"{folder.name}: {'with' if trouble else 'without'} the disruption: {result}")
    return status
