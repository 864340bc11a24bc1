"""Translates between the lines of the simulator's protocol and the types of `umberworks.interface`."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from umberworks.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Member,
    Outcome,
    Readiness,
    Refuse,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Send,
    SetAttemptTimeout,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerDue,
)

Fields = dict[str, str]
T = TypeVar("T")

_OUTCOMES = {
    "0": Outcome.ERROR,
    "1": Outcome.SERVED,
    "2": Outcome.TURNED_AWAY,
    "3": Outcome.TIMED_OUT,
    "4": Outcome.UNREACHED,
    "5": Outcome.BROKEN,
    "6": Outcome.CANCELLED,
    "7": Outcome.NOT_SENT,
}
_READINESS = {"0": Readiness.GONE, "1": Readiness.READY, "2": Readiness.DRAINING}
_LIST_KINDS = {"0": ListKind.SAVED, "2": ListKind.WHOLE, "3": ListKind.CHANGES, "4": ListKind.FAILED}
_EFFECTS = {"retryable": Effect.REPEATABLE, "dedup": Effect.KEYED, "fragile": Effect.ONCE}
_DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}

_KNOWN_SETTINGS = frozenset(
    """
    azs balancers classes.count classes.aimStretch classes.target classes.deadline classes.effect
    classes.keyScope classes.lateShare classes.name classes.stream classes.repeatWindow
    classes.worth clients.marksRetry discovery family familyInfo.passesDeadline familyInfo.warmKeys
    goal.whole goal.worstClass goal.worstTenant goal.worstWindow kinds limits.mayCancel
    limits.connIdle limits.connectTimeout limits.cpuUsPerRequest limits.cpuUsPerS limits.attemptsCap
    limits.openCap limits.maxRetryAfter limits.peers limits.probes limits.retryAfter
    limits.mayDuplicate limits.streamsPerConn myNumber overShareWorth prices.connection
    prices.crossZone prices.discovery prices.fleet prices.handshake prices.lateFail prices.moves
    prices.origin prices.peer prices.probe prices.waste telemetry.fields telemetry.how
    contract.graceToAnswer contract.askWithin contract.coldFrom contract.cold contract.drainGrace
    contract.overloadFactor contract.tipAfter orgs orgs.count orgs.name orgs.quotaPerS orgs.portion
    tick tier stages weights worthBy zone
    """.split()
)
_INDEX = re.compile(r"\.\d+\.")


class WireError(ValueError):
    """A line that breaks the simulator's protocol; its text says how."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """A balancer instance starts, with these settings and this seed for its random numbers."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """A balancer instance was killed."""


@dataclass(frozen=True, slots=True)
class ListReference:
    """A list event that refers to its entries by the number of a ledger; None if the call failed."""

    kind: ListKind
    ledger: int | None


def read_fields(parts: list[str]) -> Fields:
    """Parse the name=value parts of a line into a dictionary."""
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        bad = next(part for part in parts if "=" not in part)
        raise WireError(f"{bad!r} is not name=value") from None


def required(fields: Fields, name: str) -> str:
    """The value of a mandatory field."""
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name!r} is missing") from None


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """The finite number in a field, or `default` if the field is missing and there is a default."""
    text = required(fields, name) if default is None else fields.get(name)
    if text is None:
        assert default is not None
        return default
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {name!r} holds {text!r}, which is not a number") from None
    if not math.isfinite(value):  # NaN would pass range checks, and either would corrupt estimates for good
        raise WireError(f"field {name!r} holds {text!r}, which is not a finite number")
    return value


def integer(fields: Fields, name: str) -> int:
    """The integer in a mandatory field."""
    text = required(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name!r} holds {text!r}, which is not a whole number") from None


def _flag(fields: Fields, name: str) -> bool:
    return fields.get(name) in ("1", "true")


def _lookup(table: dict[str, T], fields: Fields, name: str) -> T:
    text = required(fields, name)
    try:
        return table[text]
    except KeyError:
        raise WireError(f"field {name!r} holds {text!r}, which is not one of its values") from None


def _outcome(fields: Fields, warn: Callable[[str], None]) -> Outcome:
    code = required(fields, "verdict")
    known = _OUTCOMES.get(code)
    if known is None:
        warn(f"unknown outcome code {code!r}; treating it as an attempt that may have run")
        return Outcome.UNKNOWN
    return known


def read_member(fields: Fields) -> Member:
    """Parse one entry of a ledger, the numbered server list of the protocol."""
    size = number(fields, "nominal", 1.0)
    if size <= 0:
        raise WireError(f"field 'nominal' holds {size}, which is not a size above 0")
    return Member(
        server=required(fields, "upstream"),
        readiness=_lookup(_READINESS, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(number(fields, "cell", 0.0)),
        size=size,
        up_since_ms=number(fields, "upSince", 0.0),
        kind=fields.get("classOfHost", ""),
    )


def _read_class(values: Fields, prefix: str) -> RequestClass:
    return RequestClass(
        name=required(values, prefix + "name"),
        aim_ms=number(values, prefix + "target"),
        deadline_ms=number(values, prefix + "deadline"),
        effect=_lookup(_EFFECTS, values, prefix + "effect"),
        dedup_scope=_DEDUP_SCOPES.get(values.get(prefix + "keyScope", "all"), DedupScope.CELL),
        dedup_window_ms=number(values, prefix + "repeatWindow", 0.0),
        worth=number(values, prefix + "worth", 1.0),
        late_share=number(values, prefix + "lateShare", 0.0),
        streamed=_flag(values, prefix + "stream"),
    )


def read_settings(values: Fields, warn: Callable[[str], None]) -> Settings:
    """Parse the settings that an instance is started with; unknown ones are reported to `warn` and ignored.

    A setting that is always present and has no neutral default is an error if it is missing: a default that
    suits another deployment would be applied silently.
    """
    for name in values:
        if _INDEX.sub(".", name) not in _KNOWN_SETTINGS:
            warn(f"setting {name!r} is unknown; ignoring it")
    classes = [_read_class(values, f"classes.{i}.") for i in range(integer(values, "classes.count"))]
    tenants = [
        Tenant(required(values, f"orgs.{i}.name"), number(values, f"orgs.{i}.quotaPerS"))
        for i in range(int(number(values, "orgs.count", 0.0)))
    ]
    pulled, cold = values.get("discovery") == "ask", number(values, "contract.cold", 0.0)
    return Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        balancers=int(number(values, "balancers", 1.0)),
        calling_tier=int(number(values, "tier", 0.0)),
        pulls_list=pulled,
        ask_within_ms=number(values, "contract.askWithin", None if pulled else 10_000.0),
        max_attempts=int(number(values, "limits.attemptsCap", 1.0)),
        may_cancel=_flag(values, "limits.mayCancel"),
        may_duplicate=_flag(values, "limits.mayDuplicate"),
        max_retry_after_ms=(
            number(values, "limits.maxRetryAfter", 0.0) if _flag(values, "limits.retryAfter") else 0.0
        ),
        sizes_exact=values.get("weights") == "nominal",
        cold_ms=cold,
        cold_from=number(values, "contract.coldFrom", 1.0),
        cold_overload_factor=number(values, "contract.overloadFactor", 1.0),
        cold_window_ms=number(values, "contract.tipAfter", None if cold else 1_000.0),
        tick_ms=number(values, "tick", 1.0),
    )


def read_event(
    word: str, fields: Fields, warn: Callable[[str], None]
) -> Event | InstanceStarted | InstanceKilled | ListReference | None:
    """Parse the event of one line; None if its kind is unknown, or irrelevant to a balancer."""
    match word:
        case "knock":
            return RequestArrived(
                integer(fields, "corr"),
                required(fields, "grade"),
                number(fields, "remaining"),
                fields.get("customer"),
            )
        case "verdict":
            return AttemptEnded(
                integer(fields, "corr"),
                integer(fields, "shot"),
                required(fields, "upstream"),
                _outcome(fields, warn),
                fields.get("complete") == "1",
            )
        case "reminder":
            return TimerDue(required(fields, "ctx"))
        case "client_gone":
            return ClientDisconnected(integer(fields, "corr"))
        case "established":
            return ResponseStarted(integer(fields, "corr"), integer(fields, "shot"))
        case "membership":
            kind = _lookup(_LIST_KINDS, fields, "mode")
            return ListReference(kind, None if kind is ListKind.FAILED else integer(fields, "list"))
        case "up":
            values = {name: value for name, value in fields.items() if name not in ("who", "prng")}
            return InstanceStarted(integer(fields, "prng"), read_settings(values, warn))
        case "killed":
            return InstanceKilled()
        case "note_from" | "check_result":
            return None
    warn(f"event {word!r} is unknown; ignoring it")
    return None


def list_update(reference: ListReference, members: tuple[Member, ...]) -> ListUpdate:
    """The list event with the entries that it refers to."""
    return ListUpdate(reference.kind, members)


def write_action(instance: str, action: Action) -> str:
    """Format an action as a line of the reply; raises ValueError for an action that the protocol lacks."""
    match action:
        case Send(request, server, timeout):
            return f"send who={instance} corr={request} upstream={server} timeout={timeout:.3f}"
        case SetTimer(at, token):
            return f"remind who={instance} moment={at:.3f} ctx={token}"
        case Refuse(request, retry_after):
            advice = f" stayAway={retry_after:.3f}" if retry_after > 0 else ""
            return f"reject who={instance} corr={request}{advice}"
        case Fail(request):
            return f"abort who={instance} corr={request}"
        case Cancel(request, attempt):
            return f"cancel who={instance} corr={request} shot={attempt}"
        case Subscribe():
            return f"follow who={instance} enable=1"
        case SetAttemptTimeout():
            raise ValueError("the simulator's protocol has no requests with an open body")
        case Log(text):
            return f"say_log who={instance} bodyText={_one_line(text)}"


def write_failure(instance: str, error: BaseException) -> str:
    """Format the line that reports an exception in the decision code of an instance."""
    return f"give_in who={instance} bodyText={_one_line(f'{type(error).__name__}: {error}')}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
