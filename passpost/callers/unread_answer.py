"""How long a client has read nothing of what was written to it. No I/O.

The write buffer alone does not tell: a kernel may hold megabytes in front of it, so that it stands still for many
seconds while the client reads steadily. What counts is what the client has acknowledged.
"""

from __future__ import annotations


class UnreadAnswer:
    """The bytes written to one client, and when it last acknowledged some of them."""

    def __init__(self) -> None:
        self.written_bytes = 0  # all bytes written on this connection
        self._acknowledged_bytes = 0
        self._progress_at: float | None = None  # None while nothing is held up

    @property
    def is_held_up(self) -> bool:
        """Whether something waited for the client when it was last observed."""
        return self._progress_at is not None

    def observe(self, now: float, unacknowledged_bytes: int) -> float:
        """Seconds without progress at `now`, by any clock that never goes back.

        `unacknowledged_bytes`: what the client has yet to acknowledge; 0 if nothing is held up.
        """
        acknowledged = self.written_bytes - unacknowledged_bytes
        if not unacknowledged_bytes:
            self._progress_at = None
        elif self._progress_at is None or acknowledged > self._acknowledged_bytes:
            self._progress_at = now
        self._acknowledged_bytes = acknowledged
        return now - self._progress_at if self._progress_at is not None else 0.0
