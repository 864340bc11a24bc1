"""Reads the trace lines from a folder with one log file per balancer."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from passpost.trace.model import parse_list_call, parse_request
from passpost.trace.tables import ListCallRecord, RequestRecord


class NoTraceError(Exception):
    """There are no trace lines to read; the message says why in one sentence."""


def read_records(folder: Path) -> Iterator[RequestRecord | ListCallRecord]:
    """The entries of all *.log files, each with its balancer's name, which is the file's name without `.log`.

    Raises NoTraceError if there are none or a file can't be read. Bytes that are not UTF-8 and incomplete
    lines, as a killed process leaves them, are skipped.
    """
    if not folder.is_dir():
        raise NoTraceError(f"{folder}: no such folder")
    found = False
    try:
        for path in sorted(folder.glob("*.log")):
            with path.open(encoding="utf-8", errors="replace") as file:
                for line in file:
                    if (entry := parse_request(line)) is not None:
                        found = True
                        yield RequestRecord(path.stem, entry)
                    elif (call := parse_list_call(line)) is not None:
                        found = True
                        yield ListCallRecord(path.stem, call)
    except OSError as error:
        raise NoTraceError(f"{folder}: {error.strerror or error}") from None
    if not found:
        raise NoTraceError(f"{folder}: no *.log file in it has trace lines (written with PASSPOST_TRACE=1)")
