"""Handling of SIGHUP, SIGTERM and SIGINT from the start of a process to its end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

# The minimum between two reloads: reading the file again for each of thousands of signals would block everything else.
RELOAD_INTERVAL_S = 0.1

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (signal.SIGHUP, *STOP_SIGNALS)


class Signals:
    """Handlers on a loop: SIGHUP reloads, SIGTERM and SIGINT stop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None], stop: Callable[[], object]
    ) -> None:
        self._loop, self._reload = loop, reload
        self._pending: asyncio.TimerHandle | None = None
        self._next_reload_at = 0.0
        # SIGHUP comes first: without a handler it ends the process.
        loop.add_signal_handler(signal.SIGHUP, self._schedule_reload)
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop)

    def _schedule_reload(self) -> None:
        """Schedule one reload for all pending signals, at once if the last reload is long enough ago."""
        if self._pending is None:
            self._pending = self._loop.call_at(self._next_reload_at, self._run_reload)

    def _run_reload(self) -> None:
        self._pending = None
        self._next_reload_at = self._loop.time() + RELOAD_INTERVAL_S
        self._reload()

    def ignore(self) -> None:
        """Ignore these signals until the process ends; to be called once its work is done.

        A closing event loop restores the default effects of signals, and one that arrived then would end a process
        that has completed its work with the exit status of a crash. The signals are blocked during the change, because
        each would have its default effect for a moment.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        for number in HANDLED_SIGNALS:
            self._loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
