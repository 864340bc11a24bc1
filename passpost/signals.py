"""What the processes do on SIGHUP, SIGTERM and SIGINT, from the first moment that they can to their end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

RELOAD_GAP_S = 0.1  # a file that is read again for each of thousands of signals would hold up all else

STOPS = (signal.SIGTERM, signal.SIGINT)
ALL = (signal.SIGHUP, *STOPS)


class Signals:
    """Handlers on a loop: SIGHUP reloads, SIGTERM and SIGINT stop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None], stop: Callable[[], object]
    ) -> None:
        self._loop, self._reload = loop, reload
        self._pending: asyncio.TimerHandle | None = None
        self._next_reload_at = 0.0
        loop.add_signal_handler(signal.SIGHUP, self._hang_up)  # first of all: unhandled, it ends the process
        for number in STOPS:
            loop.add_signal_handler(number, stop)

    def _hang_up(self) -> None:
        """Reload once for all signals that have come up to then; the first in a while at once."""
        if self._pending is None:
            self._pending = self._loop.call_at(self._next_reload_at, self._due)

    def _due(self) -> None:
        self._pending = None
        self._next_reload_at = self._loop.time() + RELOAD_GAP_S
        self._reload()

    def ignore(self) -> None:
        """The work is done: from now on to the end of the process signals do nothing.

        A loop that closes gives its signals their default effects back, and one that came then would end a process
        that has done all it should with the status of a crash. They are blocked meanwhile: each would have its
        default effect for a moment.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, ALL)
        for number in ALL:
            self._loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, ALL)
