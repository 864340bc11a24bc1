"""When the list of servers is asked for (the contract: umberworks/interface.py).

A change counts as told, heard or not, once a balancer has neither watched nor asked for `ask_within_ms`.
So at every moment the next call is due within that of the last one that surely counts, through any chain of
starts, moves and failures. Many balancers spread their calls, as those that ask in step keep discovery's
line full for good: the spread lives inside that bound.
"""

from __future__ import annotations

import random

from umberworks.interface import Settings
from umberworks.room import MANY

RETRY_MS = 500.0  # first pause before the list is asked again, doubled at each failure
TURN_MS = 50.0  # that discovery may take for a call
SPARE = 0.05  # of the bound, as a call counts from when it has come
# After a failed call a change counts as told 6 s after discovery had it; 2 s may be its answer's, 0.5 s are spare.
LONGEST_MS = 3_500.0


class Asking:
    """The pauses before calls for the list."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._within, self._chance = settings.ask_within_ms, chance
        spread = TURN_MS * settings.balancers * (settings.balancers > MANY)
        self._span = min(spread, self._within / 2)  # and half as long again at the most
        self.failures = 0  # since the list last came

    def first(self) -> float:
        """The pause before the first call at a start or after a move: others begin with us."""
        return self._span and self._span * self._chance.random()

    def again(self, unheard_ms: float) -> float:
        """The pause after a call that failed; a short one where none that counts was made for long."""
        least = min(RETRY_MS * float(2 ** min(self.failures, 9)), self._within / 3)
        most = min(1.5 * max(least, self._span), LONGEST_MS)
        pause = self._chance.uniform(min(0.5 * least, most / 3), most)
        self.failures += 1
        left = self._within * (1 - SPARE) - unheard_ms
        return min(pause, left if left > 0 else least * self._chance.random())
