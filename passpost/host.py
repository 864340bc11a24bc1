"""What a balancer asks of its machine beyond the event loop: clocks, listening, and a look at a socket.

Everything else (timers, connections, signals) goes through asyncio's loop. A second implementation of this
class and of the loop is all it takes to run the balancer elsewhere, as on the rehearsal's simulated clock and
network; nothing else in the balancer may call `time`, `select` or `socket` for what they do.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import time
from collections.abc import Callable
from typing import Any, Protocol

Address = tuple[str, int]


class Listener(Protocol):
    """A listening socket as the callers' side uses it; the loop's `add_reader` takes it too."""

    def accept(self) -> tuple[Any, Any]:
        """A connection that waits; BlockingIOError if there is none."""

    def fileno(self) -> int:
        """Its descriptor; -1 once closed."""

    def getsockname(self) -> Any:
        """Host and port."""

    def close(self) -> None:
        """Listen no more; what still waits is reset."""


class Host:
    """The real machine."""

    # The functions themselves: a call through a method of ours would cost on every request.
    monotonic: Callable[[], float] = staticmethod(time.monotonic)  # seconds; never goes back
    unix: Callable[[], float] = staticmethod(time.time)  # seconds; may be set back or forward at any time

    reuse_port = False  # whether another process may listen on the same address
    accept_at_once = 64  # so many new connections, and then the others have their turn

    def listen(self, address: Address, backlog: int) -> Listener:
        """A listening socket that does not block; OSError if the address can't be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, backlog=backlog, family=family, reuse_port=self.reuse_port)
        listener.setblocking(False)
        return listener

    def watcher(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Called with 0 it says at once whether the connection has bytes or an end that nobody has read."""
        return _look(transport, select.POLLIN | select.POLLRDHUP)

    def ending(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Called with 0 it says at once whether the other side has ended its sending, also behind bytes unread."""
        return _look(transport, select.POLLRDHUP)

    def was_reset(self, transport: asyncio.BaseTransport) -> bool:
        """Whether a connection that has ended was reset, and not closed.

        EPIPE is the kernel's word for a reset that came behind the other side's close.
        """
        error = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error not in (0, errno.EPIPE)


def _look(transport: asyncio.BaseTransport, events: int) -> Callable[[int], object]:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), events)
    return poll.poll


HOST = Host()
