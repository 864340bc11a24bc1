"""Where upstreams come from: fixed addresses, names, a watched file, or the platform's discovery.

Each has the three calls that a node makes of its discovery: `start`, `subscribe`, `stop`. What they learn goes
through `membership.py`, which decides what it means.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from passpost.discovery import Discovery
from passpost.host import HOST, Address, Host
from passpost.operator import model
from passpost.operator.checks import split_host_port
from passpost.operator.membership import Membership, parse_address, parse_address_list
from umberworks.interface import ListUpdate

log = logging.getLogger(__name__)

MAX_FILE = 1_000_000

Tell = Callable[[ListUpdate, dict[str, Address]], None]
Resolve = Callable[[str, int], Awaitable[list[str]]]


class Source(Protocol):
    """What a node asks of whoever knows its upstreams."""

    def start(self, tell: Tell) -> None:
        """Tell what is known now, and later whatever changes."""

    def subscribe(self) -> None:
        """The module asks for the list, where lists are asked."""

    def stop(self) -> None:
        """Tell no more."""


async def resolve(name: str, port: int) -> list[str]:
    """The addresses of a name, by the machine's own resolver, in a thread of the loop's."""
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(name, port, type=socket.SOCK_STREAM)
    return list(dict.fromkeys(str(entry[4][0]) for entry in found))


class _Followed:
    """A source that looks again and again; `look` learns, and says what failed."""

    every: float

    def __init__(self, host: Host) -> None:
        self._host = host
        self._known = Membership()
        self._tell: Tell = lambda update, addresses: None
        self._task: asyncio.Task[None] | None = None
        self._failed: dict[str, str] = {}

    def start(self, tell: Tell) -> None:
        self._tell = tell
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def subscribe(self) -> None:
        """Not asked: it tells by itself."""

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def look(self) -> None:
        raise NotImplementedError

    async def _follow(self) -> None:
        while True:
            try:
                await self.look()
                self._publish()
            except Exception:  # the list that stands is better than none, and the next look may work
                log.exception("looking for upstreams")
            await asyncio.sleep(self.every)

    def _publish(self) -> None:
        news = self._known.update(self._host.unix() * 1000)
        if news is not None:
            log.info("upstreams: %s", ", ".join(news[1]) or "none")
            self._tell(*news)

    def _note(self, what: str, reason: str | None) -> None:
        """Log a failure when it begins and when it is over, not each time."""
        before = self._failed.get(what)
        if reason is not None and reason != before:
            log.warning("%s: %s; the last list stands", what, reason)
            self._failed[what] = reason
        elif reason is None and before is not None:
            log.info("%s is back", what)
            del self._failed[what]


class StaticSource(_Followed):
    """Fixed addresses: told once."""

    def __init__(self, source: model.Static, host: Host = HOST) -> None:
        super().__init__(host)
        self._known.set_addresses("static", map(parse_address, source.addresses))

    def start(self, tell: Tell) -> None:
        self._tell = tell
        self._publish()


class NamesSource(_Followed):
    """Names, each resolved when it has expired, side by side; a slow one holds up no other."""

    def __init__(self, source: model.Names, host: Host = HOST, resolver: Resolve = resolve) -> None:
        super().__init__(host)
        self._source, self._resolver = source, resolver
        self.every = source.expires_s

    async def look(self) -> None:
        await asyncio.gather(*(self._one(text) for text in self._source.names))

    async def _one(self, text: str) -> None:
        pair = split_host_port(text)
        assert pair is not None  # checked
        name, port = pair
        try:
            async with asyncio.timeout(self._source.timeout_s):
                found = await self._resolver(name, port)
        except TimeoutError:
            self._note(text, f"not resolved within {self._source.timeout_s:g} s")
            return
        except OSError as error:
            self._note(text, f"does not resolve: {error.strerror or error}")
            return
        if not found:
            self._note(text, "resolves to nothing")
            return
        self._note(text, None)
        self._known.set_addresses(text, [(address, port) for address in found])
        self._publish()  # a slow name must not keep back what this one told


class FileSource(_Followed):
    """A file that others replace; looked at by its stamp, read only when that has changed."""

    def __init__(self, source: model.Watched, host: Host = HOST) -> None:
        super().__init__(host)
        self._path, self.every = source.path, source.every_s
        self._stamp: tuple[int, int, int] | None = None

    async def look(self) -> None:
        try:
            now = os.stat(self._path)
            stamp = (now.st_mtime_ns, now.st_size, now.st_ino)
            if stamp == self._stamp:
                return
            with open(self._path, encoding="utf-8") as file:
                text = file.read(MAX_FILE + 1)
            if len(text) > MAX_FILE:
                raise ValueError(f"over {MAX_FILE:,} characters")
            found = parse_address_list(text)
            if not found:
                raise ValueError("holds no address")
        except (OSError, ValueError) as error:
            reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
            self._note(self._path, reason)
            return
        self._stamp = stamp
        self._note(self._path, None)
        self._known.set_addresses("file", found)


def make_source(source: model.Upstreams, host: Host = HOST) -> Source:
    """The source that a section of the file describes."""
    match source:
        case model.Static():
            return StaticSource(source, host)
        case model.Names():
            return NamesSource(source, host)
        case model.Watched():
            return FileSource(source, host)
        case model.Discovered():
            address = split_host_port(source.address)
            assert address is not None  # checked
            asked = source.mode == "ask"
            return Discovery(address, None, not asked, source.ask_within_ms / 1000, host.monotonic)
