"""The interface of a balancer: its settings, the members of the server list, events and actions.

The code that drives a balancer owns the clock. All times and durations are milliseconds on one clock, which
may stand still but never goes backwards. That code calls `Balancer.handle` with one event at a time, in the
order in which the events happened, carries out the returned actions in order, and delivers further events in
return:

- exactly one `AttemptEnded` for each `Send`,
- one `TimerDue` for each `SetTimer`, at or after the time that was set,
- the server list, and then its changes, for each `Subscribe`.

A served attempt ends its request; every other request ends with the single `Refuse` or `Fail` that the
balancer returns. A balancer is single-threaded, shares no state, and draws all of its random numbers from its
seed. Settings out of range and impossible events (an unknown class, a request that arrives twice, an attempt
that was never made) raise `ValueError`.

All types are frozen dataclasses or enums; the decisions are made in `umberworks.rules`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields


class Effect(enum.Enum):
    """Whether a request of a class may run more than once.

    REPEATABLE: any number of times. KEYED: servers drop duplicates by an idempotency key. ONCE: never.
    """

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class DedupScope(enum.Enum):
    """Which servers drop duplicates of a keyed request: all, or those in the zone or cell of the first."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Readiness(enum.Enum):
    """The state of a server process according to the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """What a list event carries.

    CHANGES: the entries that changed. WHOLE: the complete list. SAVED: a complete list from an earlier time,
    which does not show that discovery can be reached. FAILED: no members, as the call to discovery failed.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(enum.Enum):
    """How an attempt ended; UNKNOWN is an outcome that the code driving the balancer could not interpret."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


NEVER_RAN = frozenset({Outcome.TURNED_AWAY, Outcome.UNREACHED, Outcome.NOT_SENT})
"""The outcomes that prove that the attempt had no effect."""


def _require(condition: bool, field_name: str, requirement: str) -> None:
    if not condition:
        raise ValueError(f"{field_name}: {requirement}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its target time and deadline, whether it may be repeated, and its worth.

    `aim_ms`, the aim, is the target time for the answer, from the arrival of the request. `dedup_window_ms`
    is how long servers recognize duplicates of a keyed request, and `dedup_scope` which servers do. `worth`
    is the value of an answer in time; `late_share` is the part of it, 0 to 1, that an answer between the
    target and the deadline still has. `streamed`: responses are streams, whose server still works while the
    response is on its way.
    """

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0
    streamed: bool = False
    attempts: int = 0  # the most attempts for one request; 0: as many as `Settings.max_attempts`
    attempt_ms: float = 0.0  # the timeout of one attempt; 0: all the time that the request has left

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        for field in ("aim_ms", "deadline_ms"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, "must be a finite number above 0")
        _require(self.dedup_window_ms >= 0, "dedup_window_ms", "must not be negative")
        _require(self.worth >= 0, "worth", "must not be negative")
        _require(0 <= self.late_share <= 1, "late_share", "must be between 0 and 1")
        _require(self.attempts >= 0, "attempts", "must not be negative")
        _require(0 <= self.attempt_ms < math.inf, "attempt_ms", "must be finite and not negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota in requests per second, over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer instance.

    `balancers` is how many balancers share the servers. `calling_tier` is 0 where clients call, and above 0
    where the servers of another tier do. With `pulls_list` the balancer itself subscribes to the server list;
    otherwise the list is pushed to it. `ask_within_ms`: changes of the list count as told once a balancer has
    not called discovery for this long. `tick_ms` is the resolution of the clock and of timers.

    A server is cold for `cold_ms` after its start: its capacity rises linearly from `cold_from` of the full
    one. It is overloaded by more than `cold_overload_factor` times the calls that it can serve in a window of
    `cold_window_ms`, counted over all balancers.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    calling_tier: int = 0
    pulls_list: bool = False
    ask_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    may_duplicate: bool = False
    max_retry_after_ms: float = 0.0  # the longest Retry-After that clients honour; 0: refusals carry none
    sizes_exact: bool = False  # `Member.size` is the registered size, not an estimate or a default
    cold_ms: float = 0.0
    cold_from: float = 1.0
    cold_overload_factor: float = 1.0
    cold_window_ms: float = 1_000.0
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "must not name a class twice")
        for field in ("balancers", "max_attempts"):
            _require(getattr(self, field) >= 1, field, "must be 1 or more")
        for field in ("calling_tier", "cold_ms", "max_retry_after_ms"):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        for field in ("ask_within_ms", "cold_window_ms", "cold_overload_factor", "tick_ms"):
            _require(getattr(self, field) > 0, field, "must be above 0")
        _require(0 < self.cold_from <= 1, "cold_from", "must be above 0 and at most 1")
        for item in fields(self):
            value = getattr(self, item.name)
            _require(not isinstance(value, float) or math.isfinite(value), item.name, "must be finite")


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the server list; `up_since_ms`, the start of the process, is 0 if that was long ago.

    `size` is the server's capacity relative to others. `kind` is the machine type, where the list has one:
    servers of the same type are taken to be about equally fast.
    """

    server: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0
    kind: str = ""

    def __post_init__(self) -> None:
        _require(math.isfinite(self.size) and self.size > 0, "size", "must be a finite number above 0")


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A server list or its changes; FAILED carries no members, and the last list stays in use.

    `since_contact_ms`, with FAILED: the time since this balancer's last call to discovery that surely
    counted, 0 if the failed call itself was turned away or cut off. Once that call is `ask_within_ms` ago,
    changes count as told to this balancer, whether or not it received them (PROTOCOL, the rules on sockets).
    """

    kind: ListKind
    members: tuple[Member, ...] = ()
    since_contact_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """The discovery service has moved: calls to the old address are void, and the list is asked for anew."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; it must get exactly one final answer within `remaining_ms`.

    `free_connections`: how many connections of the callers carry no request, at a time when callers can open
    no new ones, as in a drain. `body_open`: the body is still being received, and the time counts from
    `BodyEnded`.
    """

    request: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    free_connections: float = math.inf
    body_open: bool = False


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """The last byte of a body that was open has been received; `remaining_ms` counts from now."""

    request: int
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class BodyDiscarded:
    """Part of a body was sent to a server and not kept in memory: the request can't be sent again."""

    request: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """This attempt's response is being sent to the client: no other can be, and the deadline is void."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; `answered`: the request has its final answer."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    answered: bool = False


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; the request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that `SetTimer` set has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class Detached:
    """An operator detached a server: until it is attached it gets no new calls, whatever the list says."""

    server: str


@dataclass(frozen=True, slots=True)
class Attached:
    """An operator attached a detached server again; its process may have restarted up to time `at_ms`."""

    server: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What a balancer has measured of one server process: capacity, baseline time and concurrency limit."""

    server: str
    started_at_ms: float  # start of the process; the estimate is ignored if another process has that name now
    served: float  # served calls, decayed
    busy_ms: float  # time that calls were in flight, decayed the same way
    baseline_time: float  # usual time in service as a multiple of the calls' target times; 0 if unknown
    concurrency_limit: float  # concurrent calls that it serves at full speed; 0 if unknown
    concurrency_ceiling: float  # upper bound on that limit; infinite if there is none

    def __post_init__(self) -> None:
        for field in ("started_at_ms", "served", "busy_ms", "baseline_time", "concurrency_limit"):
            _require(math.isfinite(getattr(self, field)), field, "must be finite")
        for field in ("served", "busy_ms", "baseline_time", "concurrency_limit"):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        _require(self.concurrency_ceiling > 0, "concurrency_ceiling", "must be above 0")


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What the running version has learned, for the version that takes over from it.

    Without it, a first measurement under overload would be taken for the usual load. `base` is the lowest
    mean time in service, as a multiple of the calls' target times; 0 if unknown.
    """

    base: float
    servers: tuple[ServerEstimate, ...]

    def __post_init__(self) -> None:
        _require(math.isfinite(self.base) and self.base >= 0, "base", "must be finite and not negative")


Event = (
    ListUpdate
    | RequestArrived
    | BodyEnded
    | BodyDiscarded
    | DiscoveryMoved
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerDue
    | Detached
    | Attached
    | LearnedState
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send the next attempt of a request; attempts count from 0. An open body means no timeout."""

    request: int
    server: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetAttemptTimeout:
    """Set a timeout, from now on, for an attempt that was sent without one because the body was open."""

    request: int
    attempt: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that has not ended yet."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and safe to repeat, best after `retry_after_ms` (0: no advice)."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may or may not have taken effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerDue` at time `at_ms`; tokens contain no spaces."""

    at_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the server list and its changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = Send | SetAttemptTimeout | Cancel | Refuse | Fail | SetTimer | Subscribe | Log
