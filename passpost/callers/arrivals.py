"""When bytes of a client arrived that were read only later. No I/O.

While reading is paused, a request may arrive and wait in the kernel, and its time runs. Looks at the length of the
kernel's queue tell when it came, to within the interval of the looks; the earliest possible time is taken.
"""

from __future__ import annotations

from collections import deque


class Arrivals:
    """The growth of what one connection has received, read or not."""

    def __init__(self) -> None:
        self._looks: deque[tuple[int, float]] = deque()  # bytes received in all, and by when
        self._last_look: float | None = None  # None if nothing has waited since
        self.last_at = 0.0  # when the latest bytes arrived

    def reading_paused(self) -> None:
        """Start anew: until now nothing waited, so that what is found next has just arrived."""
        self._last_look = None

    def reading_resumed(self, read_bytes: int) -> None:
        """Drop what concerns only the first `read_bytes` bytes, which have been read."""
        while self._looks and self._looks[0][0] <= read_bytes:
            self._looks.popleft()

    def look(self, now: float, received_bytes: int) -> None:
        """Record that `received_bytes` in all had arrived by `now`, by any clock that never goes back."""
        arrived_at = now if self._last_look is None else self._last_look
        if not self._looks or received_bytes > self._looks[-1][0]:
            self._looks.append((received_bytes, arrived_at))
            self.last_at = arrived_at
        self._last_look = now

    def time_of(self, position: int, now: float) -> float:
        """When the byte before `position` arrived; `now` if it was not seen to wait."""
        return next((at for received, at in self._looks if received >= position), now)
