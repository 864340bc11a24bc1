"""The sidecar itself: every application of an operator's file, each by the engine and module of the platform.

A reload builds all that is new first; only when nothing of it has failed does anything change. Requests that are
open then are answered by the engine that took them, with the classes and limits under which they were taken.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import secrets
from collections.abc import Callable, Mapping

import msgspec

from passpost.callers.listener import Server
from passpost.engine import Engine
from passpost.host import HOST, Address, Host
from passpost.http1 import Answer
from passpost.operator import sources
from passpost.operator.callers import RequestClassifier, max_body_bytes
from passpost.operator.checks import connection_limits, findings, split_host_port
from passpost.operator.diff import Change, difference
from passpost.operator.model import Application, File
from passpost.operator.probe import SERVER_HEADER_PREFIX
from passpost.operator.reader import Problem, UnreadableError, load
from passpost.operator.settings import settings
from passpost.upstreams.pool import Upstreams
from umberworks.interface import ListKind, ListUpdate, Member, Outcome, Readiness
from umberworks.rules import Balancer

log = logging.getLogger("passpost")

ANSWER_GRACE_S = 0.016  # a time-out cut to the deadline may come this much late, as on the platform
SHUTDOWN_MARGIN_S = 0.5  # between the last deadline and the end
TOO_LONG = Answer(502, [], b"the answer is longer than limits.body_mb", False)


class InvalidFileError(Exception):
    """A file that can't be run; `problems` has all reasons, each with its line."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {len(problems)} mistakes" if len(problems) != 1 else f"{path}: 1 mistake")
        self.path, self.problems = path, problems


def load_valid_file(path: str) -> File:
    """A file that is fit to run; raises UnreadableError or UnusableError."""
    reading = load(path)
    found = findings(reading)
    errors = [p for p in found if not p.warning]
    if errors or reading.file is None:
        raise InvalidFileError(path, errors)
    for problem in found:
        log.warning("%s:%d: %s: %s", path, problem.line, problem.key, problem.text)
    return reading.file


def classify_answer(answer: Answer) -> Outcome:
    """What an ordinary server's answer means.

    What it says of the request itself (2xx, 3xx, 4xx) is its answer. 5xx is a failure that may have run, and so
    is 429: that trying again is harmless only the module may say, and a server's word for it can't be checked.
    """
    if answer.status in (503, 504) and any(
        n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers
    ):
        return Outcome.TURNED_AWAY
    return Outcome.ERROR if answer.status >= 500 or answer.status == 429 else Outcome.SERVED


class ServedApplication:
    """One application: its listener, its connections, and the engine that takes its requests now."""

    def __init__(
        self,
        application: Application,
        file: File,
        environment: Mapping[str, str],
        host: Host,
        module: type[Balancer] = Balancer,
        draw: Callable[[int], int] = secrets.randbits,
    ) -> None:
        self.application, self._host, self._module, self._draw = application, host, module, draw
        self._members: dict[str, Member] = {}
        self._addresses: dict[str, Address] = {}
        self._older: list[Engine] = []  # that still have requests open
        callers, upstreams = connection_limits(file)
        share = max(len(file.applications), 1)
        longest, kept = max_body_bytes(file), file.limits.body_kb * 1024
        self.upstreams = Upstreams(
            application.connect_ms / 1000,
            application.idle_s,
            upstreams // share,
            host,
            classify_answer,
            longest,
            kept,
            TOO_LONG,
        )
        self.source = sources.make_source(application.upstreams, host)
        self.engine = self._engine(application)
        address = split_host_port(application.listen)
        assert address is not None  # checked
        self.server = Server(
            self.engine,
            address,
            callers // share,
            host,
            RequestClassifier(application, file, f"{draw(32):08x}", environment),
            longest,
            f"{SERVER_HEADER_PREFIX}{application.name}".encode(),
            kept,
        )

    def _engine(self, application: Application) -> Engine:
        return Engine(
            settings(application),
            self._draw(64),
            self.upstreams,
            lambda: self.source.subscribe(),
            ANSWER_GRACE_S,
            self._host,
            self._module,
            keeps_failures=True,
            lasting=True,
        )

    def start(self) -> None:
        """Serve from now on."""
        self.upstreams.start()
        self.source.start(self._listed)
        self.server.start()

    def _listed(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        """News of the list, for every engine that may still send."""
        if update.kind is ListKind.SAVED:  # a source begins: what the last one told stands until it tells
            update = ListUpdate(ListKind.SAVED, (*self._members.values(), *update.members))
            addresses = self._addresses | addresses
        if update.kind is not ListKind.FAILED:
            if update.kind is ListKind.WHOLE:
                self._members.clear()
            for member in update.members:
                self._members[member.server] = member
            self._members = {k: m for k, m in self._members.items() if m.readiness is not Readiness.GONE}
            self._addresses = addresses
        self._older = [engine for engine in self._older if not engine.is_idle()]
        for engine in (self.engine, *self._older):
            engine.listed(update, addresses)

    def prepare(
        self, application: Application, file: File, environment: Mapping[str, str]
    ) -> Callable[[], None]:
        """Build what a changed application needs; the result takes it over, and can't fail."""
        engine = self._engine(application)
        callers = RequestClassifier(application, file, f"{self._draw(32):08x}", environment)
        source = None
        if application.upstreams != self.application.upstreams:
            source = sources.make_source(application.upstreams, self._host)

        def take_over() -> None:
            self.application = application
            if source is not None:  # before the new engine, which asks its source at once
                self.source.stop()
                self.source = source
            if self._members:
                members = tuple(self._members.values())
                engine.listed(ListUpdate(ListKind.SAVED, members), self._addresses)
            self._older = [e for e in (*self._older, self.engine) if not e.is_idle()]
            self.engine = self.server.engine = engine
            self.server.check = callers
            if source is not None:
                source.start(self._listed)  # its first list takes the place of the last one

        return take_over

    async def stop(self, file: File) -> None:
        """Answer what was taken, then close everything."""
        longest = max(c.deadline_ms for c in self.application.classes) / 1000
        await self.server.drain(file.drain.serve_s + longest + SHUTDOWN_MARGIN_S, longest + SHUTDOWN_MARGIN_S)
        self.source.stop()
        self.upstreams.stop()


class Sidecar:
    """All applications of a file, in one process. `draw` gives random bits, which a rehearsal gives by a seed."""

    def __init__(
        self,
        file: File,
        environment: Mapping[str, str],
        host: Host = HOST,
        module: type[Balancer] = Balancer,
        draw: Callable[[int], int] = secrets.randbits,
    ) -> None:
        self.file, self._environment, self._host, self._module = file, environment, host, module
        self._draw = draw
        self.process_share: Callable[[File], File] = lambda file: file
        self.served: dict[str, ServedApplication] = {}
        self._leaving: set[asyncio.Task[None]] = set()
        try:
            for application in file.applications:
                self.served[application.name] = ServedApplication(
                    application, file, environment, host, module, draw
                )
        except Exception:
            for carried in self.served.values():
                carried.server.close()
            raise

    def start(self) -> None:
        """Serve from now on."""
        for carried in self.served.values():
            carried.start()

    def reload(self, file: File) -> list[Change]:
        """Take over another file, all of it that can be taken at once or nothing; the result is what changes.

        Raises OSError or ValueError, and has changed nothing, if a listener or a header can't be had.
        """
        changes = difference(self.file, file)
        # Pools and listeners are as large as they were made: limits wait for a restart, whatever else changes.
        file = msgspec.structs.replace(file, limits=self.file.limits)
        wanted = {a.name: a for a in file.applications}
        added: dict[str, ServedApplication] = {}
        swaps: list[Callable[[], None]] = []
        try:
            for name, application in wanted.items():
                known = self.served.get(name)
                if known is None:
                    added[name] = ServedApplication(
                        application, file, self._environment, self._host, self._module, self._draw
                    )
                elif application != known.application or file.health != self.file.health:
                    swaps.append(known.prepare(application, file, self._environment))
        except Exception:
            for carried in added.values():
                carried.server.close()
            raise
        for swap in swaps:
            swap()
        for name in [n for n in self.served if n not in wanted]:
            task = asyncio.get_running_loop().create_task(self.served.pop(name).stop(self.file))
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)
        for name, carried in added.items():
            self.served[name] = carried
            carried.start()
        self.file = file
        return changes

    async def stop(self) -> None:
        """Answer what was taken, then close everything."""
        await asyncio.gather(*(c.stop(self.file) for c in self.served.values()), *self._leaving)


class EmbeddedSidecar:
    """A sidecar beside the platform's balancer, in the same process: `python -m passpost --operator FILE`."""

    def __init__(self, path: str) -> None:
        self._path, self._sidecar = path, start(path)

    def reload(self) -> None:
        reload(self._sidecar, self._path)

    async def stop(self) -> None:
        await self._sidecar.stop()


def raise_descriptor_limit(wanted: int) -> None:
    """Let the process have so many descriptors; OSError if the machine does not."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if wanted > soft:
        if hard != resource.RLIM_INFINITY and wanted > hard:
            raise OSError(
                f"limits.descriptors: {wanted} wanted, and this process may have {hard} at the most"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def start(path: str, host: Host = HOST, part: Callable[[File], File] = lambda file: file) -> Sidecar:
    """A sidecar by the file at `path`, serving; raises UnreadableError, UnusableError, ValueError or OSError.

    `part` gives what this process has of a file, now and when it is read again.
    """
    file = part(load_valid_file(path))
    raise_descriptor_limit(file.limits.descriptors)
    sidecar = Sidecar(file, os.environ, host)
    sidecar.process_share = part
    sidecar.start()
    for application in file.applications:
        log.info("%s serves %s on %s", file.name, application.name, application.listen)
    return sidecar


RELOAD_ERRORS = (
    InvalidFileError,
    UnreadableError,
    OSError,
    ValueError,
)  # why a file read again may not be taken over


def log_rejected_reload(path: str, error: Exception) -> None:
    """Say why a file that was read again is not taken over."""
    if isinstance(error, InvalidFileError):
        for problem in error.problems:
            log.error("%s:%d: %s: %s", path, problem.line, problem.key, problem.text)
        log.error("the old configuration stays")
    else:
        log.error("the old configuration stays: %s", error)


def reload(sidecar: Sidecar, path: str) -> None:
    """Read the file again and take over what can be; a file that can't be used changes nothing."""
    try:
        changes = sidecar.reload(sidecar.process_share(load_valid_file(path)))
    except RELOAD_ERRORS as error:
        log_rejected_reload(path, error)
    else:
        for change in changes:
            log.info("%s: %s%s", change.key, change.text, " (waits for a restart)" if change.restart else "")
        log.info("configuration read again: %d changes", len(changes))
