"""The types of a scenario file: the fleet, its load, and the faults and other events of the run.

These frozen types alone define what a scenario file may contain; `script.py` finds them by reflection, and
reads and writes the files. Names of times and durations end in their unit, `_s` or `_ms`, and names of rates
in `_per_s`. A value of type `Share` lies between 0 and 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
DurationS = Annotated[float, Meta(gt=0, le=86_400)]
TimeS = Annotated[float, Meta(ge=0, le=86_400)]
DelayMs = Annotated[float, Meta(ge=0, le=60_000)]
DurationMs = Annotated[float, Meta(gt=0, le=600_000)]
Factor = Annotated[float, Meta(gt=0, le=1_000)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]*$", max_length=40)]
Patterns = Annotated[tuple[Annotated[str, Meta(min_length=1, max_length=80)], ...], Meta(min_length=1)]


class _Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of a scenario file: unknown keys are rejected."""


class Network(_Table, frozen=True):
    """The network between all machines. Simulated runs only: live runs use the loopback interface."""

    latency_ms: DelayMs = 0.3  # one way
    jitter_ms: DelayMs = 0.1  # upper bound of a random extra latency, drawn for each chunk of data
    split: Share = 0.02  # of reads that return only part of the available bytes


class Discovery(_Table, frozen=True):
    """How balancers get the server list."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: tuple[TimeS, TimeS] = (0.3, 1.0)  # range of the random delay from a change to its list entry
    # Every answer is the whole list, which leaves out draining nodes: they are gone, though they still answer.
    whole: bool = False
    # Mode "ask": rate of the one server that handles calls in turn.
    calls_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 50.0


class Contract(_Table, frozen=True):
    """The limits that the invariants use; the balancers are configured with the same values."""

    drain_grace_ms: DelayMs = 1_000.0
    ask_within_ms: DurationMs = 6_000.0
    cold_ms: DelayMs = 10_000.0  # how long a node is cold after its start
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    overload_factor: Annotated[float, Meta(ge=1, le=100)] = 3.0
    overload_ms: DurationMs = 1_500.0
    attempts: Annotated[int, Meta(ge=1, le=20)] = 4
    second_copies: bool = True
    cancel: bool = True
    retry_after_ms: DelayMs = 1_500.0  # longest Retry-After that clients get; 0: none is sent
    connect_timeout_ms: DurationMs = 250.0
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1_024


class Sidecar(_Table, frozen=True, kw_only=True):
    """Makes the first tier's balancers sidecars that run an operator's file."""

    file: Annotated[str, Meta(min_length=1, max_length=4_000)]  # absolute, or relative to the scenario file
    application: Name  # the application in that file that clients call


class Class(_Table, frozen=True, kw_only=True):
    """One class of requests. With a sidecar, its file sets the time limits and what may be repeated."""

    name: Name
    share: Annotated[float, Meta(gt=0)] = 1.0  # weight in the mix of requests, relative to the other classes
    work_ms: DurationMs = 20.0  # mean over requests, for all tiers together, on a core of speed 1
    spread: Annotated[float, Meta(ge=0, le=5)] = 0.5  # standard deviation of the work, divided by the mean
    aim_ms: DurationMs = 500.0
    deadline_ms: DurationMs = 2_000.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: DelayMs = 3_000.0  # effect "keyed": how long nodes drop repeats of a key
    scope: Literal["all", "cell"] = "all"  # effect "keyed": which nodes drop them, all or those of a cell
    answer_bytes: Annotated[int, Meta(ge=0, le=32_000_000)] = 0  # least size of an answer's body
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_share: Share = 0.3  # of the worth that a response between aim and deadline keeps


class Tenant(_Table, frozen=True, kw_only=True):
    """One tenant: its share of the load, and its quota."""

    name: Name
    share: Annotated[float, Meta(gt=0)] = 1.0  # weight in the load, relative to the other tenants
    quota_per_s: Annotated[float, Meta(gt=0)] = 1e9


class NodeKind(_Table, frozen=True, kw_only=True):
    """A group of nodes with the same hardware and limits."""

    name: Name
    count: Annotated[int, Meta(ge=1, le=20_000)] = 1
    cores: Annotated[int, Meta(ge=1, le=1_024)] = 2
    speed: Factor = 1.0
    # Requests being processed, including those that wait for the next tier.
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 32
    queue: Annotated[int, Meta(ge=0, le=1_000_000)] = 64  # waiting for a slot; further ones are turned away
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000
    connect_work_ms: DelayMs = 0.5  # work that a new connection costs a core
    idle_s: DurationS = 15.0  # idle time after which a connection is closed
    unsized: Share = 0.0  # of responses without a length, which end when the connection closes
    # More than cores + crowd * sqrt(cores) requests in work slow the node down; 0: never.
    crowd: Annotated[float, Meta(ge=0, le=1_000)] = 0.0
    # How much slower it is then, until it has been idle.
    crowd_factor: Annotated[float, Meta(ge=1, le=100)] = 2.5


class Tier(_Table, frozen=True, kw_only=True):
    """One tier of nodes.

    The first tier's balancers are separate processes. Each node that calls a next tier has a balancer of its
    own for these calls.
    """

    name: Name
    kinds: Annotated[tuple[NodeKind, ...], Meta(min_length=1)]
    balancers: Annotated[int, Meta(ge=1, le=10_000)] = 1  # first tier only
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0  # share of a request's work that is done in this tier
    cell_size: Annotated[int, Meta(ge=1, le=20_000)] = 1  # nodes in a cell, of the nodes in their order
    # Least and most calls to the next tier for one request.
    calls: tuple[Annotated[int, Meta(ge=0, le=20)], Annotated[int, Meta(ge=0, le=20)]] = (1, 1)


class Clients(_Table, frozen=True):
    """The clients that send requests."""

    rate_per_s: Annotated[float, Meta(gt=0, le=1_000_000)] = 50.0
    processes: Annotated[int, Meta(ge=1, le=10_000)] = 4  # client processes; each has its own connections
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.5  # of the deadline that one try may take
    backoff_ms: DelayMs = 50.0
    honour: Share = 0.5  # of refused tries whose client respects Retry-After
    impatient: Share = 0.0  # of tries that close the connection before their time limit and do not retry
    pieces: Share = 0.0  # of requests that are sent in two pieces
    notice_s: TimeS = 1.0  # how long clients go on choosing a balancer that died


class _Event(_Table, frozen=True, tag_field="kind"):
    """Something that happens at `at_s`, in seconds from the start of the run."""

    at_s: TimeS


class _LastingEvent(_Event, frozen=True):
    """An event that ends after `for_s` seconds."""

    for_s: DurationS


class _NodeEvent(_LastingEvent, frozen=True, kw_only=True):
    """An event on the nodes that match `nodes` (names, or patterns with * and ?).

    `count` limits it to that many of them, drawn at random by the seed; 0: all.
    """

    nodes: Patterns
    count: Annotated[int, Meta(ge=0)] = 0


class Slow(_NodeEvent, frozen=True, tag="slow"):
    """Nodes work `factor` times slower."""

    factor: Annotated[float, Meta(gt=1, le=1_000)] = 4.0


class Silent(_NodeEvent, frozen=True, tag="silent"):
    """Nodes do their work and send no response."""


class Hang(_NodeEvent, frozen=True, tag="hang"):
    """Nodes accept requests and do not process them."""


class Pause(_NodeEvent, frozen=True, tag="pause"):
    """Processes are suspended, as by SIGSTOP, and resume unaware of it. `nodes` may name balancers too."""


class Reset(_NodeEvent, frozen=True, tag="reset"):
    """A share of requests ends with a connection reset after it has run."""

    share: Share = 0.3


class Spoil(_NodeEvent, frozen=True, tag="spoil"):
    """A share of responses is malformed."""

    share: Share = 0.3


class Crash(_NodeEvent, frozen=True, tag="crash"):
    """Nodes crash and restart after `for_s`: with the same name, or with a new one at the old address."""

    back_as: Literal["same", "new", "never"] = "same"


class Drain(_NodeEvent, frozen=True, tag="drain"):
    """Nodes drain: listed as leaving, gone after `for_s`, and started again `back_s` after that (0: never)."""

    back_s: TimeS = 0.0


class LateConnect(_NodeEvent, frozen=True, tag="late-connect"):
    """Connections to these nodes come up `ms` late. Simulated runs only: on loopback they come up at once."""

    ms: DurationMs = 500.0


class ListDown(_LastingEvent, frozen=True, tag="list-down"):
    """The server list is unreachable."""


class SharedSlow(_LastingEvent, frozen=True, tag="shared-slow"):
    """A shared dependency slows all nodes, or those of one tier."""

    factor: Annotated[float, Meta(gt=1, le=1_000)] = 2.0
    tier: str = ""


class Partition(_LastingEvent, frozen=True, tag="partition"):
    """No data passes between any of `a` and any of `b` (nodes, balancers, `clients`, `discovery`)."""

    a: Patterns
    b: Patterns


class Delay(_NodeEvent, frozen=True, tag="delay"):
    """Adds `ms` of latency, each way, to all traffic of these machines."""

    ms: DurationMs = 50.0


class Stop(_Event, frozen=True, tag="stop", kw_only=True):
    """A balancer gets SIGTERM and is started again `back_s` after it has ended (0: never).

    Until it ends it gets the signals of `then`, one every `every_ms`: `hup` is SIGHUP with its file unchanged,
    `bad-hup` is SIGHUP with an unusable file.
    """

    balancer: str
    back_s: TimeS = 1.0
    then: tuple[Literal["term", "int", "hup", "bad-hup"], ...] = ()
    every_ms: DurationMs = 100.0


class Reload(_Event, frozen=True, tag="reload"):
    """A balancer's file is changed to another address of discovery, and the balancer gets SIGHUP."""

    balancer: str


class Kill(_Event, frozen=True, tag="kill"):
    """A balancer gets SIGKILL and is started again after `back_s` (0: never)."""

    balancer: str
    back_s: TimeS = 1.0


class Clock(_Event, frozen=True, tag="clock", kw_only=True):
    """A balancer's wall clock is changed by `by_s` seconds. Simulated runs only."""

    balancer: str
    by_s: Annotated[float, Meta(ge=-1e7, le=1e7)]


class Rush(_LastingEvent, frozen=True, tag="rush"):
    """All clients, or those of one tenant, send `factor` times as many requests."""

    factor: Factor = 2.0
    tenant: str = ""


NodeFault = Slow | Silent | Hang | Pause | Reset | Spoil | Crash | Drain | Delay | LateConnect
Event = NodeFault | ListDown | SharedSlow | Partition | Stop | Reload | Kill | Clock | Rush


class Scenario(_Table, frozen=True, kw_only=True):
    """A whole scenario file."""

    version: Literal[1]
    title: Annotated[str, Meta(min_length=1, max_length=120)]
    about: str = ""
    seed: int = 1
    length_s: DurationS = 30.0  # how long clients send; then the run waits for the remaining responses
    network: Network = Network()
    discovery: Discovery = Discovery()
    contract: Contract = Contract()
    clients: Clients = Clients()
    sidecar: Sidecar | None = None
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    tiers: Annotated[tuple[Tier, ...], Meta(min_length=1, max_length=3)]
    events: tuple[Event, ...] = ()

    def node_names(self) -> list[str]:
        """The names of all nodes at the start: TIER-KIND-NUMBER."""
        return [f"{t.name}-{k.name}-{i + 1}" for t in self.tiers for k in t.kinds for i in range(k.count)]

    def balancer_names(self) -> list[str]:
        """The names of the first tier's balancers, then of those at nodes that call a next tier."""
        front = [f"b{i + 1}" for i in range(self.tiers[0].balancers)]
        inner = [
            f"b-{t.name}-{k.name}-{i + 1}" for t in self.tiers[:-1] for k in t.kinds for i in range(k.count)
        ]
        return front + inner
