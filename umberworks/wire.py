"""The codec between the simulator's lines and the types of `umberworks.interface`; it decides nothing."""

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
_GROUPS = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}

_KNOWN_FACTS = frozenset(
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
    """A line that the wire does not allow, with a plain reason."""


@dataclass(frozen=True, slots=True)
class Start:
    """An instance comes up."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance has been killed."""


@dataclass(frozen=True, slots=True)
class ListNews:
    """A list event that names its entries by the number of a ledger."""

    kind: ListKind
    ledger: int | None


def read_fields(parts: list[str]) -> Fields:
    """The name=value parts of a line as a dictionary."""
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        bad = next(part for part in parts if "=" not in part)
        raise WireError(f"{bad!r} is not name=value") from None


def need(fields: Fields, name: str) -> str:
    """A field that must be there."""
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name!r} is missing") from None


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """A field that holds a number."""
    text = need(fields, name) if default is None else fields.get(name)
    if text is None:
        assert default is not None
        return default
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {name!r} holds {text!r}, which is no number") from None
    if not math.isfinite(value):  # it would pass every comparison and spoil estimates for good
        raise WireError(f"field {name!r} holds {text!r}, which is no finite number")
    return value


def whole(fields: Fields, name: str) -> int:
    """A field that holds a whole number."""
    text = need(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name!r} holds {text!r}, which is no whole number") from None


def _flag(fields: Fields, name: str) -> bool:
    return fields.get(name) in ("1", "true")


def _word(table: dict[str, T], fields: Fields, name: str) -> T:
    text = need(fields, name)
    try:
        return table[text]
    except KeyError:
        raise WireError(f"field {name!r} holds {text!r}, which has no meaning there") from None


def _outcome(fields: Fields, note: Callable[[str], None]) -> Outcome:
    code = need(fields, "verdict")
    known = _OUTCOMES.get(code)
    if known is None:
        note(f"outcome code {code!r} is unknown; taken as one that may have run")
        return Outcome.UNKNOWN
    return known


def read_member(fields: Fields) -> Member:
    """One entry of a ledger."""
    size = number(fields, "nominal", 1.0)
    if size <= 0:
        raise WireError(f"field 'nominal' holds {size}, which is no size above 0")
    return Member(
        server=need(fields, "upstream"),
        readiness=_word(_READINESS, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(number(fields, "cell", 0.0)),
        size=size,
        up_since_ms=number(fields, "upSince", 0.0),
        kind=fields.get("classOfHost", ""),
    )


def _read_class(facts: Fields, prefix: str) -> RequestClass:
    return RequestClass(
        name=need(facts, prefix + "name"),
        aim_ms=number(facts, prefix + "target"),
        deadline_ms=number(facts, prefix + "deadline"),
        effect=_word(_EFFECTS, facts, prefix + "effect"),
        dedup_scope=_GROUPS.get(facts.get(prefix + "keyScope", "all"), DedupScope.CELL),
        dedup_window_ms=number(facts, prefix + "repeatWindow", 0.0),
        worth=number(facts, prefix + "worth", 1.0),
        late_share=number(facts, prefix + "lateShare", 0.0),
        streamed=_flag(facts, prefix + "stream"),
    )


def read_settings(facts: Fields, note: Callable[[str], None]) -> Settings:
    """The settings that come with an instance's start.

    What the form always has and no neutral value can stand for is an error if missing: another deployment's figure
    in its place would be kept to in silence.
    """
    for name in facts:
        if _INDEX.sub(".", name) not in _KNOWN_FACTS:
            note(f"setting {name!r} is unknown and ignored")
    classes = [_read_class(facts, f"classes.{i}.") for i in range(whole(facts, "classes.count"))]
    tenants = [
        Tenant(need(facts, f"orgs.{i}.name"), number(facts, f"orgs.{i}.quotaPerS"))
        for i in range(int(number(facts, "orgs.count", 0.0)))
    ]
    asked, cold = facts.get("discovery") == "ask", number(facts, "contract.cold", 0.0)
    return Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        balancers=int(number(facts, "balancers", 1.0)),
        calling_tier=int(number(facts, "tier", 0.0)),
        pulls_list=asked,
        ask_within_ms=number(facts, "contract.askWithin", None if asked else 10_000.0),
        max_attempts=int(number(facts, "limits.attemptsCap", 1.0)),
        may_cancel=_flag(facts, "limits.mayCancel"),
        may_duplicate=_flag(facts, "limits.mayDuplicate"),
        max_retry_after_ms=(
            number(facts, "limits.maxRetryAfter", 0.0) if _flag(facts, "limits.retryAfter") else 0.0
        ),
        sizes_exact=facts.get("weights") == "nominal",
        cold_ms=cold,
        cold_from=number(facts, "contract.coldFrom", 1.0),
        cold_overload_factor=number(facts, "contract.overloadFactor", 1.0),
        cold_window_ms=number(facts, "contract.tipAfter", None if cold else 1_000.0),
        tick_ms=number(facts, "tick", 1.0),
    )


def read_event(
    word: str, fields: Fields, note: Callable[[str], None]
) -> Event | Start | Stop | ListNews | None:
    """The event of one line, or None for a kind that is unknown or of no use to a balancer."""
    match word:
        case "knock":
            return RequestArrived(
                whole(fields, "corr"),
                need(fields, "grade"),
                number(fields, "remaining"),
                fields.get("customer"),
            )
        case "verdict":
            return AttemptEnded(
                whole(fields, "corr"),
                whole(fields, "shot"),
                need(fields, "upstream"),
                _outcome(fields, note),
                fields.get("complete") == "1",
            )
        case "reminder":
            return TimerDue(need(fields, "ctx"))
        case "client_gone":
            return ClientDisconnected(whole(fields, "corr"))
        case "established":
            return ResponseStarted(whole(fields, "corr"), whole(fields, "shot"))
        case "membership":
            kind = _word(_LIST_KINDS, fields, "mode")
            return ListNews(kind, None if kind is ListKind.FAILED else whole(fields, "list"))
        case "up":
            facts = {name: value for name, value in fields.items() if name not in ("who", "prng")}
            return Start(whole(fields, "prng"), read_settings(facts, note))
        case "killed":
            return Stop()
        case "note_from" | "check_result":
            return None
    note(f"event {word!r} is unknown and ignored")
    return None


def list_update(news: ListNews, members: tuple[Member, ...]) -> ListUpdate:
    """The list event with the entries of its ledger."""
    return ListUpdate(news.kind, members)


def write_action(who: str, action: Action) -> str:
    """One action as a line of the reply."""
    match action:
        case Send(request, server, timeout):
            return f"send who={who} corr={request} upstream={server} timeout={timeout:.3f}"
        case SetTimer(at, token):
            return f"remind who={who} moment={at:.3f} ctx={token}"
        case Refuse(request, retry_after):
            advice = f" stayAway={retry_after:.3f}" if retry_after > 0 else ""
            return f"reject who={who} corr={request}{advice}"
        case Fail(request):
            return f"abort who={who} corr={request}"
        case Cancel(request, attempt):
            return f"cancel who={who} corr={request} shot={attempt}"
        case Subscribe():
            return f"follow who={who} enable=1"
        case SetAttemptTimeout():
            raise ValueError("no request on the simulator's wire has an open body")
        case Log(text):
            return f"say_log who={who} bodyText={_one_line(text)}"


def write_fault(who: str, error: BaseException) -> str:
    """The line that says that an instance's decision code has failed."""
    return f"give_in who={who} bodyText={_one_line(f'{type(error).__name__}: {error}')}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
