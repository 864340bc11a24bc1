"""Sources of upstream addresses: fixed addresses, host names, a watched file, or the platform's discovery.

Each has the three methods that a node calls on its discovery: `start`, `subscribe` and `stop`. `membership.py` turns
the addresses that they find into updates of the server list.
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

MAX_FILE_CHARS = 1_000_000

OnListUpdate = Callable[[ListUpdate, dict[str, Address]], None]
Resolver = Callable[[str, int], Awaitable[list[str]]]


class Source(Protocol):
    """A source of upstream addresses."""

    def start(self, on_update: OnListUpdate) -> None:
        """Reports the current list to `on_update`, and later every change of it."""

    def subscribe(self) -> None:
        """Requests the list on behalf of the decision module; only sources that are polled on request use this."""

    def stop(self) -> None:
        """Stops reporting."""


async def resolve(name: str, port: int) -> list[str]:
    """Resolves a host name with the system's resolver, in a thread of the event loop's executor."""
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(name, port, type=socket.SOCK_STREAM)
    return list(dict.fromkeys(str(entry[4][0]) for entry in found))


class _PollingSource:
    """A source that polls periodically. `poll` stores the addresses that it finds and logs what failed."""

    interval_s: float

    def __init__(self, host: Host) -> None:
        self._host = host
        self._membership = Membership()
        self._on_update: OnListUpdate = lambda update, addresses: None
        self._task: asyncio.Task[None] | None = None
        self._failures: dict[str, str] = {}

    def start(self, on_update: OnListUpdate) -> None:
        self._on_update = on_update
        self._task = asyncio.get_running_loop().create_task(self._poll_forever())

    def subscribe(self) -> None:
        """Does nothing: the source polls by itself."""

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def poll(self) -> None:
        raise NotImplementedError

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self.poll()
                self._publish()
            except Exception:  # keep the last list, and poll again: the next attempt may work
                log.exception("polling for upstreams failed")
            await asyncio.sleep(self.interval_s)

    def _publish(self) -> None:
        update = self._membership.update(self._host.unix() * 1000)
        if update is not None:
            log.info("upstreams: %s", ", ".join(update[1]) or "none")
            self._on_update(*update)

    def _log_state(self, what: str, reason: str | None) -> None:
        """Logs a failure when it begins and when it is over, not at every poll."""
        before = self._failures.get(what)
        if reason is not None and reason != before:
            log.warning("%s: %s; keeping the last addresses", what, reason)
            self._failures[what] = reason
        elif reason is None and before is not None:
            log.info("%s works again", what)
            del self._failures[what]


class StaticSource(_PollingSource):
    """Fixed addresses, reported once."""

    def __init__(self, source: model.Static, host: Host = HOST) -> None:
        super().__init__(host)
        self._membership.set_addresses("static", map(parse_address, source.addresses))

    def start(self, on_update: OnListUpdate) -> None:
        self._on_update = on_update
        self._publish()


class NamesSource(_PollingSource):
    """Host names, all resolved concurrently every `expires_s` seconds; a slow name doesn't delay the others."""

    def __init__(self, source: model.Names, host: Host = HOST, resolver: Resolver = resolve) -> None:
        super().__init__(host)
        self._source, self._resolver = source, resolver
        self.interval_s = source.expires_s

    async def poll(self) -> None:
        await asyncio.gather(*(self._resolve_name(text) for text in self._source.names))

    async def _resolve_name(self, text: str) -> None:
        pair = split_host_port(text)
        assert pair is not None  # guaranteed by checks.py
        name, port = pair
        try:
            async with asyncio.timeout(self._source.timeout_s):
                found = await self._resolver(name, port)
        except TimeoutError:
            self._log_state(text, f"not resolved within {self._source.timeout_s:g} s")
            return
        except OSError as error:
            self._log_state(text, f"does not resolve: {error.strerror or error}")
            return
        if not found:
            self._log_state(text, "resolves to nothing")
            return
        self._log_state(text, None)
        self._membership.set_addresses(text, [(address, port) for address in found])
        self._publish()  # report at once, without waiting for slower names


class FileSource(_PollingSource):
    """A file that other programs replace; read only when its modification time, size or inode has changed."""

    def __init__(self, source: model.Watched, host: Host = HOST) -> None:
        super().__init__(host)
        self._path, self.interval_s = source.path, source.every_s
        self._stamp: tuple[int, int, int] | None = None

    async def poll(self) -> None:
        try:
            now = os.stat(self._path)
            stamp = (now.st_mtime_ns, now.st_size, now.st_ino)
            if stamp == self._stamp:
                return
            with open(self._path, encoding="utf-8") as file:
                text = file.read(MAX_FILE_CHARS + 1)
            if len(text) > MAX_FILE_CHARS:
                raise ValueError(f"over {MAX_FILE_CHARS:,} characters")
            found = parse_address_list(text)
            if not found:
                raise ValueError("contains no address")
        except (OSError, ValueError) as error:
            reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
            self._log_state(self._path, reason)
            return
        self._stamp = stamp
        self._log_state(self._path, None)
        self._membership.set_addresses("file", found)


def make_source(source: model.Upstreams, host: Host = HOST) -> Source:
    """Creates the source that an `upstreams` section describes."""
    match source:
        case model.Static():
            return StaticSource(source, host)
        case model.Names():
            return NamesSource(source, host)
        case model.Watched():
            return FileSource(source, host)
        case model.Discovered():
            address = split_host_port(source.address)
            assert address is not None  # guaranteed by checks.py
            asked = source.mode == "ask"
            return Discovery(address, None, not asked, source.ask_within_ms / 1000, host.monotonic)
