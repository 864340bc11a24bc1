"""What the processes do on SIGHUP, SIGTERM and SIGINT, from the first moment that they can to their end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

STOPS = (signal.SIGTERM, signal.SIGINT)
ALL = (signal.SIGHUP, *STOPS)


class Signals:
    """Handlers on a loop: SIGHUP reloads, SIGTERM and SIGINT stop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None], stop: Callable[[], object]
    ) -> None:
        self._loop = loop
        loop.add_signal_handler(signal.SIGHUP, reload)  # first of all: unhandled, it ends the process
        for number in STOPS:
            loop.add_signal_handler(number, stop)

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
