"""One request's line: what became of it at one balancer, and of each attempt. Written, and read again. No I/O."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

MARK = "trace "  # a line's text begins with it; whatever a log puts before is not looked at
_LINE = re.compile(
    r"\btrace txn=(?P<txn>\S+) class=(?P<cls>\S+) at_ms=(?P<at>\d+) took_ms=(?P<took>\d+) end=(?P<end>[a-z]+)"
    r" tries=(?P<tries>\S+)\s*$"
)
_TRY = re.compile(r"(?P<server>.+)/(?P<after>\d+)/(?P<took>\d+)/(?P<outcome>[a-z_]+)")
_OPEN = "-"


class End(enum.Enum):
    """How a request ended at a balancer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the caller had gone


@dataclass(frozen=True, slots=True)
class Try:
    """One attempt: after so long, for so long, both in milliseconds, and its outcome by the module's name."""

    server: str
    after_ms: int
    took_ms: int
    outcome: str


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
    tries = ",".join(f"{t.server}/{t.after_ms}/{t.took_ms}/{t.outcome}" for t in entry.tries)
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
            tries.append(Try(one["server"], int(one["after"]), int(one["took"]), one["outcome"]))
    try:
        end = End(found["end"])
    except ValueError:
        return None
    return Entry(found["txn"], found["cls"], int(found["at"]), int(found["took"]), end, tuple(tries))
