"""The parent of the workers: it listens for them, starts them, and carries out the plan (plan.py).

The listening sockets are the parent's and each worker accepts from them: a worker that drains, ends or dies leaves
the queue to the others. A worker is `passpost run` on the same file with its part of the limits; its standard input
is a pipe from the parent, and its end tells it that the parent is gone.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import sys
from collections.abc import Mapping

import msgspec

from passpost.callers.listener import BACKLOG
from passpost.host import HOST, Address, Host, Listener
from passpost.operator.checks import connection_limits, split_host_port
from passpost.operator.diff import difference
from passpost.operator.membership import format_address
from passpost.operator.model import File
from passpost.operator.sidecar import (
    RELOAD_ERRORS,
    SHUTDOWN_MARGIN_S,
    load_valid_file,
    log_rejected_reload,
    raise_descriptor_limit,
)
from passpost.signals import Signals
from passpost.workers.plan import Action, End, Plan, Start, Tell

log = logging.getLogger("passpost")

LISTENERS, READY, COUNT = "PASSPOST_LISTENERS", "PASSPOST_READY_FD", "PASSPOST_WORKERS"
LEAST_DESCRIPTORS = 64


def divided(file: File, count: int) -> File:
    """A worker's part of a file: it counts as a balancer, and has its share of the limits.

    Raises ValueError where a limit is too small to be divided.
    """
    callers, upstreams = connection_limits(file)
    limits, share = file.limits, max(len(file.applications), 1)
    if limits.descriptors // count < LEAST_DESCRIPTORS or min(callers, upstreams) // count < share:
        raise ValueError(f"limits.descriptors: {limits.descriptors} are too few for {count} workers")
    part = msgspec.structs.replace(
        limits,
        descriptors=limits.descriptors // count,
        memory_mb=max(limits.memory_mb // count, 1),
        connections=callers // count,
        upstream_connections=upstreams // count,
    )
    applications = tuple(msgspec.structs.replace(a, balancers=a.balancers * count) for a in file.applications)
    return msgspec.structs.replace(file, limits=part, applications=applications)


def times(file: File) -> tuple[float, float]:
    """The time until the kill, and how long one worker may take to drain, in seconds."""
    longest = max(c.deadline_ms for a in file.applications for c in a.classes) / 1000
    return file.drain.kill_after_s, file.drain.serve_s + longest + SHUTDOWN_MARGIN_S


class PassedHost(Host):
    """A host whose listening sockets have been passed by the parent."""

    accepts_per_turn = 1  # the other workers want some too: who takes many is slow for all of them

    def __init__(self, descriptors: Mapping[str, int]) -> None:
        self._descriptors = descriptors

    def listen(self, address: Address, backlog: int) -> Listener:
        """The parent's socket for this address; OSError if it passed none."""
        name = format_address(address)
        if name not in self._descriptors:
            raise OSError(f"no listening socket for {name} was passed")
        return socket.socket(fileno=os.dup(self._descriptors[name]))

    def release(self) -> None:
        """Close what was passed, as nothing more is listened on: a listener ends with the last of its descriptors."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors = {}


class Worker:
    """What a worker process finds in its environment."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self.count = int(environment[COUNT])
        self.host = PassedHost(json.loads(environment[LISTENERS]))
        self._ready = int(environment[READY])

    def is_ready(self) -> None:
        """Tell the parent that we serve."""
        os.write(self._ready, b"1")
        os.close(self._ready)

    def follow_parent(self, end: asyncio.Event) -> None:
        """End when the parent is gone."""
        loop = asyncio.get_running_loop()

        def look() -> None:
            if not os.read(0, 1024):
                loop.remove_reader(0)
                end.set()

        loop.add_reader(0, look)


class Supervisor:
    """Runs the plan with processes."""

    def __init__(self, path: str, count: int) -> None:
        """Raises UnreadableError, InvalidFileError, ValueError or OSError, as a start without workers does."""
        self._path, self._count = path, count
        self._file = load_valid_file(path)
        divided(self._file, count)
        raise_descriptor_limit(self._file.limits.descriptors)
        self._sockets: dict[str, Listener] = {}
        self._listen(self._file)
        self._plan = Plan(count, *times(self._file))
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._status: asyncio.Future[int] | None = None

    def _listen(self, file: File) -> None:
        """Open what the file wants and is not open; OSError, and nothing is changed, if one can't be had."""
        opened: dict[str, Listener] = {}
        try:
            for application in file.applications:
                address = split_host_port(application.listen)
                assert address is not None  # checked
                name = format_address(address)
                if name not in self._sockets:
                    opened[name] = HOST.listen(address, BACKLOG)
        except OSError:
            for one in opened.values():
                one.close()
            raise
        self._sockets |= opened

    async def run(self) -> int:
        """Until all has ended; the exit status."""
        loop = asyncio.get_running_loop()
        self._status = loop.create_future()
        signals = Signals(loop, self.reload, lambda: self._do(self._plan.stop(loop.time())))
        self._do(self._plan.begin(loop.time()))
        status = await self._status
        signals.ignore()
        return status

    def reload(self) -> None:
        """Read the file again: workers take it over as they run, or are renewed in turn; or nothing changes."""
        try:
            file = load_valid_file(self._path)
            divided(file, self._count)
            changes = difference(self._file, file)
            self._listen(file)
        except RELOAD_ERRORS as error:
            log_rejected_reload(self._path, error)
            return
        listens = {a.listen for a in file.applications}
        renews = listens != {a.listen for a in self._file.applications} or any(c.restart for c in changes)
        for change in changes:
            log.info("%s: %s", change.key, change.text)
        how = "workers are renewed in turn" if renews else "workers read it in turn"
        log.info("configuration read again: %d changes%s", len(changes), f"; {how}" if changes else "")
        self._file = file
        self._plan.allow(*times(file))
        now = asyncio.get_running_loop().time()
        if changes:
            self._do(self._plan.renew(now) if renews else self._plan.reread(now))

    def _close_listeners(self) -> None:
        """Leave the listeners to the workers: what comes up here once the last has ended, nobody would accept."""
        for one in self._sockets.values():
            one.close()
        self._sockets.clear()

    # ---- the plan's actions

    def _do(self, actions: list[Action]) -> None:
        loop = asyncio.get_running_loop()
        for action in actions:
            match action:
                case Start(slot):
                    task = loop.create_task(self._carry(slot))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case Tell(slot, number):
                    process = self._processes.get(slot)
                    if process is not None and process.returncode is None:
                        process.send_signal(number)
                case End(status):
                    if self._status is not None and not self._status.done():
                        self._status.set_result(status)
        if self._plan.starts_none():
            self._close_listeners()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if (at := self._plan.next_at()) is not None:
            self._timer = loop.call_at(at, lambda: self._do(self._plan.due(loop.time())))

    async def _carry(self, slot: int) -> None:
        """A worker from its start to its end."""
        loop = asyncio.get_running_loop()
        try:
            status = await self._run_one(slot)
        except OSError as error:
            log.error("worker %d could not be started: %s", slot + 1, error)
            status = 1
        self._processes.pop(slot, None)
        if status:
            log.warning("worker %d ended with status %d", slot + 1, status)
        self._do(self._plan.ended(slot, status, loop.time()))

    async def _run_one(self, slot: int) -> int:
        loop = asyncio.get_running_loop()
        reading, writing = os.pipe()
        listeners = {name: one.fileno() for name, one in self._sockets.items()}
        more = {LISTENERS: json.dumps(listeners), READY: str(writing), COUNT: str(self._count)}
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "passpost.cli",
                "run",
                self._path,
                stdin=asyncio.subprocess.PIPE,
                env=os.environ | more,
                pass_fds=(writing, *listeners.values()),
            )
        except OSError:
            os.close(reading)
            raise
        finally:
            os.close(writing)
        self._processes[slot] = process

        def heard() -> None:
            loop.remove_reader(reading)
            if os.read(reading, 1):
                log.info("worker %d serves, process %d", slot + 1, process.pid)
                self._do(self._plan.ready(slot, loop.time()))
            os.close(reading)

        loop.add_reader(reading, heard)
        return await process.wait()
