"""Keeps the detached upstreams in a file that outlives the process and is shared by two running versions.

Operators see this file, and log lines about it, under the name "bans".
"""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from passpost.ops.model import DetachState

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 4 * 1024 * 1024  # far more than any server list needs


class DetachStore:
    """Reads and changes the state at `path`.

    Without a path, or if the file can't be written, the state is in memory only.
    """

    def __init__(self, path: Path | None) -> None:
        self._path, self._file_version = path, (-1, -1, -1)
        self.state = DetachState()
        self.refresh()

    def refresh(self) -> bool:
        """Read the file if it has changed since it was last read or written here; True if it was read.

        A file that can't be read or parsed is logged, and the state stays as it was.
        """
        if self._path is None:
            return False
        try:
            stat = os.stat(self._path)
        except OSError:
            return False  # no process has written the file yet
        file_version = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if file_version == self._file_version:
            return False
        self._file_version = file_version
        try:
            self.state = parse(json.loads(self._path.read_bytes()[:MAX_FILE_BYTES]))
        except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
            log.error("%s: cannot read the bans; keeping the previous ones: %s", self._path, error)
            return False
        return True

    def change(self, update: Callable[[DetachState], DetachState]) -> None:
        """Replace the state by `update` of what the file says now, under a lock against the other process.

        If the file can't be locked or written, the change applies to the state in memory and an error is
        logged.
        """
        if self._path is None:
            self.state = update(self.state)
            return
        try:
            lock = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            self._change_in_memory(update, error)
            return
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)  # blocks, but each holder only does one small write
            self.refresh()
        except OSError as error:
            os.close(lock)
            self._change_in_memory(update, error)
            return
        try:
            self.state = update(self.state)
            new = self._path.with_suffix(".new")
            new.write_text(
                json.dumps({"out": sorted(self.state.detached), "back": self.state.attached_at_ms})
            )
            stat = os.stat(new)
            os.replace(new, self._path)
            self._file_version = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        except OSError as error:
            log.error("%s: the bans hold in this process only: %s", self._path, error)
        finally:
            os.close(lock)

    def _change_in_memory(self, update: Callable[[DetachState], DetachState], error: OSError) -> None:
        log.error("%s: the bans hold in this process only: %s", self._path, error)
        self.state = update(self.state)


def parse(data: Any) -> DetachState:
    """The state in the file's JSON.

    Raises ValueError, TypeError, LookupError or AttributeError if it is malformed.
    """
    attached_at_ms = {str(name): float(at) for name, at in data["back"].items()}
    if not all(map(math.isfinite, attached_at_ms.values())):
        raise ValueError("back: a time is not finite")
    if not all(isinstance(name, str) for name in data["out"]):
        raise TypeError("out: an id is not a string")
    return DetachState(frozenset(data["out"]), attached_at_ms)
