"""One night: the script's fleet, clients, list and failures, played on a stage."""

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
from passpost.rehearsal.clients import Clients, Job
from passpost.rehearsal.model import NodeKind, Scenario, Tier
from passpost.rehearsal.nodes import Effects, Node
from passpost.rehearsal.registry import Entry, Registry
from passpost.rehearsal.speech import Speech
from passpost.rehearsal.stage import Config, Running, Stage
from passpost.rehearsal.watch import InvariantChecker, Violation

WARM_UP_S = 20.0  # balancers that are not ready by then never will be
SAMPLE_S = 0.5
KILL_AFTER_S = 0.7  # SIGKILL follows SIGTERM no sooner than the longest deadline and this ...
LONGEST_S = 3.0  # ... of which so much counts at most


@dataclass
class Sample:
    """The state of the fleet at a moment: jobs inside each node."""

    at: float
    holding: dict[str, int]
    ready: int


@dataclass
class Night:
    """What came of a night."""

    script: Scenario
    seed: int
    jobs: list[Job] = field(default_factory=list)
    breaks: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # of the program: a crash, an error that nobody caught
    samples: list[Sample] = field(default_factory=list)
    log: list[tuple[float, str]] = field(default_factory=list)  # what the script did
    attempts: int = 0
    left_waiting: int = 0  # clients that hung up while nothing was out for their request
    sent_after: int = 0  # of these, those that were sent for 0.3 s later or after that
    began: float = 0.0
    ended: float = 0.0
    wall_s: float = 0.0

    def is_good(self) -> bool:
        """Whether no rule was broken and nothing crashed."""
        return not self.breaks and not self.faults


@dataclass
class _Place:
    """A node's place in the fleet: who stands there, and its addresses, which outlive it."""

    tier: Tier
    kind: NodeKind
    number: int
    node: Node | None = None
    name: str = ""
    addresses: dict[str, Address] = field(default_factory=dict)
    starts: int = 0
    entry: Entry | None = None


class World:
    """Builds the night and plays it."""

    def __init__(
        self,
        stage: Stage,
        script: Scenario,
        seed: int,
        progress: Callable[[float], None],
        file: File | None = None,
        ready_within: float | None = None,
    ) -> None:
        """`ready_within`: seconds after its start in which each front has to be ready; None: not looked at."""
        speech = Speech()
        if script.sidecar is not None:
            file = file or carried.read(script.sidecar.file)
            script, speech = carried.merged(script, file), carried.speech(script, file)
        self._file, self._speech = file, speech
        self.stage, self.script, self.seed, self._progress = stage, script, seed, progress
        self.watch = InvariantChecker(script.contract)
        self.night = Night(script, seed)
        self._random = random.Random(f"world {seed}")
        self._classes = {c.name: c for c in script.classes}
        self._effects = Effects()
        self._tiers = {t.name: i for i, t in enumerate(script.tiers)}
        self._places: dict[str, _Place] = {}  # by the name of who stands there now
        self._all_places: list[_Place] = []
        self._balancers: dict[str, Running] = {}
        self._addresses: dict[str, Address] = {}
        self._configs: dict[str, Config] = {}
        self._tier_of_balancer: dict[str, int] = {}
        self._downs: list[tuple[str, float, float, str]] = []  # excuses: balancer, from, until, why
        self._over = False
        self._ready_within = ready_within
        self._launched: dict[str, float] = {}  # when each balancer was last started ...
        self._stopped: dict[str, float] = {}  # ... and last told to stop
        self.registry = Registry(
            stage,
            self.watch,
            script.discovery,
            script.contract.ask_within_ms / 1000,
            seed,
            self._address_of,
            lambda balancer: script.tiers[self._tier_of_balancer[balancer]].name,
        )
        self.registry.reachable = lambda balancer, since: not self._excuse(balancer, since)
        self.clients = Clients(stage, self.watch, script, seed, self._excuse, speech)

    # ---- building

    async def play(self) -> Night:
        """The whole night."""
        stage, script = self.stage, self.script
        for tier in reversed(script.tiers):  # a node's own balancer knows the tier that it calls
            for kind in tier.kinds:
                for i in range(kind.count):
                    place = _Place(tier, kind, len(self._all_places))
                    self._all_places.append(place)
                    name = f"{tier.name}-{kind.name}-{i + 1}"
                    place.entry = Entry(name, tier.name, "active", place.number, 0.0, -math.inf)
                    self.registry.add(replace(place.entry))
                    self._stand(place, name, cold=False)
        for i in range(script.tiers[0].balancers):
            name = f"b{i + 1}"
            self._tier_of_balancer[name] = 0
            self._launch(name)
            self.clients.front.addresses[name] = self._addresses[name]
        fronts = [f"b{i + 1}" for i in range(script.tiers[0].balancers)]
        for name in fronts:
            stage.run_as("clients", lambda name=name: self.clients.front.started(name))  # type: ignore[misc]
        waited = 0.0
        while not all(self.clients.front.is_ready(n) for n in fronts):
            await asyncio.sleep(0.05)
            waited += 0.05
            if waited > WARM_UP_S:
                self.night.faults.append("the balancers did not get ready")
                return self._finish()
        begin = self.night.began = stage.now()
        stage.run_as("clients", lambda: self.clients.start(script.length_s))
        for event in script.events:
            self._at(begin + event.at_s, lambda event=event: self._happen(event))  # type: ignore[misc]
        self._sample()
        longest = max(c.deadline_ms for c in script.classes) / 1000
        end = begin + script.length_s
        while stage.now() < end or (not self.clients.is_over() and stage.now() < end + longest + 1.0):
            await asyncio.sleep(0.25)
            self._progress(min((stage.now() - begin) / script.length_s, 1.0))
        if self._ready_within is not None:
            await self._until_ready(fronts, self._ready_within)
        if self.clients.open:
            self.night.faults.append(f"{self.clients.open} requests never ended")
        return self._finish()

    async def _until_ready(self, fronts: list[str], within: float) -> None:
        """Wait for balancers that are stopping or starting still; one that takes too long is a fault."""
        waiting = fronts
        while waiting := [name for name in waiting if not self.clients.front.is_ready(name)]:
            now = self.stage.now()
            for name in waiting:
                started = self._launched[name]
                if started > self._stopped.get(name, -math.inf) and now > started + within:
                    self.night.faults.append(f"{name} was not ready {within:g} s after its start")
                    return
            await asyncio.sleep(0.05)

    def _finish(self) -> Night:
        self._over = True
        night = self.night
        for name, running in list(self._balancers.items()):
            if running.alive:
                running.kill()
            self._balancers.pop(name, None)
        for place in self._all_places:
            if place.node is not None:
                self.stage.run_as(place.name, place.node.close)
        self.watch.run_ended(self.stage.now())
        night.jobs, night.breaks = self.clients.jobs, self.watch.violations
        night.left_waiting, night.sent_after = self.watch.left_waiting, self.watch.sent_after
        night.attempts, night.ended = self.watch.attempts, self.stage.now()
        return night

    def _at(self, when: float, call: Callable[[], None]) -> None:
        def due() -> None:
            if not self._over:
                call()

        asyncio.get_running_loop().call_later(max(when - self.stage.now(), 0.0), due)

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        self._at(self.stage.now() + seconds, call)

    def _say(self, text: str) -> None:
        self.night.log.append((self.stage.now(), text))

    def _stand(self, place: _Place, name: str, cold: bool) -> None:
        """A node starts at a place; its own balancer with it."""
        place.name, place.starts = name, place.starts + 1
        self._places[name] = place
        node = place.node = self.stage.run_as(
            name,
            lambda: Node(
                self.stage,
                self.watch,
                name,
                place.tier,
                place.kind,
                self.script.contract,
                self._classes,
                self._effects,
                self.seed,
                cold,
                self._speech if place.tier is self.script.tiers[0] else Speech(),
            ),
        )
        node.excuse = self._excuse  # type: ignore[method-assign]
        for balancer, address in list(place.addresses.items()):
            self.stage.run_as(name, lambda b=balancer, a=address: node.listen(b, a))  # type: ignore[misc]
        tier = self._tiers[place.tier.name]
        if tier + 1 < len(self.script.tiers):
            balancer = f"b-{name}"
            self._tier_of_balancer[balancer] = tier + 1
            self._launch(balancer)
            node.next_tier = (balancer, self._addresses[balancer])

    def _address_of(self, name: str, balancer: str) -> Address:
        place = self._places[name]
        if balancer not in place.addresses:
            node = place.node
            if node is None or place.name != name:
                return ("127.0.0.1", 9)  # nobody is there any more
            place.addresses[balancer] = self.stage.run_as(
                name, lambda: node.listen(balancer, ("127.0.0.1", 0))
            )
        return place.addresses[balancer]

    # ---- balancers

    def _launch(self, name: str) -> None:
        if name not in self._addresses:
            self._addresses[name] = self.stage.free_address()
        listed = self.stage.run_as("discovery", lambda: self.registry.serve(name))
        known = self.registry.balancer_started(name)
        self._launched[name] = self.stage.now()
        self._configs[name] = config = self._config(name, self._addresses[name], listed, known)
        self._balancers[name] = self.stage.launch(name, config, lambda status: self._ended(name, status))

    def _config(self, name: str, listen: Address, listed: Address, known: dict[str, Any]) -> Config:
        tier = self._tier_of_balancer[name]
        if self._file is not None and tier == 0:
            return carried.placed(self._file, self.script, listen, listed)
        return platform_file.configuration(
            self.script, tier, name, listen, listed, known, self._random.getrandbits(64)
        )

    def _ended(self, name: str, status: int | None) -> None:
        """A balancer has ended: told to, killed by us, or it has crashed."""
        if self._over:
            return
        self.registry.balancer_ended(name)
        self.watch.forget_balancer(name)
        if status not in (0, None):
            self.night.faults.append(f"{name} ended with status {status}")

    def _excuse(self, balancer: str, since: float) -> str:
        """Why a balancer may have left a call unanswered that was made at `since`."""
        now = self.stage.now()
        for name, begun, until, why in self._downs:
            if name == balancer and begun <= now and until + 0.3 >= since:
                return why
        return ""

    def _excused(self, balancer: str, why: str, seconds: float) -> None:
        now = self.stage.now()
        self._downs = [d for d in self._downs if d[2] > now - 60]
        self._downs.append((balancer, now, now + seconds, why))

    def _kill_balancer(self, name: str, why: str) -> None:
        running = self._balancers.get(name)
        if running is not None and running.alive:
            self._excused(name, why, 5.0)
            running.kill()
            self._ended(name, None)

    # ---- what the script does

    def _happen(self, event: model.Event) -> None:
        if isinstance(event, model.NodeFault):
            for name in self._chosen(event):
                self._node_fault(event, name)
            return
        match event:
            case model.ListDown():
                self._say(f"the list is out of reach for {event.for_s:g} s")
                self.registry.set_down(True)
                self._after(event.for_s, lambda: self.registry.set_down(False))
            case model.SharedSlow():
                self._say(f"every node {event.factor:g} times slower for {event.for_s:g} s")
                for place in self._all_places:
                    if event.tier in ("", place.tier.name) and place.node is not None:
                        self._for_a_while(
                            place.node, event.for_s, lambda n, on: n.slow(_either(event.factor, on))
                        )
            case model.Rush():
                self._say(f"clients send {event.factor:g} times as much for {event.for_s:g} s")
                rush = (event.factor, event.tenant)
                self.clients.rushes.append(rush)
                self._after(event.for_s, lambda: self.clients.rushes.remove(rush))
            case model.Partition():
                self._partition(event)
            case model.Stop():
                self._stop(event)
            case model.Kill():
                self._say(f"{event.balancer} killed")
                self._kill_balancer(event.balancer, "killed")
                self.stage.run_as("clients", lambda: self._front_died(event.balancer))
                if event.back_s:
                    self._after(event.back_s, lambda: self._relaunch(event.balancer))
            case model.Reload():
                self._reload(event.balancer)
            case model.Clock():
                self._say(f"{event.balancer}: wall clock set by {event.by_s:g} s")
                self.stage.set_clock(event.balancer, event.by_s)

    def _front_died(self, balancer: str) -> None:
        if balancer in self.clients.front.addresses:
            self.clients.front.died(balancer)

    def _relaunch(self, name: str) -> None:
        running = self._balancers.get(name)
        if running is not None and running.alive:
            return
        self._say(f"{name} starts again")
        self._launch(name)
        if name in self.clients.front.addresses:
            self.stage.run_as("clients", lambda: self.clients.front.started(name))

    def _stop(self, event: model.Stop) -> None:
        name = event.balancer
        running = self._balancers.get(name)
        if running is None or not running.alive:
            return
        self._say(f"{name} gets SIGTERM")
        if name in self.clients.front.addresses:
            self.stage.run_as("clients", lambda: self.clients.front.stopping(name))
        self._stopped[name] = self.stage.now()
        running.terminate()
        bound = min(max(c.deadline_ms for c in self.script.classes) / 1000, LONGEST_S) + KILL_AFTER_S
        if isinstance(self._configs[name], File) and self._file is not None:
            bound = self._file.drain.kill_after_s
        begun = self.stage.now()
        for number, what in enumerate(event.then, 1):
            self._after(number * event.every_ms / 1000, lambda what=what: self._signal(name, running, what))  # type: ignore[misc]

        def look() -> None:
            if running.alive and self.stage.now() < begun + bound:
                self._after(0.05, look)
                return
            if running.alive:
                self._say(f"{name} did not end in time: killed")
                running.kill()
                self._ended(name, None)
            if event.back_s:
                self._after(event.back_s, lambda: self._relaunch(name))

        look()

    def _signal(self, name: str, running: Running, what: str) -> None:
        """One more signal for a balancer that has had SIGTERM."""
        if not running.alive:
            return
        self._say(f"{name} gets {what}")
        match what:
            case "term":
                running.terminate()
            case "int":
                running.interrupt()
            case "hup":
                running.reload(self._configs[name])
            case "bad-hup":
                running.reload_unusable()

    def _reload(self, name: str) -> None:
        running = self._balancers.get(name)
        if running is None or not running.alive:
            return
        self._say(f"{name}: discovery moves, SIGHUP")
        host, port = self.stage.run_as("discovery", lambda: self.registry.serve(name))
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

    def _chosen(self, event: model.NodeFault) -> list[str]:
        names = [p.name for p in self._all_places if p.node is not None]
        if isinstance(event, model.Pause | model.Delay):
            names += [*self._balancers, "clients", "discovery"]
        found = [n for n in names if any(fnmatchcase(n, pattern) for pattern in event.nodes)]
        if event.count and event.count < len(found):
            found = sorted(self._random.sample(found, event.count), key=names.index)
        return found

    def _for_a_while(self, node: Node, seconds: float, turn: Callable[[Node, bool], None]) -> None:
        self.stage.run_as(node.name, lambda: turn(node, True))

        def end() -> None:
            if not node.dead:
                self.stage.run_as(node.name, lambda: turn(node, False))

        self._after(seconds, end)

    def _node_fault(self, event: model.NodeFault, name: str) -> None:
        place = self._places.get(name)
        node = place.node if place is not None else None
        lasting = f"for {event.for_s:g} s"
        match event:
            case model.Slow() if node is not None:
                self._say(f"{name} {event.factor:g} times slower {lasting}")
                self._for_a_while(node, event.for_s, lambda n, on: n.slow(_either(event.factor, on)))
            case model.Silent() if node is not None:
                self._say(f"{name} silent {lasting}")

                def silence(n: Node, on: bool) -> None:
                    n.silent += 1 if on else -1

                self._for_a_while(node, event.for_s, silence)
            case model.Hang() if node is not None:
                self._say(f"{name} hangs {lasting}")
                self._for_a_while(node, event.for_s, lambda n, on: n.hang(on))
            case model.Reset() if node is not None:
                self._say(f"{name} resets {event.share:.0%} {lasting}")
                self._for_a_while(node, event.for_s, lambda n, on: _note(n.resets, event.share, on))
            case model.Spoil() if node is not None:
                self._say(f"{name} spoils {event.share:.0%} of its answers {lasting}")
                self._for_a_while(node, event.for_s, lambda n, on: _note(n.spoils, event.share, on))
            case model.Pause():
                self._say(f"{name} stands still {lasting}")
                self._pause(name, node, event.for_s)
            case model.Delay():
                self._say(f"{name} {event.ms:g} ms further away {lasting}")
                self._delay(name, node, event)
            case model.Crash() if place is not None and node is not None:
                self._crash(event, place)
            case model.Drain() if place is not None and node is not None:
                self._drain(event, place, node)

    def _pause(self, name: str, node: Node | None, seconds: float) -> None:
        if name in self._balancers:
            self._excused(name, "paused", seconds)
        if node is not None and not self.stage.exact:
            self._for_a_while(node, seconds, lambda n, on: n.freeze(on))
            return
        if node is not None:
            self._for_a_while(node, seconds, lambda n, on: n.halt(on))
            own = f"b-{name}"
            if own in self._balancers:
                self._pause(own, None, seconds)
        slept_from = self.stage.now()
        self.stage.pause(name, True)

        def wake() -> None:
            self.stage.pause(name, False)
            self.watch.balancer_resumed(self.stage.now(), name, slept_from)

        self._after(seconds, wake)

    def _delay(self, name: str, node: Node | None, event: model.Delay) -> None:
        for balancer in self._balancers if name in ("clients", "discovery") else (name,):
            self._excused(balancer, "its network is slow", event.for_s)
        if node is not None and not self.stage.exact:

            def lag(n: Node, on: bool) -> None:
                n.lag += event.ms / 1000 * (1 if on else -1)

            self._for_a_while(node, event.for_s, lag)
            return
        self.stage.delay(name, event.ms / 1000)
        self._after(event.for_s, lambda: self.stage.delay(name, -event.ms / 1000))

    def _partition(self, event: model.Partition) -> None:
        names = [*(p.name for p in self._all_places), *self._balancers, "clients", "discovery"]
        sides = [[n for n in names if any(fnmatchcase(n, x) for x in side)] for side in (event.a, event.b)]
        self._say(f"{', '.join(event.a)} and {', '.join(event.b)} cut off for {event.for_s:g} s")
        for name in {*sides[0], *sides[1]}:
            if name in self._balancers:
                self._excused(name, "cut off", event.for_s)
        if not self.stage.exact:  # live, a node that is cut off stands still for all
            nodes = next(side for side in sides if all(n in self._places for n in side))
            for name in nodes:
                if (node := self._places[name].node) is not None:
                    self._for_a_while(node, event.for_s, lambda n, on: n.freeze(on))
            return
        pairs = [(a, b) for a in sides[0] for b in sides[1] if a != b]
        for a, b in pairs:
            self.stage.cut(a, b, True)

        def heal() -> None:
            for a, b in pairs:
                self.stage.cut(a, b, False)

        self._after(event.for_s, heal)

    def _crash(self, event: model.Crash, place: _Place) -> None:
        name = place.name
        self._say(f"{name} crashes")
        self._fell_out(place)
        assert place.entry is not None
        self.registry.change(replace(place.entry, phase="left"))
        if event.back_as == "never":
            return
        after = name if event.back_as == "same" else f"{name}-r{place.starts}"
        self._after(event.for_s, lambda: self._start(place, after))

    def _drain(self, event: model.Drain, place: _Place, node: Node) -> None:
        name = place.name
        self._say(f"{name} drains")
        entry = place.entry
        assert entry is not None
        self.registry.change(replace(entry, phase="leaving"))

        def leave() -> None:
            if place.node is not node:
                return  # it crashed meanwhile
            self._say(f"{name} has left")
            self._fell_out(place)
            self.registry.change(replace(entry, phase="left"))
            if event.back_s:
                self._after(event.back_s, lambda: self._start(place, name))

        self._after(event.for_s, leave)

    def _fell_out(self, place: _Place) -> None:
        """The node's process ends, and its own balancer with it."""
        node, place.node = place.node, None
        assert node is not None
        self._kill_balancer(f"b-{node.name}", "its node ended")
        self.stage.run_as(node.name, node.close)
        self.stage.kill(node.name)

    def _start(self, place: _Place, name: str) -> None:
        if place.node is not None:
            return
        self._say(f"{name} starts")
        self._stand(place, name, cold=True)
        place.entry = Entry(
            name, place.tier.name, "active", place.number, self.stage.unix_ms(), self.stage.now()
        )
        self.registry.change(replace(place.entry))

    def _sample(self) -> None:
        holding = {p.name: p.node.machine.holding for p in self._all_places if p.node is not None}
        ready = sum(self.clients.front.is_ready(n) for n in self.clients.front.addresses)
        self.night.samples.append(Sample(self.stage.now(), holding, ready))
        self._after(SAMPLE_S, self._sample)


def _either(factor: float, on: bool) -> float:
    return factor if on else 1 / factor


def _note(values: list[float], value: float, on: bool) -> None:
    if on:
        values.append(value)
    else:
        values.remove(value)
