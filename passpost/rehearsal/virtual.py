"""Runs a scenario in simulated time, with all balancers in one process.

The balancers' server, engine, upstream and discovery modules run unchanged on `SimLoop` and `Network`. The
routing decisions of the balancers can be recorded.
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
from passpost.rehearsal.loop import Process, SimLoop, StalledError
from passpost.rehearsal.model import Scenario
from passpost.rehearsal.network import Network, SimHost, SimTransport
from passpost.rehearsal.stage import Backend, BalancerHandle, Config, ConnectionEnd
from passpost.rehearsal.world import Run, World
from umberworks import interface
from umberworks.rules import Balancer

T = TypeVar("T")

Sink = Callable[[str], None]


def recording_class(base: type[Balancer], name: str, now: Callable[[], float], sink: Sink) -> type[Balancer]:
    """Derive a class that decides as `base` does and passes each routing decision to `sink` as a line."""

    class RecordingBalancer(base):  # type: ignore[misc, valid-type]
        def handle(self, event: interface.Event, at: float) -> list[interface.Action]:
            actions: list[interface.Action] = super().handle(event, at)
            for action in actions:
                match action:
                    case interface.Send(request, server, timeout):
                        sink(f"{now():.6f} {name} {request} send {server} {timeout:.3f}")
                    case interface.Cancel(request, attempt):
                        sink(f"{now():.6f} {name} {request} cancel {attempt}")
                    case interface.Refuse(request, retry_after_ms):
                        sink(f"{now():.6f} {name} {request} refuse - {retry_after_ms:.3f}")
                    case interface.Fail(request):
                        sink(f"{now():.6f} {name} {request} fail -")
            return actions

    return RecordingBalancer


class _SimulatedBalancer(BalancerHandle):
    def __init__(
        self, backend: VirtualBackend, process: Process, on_exit: Callable[[int | None], None]
    ) -> None:
        self._backend, self._process, self._on_exit = backend, process, on_exit
        self.node: Node | Sidecar | None = None

    def terminate(self) -> None:
        if self.alive and self.node is not None:
            node = self.node

            async def stop() -> None:
                try:
                    await node.stop()
                except Exception as error:
                    self._backend.faults.append(f"{self._process.name}: {error!r} on SIGTERM")
                    self._exited(1)
                else:
                    self._exited(0)

            self._backend.loop.run_as(self._process, lambda: self._backend.loop.create_task(stop()))

    def interrupt(self) -> None:
        self.terminate()

    def reload_invalid(self) -> None:
        if self.alive and isinstance(self.node, Node):
            self._backend.loop.run_as(self._process, self.node.reload_failed)

    def reload(self, config: Config) -> None:
        if not self.alive:
            return

        def apply_config() -> None:
            if isinstance(self.node, Sidecar):
                assert isinstance(config, File)
                self.node.reload(config)
            elif self.node is not None:
                assert isinstance(config, dict)
                self.node.reload(platform.read(config))

        self._backend.loop.run_as(self._process, apply_config)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self._backend.remove_process(self._process)

    def _exited(self, status: int) -> None:
        if self.alive:
            self.alive = False
            self._backend.remove_process(self._process)
            self._on_exit(status)


class VirtualBackend(Backend):
    """The backend with a simulated clock, network and processes."""

    simulated = True

    def __init__(
        self, scenario: Scenario, seed: int, sink: Sink | None = None, module: type[Balancer] = Balancer
    ) -> None:
        self.loop = SimLoop(seed)  # type: ignore[abstract]  # balancers use none of its missing methods
        network_settings = scenario.network
        self.simulated_network = Network(
            self.loop,
            seed,
            network_settings.latency_ms / 1000,
            network_settings.jitter_ms / 1000,
            network_settings.split,
        )
        self.host = SimHost(self.simulated_network, self.loop.world)
        self._seed, self._sink, self._module = seed, sink, module
        self._processes: dict[str, Process] = {}
        self._last_port = 7_000
        self.faults: list[str] = []

    def now(self) -> float:
        return self.loop.time()

    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        process = self._processes.get(machine)
        if process is None:
            process = self._processes[machine] = Process(machine)
            self.loop.processes.append(process)
        return self.loop.run_as(process, call)

    def launch(self, name: str, config: Config, on_exit: Callable[[int | None], None]) -> BalancerHandle:
        process = self._processes[name] = Process(name)
        self.loop.processes.append(process)
        running = _SimulatedBalancer(self, process, on_exit)
        module = self._module
        if self._sink is not None:
            module = recording_class(module, name, self.now, self._sink)

        host, seed = SimHost(self.simulated_network, process), f"{self._seed} {name} {self.now()}"

        def start() -> None:
            try:
                if isinstance(config, File):
                    running.node = carried.start_sidecar(config, seed, host, module)
                else:
                    running.node = Node(platform.read(config), host, module)
            except Exception as error:
                self.faults.append(f"{name} did not start: {error!r}")
                running._exited(1)

        self.loop.run_as(process, lambda: self.loop.call_soon(start))
        return running

    def free_address(self) -> Address:
        self._last_port += 1
        return "127.0.0.1", self._last_port

    def remove_process(self, process: Process) -> None:
        """Remove a dead process: none of its callbacks run any more, and its connections are reset."""
        self.loop.kill(process)
        self.simulated_network.drop_process(process)
        if self._processes.get(process.name) is process:
            del self._processes[process.name]

    def kill(self, machine: str) -> None:
        if (process := self._processes.get(machine)) is not None:
            self.remove_process(process)

    def pause(self, machine: str, on: bool) -> None:
        process = self._processes.get(machine)
        if process is not None:
            if on:
                self.loop.pause(process)
            else:
                self.loop.resume(process)

    def partition(self, a: str, b: str, on: bool) -> None:
        (self.simulated_network.partition if on else self.simulated_network.heal)(a, b)

    def delay(self, machine: str, seconds: float) -> None:
        self.simulated_network.extra_latency_s[machine] = (
            self.simulated_network.extra_latency_s.get(machine, 0.0) + seconds
        )

    def delay_connections(self, machine: str, seconds: float) -> None:
        delays = self.simulated_network.connect_delay_s
        delays[machine] = delays.get(machine, 0.0) + seconds

    def set_clock(self, machine: str, offset_s: float) -> None:
        if (process := self._processes.get(machine)) is not None:
            process.wall_offset_s += offset_s

    def unix_ms(self) -> float:
        return self.host.unix() * 1000

    def written_at(self, transport: asyncio.BaseTransport) -> float:
        assert isinstance(transport, SimTransport)
        return transport.endpoint.sent_at

    def closed_before_read(self, transport: asyncio.BaseTransport, connection_end: ConnectionEnd) -> bool:
        assert isinstance(transport, SimTransport)
        return transport.endpoint.in_flight_bytes > 0  # in transit, or unread when the peer closed


class _FaultCollector(logging.Handler):
    """Records errors that the balancers log as faults of the run; other log records are dropped."""

    def __init__(self, backend: VirtualBackend) -> None:
        super().__init__(logging.ERROR)
        self._backend = backend

    def emit(self, record: logging.LogRecord) -> None:
        text = f"{self._backend.loop.current.name}: {record.getMessage()}"
        if record.exc_info and record.exc_info[1] is not None:
            text += f": {record.exc_info[1]!r}"
        self._backend.faults.append(text)


def play(
    scenario: Scenario,
    seed: int,
    sink: Sink | None = None,
    progress: Callable[[float], None] = lambda share: None,
    module: type[Balancer] = Balancer,
    file: File | None = None,
) -> Run:
    """Run a scenario in simulated time. `file` replaces the operator's file that the scenario names."""
    started_at = time.perf_counter()
    backend = VirtualBackend(scenario, seed, sink, module)
    world = World(backend, scenario, seed, progress, file)
    log, handler = logging.getLogger("passpost"), _FaultCollector(backend)
    propagated = log.propagate
    log.addHandler(handler)
    log.propagate = False
    try:
        result = backend.loop.run(world.simulate())
    except StalledError as error:
        result = world.run
        result.faults.append(str(error))
        result.requests, result.violations = world.clients.requests, world.checker.violations
        result.ended_at = backend.now()
    finally:
        log.removeHandler(handler)
        log.propagate = propagated
    result.faults += backend.faults + backend.loop.faults
    result.wall_s = time.perf_counter() - started_at
    return result
