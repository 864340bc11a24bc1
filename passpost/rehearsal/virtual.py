"""Plays a night in simulated time, all balancers in this one process, each with its real parts.

The balancers' server, engine, upstream and discovery modules run as they are, on `SimLoop` and `Network`; the
module's decisions are written down on their way out.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TypeVar

from passpost import config as platform
from passpost.host import Address
from passpost.node import Node
from passpost.operator.model import File
from passpost.operator.sidecar import Sidecar
from passpost.rehearsal import carried
from passpost.rehearsal.loop import Process, SimLoop, StuckError
from passpost.rehearsal.model import Scenario
from passpost.rehearsal.network import Network, SimHost, SimTransport
from passpost.rehearsal.stage import Config, Ending, Running, Stage
from passpost.rehearsal.world import Night, World
from umberworks import interface
from umberworks.rules import Balancer

T = TypeVar("T")

Sink = Callable[[str], None]


def recorded(base: type[Balancer], name: str, now: Callable[[], float], sink: Sink) -> type[Balancer]:
    """A module that decides as `base` does and writes down each routing decision, one line for each."""

    class Recorded(base):  # type: ignore[misc, valid-type]
        def handle(self, event: interface.Event, at: float) -> list[interface.Action]:
            actions: list[interface.Action] = super().handle(event, at)
            for action in actions:
                match action:
                    case interface.Send(request, server, timeout):
                        sink(f"{now():.6f} {name} {request} send {server} {timeout:.3f}")
                    case interface.Cancel(request, attempt):
                        sink(f"{now():.6f} {name} {request} cancel {attempt}")
                    case interface.Refuse(request, away):
                        sink(f"{now():.6f} {name} {request} refuse - {away:.3f}")
                    case interface.Fail(request):
                        sink(f"{now():.6f} {name} {request} fail -")
            return actions

    return Recorded


class _Running(Running):
    def __init__(self, stage: VirtualStage, process: Process, ended: Callable[[int | None], None]) -> None:
        self._stage, self._process, self._ended = stage, process, ended
        self.node: Node | Sidecar | None = None

    def terminate(self) -> None:
        if self.alive and self.node is not None:
            node = self.node

            async def stop() -> None:
                try:
                    await node.stop()
                except Exception as error:
                    self._stage.faults.append(f"{self._process.name}: {error!r} on SIGTERM")
                    self._over(1)
                else:
                    self._over(0)

            self._stage.loop.run_as(self._process, lambda: self._stage.loop.create_task(stop()))

    def interrupt(self) -> None:
        self.terminate()

    def reload_unusable(self) -> None:
        if self.alive and isinstance(self.node, Node):
            self._stage.loop.run_as(self._process, self.node.reload_failed)

    def reload(self, config: Config) -> None:
        if not self.alive:
            return

        def take() -> None:
            if isinstance(self.node, Sidecar):
                assert isinstance(config, File)
                self.node.reload(config)
            elif self.node is not None:
                assert isinstance(config, dict)
                self.node.reload(platform.read(config))

        self._stage.loop.run_as(self._process, take)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self._stage.bury(self._process)

    def _over(self, status: int) -> None:
        if self.alive:
            self.alive = False
            self._stage.bury(self._process)
            self._ended(status)


class VirtualStage(Stage):
    """Simulated clock, network and processes."""

    exact = True

    def __init__(
        self, script: Scenario, seed: int, sink: Sink | None = None, module: type[Balancer] = Balancer
    ) -> None:
        self.loop = SimLoop(seed)  # type: ignore[abstract]  # what it lacks, no balancer uses
        wires = script.network
        self.net = Network(self.loop, seed, wires.latency_ms / 1000, wires.jitter_ms / 1000, wires.split)
        self.host = SimHost(self.net, self.loop.world)
        self._seed, self._sink, self._module = seed, sink, module
        self._processes: dict[str, Process] = {}
        self._ports = 7_000
        self.faults: list[str] = []

    def now(self) -> float:
        return self.loop.time()

    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        process = self._processes.get(machine)
        if process is None:
            process = self._processes[machine] = Process(machine)
            self.loop.processes.append(process)
        return self.loop.run_as(process, call)

    def launch(self, name: str, config: Config, ended: Callable[[int | None], None]) -> Running:
        process = self._processes[name] = Process(name)
        self.loop.processes.append(process)
        running = _Running(self, process, ended)
        module = self._module
        if self._sink is not None:
            module = recorded(module, name, self.now, self._sink)

        host, seed = SimHost(self.net, process), f"{self._seed} {name} {self.now()}"

        def start() -> None:
            try:
                if isinstance(config, File):
                    running.node = carried.start(config, seed, host, module)
                else:
                    running.node = Node(platform.read(config), host, module)
            except Exception as error:
                self.faults.append(f"{name} did not start: {error!r}")
                running._over(1)

        self.loop.run_as(process, lambda: self.loop.call_soon(start))
        return running

    def free_address(self) -> Address:
        self._ports += 1
        return "127.0.0.1", self._ports

    def bury(self, process: Process) -> None:
        """A process is dead: nothing of it runs any more, and its connections are reset."""
        self.loop.kill(process)
        self.net.vanish(process)
        if self._processes.get(process.name) is process:
            del self._processes[process.name]

    def kill(self, machine: str) -> None:
        if (process := self._processes.get(machine)) is not None:
            self.bury(process)

    def pause(self, machine: str, on: bool) -> None:
        process = self._processes.get(machine)
        if process is not None:
            if on:
                self.loop.pause(process)
            else:
                self.loop.resume(process)

    def cut(self, a: str, b: str, on: bool) -> None:
        (self.net.cut if on else self.net.heal)(a, b)

    def delay(self, machine: str, seconds: float) -> None:
        self.net.extra[machine] = self.net.extra.get(machine, 0.0) + seconds

    def set_clock(self, machine: str, by: float) -> None:
        if (process := self._processes.get(machine)) is not None:
            process.wall_offset += by

    def unix_ms(self) -> float:
        return self.host.unix() * 1000

    def written_at(self, transport: asyncio.BaseTransport) -> float:
        assert isinstance(transport, SimTransport)
        return transport.end.sent_at

    def crossed(self, transport: asyncio.BaseTransport, ending: Ending) -> bool:
        assert isinstance(transport, SimTransport)
        return transport.end.in_flight > 0  # on their way still, or unread when it closed


class _Faults(logging.Handler):
    """Errors that the balancers log are faults of the night; what else they say is dropped."""

    def __init__(self, stage: VirtualStage) -> None:
        super().__init__(logging.ERROR)
        self._stage = stage

    def emit(self, record: logging.LogRecord) -> None:
        text = f"{self._stage.loop.current.name}: {record.getMessage()}"
        if record.exc_info and record.exc_info[1] is not None:
            text += f": {record.exc_info[1]!r}"
        self._stage.faults.append(text)


def play(
    script: Scenario,
    seed: int,
    sink: Sink | None = None,
    progress: Callable[[float], None] = lambda share: None,
    module: type[Balancer] = Balancer,
    file: File | None = None,
) -> Night:
    """One whole night in simulated time. `file` takes the place of the operator's file that the script names."""
    begun = time.perf_counter()
    stage = VirtualStage(script, seed, sink, module)
    world = World(stage, script, seed, progress, file)
    log, handler = logging.getLogger("passpost"), _Faults(stage)
    before = log.propagate
    log.addHandler(handler)
    log.propagate = False
    try:
        night = stage.loop.run(world.play())
    except StuckError as error:
        night = world.night
        night.faults.append(str(error))
        night.jobs, night.breaks = world.clients.jobs, world.watch.violations
        night.ended = stage.now()
    finally:
        log.removeHandler(handler)
        log.propagate = before
    night.faults += stage.faults + stage.loop.faults
    night.wall_s = time.perf_counter() - begun
    return night
