"""One request's line, and one call's for the list: written, and read again. No I/O."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

MARK = "trace "  # a line's text begins with it; whatever a log puts before is not looked at
_LINE = re.compile(
    r"\btrace txn=(?P<txn>\S+) class=(?P<cls>\S+) at_ms=(?P<at>\d+) took_ms=(?P<took>\d+) end=(?P<end>[a-z]+)"
    r" tries=(?P<tries>\S+)\s*$"
)
_TRY = re.compile(r"(?P<server>.+)/(?P<after>\d+)/(?P<took>\d+)/(?P<outcome>[a-z_]+)(?:/(?P<written>\d+))?")
_CALL = re.compile(
    r"\btrace-list place=(?P<place>\S+) after=(?P<after>-|\d+) wait_ms=(?P<wait>\d+) at_ms=(?P<at>\d+)"
    r" took_ms=(?P<took>\d+) end=(?P<end>[a-z0-9_]+) away=(?P<away>\S+)\s*$"
)
_OPEN = "-"


class End(enum.Enum):
    """How a request ended at a balancer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the caller had gone


@dataclass(frozen=True, slots=True)
class Try:
    """One attempt: chosen after so long, for so long, both in milliseconds, and its outcome by the module's name.

    `written_ms`: how long after the choice it had gone out, None if it never did.
    """

    server: str
    after_ms: int
    took_ms: int
    outcome: str
    written_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """One request at one balancer; `at_ms` is Unix time in milliseconds."""

    txn: str
    class_name: str
    at_ms: int
    took_ms: int
    end: End
    tries: tuple[Try, ...]

    def reason(self) -> str:
        """Why it was not served: the last attempt's outcome, or that there was none."""
        if self.end is End.SERVED:
            return "served"
        return self.tries[-1].outcome if self.tries else "not_sent"


def write(entry: Entry) -> str:
    """An entry as a line's text."""
    tries = ",".join(
        f"{t.server}/{t.after_ms}/{t.took_ms}/{t.outcome}{'' if t.written_ms is None else f'/{t.written_ms}'}"
        for t in entry.tries
    )
    return (
        f"{MARK}txn={entry.txn} class={entry.class_name} at_ms={entry.at_ms} took_ms={entry.took_ms}"
        f" end={entry.end.value} tries={tries or _OPEN}"
    )


def read(line: str) -> Entry | None:
    """The entry of a line of a log; None if it holds none, or one that is cut short."""
    if MARK not in line or (found := _LINE.search(line)) is None:
        return None
    tries = []
    if found["tries"] != _OPEN:
        for text in found["tries"].split(","):
            if (one := _TRY.fullmatch(text)) is None:
                return None
            written = None if one["written"] is None else int(one["written"])
            tries.append(Try(one["server"], int(one["after"]), int(one["took"]), one["outcome"], written))
    try:
        end = End(found["end"])
    except ValueError:
        return None
    return Entry(found["txn"], found["cls"], int(found["at"]), int(found["took"]), end, tuple(tries))


@dataclass(frozen=True, slots=True)
class Call:
    """One call for the list at one place; `at_ms` is Unix time in milliseconds, `after` None for the whole list.

    `end`: answered, status_503 and the like, timed_out, cut_off, unreached or dropped. `away`: servers that the answer
    says leave ("leaving") or have left ("left").
    """

    place: str
    after: int | None
    wait_ms: int
    at_ms: int
    took_ms: int
    end: str
    away: tuple[tuple[str, str], ...] = ()


def write_call(call: Call) -> str:
    """A call as a line's text."""
    away = ",".join(f"{server}/{phase}" for server, phase in call.away)
    return (
        f"trace-list place={call.place} after={_OPEN if call.after is None else call.after} wait_ms={call.wait_ms}"
        f" at_ms={call.at_ms} took_ms={call.took_ms} end={call.end} away={away or _OPEN}"
    )


def read_call(line: str) -> Call | None:
    """The call of a line of a log; None if it holds none, or one that is cut short."""
    if "trace-list " not in line or (found := _CALL.search(line)) is None:
        return None
    away = []
    for text in found["away"].split(",") if found["away"] != _OPEN else ():
        server, _, phase = text.rpartition("/")
        if not server or phase not in ("leaving", "left"):
            return None
        away.append((server, phase))
    after = None if found["after"] == _OPEN else int(found["after"])
    wait, at, took = int(found["wait"]), int(found["at"]), int(found["took"])
    return Call(found["place"], after, wait, at, took, found["end"], tuple(away))
