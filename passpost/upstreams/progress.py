"""How long an answer may go on after its request's time is up: for as long as it makes progress. No I/O.

Which answers are long is not known in advance: a length may be missing, and the first bytes of a long answer look like
those of a short one. So one rule holds for all framings. An answer makes progress if its bytes of the last WINDOW_S
seconds reach a minimum rate, which depends on what is known of it:

    up to `long_above` bytes passed on        MIN_RATE_BYTES_PER_S, as it may still turn out short
    more, and its length is unknown           MIN_ENDLESS_RATE_BYTES_PER_S, as it may never end
    more, and its length is known             one byte in the window

Seconds in which the client, and not the upstream, holds the answer up do not count.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 2.0  # DAYS: nobody may hold back the rest of a long answer for longer
MIN_RATE_BYTES_PER_S = 1_024
MIN_ENDLESS_RATE_BYTES_PER_S = 64
SAMPLE_S = 0.1  # bytes that arrive within this time are counted as one sample


class AnswerProgress:
    """The bytes of one answer that were passed on, and until when they allow it to go on."""

    def __init__(self, long_above: int, is_length_known: bool, now: float) -> None:
        """Start at the head of the answer; `now` is in seconds of any clock that never goes back."""
        self._long_above_bytes, self._is_length_known = long_above, is_length_known
        self._passed_bytes = 0
        self._rated_since = now  # start of the time over which the rate is taken
        self._grace_until = now
        self._last_at = now
        self._samples: deque[list[float]] = deque()  # time of the last byte and number of bytes, oldest first

    def add(self, now: float, size: int) -> None:
        """Record `size` bytes that were passed on."""
        self._passed_bytes += size
        self._last_at = now
        if self._samples and now - self._samples[-1][0] < SAMPLE_S:
            self._samples[-1][1] += size
            return
        self._samples.append([now, size])
        while self._samples[0][0] <= now - WINDOW_S - SAMPLE_S:
            self._samples.popleft()

    def client_caught_up(self, now: float) -> None:
        """Judge the upstream anew, as its client had held the answer up until now."""
        self._samples.clear()
        self._rated_since = self._last_at = now
        self._grace_until = now + WINDOW_S

    def deadline(self, now: float) -> float:
        """Until when the answer may go on if no further byte arrives; `now` or earlier if it has to end."""
        if self._passed_bytes > self._long_above_bytes and self._is_length_known:
            return self._last_at + WINDOW_S
        return max(self._rate_deadline(now), self._grace_until)

    def _rate_deadline(self, now: float) -> float:
        is_long = self._passed_bytes > self._long_above_bytes
        rate = MIN_ENDLESS_RATE_BYTES_PER_S if is_long else MIN_RATE_BYTES_PER_S
        recent = [sample for sample in self._samples if sample[0] > now - WINDOW_S]
        received = sum(size for _, size in recent)
        # An answer younger than the window has to reach the rate over its own age.
        latest = min(self._rated_since + received / rate, self._rated_since + WINDOW_S)
        for at, size in recent:  # the window fails once it loses the sample without which too little is left
            if received < rate * WINDOW_S:
                break
            latest = max(latest, at + WINDOW_S)
            received -= size
        return latest
