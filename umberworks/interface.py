"""What a balancer is told and what it may do: settings, members, events and actions.

The contract. The caller owns the clock: all times and spans are milliseconds on one clock that may stand
still but never goes backwards. It calls `Balancer.handle` with one event at a time, in the order in which
they happened, carries out the returned actions in order, and delivers in turn: for each `Send` exactly one
`AttemptEnded`, for each `SetTimer` one `TimerDue` at or after its moment, for each `Subscribe` the list and
then its changes. A served attempt ends its request; every other request ends with the one `Refuse` or
`Fail` that the balancer returns. A balancer is single-threaded and shares nothing; its only chance comes
from its seed. Settings out of range and impossible events (an unknown class, a request seen twice, an
attempt never made) raise `ValueError`.

Every type is a frozen value; the decisions are in `umberworks.rules`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields


class Effect(enum.Enum):
    """Whether a request of a class may run more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class DedupScope(enum.Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Readiness(enum.Enum):
    """What the list says of a server's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """What a list event carries."""

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(enum.Enum):
    """How an attempt ended."""

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


def _require(condition: bool, name: str, wanted: str) -> None:
    if not condition:
        raise ValueError(f"{name}: {wanted}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and what its callers want."""

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0
    streamed: bool = False
    attempts: int = 0  # at most so many for one request; 0: as many as the settings allow
    attempt_ms: float = 0.0  # the time that one attempt may take; 0: all that is left

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
    """One customer and the requests a second it may expect, over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """What one balancer instance is told when it starts."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    calling_tier: int = 0
    pulls_list: bool = False
    ask_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    may_duplicate: bool = False
    max_retry_after_ms: float = 0.0  # the longest that clients stay away when told to; 0: they are not told
    sizes_exact: bool = False  # a member's size is the one it was registered with, neither rough nor made up
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
    """One server as the list shows it; `up_since_ms` is 0 when it started long ago.

    `kind`: the sort of machine, where the list tells it; those of a kind are taken to be about as fast.
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
    """News of the server list; FAILED carries no members and leaves the old list standing.

    `since_contact_ms`, with FAILED: how long ago this balancer last watched or asked in a way that surely counts, 0
    where the call that failed was turned away or cut off. What has changed since counts as told once that is
    `ask_within_ms` ago, whether or not it was heard (PROTOCOL, the rules on sockets).
    """

    kind: ListKind
    members: tuple[Member, ...] = ()
    since_contact_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """The list is to be asked for elsewhere from now on; whatever was asked before is of no more use."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; exactly one final answer is owed within `remaining_ms`.

    `free_connections`: those left to the callers while they can open no more, as in a drain. `body_open`: its
    body is still coming, and the time runs from `BodyEnded` only.
    """

    request: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    free_connections: float = math.inf
    body_open: bool = False


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """The last byte of a request has come whose body was open; so much time is left from now on."""

    request: int
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class BodyDiscarded:
    """Part of a body has gone out and is kept nowhere: the request can't be sent again."""

    request: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """An attempt's answer is on its way to the client: nothing else can be it, and the deadline no longer runs."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; `answered` says that the request has its final answer."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    answered: bool = False


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing more is owed for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by `SetTimer` has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class Detached:
    """An operator takes a server out: nothing new goes to it, whatever the list says, until it is attached."""

    server: str


@dataclass(frozen=True, slots=True)
class Attached:
    """An operator puts a server back that was detached; it may have started anew until `at_ms` of the clock."""

    server: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What a balancer has learned of one server: evidence on its capacity, its usual time, what it may hold."""

    server: str
    started_at_ms: float  # when its process started, so that nothing is believed of another one
    served: float
    busy_ms: float
    baseline_time: float
    concurrency_limit: float
    concurrency_ceiling: float

    def __post_init__(self) -> None:
        for field in ("started_at_ms", "served", "busy_ms", "baseline_time", "concurrency_limit"):
            _require(math.isfinite(getattr(self, field)), field, "must be finite")
        for field in ("served", "busy_ms", "baseline_time", "concurrency_limit"):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        _require(self.concurrency_ceiling > 0, "concurrency_ceiling", "must be above 0")


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What the version that runs has learned, for the one that takes over from it: a first measure under a crowd
    would be taken for the usual. `base` is the lowest mean time in service, in aims; 0 where it is not known."""

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
    """Make the next attempt of a request; attempts count from 0."""

    request: int
    server: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetAttemptTimeout:
    """An attempt that had no time-out, as its request's body was open, ends after so long from now on."""

    request: int
    attempt: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call off an attempt that is still out."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless, best after `retry_after_ms` (0: no advice)."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; promises nothing of what happened."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue` at a moment of the clock; tokens hold no spaces."""

    at_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open the standing subscription to the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Send | SetAttemptTimeout | Cancel | Refuse | Fail | SetTimer | Subscribe | Log
