"""Delays between the calls for the server list (the contract: umberworks/interface.py).

A balancer that has neither watched nor asked for the list for `ask_within_ms` counts as informed of every
change, whether it has received it or not. So the next call is always due within that time of the last call
that certainly counts, through any sequence of starts, moves and failures. Many balancers spread their calls
within that time: if they called in step, the queue of calls at discovery would stay full for good.
"""

from __future__ import annotations

import random

from umberworks.admission import MANY_BALANCERS
from umberworks.interface import Settings

RETRY_BASE_MS = 500.0  # base of the first retry delay, doubled at each failure
DISCOVERY_CALL_MS = 50.0  # time that discovery may take for a call
DEADLINE_MARGIN = 0.05  # share of `ask_within_ms` kept free, as a call counts only once it has arrived
# After a failed call a change counts as known within 6 s, which includes the time of the next call.
MAX_DELAY_MS = 4_500.0
# Upper bound of the earliest delay, as a share of the longest: with many balancers, and with few.
MANY_FROM_SHARE, FEW_FROM_SHARE = 0.8, 0.3


class ListBackoff:
    """Draws the delays before calls for the list, with jitter and exponential backoff."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._ask_within_ms, self._random = settings.ask_within_ms, rng
        spread_ms = DISCOVERY_CALL_MS * settings.balancers * (settings.balancers > MANY_BALANCERS)
        self._spread_ms = min(spread_ms, self._ask_within_ms / 2)  # retry delays: up to 1.5 times this
        self.failures = 0  # failed calls since the list was last received

    def initial_delay(self) -> float:
        """The delay in ms before the first call after a start or a move, when other balancers call too."""
        return self._spread_ms and self._spread_ms * self._random.random()

    def retry_delay(self, since_contact_ms: float) -> float:
        """The delay in ms after a failed call.

        `since_contact_ms`: the time since the last call that certainly counts. The delay is short if that is
        too long ago.
        """
        base_delay = min(RETRY_BASE_MS * float(2 ** min(self.failures, 9)), self._ask_within_ms / 3)
        longest = min(1.5 * max(base_delay, self._spread_ms), MAX_DELAY_MS)
        # Delays are short at first and grow with each failure.
        earliest = min(
            base_delay * (0.5 + self.failures),
            longest * (MANY_FROM_SHARE if self._spread_ms else FEW_FROM_SHARE),
        )
        delay = self._random.uniform(earliest, longest)
        self.failures += 1
        left = self._ask_within_ms * (1 - DEADLINE_MARGIN) - since_contact_ms
        return min(delay, left if left > 0 else base_delay * self._random.random())
