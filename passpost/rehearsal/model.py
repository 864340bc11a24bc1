"""A rehearsal's script as frozen typed values: the fleet, its load, and what goes wrong when.

These types are the one place that says what a script may hold; `script.py` reads and writes them. Spans end
in `_s` or `_ms`, the unit; rates in `_per_s`; a `share` lies between 0 and 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Span = Annotated[float, Meta(gt=0, le=86_400)]
Moment = Annotated[float, Meta(ge=0, le=86_400)]
Wait = Annotated[float, Meta(ge=0, le=60_000)]
Millis = Annotated[float, Meta(gt=0, le=600_000)]
Factor = Annotated[float, Meta(gt=0, le=1_000)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]*$", max_length=40)]
Patterns = Annotated[tuple[Annotated[str, Meta(min_length=1, max_length=80)], ...], Meta(min_length=1)]


class _Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What all parts of a script share: unknown keys are refused."""


class Network(_Table, frozen=True):
    """The wires between all machines (virtual nights; live ones have the machine's own loopback)."""

    latency_ms: Wait = 0.3  # one way
    jitter_ms: Wait = 0.1  # at most so much more, drawn for each piece
    split: Share = 0.02  # of reads get a part of what lies there


class Discovery(_Table, frozen=True):
    """The list of nodes as balancers get it."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: tuple[Moment, Moment] = (0.3, 1.0)  # from what happens to its entry; drawn between these
    calls_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 50.0  # asked: one service, calls in turn


class Contract(_Table, frozen=True):
    """What the four rules say in figures; balancers are told the same."""

    drain_grace_ms: Wait = 1_000.0
    ask_within_ms: Millis = 6_000.0
    cold_ms: Wait = 10_000.0  # a node that has just started is warm after so long
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    overload_factor: Annotated[float, Meta(ge=1, le=100)] = 3.0
    overload_ms: Millis = 1_500.0
    attempts: Annotated[int, Meta(ge=1, le=20)] = 4
    second_copies: bool = True
    cancel: bool = True
    retry_after_ms: Wait = 1_500.0  # the longest that clients are told to stay away; 0: they are not told
    connect_timeout_ms: Millis = 250.0
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1_024


class Sidecar(_Table, frozen=True, kw_only=True):
    """The first tier's balancers are sidecars that run an operator's file."""

    file: Annotated[str, Meta(min_length=1, max_length=4_000)]  # beside the script, where it is no whole path
    application: Name  # the one that is called


class Class(_Table, frozen=True, kw_only=True):
    """One class of requests. With a sidecar its file says what it waits for and what may be repeated."""

    name: Name
    share: Annotated[float, Meta(gt=0)] = 1.0  # of all requests, beside the other classes' shares
    work_ms: Millis = 20.0  # in all tiers together, on a core of speed 1, in the mean
    spread: Annotated[float, Meta(ge=0, le=5)] = 0.5  # standard deviation over mean
    aim_ms: Millis = 500.0
    deadline_ms: Millis = 2_000.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: Wait = 3_000.0  # keyed: nodes drop a repeat of the key for so long
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_share: Share = 0.3  # of its worth, answered past the aim and before the deadline


class Tenant(_Table, frozen=True, kw_only=True):
    """One customer: what it sends, and what it may."""

    name: Name
    share: Annotated[float, Meta(gt=0)] = 1.0  # of the load, beside the others
    quota_per_s: Annotated[float, Meta(gt=0)] = 1e9


class NodeKind(_Table, frozen=True, kw_only=True):
    """Nodes of one make."""

    name: Name
    count: Annotated[int, Meta(ge=1, le=20_000)] = 1
    cores: Annotated[int, Meta(ge=1, le=1_024)] = 2
    speed: Factor = 1.0
    slots: Annotated[int, Meta(ge=1, le=100_000)] = (
        32  # requests in work, those that wait for the next tier too
    )
    queue: Annotated[int, Meta(ge=0, le=1_000_000)] = 64  # beyond these a request is turned away
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000
    connect_work_ms: Wait = 0.5  # what a new connection costs a core
    idle_s: Span = 15.0  # a connection idle for so long is closed
    unsized: Share = 0.0  # of answers tell no length and end with their connection
    crowd: Annotated[float, Meta(ge=0, le=1_000)] = (
        0.0  # cores + crowd x root of cores at work choke it; 0: never
    )
    crowd_factor: Annotated[float, Meta(ge=1, le=100)] = 2.5  # and it is so much slower, until it was idle


class Tier(_Table, frozen=True, kw_only=True):
    """One tier of nodes. The first tier's balancers stand by themselves; each node of a tier before another
    has a balancer of its own for its calls there."""

    name: Name
    kinds: Annotated[tuple[NodeKind, ...], Meta(min_length=1)]
    balancers: Annotated[int, Meta(ge=1, le=10_000)] = 1  # first tier only
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of a request's work done here
    calls: tuple[Annotated[int, Meta(ge=0, le=20)], Annotated[int, Meta(ge=0, le=20)]] = (
        1,
        1,
    )  # to the next tier


class Clients(_Table, frozen=True):
    """Who sends requests."""

    rate_per_s: Annotated[float, Meta(gt=0, le=1_000_000)] = 50.0
    processes: Annotated[int, Meta(ge=1, le=10_000)] = 4  # each with connections of its own
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.5  # of the deadline that one try may take
    backoff_ms: Wait = 50.0
    honour: Share = 0.5  # of refused tries that keep to Retry-After
    impatient: Share = 0.0  # of tries that hang up at some moment before their time is over, and come no more
    pieces: Share = 0.0  # of requests are sent in two pieces
    notice_s: Moment = 1.0  # after which the front leaves out a balancer that died


class _Event(_Table, frozen=True, tag_field="kind"):
    """Something happens at `at_s`."""

    at_s: Moment


class _Lasting(_Event, frozen=True):
    for_s: Span


class _OnNodes(_Lasting, frozen=True, kw_only=True):
    """`nodes`: names, or patterns with * and ?; `count`: of these so many, drawn by the seed (0: all)."""

    nodes: Patterns
    count: Annotated[int, Meta(ge=0)] = 0


class Slow(_OnNodes, frozen=True, tag="slow"):
    """Nodes work `factor` times slower."""

    factor: Annotated[float, Meta(gt=1, le=1_000)] = 4.0


class Silent(_OnNodes, frozen=True, tag="silent"):
    """Nodes do their work and answer nothing."""


class Hang(_OnNodes, frozen=True, tag="hang"):
    """Nodes take requests and do nothing with them."""


class Pause(_OnNodes, frozen=True, tag="pause"):
    """Processes stand still, as after SIGSTOP, and go on as if nothing had been. Balancers too."""


class Reset(_OnNodes, frozen=True, tag="reset"):
    """A share of requests ends with a reset after it has run."""

    share: Share = 0.3


class Spoil(_OnNodes, frozen=True, tag="spoil"):
    """A share of answers can't be read."""

    share: Share = 0.3


class Crash(_OnNodes, frozen=True, tag="crash"):
    """Nodes die, and come back after `for_s`: under their name, or under a new one at the old address."""

    back_as: Literal["same", "new", "never"] = "same"


class Drain(_OnNodes, frozen=True, tag="drain"):
    """Nodes are listed as leaving; after `for_s` they are gone; started again after `back_s` (0: never)."""

    back_s: Moment = 0.0


class ListDown(_Lasting, frozen=True, tag="list-down"):
    """The list is out of reach."""


class SharedSlow(_Lasting, frozen=True, tag="shared-slow"):
    """Something that all nodes (of a tier) depend on slows them together."""

    factor: Annotated[float, Meta(gt=1, le=1_000)] = 2.0
    tier: str = ""


class Partition(_Lasting, frozen=True, tag="partition"):
    """Nothing passes between any of `a` and any of `b` (nodes, balancers, `clients`, `discovery`)."""

    a: Patterns
    b: Patterns


class Delay(_OnNodes, frozen=True, tag="delay"):
    """All that goes to and from these machines takes so much longer, each way."""

    ms: Millis = 50.0


class Stop(_Event, frozen=True, tag="stop", kw_only=True):
    """A balancer gets SIGTERM, and is started again `back_s` after it has ended (0: never).

    Meanwhile it gets the signals of `then`, one each `every_ms`, as long as it lives: `hup` with its file as it is,
    `bad-hup` with one that can't be used.
    """

    balancer: str
    back_s: Moment = 1.0
    then: tuple[Literal["term", "int", "hup", "bad-hup"], ...] = ()
    every_ms: Millis = 100.0


class Reload(_Event, frozen=True, tag="reload"):
    """A balancer's file names another address of discovery, and it gets SIGHUP."""

    balancer: str


class Kill(_Event, frozen=True, tag="kill"):
    """A balancer is killed outright, and started again after `back_s` (0: never)."""

    balancer: str
    back_s: Moment = 1.0


class Clock(_Event, frozen=True, tag="clock", kw_only=True):
    """A balancer's wall clock is set by so many seconds (virtual nights only)."""

    balancer: str
    by_s: Annotated[float, Meta(ge=-1e7, le=1e7)]


class Rush(_Lasting, frozen=True, tag="rush"):
    """Clients (of one tenant) send `factor` times as much."""

    factor: Factor = 2.0
    tenant: str = ""


NodeFault = Slow | Silent | Hang | Pause | Reset | Spoil | Crash | Drain | Delay
Event = NodeFault | ListDown | SharedSlow | Partition | Stop | Reload | Kill | Clock | Rush


class Scenario(_Table, frozen=True, kw_only=True):
    """A whole night."""

    version: Literal[1]
    title: Annotated[str, Meta(min_length=1, max_length=120)]
    about: str = ""
    seed: int = 1
    length_s: Span = 30.0  # clients send for so long; then all is answered
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
        """Every node at the start: tier, kind and number."""
        return [f"{t.name}-{k.name}-{i + 1}" for t in self.tiers for k in t.kinds for i in range(k.count)]

    def balancer_names(self) -> list[str]:
        """The first tier's balancers, then those of the nodes that call a next tier."""
        front = [f"b{i + 1}" for i in range(self.tiers[0].balancers)]
        inner = [
            f"b-{t.name}-{k.name}-{i + 1}" for t in self.tiers[:-1] for k in t.kinds for i in range(k.count)
        ]
        return front + inner
