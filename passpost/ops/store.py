"""The bans in a file that outlives a process and that two versions share. Decides nothing."""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from passpost.ops.model import Bans

log = logging.getLogger(__name__)

MAX_FILE = 4 * 1024 * 1024  # bytes; far beyond any list of upstreams


class Store:
    """Reads and changes the bans at `path`; without a path, or one that can't be written, they live in memory."""

    def __init__(self, path: Path | None) -> None:
        self._path, self._seen = path, (-1, -1, -1)
        self.bans = Bans()
        self.look()

    def look(self) -> bool:
        """Read the file if it has changed; whether it had."""
        if self._path is None:
            return False
        try:
            stat = os.stat(self._path)
        except OSError:
            return False  # nobody has written yet
        seen = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if seen == self._seen:
            return False
        self._seen = seen
        try:
            self.bans = parse(json.loads(self._path.read_bytes()[:MAX_FILE]))
        except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
            log.error("%s: the bans can't be read, the last ones stay: %s", self._path, error)
            return False
        return True

    def change(self, by: Callable[[Bans], Bans]) -> None:
        """Replace the bans, on what the file says now; another process may be at it too."""
        if self._path is None:
            self.bans = by(self.bans)
            return
        try:
            lock = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            self._only_here(by, error)
            return
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)  # held for one small write at a time
            self.look()
        except OSError as error:
            os.close(lock)
            self._only_here(by, error)
            return
        try:
            self.bans = by(self.bans)
            new = self._path.with_suffix(".new")
            new.write_text(json.dumps({"out": sorted(self.bans.out), "back": self.bans.back}))
            stat = os.stat(new)
            os.replace(new, self._path)
            self._seen = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        except OSError as error:
            log.error("%s: the bans hold in this process only: %s", self._path, error)
        finally:
            os.close(lock)

    def _only_here(self, by: Callable[[Bans], Bans], error: OSError) -> None:
        log.error("%s: the bans hold in this process only: %s", self._path, error)
        self.bans = by(self.bans)


def parse(data: Any) -> Bans:
    """The file's object as bans; ValueError, TypeError or LookupError if it is not one."""
    back = {str(name): float(at) for name, at in data["back"].items()}
    if not all(map(math.isfinite, back.values())):
        raise ValueError("back: a moment is not finite")
    if not all(isinstance(name, str) for name in data["out"]):
        raise TypeError("out: an id is not a text")
    return Bans(frozenset(data["out"]), back)
