"""When the list of servers is asked for (the contract: umberworks/interface.py).

A change counts as told, heard or not, once a balancer has neither watched nor asked for `ask_within_ms`: the
next call is always due within that of the last that surely counts, through any chain of starts, moves and
failures. Many balancers spread theirs in that bound, as those in step keep discovery's line full for good.
"""

from __future__ import annotations

import random

from umberworks.admission import MANY_BALANCERS
from umberworks.interface import Settings

RETRY_MS = 500.0  # first pause before the list is asked again, doubled at each failure
TURN_MS = 50.0  # that discovery may take for a call
SPARE = 0.05  # of the bound, as a call counts from when it has come
LONGEST_MS = 4_500.0  # after a failed call news counts as told in 6 s, the call's own time included
MANY_FROM, FEW_FROM = 0.8, 0.3  # of the longest pause: where many, and where few, begin theirs


class ListBackoff:
    """The pauses before calls for the list."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._within, self._chance = settings.ask_within_ms, chance
        spread = TURN_MS * settings.balancers * (settings.balancers > MANY_BALANCERS)
        self._span = min(spread, self._within / 2)  # and half as long again at the most
        self.failures = 0  # since the list last came

    def initial_delay(self) -> float:
        """The pause before the first call at a start or after a move: others begin with us."""
        return self._span and self._span * self._chance.random()

    def retry_delay(self, unheard_ms: float) -> float:
        """The pause after a call that failed; a short one where none that counts was made for long."""
        least = min(RETRY_MS * float(2 ** min(self.failures, 9)), self._within / 3)
        most = min(1.5 * max(least, self._span), LONGEST_MS)
        begins = min(least * (0.5 + self.failures), most * (MANY_FROM if self._span else FEW_FROM))
        pause = self._chance.uniform(begins, most)  # soon at first; who fails again waits
        self.failures += 1
        left = self._within * (1 - SPARE) - unheard_ms
        return min(pause, left if left > 0 else least * self._chance.random())
