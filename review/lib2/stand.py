"""What the scripts of the second review share: a balancer as a process, its stand-ins, a record and an exit status.

Standard library only. Everything listens on loopback, on free ports. The servers and the list behave as sound ones do,
as PROTOCOL describes them, unless a case tells one to misbehave.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # a case that takes longer could not run
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The deployment of the operators' site file: two classes, a list that is asked for, one or two balancers.
CLASSES: list[dict[str, Any]] = [
    {
        "name": "frame-fetch",
        "target": 1200.0,
        "deadline": 3000.0,
        "effect": "retryable",
        "keyScope": "all",
        "lateShare": 0.25,
        "repeatWindow": 5000.0,
        "stream": False,
        "worth": 5.0,
    },
    {
        "name": "job-submit",
        "target": 500.0,
        "deadline": 2000.0,
        "effect": "dedup",
        "keyScope": "all",
        "lateShare": 0.5,
        "repeatWindow": 3000.0,
        "stream": False,
        "worth": 3.0,
    },
]


def settings(classes: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """The settings of the site, as the simulator's first message gives them."""
    return {
        "azs": ["longman-room"],
        "balancers": 1,
        "classes": CLASSES if classes is None else classes,
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
        "goal": {"whole": 0.55, "worstClass": 0.05, "worstTenant": 0.25, "worstWindow": 0.15},
        "kinds": ["front-fast", "front-mid", "front-slow"],
        "limits": {
            "attemptsCap": 6,
            "connIdle": 30000.0,
            "connectTimeout": 200.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 800000,
            "maxRetryAfter": 1500.0,
            "mayCancel": True,
            "mayDuplicate": True,
            "openCap": 20000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "myNumber": 0,
        "orgs": [],
        "overShareWorth": 0.05,
        "stages": ["job-front", "render-queue"],
        "telemetry": {"fields": [], "how": "none"},
        "tick": 4.0,
        "tier": 0,
        "weights": "rough",
        "worthBy": "request",
        "zone": "longman-room",
    }


class Case:
    """One run of a case: its record, its temporary folder, and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.broken: list[str] = []
        self.note(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{self.now():9.4f} {text}\n")

    def break_rule(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.note(f"RULE BROKEN: {text}")

    def end(self) -> None:
        """End all processes, keep the ends of their logs, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for path in sorted(self.folder.glob("*.log")):
            self.note(f"log {path.name}")
            for line in path.read_text(errors="replace").splitlines()[-40:]:
                self.record.write(f"          | {line}\n")
        self.record.close()
        self.temporary.cleanup()


def run_case(file: str, body: Callable[[Case], Awaitable[None]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case, status = Case(Path(file).resolve().parent), NOT_RUN
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # so that the processes are ended

    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_S):
            await body(case)

    try:
        asyncio.run(bounded())
        status = BROKEN if case.broken else HELD
    except BaseException:
        case.note("could not run:\n" + traceback.format_exc())
        traceback.print_exc()
        status = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[status]
    case.note(f"{words}; exit {status}")
    case.end()
    with contextlib.suppress(OSError):
        print(f"{words}{': ' + case.broken[0] if case.broken else ''}", flush=True)
    os._exit(status)  # the loop is closed: connections that are left need no further word


def free_port() -> int:
    """A port of loopback that nobody listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def wait_for(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until the condition holds; raises TimeoutError if it does not in time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        await asyncio.sleep(0.01)


@dataclass
class Request:
    """A request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def txn(self) -> str:
        """The request's id."""
        return self.headers.get("x-txn", "-")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, whole; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head[:-4].split("\r\n")
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.lower()] = value.strip()
        method, target, _ = line.split(" ")
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return Request(method, target, headers, bytes(body))
        return Request(
            method, target, headers, await reader.readexactly(int(headers.get("content-length", 0)))
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """A whole answer."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Upstream:
    """A stand-in server: it answers each request with the request's id, or as its handler does."""

    def __init__(self, case: Case, name: str, handler: Handler | None = None) -> None:
        self.case, self.name = case, name
        self.handler = handler or self.answer_at_once
        self.requests: list[tuple[float, Request]] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def answer_at_once(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with what the request asked for: a body that names it."""
        writer.write(answer(f"{self.name} made this for {request.txn}".encode()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self.requests.append((self.case.now(), request))
                self.case.note(f"{self.name} got {request.method} {request.target} {request.txn} whole")
                await self.handler(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


@dataclass
class Member:
    """An entry of the list."""

    id: str
    host_port: str
    phase: str = "active"
    up_since_ms: float = 0
    flavor: str = "front-fast"
    cell: int = 0

    def entry(self) -> dict[str, Any]:
        """The entry as discovery writes it."""
        return {
            "id": self.id,
            "host_port": self.host_port,
            "locality": "longman-room",
            "flavor": self.flavor,
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }


@dataclass
class Discovery:
    """A stand-in for discovery, asked for the list: the whole of it, or what is newer than a revision."""

    case: Case
    members: list[Member]
    revision: int = 1
    port: int = 0
    told: dict[str, int] = field(default_factory=dict)  # the revision in which a member last changed

    async def start(self) -> None:
        """Listen on a free port."""
        self._changed = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def change(self, member: Member, **fields: Any) -> None:
        """Change an entry; watches tell it at once."""
        for name, value in fields.items():
            setattr(member, name, value)
        self.revision += 1
        self.told[member.id] = self.revision
        self.case.note(f"the list says {member.id} {fields}")
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, after: int | None) -> dict[str, Any]:
        """The whole list, or the changes after a revision."""
        if after is None:
            return {
                "revision": self.revision,
                "complete": True,
                "members": [m.entry() for m in self.members if m.phase != "left"],
            }
        changed = [m.entry() for m in self.members if self.told.get(m.id, 0) > after]
        return {"revision": self.revision, "complete": False, "members": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                query = request.target.partition("?")[2]
                fields = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
                after = int(fields["after"]) if "after" in fields else None
                if after is not None and after >= self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(fields.get("wait_ms", "0")) / 1000):
                            await self._changed.wait()
                body = json.dumps(self.listing(after)).encode()
                writer.write(answer(body, extra="Content-Type: application/json\r\n"))
                await writer.drain()
        writer.close()


class Balancer:
    """A balancer, started by `run` of the deploy file."""

    def __init__(self, case: Case, name: str, config: dict[str, Any]) -> None:
        self.case, self.name, self.config = case, name, config
        host, _, port = config["listen"].rpartition(":")
        self.host, self.port = host, int(port)
        self.path = case.folder / f"{name}.json"
        self.path.write_text(json.dumps(config))
        private = case.folder / f"tmp-{name}"
        private.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "PASSPOST_"))},
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.path),
            "TMPDIR": str(private),
        }
        with (case.folder / f"{name}.log").open("wb") as log:
            # `run` ends by `exec`, so that the id of the shell is that of the program.
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        case.processes.append(self.process)
        case.note(f"{name} started, process {self.process.pid}")

    async def ready(self) -> None:
        """Wait until it says that it is ready; it may take 30 s."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(ConnectionError, TimeoutError, OSError):
                client = await Client.connect(self)
                client.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                reply = await client.read_answer(2.0)
                client.close()
                if reply is not None and reply.status == 200:
                    self.case.note(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} was not ready in 30 s")

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.case.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)


def config(
    discovery: Discovery,
    members: list[Member],
    classes: list[dict[str, Any]] | None = None,
    name: str = "n1",
    **more: Any,
) -> dict[str, Any]:
    """A configuration as the platform writes it, with the list as it is now."""
    listen = f"127.0.0.1:{free_port()}"
    return {
        "name": name,
        "listen": listen,
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {
            "revision": discovery.revision,
            "complete": True,
            "members": [m.entry() for m in members],
        },
        "settings": settings(classes),
        **more,
    }


@dataclass
class Reply:
    """An answer as a client read it; `whole` says whether it came to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    reset: bool = False


class Client:
    """A client's connection."""

    numbers = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, balancer: Balancer) -> Client:
        """Connect to a balancer."""
        reader, writer = await asyncio.open_connection(balancer.host, balancer.port)
        return cls(reader, writer)

    @classmethod
    def new_id(cls) -> str:
        """An id for a new request."""
        cls.numbers += 1
        return f"{os.getpid():x}{cls.numbers:08x}"

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    @staticmethod
    def head(
        name: str, txn: str, remaining: float, method: str = "GET", length: int = 0, **more: str
    ) -> bytes:
        """The head of a request of a class."""
        lines = [
            f"{method} /{name} HTTP/1.1",
            "Host: backend.local",
            f"X-Txn: {txn}",
            f"X-Remaining: {remaining:.3f}",
            *(f"{key.replace('_', '-')}: {value}" for key, value in more.items()),
        ]
        if method == "POST":
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def read_answer(self, seconds: float) -> Reply | None:
        """Read one answer for at most so long; None if the connection ended with no byte of one."""
        data, reset = bytearray(), False
        status, headers, length, chunked = 0, dict[str, str](), 0, False

        async def more() -> bool:
            nonlocal reset
            try:
                piece = await self.reader.read(65536)
            except ConnectionError:
                reset = True
                return False
            data.extend(piece)
            return bool(piece)

        async with asyncio.timeout(seconds):
            while b"\r\n\r\n" not in data:
                if not await more():
                    return None if not data else Reply(0, {}, bytes(data), False, reset)
            head, _, rest = bytes(data).partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            status = int(first.split(" ")[1])
            for line in lines:
                key, _, value = line.partition(":")
                headers[key.lower()] = value.strip()
            chunked = headers.get("transfer-encoding", "").lower() == "chunked"
            length = int(headers.get("content-length", "-1"))
            data = bytearray(rest)
            while (b"0\r\n\r\n" not in data[-5:]) if chunked else (length < 0 or len(data) < length):
                if not await more():
                    whole = length < 0 and not chunked and not reset
                    return Reply(status, headers, bytes(data), whole, reset)
        return Reply(status, headers, bytes(data), True)
