"""The operating system services that a balancer uses beyond the event loop: clocks, listening, socket state.

Everything else (timers, connections, signals) goes through asyncio's event loop. To run the balancer elsewhere, as on
the rehearsal's simulated clock and network, it is enough to implement this class and the loop; so nothing else in the
balancer may use `time`, `select` or `socket` for these services.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import resource
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from typing import Any, Protocol

Address = tuple[str, int]


class Listener(Protocol):
    """A listening socket as the listener uses it; it can also be passed to the loop's `add_reader`."""

    def accept(self) -> tuple[Any, Any]:
        """Accept a queued connection; raises BlockingIOError if there is none."""

    def fileno(self) -> int:
        """The file descriptor; -1 once closed."""

    def getsockname(self) -> Any:
        """The host and port that it listens on."""

    def close(self) -> None:
        """Stop listening; connections still in the queue are reset."""


class Host:
    """The services of the operating system itself."""

    # The functions themselves: the extra call of a wrapper would cost time on every request.
    monotonic: Callable[[], float] = staticmethod(time.monotonic)  # seconds; never goes back
    unix: Callable[[], float] = staticmethod(time.time)  # seconds; may be set back or forward at any time

    reuse_port = False  # whether another process may listen on the same address
    accepts_per_turn = 64  # connections accepted in a row before others are served

    def listen(self, address: Address, backlog: int) -> Listener:
        """Open a non-blocking listening socket; raises OSError if the address is not available."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, backlog=backlog, family=family, reuse_port=self.reuse_port)
        listener.setblocking(False)
        return listener

    def resident_bytes(self) -> int:
        """Memory of this process that is resident, in bytes."""
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()

    def unread_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Return a function that, called with 0, is true if the connection has unread bytes or an unread end."""
        return _poll_function(transport, select.POLLIN | select.POLLRDHUP)

    def end_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Return a function that, called with 0, is true if the peer has ended sending, even if bytes are unread."""
        return _poll_function(transport, select.POLLRDHUP)

    def unread_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Number of received bytes that the kernel holds and nobody has read yet."""
        return _queue_bytes(transport, termios.FIONREAD)

    def unacknowledged_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Number of sent bytes that the kernel holds because the peer has not acknowledged them."""
        return _queue_bytes(transport, termios.TIOCOUTQ)

    def was_reset(self, transport: asyncio.BaseTransport) -> bool:
        """Whether a connection that has ended was reset rather than closed.

        EPIPE doesn't count: the kernel reports it for a reset that follows the peer's orderly close.
        """
        error = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error not in (0, errno.EPIPE)


def _queue_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    """The length of one of a socket's queues; 0 if the socket is closed."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    (size,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), request, bytes(4)))
    return int(size)


def _poll_function(transport: asyncio.BaseTransport, events: int) -> Callable[[int], object]:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), events)
    return poll.poll


HOST = Host()
