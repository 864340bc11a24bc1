"""Ids of unsafe requests that were sent to a server and whose clients left before the answer. No I/O.

Such a request may have run, or may yet. A client that sends it once more on a new connection, as it may when its old
one closed, must not make it run a second time.
"""

from __future__ import annotations

MAX_IDS = 4_096  # beyond it the oldest is forgotten


class SpentIds:
    """The ids, each until its client has stopped to wait."""

    def __init__(self) -> None:
        self._until: dict[bytes, float] = {}  # in the order in which they were added

    def add(self, txn: bytes, until: float) -> None:
        """Keep an id until a time, in seconds of any clock that never goes back."""
        self._until.pop(txn, None)
        self._until[txn] = until
        if len(self._until) > MAX_IDS:
            del self._until[next(iter(self._until))]

    def contains(self, txn: bytes, now: float) -> bool:
        """Whether a request with this id may not be sent at `now`."""
        until = self._until.get(txn)
        if until is None:
            return False
        if until > now:
            return True
        del self._until[txn]
        return False
