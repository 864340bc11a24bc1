"""Formats and parses the trace lines of requests and of calls to discovery. No I/O."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

LINE_PREFIX = "trace "  # starts a request's entry; what the logging puts before it in a line is ignored
_REQUEST_PATTERN = re.compile(
    r"\btrace txn=(?P<txn>\S+) class=(?P<cls>\S+) at_ms=(?P<at>\d+) took_ms=(?P<took>\d+) end=(?P<end>[a-z]+)"
    r" tries=(?P<tries>\S+)\s*$"
)
_ATTEMPT_PATTERN = re.compile(
    r"(?P<server>.+)/(?P<after>\d+)/(?P<took>\d+)/(?P<outcome>[a-z_]+)(?:/(?P<written>\d+))?"
)
_LIST_CALL_PATTERN = re.compile(
    r"\btrace-list place=(?P<place>\S+) after=(?P<after>-|\d+) wait_ms=(?P<wait>\d+) at_ms=(?P<at>\d+)"
    r" took_ms=(?P<took>\d+) end=(?P<end>[a-z0-9_]+) away=(?P<away>\S+)\s*$"
)
_NO_VALUE = "-"


class RequestEnd(enum.Enum):
    """How a request ended at one balancer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the caller left before its answer


@dataclass(frozen=True, slots=True)
class AttemptEntry:
    """One attempt of a request.

    `after_ms`: from the request's arrival to the choice of the server. `took_ms`: from that choice to the end
    of the attempt. `written_ms`: from that choice until the request was written in full, None if it never
    was. `outcome`: the value of the decision module's `Outcome`, with "_" for a space.
    """

    server: str
    after_ms: int
    took_ms: int
    outcome: str
    written_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RequestEntry:
    """One request at one balancer; `at_ms`, the time of its arrival, is Unix time in milliseconds."""

    txn: str
    class_name: str
    at_ms: int
    took_ms: int
    end: RequestEnd
    tries: tuple[AttemptEntry, ...]

    def reason(self) -> str:
        """Why the request was not served: the last attempt's outcome, or "not_sent" without attempts."""
        if self.end is RequestEnd.SERVED:
            return "served"
        return self.tries[-1].outcome if self.tries else "not_sent"


def format_request(entry: RequestEntry) -> str:
    """The text of a trace line, without what the logging puts before it."""
    tries = ",".join(
        f"{t.server}/{t.after_ms}/{t.took_ms}/{t.outcome}{'' if t.written_ms is None else f'/{t.written_ms}'}"
        for t in entry.tries
    )
    return (
        f"{LINE_PREFIX}txn={entry.txn} class={entry.class_name} at_ms={entry.at_ms} took_ms={entry.took_ms}"
        f" end={entry.end.value} tries={tries or _NO_VALUE}"
    )


def parse_request(line: str) -> RequestEntry | None:
    """The entry in a log line; None if the line has no entry or an incomplete one."""
    if LINE_PREFIX not in line or (found := _REQUEST_PATTERN.search(line)) is None:
        return None
    tries = []
    if found["tries"] != _NO_VALUE:
        for text in found["tries"].split(","):
            if (attempt := _ATTEMPT_PATTERN.fullmatch(text)) is None:
                return None
            written = None if attempt["written"] is None else int(attempt["written"])
            tries.append(
                AttemptEntry(
                    attempt["server"],
                    int(attempt["after"]),
                    int(attempt["took"]),
                    attempt["outcome"],
                    written,
                )
            )
    try:
        end = RequestEnd(found["end"])
    except ValueError:
        return None
    return RequestEntry(found["txn"], found["cls"], int(found["at"]), int(found["took"]), end, tuple(tries))


@dataclass(frozen=True, slots=True)
class ListCallEntry:
    """One call to discovery at the address `place`; `at_ms`, its start, is Unix time in milliseconds.

    `after`: the revision after which changes were asked for, None for the whole list. `end`: answered,
    timed_out, cut_off, unreached, dropped (the call was cancelled), or what was wrong with the answer, such
    as status_503. `away`: servers in the answer with their phase, "leaving" or "left".
    """

    place: str
    after: int | None
    wait_ms: int
    at_ms: int
    took_ms: int
    end: str
    away: tuple[tuple[str, str], ...] = ()


def format_list_call(call: ListCallEntry) -> str:
    """The text of a trace line, without what the logging puts before it."""
    away = ",".join(f"{server}/{phase}" for server, phase in call.away)
    return (
        f"trace-list place={call.place} after={_NO_VALUE if call.after is None else call.after} wait_ms={call.wait_ms}"
        f" at_ms={call.at_ms} took_ms={call.took_ms} end={call.end} away={away or _NO_VALUE}"
    )


def parse_list_call(line: str) -> ListCallEntry | None:
    """The call to discovery in a log line; None if the line has none or an incomplete one."""
    if "trace-list " not in line or (found := _LIST_CALL_PATTERN.search(line)) is None:
        return None
    away = []
    for text in found["away"].split(",") if found["away"] != _NO_VALUE else ():
        server, _, phase = text.rpartition("/")
        if not server or phase not in ("leaving", "left"):
            return None
        away.append((server, phase))
    after = None if found["after"] == _NO_VALUE else int(found["after"])
    wait, at, took = int(found["wait"]), int(found["at"]), int(found["took"])
    return ListCallEntry(found["place"], after, wait, at, took, found["end"], tuple(away))
