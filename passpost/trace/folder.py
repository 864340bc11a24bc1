"""A folder of balancers' logs, a file each."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from passpost.trace.model import read, read_call
from passpost.trace.tables import Asked, Step


class NoTraceError(Exception):
    """There is nothing to add up; one sentence says why."""


def steps(folder: Path) -> Iterator[Step | Asked]:
    """The entries of all files named *.log, each with its balancer's name; NoTraceError if there is none.

    Bytes that are no UTF-8 and lines that are cut short, as by a kill, are passed over.
    """
    if not folder.is_dir():
        raise NoTraceError(f"{folder}: no such folder")
    found = False
    try:
        for path in sorted(folder.glob("*.log")):
            with path.open(encoding="utf-8", errors="replace") as file:
                for line in file:
                    if (entry := read(line)) is not None:
                        found = True
                        yield Step(path.stem, entry)
                    elif (call := read_call(line)) is not None:
                        found = True
                        yield Asked(path.stem, call)
    except OSError as error:
        raise NoTraceError(f"{folder}: {error.strerror or error}") from None
    if not found:
        raise NoTraceError(f"{folder}: no *.log in it has lines of PASSPOST_TRACE=1")
