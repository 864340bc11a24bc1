"""The supervisor process: listens, starts the workers and carries out the plan (plan.py).

The listening sockets belong to the supervisor and every worker accepts from them, so a worker that drains, ends or
crashes leaves the accept queue to the others. A worker is `passpost run` on the same file with its share of the
limits. Its standard input is a pipe from the supervisor; an end of file on it says that the supervisor has gone.
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
from passpost.workers.plan import Action, Exit, Plan, SendSignal, Start

log = logging.getLogger("passpost")

LISTENERS_VARIABLE, READY_VARIABLE, COUNT_VARIABLE = (
    "PASSPOST_LISTENERS",
    "PASSPOST_READY_FD",
    "PASSPOST_WORKERS",
)
MIN_DESCRIPTORS_PER_WORKER = 64


def worker_share(file: File, count: int) -> File:
    """A worker's share of a file: each worker counts as a balancer and gets an equal part of the limits.

    Raises ValueError if a limit is too small to be divided.
    """
    callers, upstreams = connection_limits(file)
    limits, share = file.limits, max(len(file.applications), 1)
    if limits.descriptors // count < MIN_DESCRIPTORS_PER_WORKER or min(callers, upstreams) // count < share:
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


def shutdown_times(file: File) -> tuple[float, float]:
    """The time until the kill, and the upper bound for the drain of one worker, in seconds."""
    longest = max(c.deadline_ms for a in file.applications for c in a.classes) / 1000
    return file.drain.kill_after_s, file.drain.serve_s + longest + SHUTDOWN_MARGIN_S


class PassedHost(Host):
    """A host whose listening sockets were passed by the supervisor."""

    # A worker that accepts many at once is slow for all of them, while the other workers have none.
    accepts_per_turn = 1

    def __init__(self, descriptors: Mapping[str, int]) -> None:
        self._descriptors = descriptors

    def listen(self, address: Address, backlog: int) -> Listener:
        """The supervisor's socket for this address; raises OSError if none was passed."""
        name = format_address(address)
        if name not in self._descriptors:
            raise OSError(f"no listening socket for {name} was passed")
        return socket.socket(fileno=os.dup(self._descriptors[name]))

    def release(self) -> None:
        """Close the passed descriptors once nothing else will listen: a listener lives as long as any of them."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors = {}


class Worker:
    """The parameters that a worker process gets by its environment."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self.count = int(environment[COUNT_VARIABLE])
        self.host = PassedHost(json.loads(environment[LISTENERS_VARIABLE]))
        self._ready_descriptor = int(environment[READY_VARIABLE])

    def report_ready(self) -> None:
        """Report to the supervisor that this worker serves."""
        os.write(self._ready_descriptor, b"1")
        os.close(self._ready_descriptor)

    def follow_parent(self, end: asyncio.Event) -> None:
        """Set `end` when the supervisor has gone."""
        loop = asyncio.get_running_loop()

        def check_parent() -> None:
            if not os.read(0, 1024):
                loop.remove_reader(0)
                end.set()

        loop.add_reader(0, check_parent)


class Supervisor:
    """Runs the plan with real processes."""

    def __init__(self, path: str, count: int) -> None:
        """Raises UnreadableError, InvalidFileError, ValueError or OSError, as a start without workers does."""
        self._path, self._count = path, count
        self._file = load_valid_file(path)
        worker_share(self._file, count)
        raise_descriptor_limit(self._file.limits.descriptors)
        self._sockets: dict[str, Listener] = {}
        self._open_listeners(self._file)
        self._plan = Plan(count, *shutdown_times(self._file))
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._status: asyncio.Future[int] | None = None

    def _open_listeners(self, file: File) -> None:
        """Open the listeners of the file that are not open yet; on OSError none is added."""
        opened: dict[str, Listener] = {}
        try:
            for application in file.applications:
                address = split_host_port(application.listen)
                assert address is not None  # the file has been checked
                name = format_address(address)
                if name not in self._sockets:
                    opened[name] = HOST.listen(address, BACKLOG)
        except OSError:
            for listener in opened.values():
                listener.close()
            raise
        self._sockets |= opened

    async def run(self) -> int:
        """Run until all workers have ended; returns the exit status."""
        loop = asyncio.get_running_loop()
        self._status = loop.create_future()
        signals = Signals(loop, self.reload, lambda: self._carry_out(self._plan.stop(loop.time())))
        self._carry_out(self._plan.start_all(loop.time()))
        status = await self._status
        signals.ignore()
        return status

    def reload(self) -> None:
        """Read the file again: workers apply the changes or are renewed in turn; a bad file changes nothing."""
        try:
            file = load_valid_file(self._path)
            worker_share(file, self._count)
            changes = difference(self._file, file)
            self._open_listeners(file)
        except RELOAD_ERRORS as error:
            log_rejected_reload(self._path, error)
            return
        addresses = {a.listen for a in file.applications}
        needs_renewal = addresses != {a.listen for a in self._file.applications} or any(
            c.restart for c in changes
        )
        for change in changes:
            log.info("%s: %s", change.key, change.text)
        how = "workers are renewed in turn" if needs_renewal else "workers read it in turn"
        log.info("configuration read again: %d changes%s", len(changes), f"; {how}" if changes else "")
        self._file = file
        self._plan.set_times(*shutdown_times(file))
        now = asyncio.get_running_loop().time()
        if changes:
            self._carry_out(self._plan.renew(now) if needs_renewal else self._plan.reread_file(now))

    def _close_listeners(self) -> None:
        """Close the listeners, as nobody would accept what arrives here after the last worker has ended."""
        for listener in self._sockets.values():
            listener.close()
        self._sockets.clear()

    # ---- actions of the plan

    def _carry_out(self, actions: list[Action]) -> None:
        loop = asyncio.get_running_loop()
        for action in actions:
            match action:
                case Start(slot):
                    task = loop.create_task(self._supervise_worker(slot))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case SendSignal(slot, signal_number):
                    process = self._processes.get(slot)
                    if process is not None and process.returncode is None:
                        process.send_signal(signal_number)
                case Exit(status):
                    if self._status is not None and not self._status.done():
                        self._status.set_result(status)
        if self._plan.starts_no_more():
            self._close_listeners()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if (at := self._plan.next_at()) is not None:
            self._timer = loop.call_at(at, lambda: self._carry_out(self._plan.due_actions(loop.time())))

    async def _supervise_worker(self, slot: int) -> None:
        """Start a worker, wait for its end and report it to the plan."""
        loop = asyncio.get_running_loop()
        try:
            status = await self._run_process(slot)
        except OSError as error:
            log.error("worker %d could not be started: %s", slot + 1, error)
            status = 1
        self._processes.pop(slot, None)
        if status:
            log.warning("worker %d ended with status %d", slot + 1, status)
        self._carry_out(self._plan.worker_ended(slot, status, loop.time()))

    async def _run_process(self, slot: int) -> int:
        loop = asyncio.get_running_loop()
        reading, writing = os.pipe()
        listeners = {name: listener.fileno() for name, listener in self._sockets.items()}
        variables = {
            LISTENERS_VARIABLE: json.dumps(listeners),
            READY_VARIABLE: str(writing),
            COUNT_VARIABLE: str(self._count),
        }
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "passpost.cli",
                "run",
                self._path,
                stdin=asyncio.subprocess.PIPE,
                env=os.environ | variables,
                pass_fds=(writing, *listeners.values()),
            )
        except OSError:
            os.close(reading)
            raise
        finally:
            os.close(writing)
        self._processes[slot] = process

        def on_ready() -> None:
            loop.remove_reader(reading)
            if os.read(reading, 1):
                log.info("worker %d serves, process %d", slot + 1, process.pid)
                self._carry_out(self._plan.worker_ready(slot, loop.time()))
            os.close(reading)

        loop.add_reader(reading, on_ready)
        return await process.wait()
