"""Plays a night in real time against real balancer processes, `python -m passpost`, on loopback.

Nodes, clients and the list run in this process; each balancer is a process of its own with its own files.
What an ordinary user can't ask of a real machine is refused: setting a clock, and cuts and delays that do not
end at a node. A node that is paused, cut off or delayed does so itself, so that new connections to it still
come up; on simulated wires they don't.
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
from passpost.rehearsal.stage import Config, Ending, Running, Stage
from passpost.rehearsal.world import Night, World

T = TypeVar("T")

CROSSES_S = 0.5  # on loopback an end arrives at once; the rest is for a busy machine
LOOK_S = 0.02  # how soon the end of a balancer is seen
UNUSABLE = "{"  # neither JSON nor TOML
MOST_BALANCERS = 1_024  # processes on one machine, of some 20 MB each


class UnplayableError(Exception):
    """A script that needs what a live night has not."""


def check(script: Scenario) -> None:
    """Raises UnplayableError with the event that can't be played live."""
    nodes = set(script.node_names())
    if len(script.balancer_names()) > MOST_BALANCERS:
        raise UnplayableError(f"tiers: over {MOST_BALANCERS} balancers, too many processes to play live")
    for i, event in enumerate(script.events):
        if isinstance(event, model.Clock):
            raise UnplayableError(
                f"events[{i}].kind: 'clock' can't be played live, as it would need privileges"
            )
        if isinstance(event, model.Partition):
            sides = [_matching(side, script) for side in (event.a, event.b)]
            if not any(side <= nodes for side in sides):
                raise UnplayableError(f"events[{i}].a: live, one side of a partition must be nodes only")
        if isinstance(event, model.Delay) and not _matching(event.nodes, script) <= nodes:
            raise UnplayableError(f"events[{i}].nodes: live, only nodes can be delayed")
        others = {"clients", "discovery"}
        if isinstance(event, model.Pause) and _matching(event.nodes, script) & others:
            raise UnplayableError(f"events[{i}].nodes: live, only nodes and balancers can be paused")


def _matching(patterns: tuple[str, ...], script: Scenario) -> set[str]:
    names = [*script.node_names(), *script.balancer_names(), "clients", "discovery"]
    return {n for n in names if any(fnmatchcase(n, p) for p in patterns)}


class _Process(Running):
    def __init__(
        self, stage: LiveStage, name: str, config: Config, ended: Callable[[int | None], None]
    ) -> None:
        self._ended, self._stage, self._name = ended, stage, name
        if isinstance(config, File):
            self._path = stage.folder / f"{name}.toml"
            command, more = ["passpost.cli", "run", str(self._path)], dict(carried.environment(config))
            if stage.workers > 1:
                command += ["--workers", str(stage.workers)]
        else:
            self._path = stage.folder / f"{name}.json"
            command, more = ["passpost"], {"EDGE_CONFIG": str(self._path)}
        self._write(config)
        with open(stage.folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *command],
                env=os.environ | more,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._look()

    def _write(self, config: Config) -> None:
        whole = self._path.with_suffix(".new")
        whole.write_text(render(config) if isinstance(config, File) else json.dumps(config), encoding="utf-8")
        whole.replace(self._path)

    def _look(self) -> None:
        if not self.alive:
            return
        status = self.process.poll()
        if status is None:
            asyncio.get_running_loop().call_later(LOOK_S, self._look)
        else:
            self.alive = False
            self._ended(status)

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

    def reload_unusable(self) -> None:
        if self.alive:
            self._path.write_text(UNUSABLE, encoding="utf-8")
            self.process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self._stage.killed_at[self._name] = self._stage.now()
            self.process.kill()
            self.process.wait()


class LiveStage(Stage):
    """The machine's clock and loopback."""

    exact = False
    host = HOST

    def __init__(self, folder: Path, workers: int = 1) -> None:
        self.folder, self.workers = folder, workers
        self.killed_at: dict[str, float] = {}  # balancers that were killed, and when last
        self._count = 0
        self._begin = time.monotonic()
        self.running: dict[str, _Process] = {}

    def now(self) -> float:
        return time.monotonic() - self._begin

    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        return call()

    def launch(self, name: str, config: Config, ended: Callable[[int | None], None]) -> Running:
        running = self.running[name] = _Process(self, name, config, ended)
        return running

    def free_address(self) -> Address:
        # An address of its own: on 127.0.0.1 an outgoing connection could take the port before the balancer.
        self._count += 1
        host = f"127.1.{self._count // 250}.{self._count % 250 + 1}"
        with socket.create_server((host, 0)) as held:
            return host, int(held.getsockname()[1])

    def kill(self, machine: str) -> None:
        """Nodes close by themselves."""

    def pause(self, machine: str, on: bool) -> None:
        running = self.running.get(machine)
        if running is not None and running.alive:
            running.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def cut(self, a: str, b: str, on: bool) -> None:
        raise AssertionError("the world freezes nodes instead")

    def delay(self, machine: str, seconds: float) -> None:
        raise AssertionError("the world delays nodes instead")

    def set_clock(self, machine: str, by: float) -> None:
        raise AssertionError("refused by check")

    def unix_ms(self) -> float:
        return time.time() * 1000

    def written_at(self, transport: asyncio.BaseTransport) -> float:
        return self.now()

    def crossed(self, transport: asyncio.BaseTransport, ending: Ending) -> bool:
        # A balancer that was killed had closed nothing until then: what was written to it before is lost.
        if ending.written_at < self.killed_at.get(ending.balancer, -math.inf):
            return False
        # Bytes that lie unread at a close reset the connection. A plain end may have left before they came, but
        # not long before; and a whole first request on a connection is sure to have been read.
        return ending.known and (ending.was_reset or ending.ended_at - ending.written_at < CROSSES_S)


def errors_logged(folder: Path) -> list[str]:
    """Errors that nobody caught, by balancer: the last line of each traceback in its log."""
    found = []
    for path in sorted(folder.glob("*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        for traceback in text.split("Traceback (most recent call last):")[1:]:
            lines = [line for line in traceback.splitlines() if line and not line.startswith(" ")]
            found.append(f"{path.stem}: {lines[0] if lines else 'a traceback that is cut off'}")
    return found


def play(
    script: Scenario,
    seed: int,
    sink: Callable[[str], None] | None = None,
    progress: Callable[[float], None] = lambda share: None,
    workers: int = 1,
    ready_within: float | None = None,
) -> Night:
    """One whole night in real time. `sink` gets attempts as nodes see them, and refusals as clients do.

    A sidecar runs as so many `workers`; `ready_within`: see World.
    """
    check(script)
    begun = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="passpost-") as folder:

        async def night() -> Night:
            stage = LiveStage(Path(folder), workers)
            world = World(stage, script, seed, progress, ready_within=ready_within)
            world.watch.sink = sink
            try:
                return await world.play()
            finally:
                for running in stage.running.values():
                    running.kill()

        result = uvloop.run(night())
        result.faults += errors_logged(Path(folder))
    result.wall_s = time.perf_counter() - begun
    return result
