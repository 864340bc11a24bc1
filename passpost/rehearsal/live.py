"""Runs a scenario in real time with real balancer processes, `python -m passpost`, on loopback.

Nodes, clients and discovery run in this process; each balancer is a process of its own with its own files.
Scenarios that need privileges on a real machine are rejected: setting a clock, and partitions and delays that
do not have nodes on one side. A node simulates its own pauses, partitions and delays. New connections to it
are therefore still established, unlike on the simulated network.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from fnmatch import fnmatchcase
from pathlib import Path
from typing import TypeVar

import uvloop

from passpost.host import HOST, Address
from passpost.operator.model import File
from passpost.operator.writer import render
from passpost.rehearsal import carried, model
from passpost.rehearsal.model import Scenario
from passpost.rehearsal.stage import Backend, BalancerHandle, Config, ConnectionEnd
from passpost.rehearsal.world import Run, World

T = TypeVar("T")

MAX_UNREAD_CLOSE_S = 0.5  # a close arrives at once on loopback; the time allows for a busy machine
EXIT_POLL_S = 0.02  # interval at which a balancer process is polled for its exit
INVALID_CONFIG = "{"  # neither JSON nor TOML
MAX_BALANCERS = 1_024  # processes on one machine, of about 20 MB each


class UnsupportedScenarioError(Exception):
    """The scenario needs something that the live backend does not support."""


def check(scenario: Scenario) -> None:
    """Raises UnsupportedScenarioError, naming the event, if a scenario can't run on the live backend."""
    nodes = set(scenario.node_names())
    if len(scenario.balancer_names()) > MAX_BALANCERS:
        raise UnsupportedScenarioError(
            f"tiers: over {MAX_BALANCERS} balancers, too many processes to play live"
        )
    for i, event in enumerate(scenario.events):
        if isinstance(event, model.Clock):
            raise UnsupportedScenarioError(
                f"events[{i}].kind: 'clock' can't be played live: setting a clock needs privileges"
            )
        if isinstance(event, model.LateConnect):
            raise UnsupportedScenarioError(
                f"events[{i}].kind: 'late-connect' can't be played live: connections on loopback come up at once"
            )
        if isinstance(event, model.Partition):
            sides = [_matching_names(side, scenario) for side in (event.a, event.b)]
            if not any(side <= nodes for side in sides):
                raise UnsupportedScenarioError(
                    f"events[{i}].a: live, one side of a partition must be nodes only"
                )
        if isinstance(event, model.Delay) and not _matching_names(event.nodes, scenario) <= nodes:
            raise UnsupportedScenarioError(f"events[{i}].nodes: live, only nodes can be delayed")
        not_pausable = {"clients", "discovery"}
        if isinstance(event, model.Pause) and _matching_names(event.nodes, scenario) & not_pausable:
            raise UnsupportedScenarioError(f"events[{i}].nodes: live, only nodes and balancers can be paused")


def _matching_names(patterns: tuple[str, ...], scenario: Scenario) -> set[str]:
    names = [*scenario.node_names(), *scenario.balancer_names(), "clients", "discovery"]
    return {n for n in names if any(fnmatchcase(n, p) for p in patterns)}


class _BalancerProcess(BalancerHandle):
    def __init__(
        self, backend: LiveBackend, name: str, config: Config, on_exit: Callable[[int | None], None]
    ) -> None:
        self._on_exit, self._backend, self._name = on_exit, backend, name
        if isinstance(config, File):
            self._path = backend.folder / f"{name}.toml"
            command, variables = ["passpost.cli", "run", str(self._path)], dict(carried.environment(config))
            if backend.workers > 1:
                command += ["--workers", str(backend.workers)]
        else:
            self._path = backend.folder / f"{name}.json"
            command, variables = ["passpost"], {"EDGE_CONFIG": str(self._path)}
        self._write(config)
        with open(backend.folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *command],
                env=os.environ | variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._poll_exit()

    def _write(self, config: Config) -> None:
        new_file = self._path.with_suffix(".new")
        new_file.write_text(
            render(config) if isinstance(config, File) else json.dumps(config), encoding="utf-8"
        )
        new_file.replace(self._path)

    def _poll_exit(self) -> None:
        if not self.alive:
            return
        status = self.process.poll()
        if status is None:
            asyncio.get_running_loop().call_later(EXIT_POLL_S, self._poll_exit)
        else:
            self.alive = False
            self._on_exit(status)

    def terminate(self) -> None:
        if self.alive:
            self.process.send_signal(signal.SIGTERM)

    def interrupt(self) -> None:
        if self.alive:
            self.process.send_signal(signal.SIGINT)

    def reload(self, config: Config) -> None:
        if self.alive:
            self._write(config)
            self.process.send_signal(signal.SIGHUP)

    def reload_invalid(self) -> None:
        if self.alive:
            self._path.write_text(INVALID_CONFIG, encoding="utf-8")
            self.process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self._backend.killed_at[self._name] = self._backend.now()
            self.process.kill()
            self.process.wait()


class LiveBackend(Backend):
    """The backend with the machine's clock, loopback and balancer processes."""

    simulated = False
    host = HOST

    def __init__(self, folder: Path, workers: int = 1) -> None:
        self.folder, self.workers = folder, workers
        self.killed_at: dict[str, float] = {}  # the latest kill of each killed balancer
        self._address_count = 0
        self._started_at = time.monotonic()
        self.running: dict[str, _BalancerProcess] = {}

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        return call()

    def launch(self, name: str, config: Config, on_exit: Callable[[int | None], None]) -> BalancerHandle:
        running = self.running[name] = _BalancerProcess(self, name, config, on_exit)
        return running

    def free_address(self) -> Address:
        # A separate address: on 127.0.0.1 an outgoing connection could take the port before the balancer.
        self._address_count += 1
        host = f"127.1.{self._address_count // 250}.{self._address_count % 250 + 1}"
        with socket.create_server((host, 0)) as reserved:
            return host, int(reserved.getsockname()[1])

    def kill(self, machine: str) -> None:
        """Does nothing: nodes run in this process and close their own connections."""

    def pause(self, machine: str, on: bool) -> None:
        running = self.running.get(machine)
        if running is not None and running.alive:
            running.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def partition(self, a: str, b: str, on: bool) -> None:
        raise AssertionError("partitions are simulated by the nodes")

    def delay(self, machine: str, seconds: float) -> None:
        raise AssertionError("delays are simulated by the nodes")

    def delay_connections(self, machine: str, seconds: float) -> None:
        raise AssertionError("check rejects scenarios with late connections")

    def set_clock(self, machine: str, offset_s: float) -> None:
        raise AssertionError("check rejects scenarios that set a clock")

    def unix_ms(self) -> float:
        return time.time() * 1000

    def written_at(self, transport: asyncio.BaseTransport) -> float:
        return self.now()

    def closed_before_read(self, transport: asyncio.BaseTransport, connection_end: ConnectionEnd) -> bool:
        # A killed balancer had not closed the connection before: a request written earlier counts as lost.
        if connection_end.written_at < self.killed_at.get(connection_end.balancer, -math.inf):
            return False
        # A close with unread bytes resets the connection. A plain close may have been sent before the bytes
        # arrived, but not long before. A complete first request on a connection is certain to have been read.
        return connection_end.known_to_peer and (
            connection_end.was_reset
            or connection_end.ended_at - connection_end.written_at < MAX_UNREAD_CLOSE_S
        )


def logged_exceptions(folder: Path) -> list[str]:
    """Uncaught exceptions with their balancers: the line after the stack of each traceback in the logs."""
    found = []
    for path in sorted(folder.glob("*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        for traceback in text.split("Traceback (most recent call last):")[1:]:
            lines = [line for line in traceback.splitlines() if line and not line.startswith(" ")]
            found.append(f"{path.stem}: {lines[0] if lines else 'an incomplete traceback'}")
    return found


def play(
    scenario: Scenario,
    seed: int,
    sink: Callable[[str], None] | None = None,
    progress: Callable[[float], None] = lambda share: None,
    workers: int = 1,
    ready_within: float | None = None,
) -> Run:
    """Run a scenario in real time.

    `sink` gets a line for each attempt that a node receives and for each refusal that a client receives.
    `workers` is the number of worker processes of a sidecar. `ready_within`: see World.
    """
    check(scenario)
    started_at = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="passpost-") as folder:

        async def run_world() -> Run:
            backend = LiveBackend(Path(folder), workers)
            world = World(backend, scenario, seed, progress, ready_within=ready_within)
            world.checker.sink = sink
            try:
                return await world.simulate()
            finally:
                for running in backend.running.values():
                    running.kill()

        result = uvloop.run(run_world())
        result.faults += logged_exceptions(Path(folder))
    result.wall_s = time.perf_counter() - started_at
    return result
