"""The sidecar: serves every application of an operator's file with the engine and module of the platform's balancer.

A reload first builds everything that is new and changes nothing if any part of that fails. Requests that are open at
a reload are answered by the engine that accepted them, with the classes and limits in force at that time.
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

ANSWER_GRACE_S = 0.016  # a timeout shortened to the deadline may fire this late, as on the platform
SHUTDOWN_MARGIN_S = 0.5  # time between the last deadline and the end of a drain
ANSWER_TOO_LONG = Answer(502, [], b"the answer is longer than limits.body_mb", False)


class InvalidFileError(Exception):
    """The file has errors and can't be run; `problems` holds all of them, each with its line."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {len(problems)} mistakes" if len(problems) != 1 else f"{path}: 1 mistake")
        self.path, self.problems = path, problems


def load_valid_file(path: str) -> File:
    """Reads a file, logs its warnings, and returns it; raises UnreadableError, or InvalidFileError if it has errors."""
    reading = load(path)
    found = findings(reading)
    errors = [p for p in found if not p.warning]
    if errors or reading.file is None:
        raise InvalidFileError(path, errors)
    for problem in found:
        log.warning("%s:%d: %s: %s", path, problem.line, problem.key, problem.text)
    return reading.file


def classify_answer(answer: Answer) -> Outcome:
    """Classifies the answer of an ordinary server.

    2xx, 3xx and 4xx concern the request itself and count as served. 5xx is an error after which the request may have
    run, and so is 429: a server's claim that a retry is harmless can't be verified, and only the decision module may
    decide that it is. A 503 or 504 with X-Turned-Away: 1 counts as turned away.
    """
    if answer.status in (503, 504) and any(
        n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers
    ):
        return Outcome.TURNED_AWAY
    return Outcome.ERROR if answer.status >= 500 or answer.status == 429 else Outcome.SERVED


class ServedApplication:
    """One application: its listener, its upstream connections, and the engine that accepts its requests at present."""

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
        # Engines that a reload has replaced and that still have open requests.
        self._replaced_engines: list[Engine] = []
        callers, upstreams = connection_limits(file)
        share = max(len(file.applications), 1)
        longest, buffered_bytes = max_body_bytes(file), file.limits.body_kb * 1024
        self.upstreams = Upstreams(
            application.connect_ms / 1000,
            application.idle_s,
            upstreams // share,
            host,
            classify_answer,
            longest,
            buffered_bytes,
            ANSWER_TOO_LONG,
        )
        self.source = sources.make_source(application.upstreams, host)
        self.engine = self._create_engine(application)
        address = split_host_port(application.listen)
        assert address is not None  # guaranteed by checks.py
        self.server = Server(
            self.engine,
            address,
            callers // share,
            host,
            RequestClassifier(application, file, f"{draw(32):08x}", environment),
            longest,
            f"{SERVER_HEADER_PREFIX}{application.name}".encode(),
            buffered_bytes,
        )

    def _create_engine(self, application: Application) -> Engine:
        return Engine(
            settings(application),
            self._draw(64),
            self.upstreams,
            lambda: self.source.subscribe(),
            ANSWER_GRACE_S,
            self._host,
            self._module,
            relay_upstream_errors=True,
            unbounded_answers=True,
        )

    def start(self) -> None:
        """Begins to serve."""
        self.upstreams.start()
        self.source.start(self._on_list_update)
        self.server.start()

    def _on_list_update(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        """Passes an update of the server list on to every engine that may still send."""
        if update.kind is ListKind.SAVED:
            # A new source starts: the previous list stays valid until the new source reports.
            update = ListUpdate(ListKind.SAVED, (*self._members.values(), *update.members))
            addresses = self._addresses | addresses
        if update.kind is not ListKind.FAILED:
            if update.kind is ListKind.WHOLE:
                self._members.clear()
            for member in update.members:
                self._members[member.server] = member
            self._members = {k: m for k, m in self._members.items() if m.readiness is not Readiness.GONE}
            self._addresses = addresses
        self._replaced_engines = [engine for engine in self._replaced_engines if not engine.is_idle()]
        for engine in (self.engine, *self._replaced_engines):
            engine.list_updated(update, addresses)

    def prepare(
        self, application: Application, file: File, environment: Mapping[str, str]
    ) -> Callable[[], None]:
        """Builds what a changed application needs; the returned function puts it into use and can't fail."""
        engine = self._create_engine(application)
        callers = RequestClassifier(application, file, f"{self._draw(32):08x}", environment)
        source = None
        if application.upstreams != self.application.upstreams:
            source = sources.make_source(application.upstreams, self._host)

        def put_into_use() -> None:
            self.application = application
            if source is not None:
                # Before the new engine is used, because an engine subscribes to its source at once.
                self.source.stop()
                self.source = source
            if self._members:
                members = tuple(self._members.values())
                engine.list_updated(ListUpdate(ListKind.SAVED, members), self._addresses)
            self._replaced_engines = [e for e in (*self._replaced_engines, self.engine) if not e.is_idle()]
            self.engine = self.server.engine = engine
            self.server.check = callers
            if source is not None:
                source.start(self._on_list_update)  # its first list replaces the previous one

        return put_into_use

    async def stop(self, file: File) -> None:
        """Answers the accepted requests, then closes everything."""
        longest = max(c.deadline_ms for c in self.application.classes) / 1000
        await self.server.drain(file.drain.serve_s + longest + SHUTDOWN_MARGIN_S, longest + SHUTDOWN_MARGIN_S)
        self.source.stop()
        self.upstreams.stop()


class Sidecar:
    """All applications of a file in one process. `draw` returns random bits; a rehearsal derives them from its seed."""

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
        self._stopping: set[asyncio.Task[None]] = set()
        try:
            for application in file.applications:
                self.served[application.name] = ServedApplication(
                    application, file, environment, host, module, draw
                )
        except Exception:
            for served_application in self.served.values():
                served_application.server.close()
            raise

    def start(self) -> None:
        """Begins to serve."""
        for served_application in self.served.values():
            served_application.start()

    def reload(self, file: File) -> list[Change]:
        """Applies everything in another file that doesn't need a restart, or nothing; returns the differences.

        Raises OSError if a listener can't be opened, or ValueError if a header can't be resolved; nothing has
        changed then.
        """
        changes = difference(self.file, file)
        # Pools and listeners keep the size that they were created with, so new limits need a restart.
        file = msgspec.structs.replace(file, limits=self.file.limits)
        wanted = {a.name: a for a in file.applications}
        added: dict[str, ServedApplication] = {}
        replacements: list[Callable[[], None]] = []
        try:
            for name, application in wanted.items():
                known = self.served.get(name)
                if known is None:
                    added[name] = ServedApplication(
                        application, file, self._environment, self._host, self._module, self._draw
                    )
                elif application != known.application or file.health != self.file.health:
                    replacements.append(known.prepare(application, file, self._environment))
        except Exception:
            for served_application in added.values():
                served_application.server.close()
            raise
        for replace_application in replacements:
            replace_application()
        for name in [n for n in self.served if n not in wanted]:
            task = asyncio.get_running_loop().create_task(self.served.pop(name).stop(self.file))
            self._stopping.add(task)
            task.add_done_callback(self._stopping.discard)
        for name, served_application in added.items():
            self.served[name] = served_application
            served_application.start()
        self.file = file
        return changes

    async def stop(self) -> None:
        """Answers the accepted requests, then closes everything."""
        await asyncio.gather(*(c.stop(self.file) for c in self.served.values()), *self._stopping)


class EmbeddedSidecar:
    """A sidecar in the same process as the platform's balancer: `python -m passpost --operator FILE`."""

    def __init__(self, path: str) -> None:
        self._path, self._sidecar = path, start(path)

    def reload(self) -> None:
        reload(self._sidecar, self._path)

    async def stop(self) -> None:
        await self._sidecar.stop()


def raise_descriptor_limit(wanted: int) -> None:
    """Raises the process's soft limit of file descriptors to `wanted`; OSError if the hard limit is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if wanted > soft:
        if hard != resource.RLIM_INFINITY and wanted > hard:
            raise OSError(
                f"limits.descriptors: {wanted} requested, but the hard limit of this process is {hard}"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def start(path: str, host: Host = HOST, process_share: Callable[[File], File] = lambda file: file) -> Sidecar:
    """Starts a sidecar for the file at `path`; raises UnreadableError, InvalidFileError, ValueError or OSError.

    `process_share` derives from a file what this process serves of it, now and after each reload.
    """
    file = process_share(load_valid_file(path))
    raise_descriptor_limit(file.limits.descriptors)
    sidecar = Sidecar(file, os.environ, host)
    sidecar.process_share = process_share
    sidecar.start()
    for application in file.applications:
        log.info("%s serves %s on %s", file.name, application.name, application.listen)
    return sidecar


# Errors after which a reload keeps the old configuration.
RELOAD_ERRORS = (InvalidFileError, UnreadableError, OSError, ValueError)


def log_rejected_reload(path: str, error: Exception) -> None:
    """Logs why a file that was read again is not applied."""
    if isinstance(error, InvalidFileError):
        for problem in error.problems:
            log.error("%s:%d: %s: %s", path, problem.line, problem.key, problem.text)
        log.error("the old configuration stays")
    else:
        log.error("the old configuration stays: %s", error)


def reload(sidecar: Sidecar, path: str) -> None:
    """Reads the file again and applies what doesn't need a restart; a file that can't be used changes nothing."""
    try:
        changes = sidecar.reload(sidecar.process_share(load_valid_file(path)))
    except RELOAD_ERRORS as error:
        log_rejected_reload(path, error)
    else:
        for change in changes:
            log.info("%s: %s%s", change.key, change.text, " (waits for a restart)" if change.restart else "")
        log.info("configuration read again: %d changes", len(changes))
