"""The simulated world of one run: a scenario's fleet, clients, registry and failures on a backend."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase
from typing import Any

import msgspec

from passpost.host import Address
from passpost.operator.model import Discovered, File
from passpost.rehearsal import carried, model, platform_file
from passpost.rehearsal.clients import ClientRequest, Clients
from passpost.rehearsal.model import NodeKind, Scenario, Tier
from passpost.rehearsal.node_faults import Toggle, behaviour, slowdown
from passpost.rehearsal.nodes import IdempotencyKeys, Node
from passpost.rehearsal.registry import Registry, RegistryEntry
from passpost.rehearsal.speech import RequestFormat
from passpost.rehearsal.stage import Backend, BalancerHandle, Config
from passpost.rehearsal.watch import InvariantChecker, Violation

READY_TIMEOUT_S = 20.0  # a balancer that is not ready by then never will be; the run ends with a fault
SAMPLE_INTERVAL_S = 0.5
KILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM no sooner than after the longest deadline plus this margin
MAX_DEADLINE_COUNTED_S = 3.0  # upper bound of the longest deadline in that sum


@dataclass
class Sample:
    """State of the fleet at one moment; `ready` is the number of balancers that get client connections."""

    at: float
    requests_by_node: dict[str, int]
    ready: int


@dataclass
class Run:
    """The result of one run of a scenario. Times are in seconds of simulation time."""

    scenario: Scenario
    seed: int
    requests: list[ClientRequest] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # faults of the program: crashes and uncaught errors
    samples: list[Sample] = field(default_factory=list)
    log: list[tuple[float, str]] = field(default_factory=list)  # (time, text) of each event that was applied
    attempts: int = 0
    left_waiting: int = 0  # clients that hung up while no attempt was open for their request
    sent_after: int = 0  # of these, requests that were sent on 0.3 s later or after that
    started_at: float = 0.0
    ended_at: float = 0.0
    wall_s: float = 0.0

    def is_good(self) -> bool:
        """Whether there is no violation and no fault."""
        return not self.violations and not self.faults


@dataclass
class _NodeHost:
    """A host of the fleet: the node process on it, and the addresses by balancer, which outlive that process."""

    tier: Tier
    kind: NodeKind
    number: int
    node: Node | None = None
    name: str = ""
    addresses: dict[str, Address] = field(default_factory=dict)
    start_count: int = 0
    entry: RegistryEntry | None = None

    def cell(self) -> int:
        """The number of its cell."""
        return self.number // self.tier.cell_size


class World:
    """Builds the fleet of a scenario and runs the scenario."""

    def __init__(
        self,
        backend: Backend,
        scenario: Scenario,
        seed: int,
        progress: Callable[[float], None],
        file: File | None = None,
        ready_within: float | None = None,
    ) -> None:
        """`ready_within`: seconds from its start to readiness allowed for a first-tier balancer; None: no check."""
        speech = RequestFormat()
        if scenario.sidecar is not None:
            file = file or carried.read_operator_file(scenario.sidecar.file)
            scenario, speech = carried.merge_operator_file(scenario, file), carried.speech(scenario, file)
        self._operator_file, self._speech = file, speech
        self.backend, self.scenario, self.seed, self._report_progress = backend, scenario, seed, progress
        self.checker = InvariantChecker(scenario.contract)
        self.run = Run(scenario, seed)
        self._random = random.Random(f"world {seed}")
        self._classes = {c.name: c for c in scenario.classes}
        self._idempotency_keys = IdempotencyKeys()
        self._tier_index = {t.name: i for i, t in enumerate(scenario.tiers)}
        self._host_by_node: dict[str, _NodeHost] = {}  # by node name; the name of a replaced node stays
        self._hosts: list[_NodeHost] = []
        self._balancers: dict[str, BalancerHandle] = {}
        self._addresses: dict[str, Address] = {}
        self._configs: dict[str, Config] = {}
        self._tier_of_balancer: dict[str, int] = {}
        self._excuses: list[tuple[str, float, float, str]] = []  # balancer, from, until, reason
        self._finished = False
        self._ready_within_s = ready_within
        self._launched_at: dict[str, float] = {}  # time of the last start of each balancer
        self._stop_sent_at: dict[str, float] = {}  # time of the last SIGTERM of each balancer
        self.registry = Registry(
            backend,
            self.checker,
            scenario.discovery,
            scenario.contract.ask_within_ms / 1000,
            seed,
            self._address_of,
            lambda balancer: scenario.tiers[self._tier_of_balancer[balancer]].name,
        )
        self.registry.is_reachable = lambda balancer, since: not self._excuse_for(balancer, since)
        self.clients = Clients(backend, self.checker, scenario, seed, self._excuse_for, speech)

    # ---- building and running

    async def simulate(self) -> Run:
        """Run the whole scenario and return its result."""
        backend, scenario = self.backend, self.scenario
        # Last tier first: a node's own balancer starts with the list of the tier that it calls.
        for tier in reversed(scenario.tiers):
            for kind in tier.kinds:
                for i in range(kind.count):
                    node_host = _NodeHost(tier, kind, len(self._hosts))
                    self._hosts.append(node_host)
                    name = f"{tier.name}-{kind.name}-{i + 1}"
                    node_host.entry = RegistryEntry(
                        name, tier.name, "active", node_host.cell(), 0.0, -math.inf
                    )
                    self.registry.add(replace(node_host.entry))
                    self._start_node(node_host, name, cold=False)
        for i in range(scenario.tiers[0].balancers):
            name = f"b{i + 1}"
            self._tier_of_balancer[name] = 0
            self._launch_balancer(name)
            self.clients.front.addresses[name] = self._addresses[name]
        first_tier_balancers = [f"b{i + 1}" for i in range(scenario.tiers[0].balancers)]
        for name in first_tier_balancers:
            backend.run_as("clients", lambda name=name: self.clients.front.balancer_started(name))  # type: ignore[misc]
        waited_s = 0.0
        while not all(self.clients.front.is_ready(n) for n in first_tier_balancers):
            await asyncio.sleep(0.05)
            waited_s += 0.05
            if waited_s > READY_TIMEOUT_S:
                self.run.faults.append("the balancers did not get ready")
                return self._finish()
        started_at = self.run.started_at = backend.now()
        backend.run_as("clients", lambda: self.clients.start(scenario.length_s))
        for event in scenario.events:
            self._call_at(started_at + event.at_s, lambda event=event: self._apply_event(event))  # type: ignore[misc]
        self._take_sample()
        longest_deadline_s = max(c.deadline_ms for c in scenario.classes) / 1000
        end_at = started_at + scenario.length_s
        while backend.now() < end_at or (
            not self.clients.is_finished() and backend.now() < end_at + longest_deadline_s + 1.0
        ):
            await asyncio.sleep(0.25)
            self._report_progress(min((backend.now() - started_at) / scenario.length_s, 1.0))
        if self._ready_within_s is not None:
            await self._wait_until_ready(first_tier_balancers, self._ready_within_s)
        if self.clients.open_count:
            self.run.faults.append(f"{self.clients.open_count} requests never ended")
        return self._finish()

    async def _wait_until_ready(self, first_tier_balancers: list[str], within_s: float) -> None:
        """Wait for balancers that are still stopping or starting; one that takes too long to start is a fault."""
        waiting = first_tier_balancers
        while waiting := [name for name in waiting if not self.clients.front.is_ready(name)]:
            now = self.backend.now()
            for name in waiting:
                launched_at = self._launched_at[name]
                if launched_at > self._stop_sent_at.get(name, -math.inf) and now > launched_at + within_s:
                    self.run.faults.append(f"{name} was not ready {within_s:g} s after its start")
                    return
            await asyncio.sleep(0.05)

    def _finish(self) -> Run:
        self._finished = True
        run = self.run
        for name, running in list(self._balancers.items()):
            if running.alive:
                running.kill()
            self._balancers.pop(name, None)
        for node_host in self._hosts:
            if node_host.node is not None:
                self.backend.run_as(node_host.name, node_host.node.close)
        self.checker.run_ended(self.backend.now())
        run.requests, run.violations = self.clients.requests, self.checker.violations
        run.left_waiting, run.sent_after = self.checker.left_waiting, self.checker.sent_after
        run.attempts, run.ended_at = self.checker.attempts, self.backend.now()
        return run

    def _call_at(self, due_at: float, callback: Callable[[], None]) -> None:
        def run_callback() -> None:
            if not self._finished:
                callback()

        asyncio.get_running_loop().call_later(max(due_at - self.backend.now(), 0.0), run_callback)

    def _call_after(self, seconds: float, callback: Callable[[], None]) -> None:
        self._call_at(self.backend.now() + seconds, callback)

    def _log_event(self, text: str) -> None:
        self.run.log.append((self.backend.now(), text))

    def _start_node(self, node_host: _NodeHost, name: str, cold: bool) -> None:
        """Start a node process on a host, and its own balancer if there is a next tier."""
        node_host.name, node_host.start_count = name, node_host.start_count + 1
        self._host_by_node[name] = node_host
        node = node_host.node = self.backend.run_as(
            name,
            lambda: Node(
                self.backend,
                self.checker,
                name,
                node_host.tier,
                node_host.kind,
                self.scenario.contract,
                self._classes,
                self._idempotency_keys,
                self.seed,
                cold,
                self._speech if node_host.tier is self.scenario.tiers[0] else RequestFormat(),
                node_host.cell(),
            ),
        )
        node.excuse_for = self._excuse_for  # type: ignore[method-assign]
        for balancer, address in list(node_host.addresses.items()):
            self.backend.run_as(name, lambda b=balancer, a=address: node.listen(b, a))  # type: ignore[misc]
        tier = self._tier_index[node_host.tier.name]
        if tier + 1 < len(self.scenario.tiers):
            balancer = f"b-{name}"
            self._tier_of_balancer[balancer] = tier + 1
            self._launch_balancer(balancer)
            node.next_tier = (balancer, self._addresses[balancer])

    def _address_of(self, name: str, balancer: str) -> Address:
        node_host = self._host_by_node[name]
        if balancer not in node_host.addresses:
            node = node_host.node
            if node is None or node_host.name != name:
                return ("127.0.0.1", 9)  # no process of this name runs there any more
            node_host.addresses[balancer] = self.backend.run_as(
                name, lambda: node.listen(balancer, ("127.0.0.1", 0))
            )
        return node_host.addresses[balancer]

    # ---- balancers

    def _launch_balancer(self, name: str) -> None:
        if name not in self._addresses:
            self._addresses[name] = self.backend.free_address()
        registry_address = self.backend.run_as("discovery", lambda: self.registry.listen_for(name))
        known_list = self.registry.balancer_started(name)
        self._launched_at[name] = self.backend.now()
        self._configs[name] = config = self._config(name, self._addresses[name], registry_address, known_list)
        self._balancers[name] = self.backend.launch(
            name, config, lambda status: self._balancer_ended(name, status)
        )

    def _config(
        self, name: str, listen: Address, registry_address: Address, known_list: dict[str, Any]
    ) -> Config:
        tier = self._tier_of_balancer[name]
        if self._operator_file is not None and tier == 0:
            return carried.sidecar_file(self._operator_file, self.scenario, listen, registry_address)
        return platform_file.configuration(
            self.scenario, tier, name, listen, registry_address, known_list, self._random.getrandbits(64)
        )

    def _balancer_ended(self, name: str, status: int | None) -> None:
        """Handle the end of a balancer; `status` is None if the simulation killed it."""
        if self._finished:
            return
        self.registry.balancer_ended(name)
        self.checker.forget_balancer(name)
        if status not in (0, None):
            self.run.faults.append(f"{name} ended with status {status}")

    def _excuse_for(self, balancer: str, since: float) -> str:
        """Return the fault that excuses a balancer for not answering a call made at `since`, or ""."""
        now = self.backend.now()
        for name, began_at, until, reason in self._excuses:
            if name == balancer and began_at <= now and until + 0.3 >= since:
                return reason
        return ""

    def _add_excuse(self, balancer: str, reason: str, seconds: float) -> None:
        now = self.backend.now()
        self._excuses = [d for d in self._excuses if d[2] > now - 60]
        self._excuses.append((balancer, now, now + seconds, reason))

    def _kill_balancer(self, name: str, reason: str) -> None:
        running = self._balancers.get(name)
        if running is not None and running.alive:
            self._add_excuse(name, reason, 5.0)
            running.kill()
            self._balancer_ended(name, None)

    # ---- events of the scenario

    def _apply_event(self, event: model.Event) -> None:
        if isinstance(event, model.NodeFault):
            for name in self._matching_names(event):
                self._apply_node_fault(event, name)
            return
        match event:
            case model.ListDown():
                self._log_event(f"the registry is unreachable for {event.for_s:g} s")
                self.registry.set_unreachable(True)
                self._call_after(event.for_s, lambda: self.registry.set_unreachable(False))
            case model.SharedSlow():
                self._log_event(f"every node {event.factor:g} times slower for {event.for_s:g} s")
                for node_host in self._hosts:
                    if event.tier in ("", node_host.tier.name) and node_host.node is not None:
                        self._apply_for(node_host.node, event.for_s, slowdown(event.factor))
            case model.Rush():
                self._log_event(f"clients send {event.factor:g} times as much for {event.for_s:g} s")
                surge = (event.factor, event.tenant)
                self.clients.rate_surges.append(surge)
                self._call_after(event.for_s, lambda: self.clients.rate_surges.remove(surge))
            case model.Partition():
                self._partition(event)
            case model.Stop():
                self._stop_balancer(event)
            case model.Kill():
                self._log_event(f"{event.balancer} killed")
                self._kill_balancer(event.balancer, "killed")
                self.backend.run_as("clients", lambda: self._front_balancer_died(event.balancer))
                if event.back_s:
                    self._call_after(event.back_s, lambda: self._relaunch_balancer(event.balancer))
            case model.Reload():
                self._reload_balancer(event.balancer)
            case model.Clock():
                self._log_event(f"{event.balancer}: wall clock set by {event.by_s:g} s")
                self.backend.set_clock(event.balancer, event.by_s)

    def _front_balancer_died(self, balancer: str) -> None:
        if balancer in self.clients.front.addresses:
            self.clients.front.balancer_died(balancer)

    def _relaunch_balancer(self, name: str) -> None:
        running = self._balancers.get(name)
        if running is not None and running.alive:
            return
        self._log_event(f"{name} starts again")
        self._launch_balancer(name)
        if name in self.clients.front.addresses:
            self.backend.run_as("clients", lambda: self.clients.front.balancer_started(name))

    def _stop_balancer(self, event: model.Stop) -> None:
        name = event.balancer
        running = self._balancers.get(name)
        if running is None or not running.alive:
            return
        self._log_event(f"{name} gets SIGTERM")
        if name in self.clients.front.addresses:
            self.backend.run_as("clients", lambda: self.clients.front.balancer_stopping(name))
        self._stop_sent_at[name] = self.backend.now()
        running.terminate()
        limit_s = (
            min(max(c.deadline_ms for c in self.scenario.classes) / 1000, MAX_DEADLINE_COUNTED_S)
            + KILL_MARGIN_S
        )
        if isinstance(self._configs[name], File) and self._operator_file is not None:
            limit_s = self._operator_file.drain.kill_after_s
        began_at = self.backend.now()
        for number, signal_name in enumerate(event.then, 1):
            self._call_after(
                number * event.every_ms / 1000,
                lambda signal_name=signal_name: self._send_signal(name, running, signal_name),  # type: ignore[misc]
            )

        def check_ended() -> None:
            if running.alive and self.backend.now() < began_at + limit_s:
                self._call_after(0.05, check_ended)
                return
            if running.alive:
                self._log_event(f"{name} did not end in time: killed")
                running.kill()
                self._balancer_ended(name, None)
            if event.back_s:
                self._call_after(event.back_s, lambda: self._relaunch_balancer(name))

        check_ended()

    def _send_signal(self, name: str, running: BalancerHandle, signal_name: str) -> None:
        """Send a further signal to a balancer that has received SIGTERM."""
        if not running.alive:
            return
        self._log_event(f"{name} gets {signal_name}")
        match signal_name:
            case "term":
                running.terminate()
            case "int":
                running.interrupt()
            case "hup":
                running.reload(self._configs[name])
            case "bad-hup":
                running.reload_invalid()

    def _reload_balancer(self, name: str) -> None:
        running = self._balancers.get(name)
        if running is None or not running.alive:
            return
        self._log_event(f"{name}: discovery moves, SIGHUP")
        host, port = self.backend.run_as("discovery", lambda: self.registry.listen_for(name))
        config = self._configs[name]
        if isinstance(config, File):
            application = config.applications[0]
            assert isinstance(application.upstreams, Discovered)
            moved = msgspec.structs.replace(application.upstreams, address=f"{host}:{port}")
            application = msgspec.structs.replace(application, upstreams=moved)
            config = msgspec.structs.replace(config, applications=(application,))
        else:
            config = config | {"discovery": f"{host}:{port}"}
        self._configs[name] = config
        running.reload(config)

    def _matching_names(self, event: model.NodeFault) -> list[str]:
        names = [p.name for p in self._hosts if p.node is not None]
        if isinstance(event, model.Pause | model.Delay):
            names += [*self._balancers, "clients", "discovery"]
        matches = [n for n in names if any(fnmatchcase(n, pattern) for pattern in event.nodes)]
        if event.count and event.count < len(matches):
            matches = sorted(self._random.sample(matches, event.count), key=names.index)
        return matches

    def _apply_for(self, node: Node, seconds: float, toggle: Toggle) -> None:
        self.backend.run_as(node.name, lambda: toggle(node, True))

        def revert() -> None:
            if not node.dead:
                self.backend.run_as(node.name, lambda: toggle(node, False))

        self._call_after(seconds, revert)

    def _apply_node_fault(self, event: model.NodeFault, name: str) -> None:
        node_host = self._host_by_node.get(name)
        node = node_host.node if node_host is not None else None
        duration = f"for {event.for_s:g} s"
        if node is not None and (fault := behaviour(event)) is not None:
            self._log_event(f"{name} {fault.description} {duration}")
            self._apply_for(node, event.for_s, fault.toggle)
        match event:
            case model.Pause():
                self._log_event(f"{name} is paused {duration}")
                self._pause_process(name, node, event.for_s)
            case model.Delay():
                self._log_event(f"{name}: network delay {event.ms:g} ms longer {duration}")
                self._delay_network(name, node, event)
            case model.LateConnect():
                self._log_event(f"{name}: connections come up {event.ms:g} ms late {duration}")
                self.backend.delay_connections(name, event.ms / 1000)
                self._call_after(event.for_s, lambda: self.backend.delay_connections(name, -event.ms / 1000))
            case model.Crash() if node_host is not None and node is not None:
                self._crash_node(event, node_host)
            case model.Drain() if node_host is not None and node is not None:
                self._drain_node(event, node_host, node)

    def _pause_process(self, name: str, node: Node | None, seconds: float) -> None:
        if name in self._balancers:
            self._add_excuse(name, "paused", seconds)
        if node is not None and not self.backend.simulated:
            self._apply_for(node, seconds, lambda n, on: n.set_paused(on))
            return
        if node is not None:
            self._apply_for(node, seconds, lambda n, on: n.set_stopped(on))
            own_balancer = f"b-{name}"
            if own_balancer in self._balancers:
                self._pause_process(own_balancer, None, seconds)
        paused_since = self.backend.now()
        self.backend.pause(name, True)

        def resume() -> None:
            self.backend.pause(name, False)
            self.checker.balancer_resumed(self.backend.now(), name, paused_since)

        self._call_after(seconds, resume)

    def _delay_network(self, name: str, node: Node | None, event: model.Delay) -> None:
        for balancer in self._balancers if name in ("clients", "discovery") else (name,):
            self._add_excuse(balancer, "its network is slow", event.for_s)
        if node is not None and not self.backend.simulated:

            def add_delay(n: Node, on: bool) -> None:
                n.delay_s += event.ms / 1000 * (1 if on else -1)

            self._apply_for(node, event.for_s, add_delay)
            return
        self.backend.delay(name, event.ms / 1000)
        self._call_after(event.for_s, lambda: self.backend.delay(name, -event.ms / 1000))

    def _partition(self, event: model.Partition) -> None:
        names = [*(p.name for p in self._hosts), *self._balancers, "clients", "discovery"]
        sides = [
            [n for n in names if any(fnmatchcase(n, pattern) for pattern in side)]
            for side in (event.a, event.b)
        ]
        self._log_event(f"{', '.join(event.a)} and {', '.join(event.b)} cut off for {event.for_s:g} s")
        for name in {*sides[0], *sides[1]}:
            if name in self._balancers:
                self._add_excuse(name, "cut off", event.for_s)
        if not self.backend.simulated:  # in a live run a node that is cut off is paused for all
            nodes = next(side for side in sides if all(n in self._host_by_node for n in side))
            for name in nodes:
                if (node := self._host_by_node[name].node) is not None:
                    self._apply_for(node, event.for_s, lambda n, on: n.set_paused(on))
            return
        pairs = [(a, b) for a in sides[0] for b in sides[1] if a != b]
        for a, b in pairs:
            self.backend.partition(a, b, True)

        def heal() -> None:
            for a, b in pairs:
                self.backend.partition(a, b, False)

        self._call_after(event.for_s, heal)

    def _crash_node(self, event: model.Crash, node_host: _NodeHost) -> None:
        name = node_host.name
        self._log_event(f"{name} crashes")
        self._end_node_process(node_host)
        assert node_host.entry is not None
        self.registry.schedule_change(replace(node_host.entry, phase="left"))
        if event.back_as == "never":
            return
        next_name = name if event.back_as == "same" else f"{name}-r{node_host.start_count}"
        self._call_after(event.for_s, lambda: self._start_replacement(node_host, next_name))

    def _drain_node(self, event: model.Drain, node_host: _NodeHost, node: Node) -> None:
        name = node_host.name
        self._log_event(f"{name} drains")
        entry = node_host.entry
        assert entry is not None
        self.registry.schedule_change(replace(entry, phase="leaving"))

        def finish_drain() -> None:
            if node_host.node is not node:
                return  # the node crashed meanwhile
            self._log_event(f"{name} has left")
            self._end_node_process(node_host)
            self.registry.schedule_change(replace(entry, phase="left"))
            if event.back_s:
                self._call_after(event.back_s, lambda: self._start_replacement(node_host, name))

        self._call_after(event.for_s, finish_drain)

    def _end_node_process(self, node_host: _NodeHost) -> None:
        """End the node's process and its own balancer."""
        node, node_host.node = node_host.node, None
        assert node is not None
        self._kill_balancer(f"b-{node.name}", "its node ended")
        self.backend.run_as(node.name, node.close)
        self.backend.kill(node.name)

    def _start_replacement(self, node_host: _NodeHost, name: str) -> None:
        if node_host.node is not None:
            return
        self._log_event(f"{name} starts")
        self._start_node(node_host, name, cold=True)
        node_host.entry = RegistryEntry(
            name, node_host.tier.name, "active", node_host.cell(), self.backend.unix_ms(), self.backend.now()
        )
        self.registry.schedule_change(replace(node_host.entry))

    def _take_sample(self) -> None:
        requests_by_node = {p.name: p.node.machine.request_count for p in self._hosts if p.node is not None}
        ready = sum(self.clients.front.is_ready(n) for n in self.clients.front.addresses)
        self.run.samples.append(Sample(self.backend.now(), requests_by_node, ready))
        self._call_after(SAMPLE_INTERVAL_S, self._take_sample)
