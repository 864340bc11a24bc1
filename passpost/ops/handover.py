"""Hands the clients' listening socket of the running process to a new version that is started beside it.

The running process listens on a Unix socket under `$TMPDIR`. A process that connects there is a new version:
it is sent the descriptor of the clients' listening socket (SCM_RIGHTS, unix(7)). From then on both accept
from the same queue, so that a process that ends leaves no connection behind in a queue of its own. Then the
running process sends what it has learned about the servers, as one line of JSON. The connection stays open:
each side detects the other's end by its EOF.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

from passpost.host import Address, Host, Listener

log = logging.getLogger(__name__)

HANDOVER_TIMEOUT_S = 2.0  # a running process that does not answer within this is treated as dead
GREETING = b"passpost 1\n"  # sent together with the descriptor
MAX_LINE_BYTES = 4 * 1024 * 1024  # 4,096 servers with long names take a tenth of it
READ_SIZE_BYTES = 65_536


class HandoverHost(Host):
    """A host whose clients' listening socket may come from a running process.

    SO_REUSEPORT is the fallback for a version that can't receive the socket. Each process then has an accept
    queue of its own, and the connections waiting in it are reset when the process ends.
    """

    reuse_port = True

    def __init__(self, handed_over: socket.socket | None) -> None:
        self._handed_over = handed_over

    def listen(self, address: Address, backlog: int) -> Listener:
        """The socket that was handed over, at the first call; else a new one, bound with SO_REUSEPORT."""
        if self._handed_over is not None:
            handed_over, self._handed_over = self._handed_over, None
            return handed_over
        return super().listen(address, backlog)


class PeerLink:
    """The connection to the other version while both run. Calls `on_closed` when the other version closes it.

    `on_line` is called with each line that the other version sends. A line longer than MAX_LINE_BYTES is
    discarded, and so is anything that arrives after `close`.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_closed: Callable[[], None],
        on_line: Callable[[bytes], None] = lambda line: None,
    ) -> None:
        self._connection, self._on_closed, self._on_line = connection, on_closed, on_line
        self._received, self._unsent = bytearray(), bytearray()
        connection.setblocking(False)
        asyncio.get_running_loop().add_reader(connection, self._read)

    def send_line(self, line: bytes) -> None:
        """Send a line to the other version; it is dropped if it is too long or the connection is closed."""
        if len(line) < MAX_LINE_BYTES and self._connection.fileno() >= 0:
            self._unsent += line + b"\n"
            self._write()

    def _write(self) -> None:
        """Write what the socket accepts; the rest stays buffered until the socket is writable again."""
        loop = asyncio.get_running_loop()
        try:
            del self._unsent[: self._connection.send(self._unsent)]
        except BlockingIOError:
            pass
        except OSError:  # the other version has gone; `_read` detects that too
            self._unsent.clear()
        if self._unsent:
            loop.add_writer(self._connection, self._write)
        else:
            loop.remove_writer(self._connection)

    def _read(self) -> None:
        try:
            if data := self._connection.recv(READ_SIZE_BYTES):
                self._received += data
                while b"\n" in self._received:
                    line, _, self._received = self._received.partition(b"\n")
                    self._on_line(bytes(line))
                if len(self._received) > MAX_LINE_BYTES:
                    self._received.clear()
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self.close()
        self._on_closed()

    def close(self) -> None:
        """Close the connection, which tells the other version that this one has gone."""
        if self._connection.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._connection)
            asyncio.get_running_loop().remove_writer(self._connection)
            self._connection.close()


# The listening socket, and the connection to the process that sent it.
HandedOver = tuple[socket.socket, socket.socket]


def request_handover(path: Path) -> HandedOver | None:
    """The running process's listening socket and a connection to it; None if no process runs or answers.

    Blocks for up to HANDOVER_TIMEOUT_S, so call it before this process serves requests.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(HANDOVER_TIMEOUT_S)
    try:
        connection.connect(_bindable_path(path))
        greeting, descriptors, _, _ = socket.recv_fds(connection, len(GREETING), 1)
    except OSError as error:
        connection.close()
        if not isinstance(error, FileNotFoundError):
            log.warning("nothing was handed over: %s", error)
        return None
    if greeting != GREETING or len(descriptors) != 1:
        for descriptor in descriptors:
            os.close(descriptor)
        connection.close()
        log.warning("nothing was handed over: unrecognized answer of %d bytes", len(greeting))
        return None
    listener = socket.socket(fileno=descriptors[0])
    listener.setblocking(False)
    return listener, connection


class HandoverServer:
    """Listens at `path` for new versions and sends each the clients' listening socket.

    `on_successor` is called with the connection to the new version.
    """

    def __init__(self, path: Path, listener: Listener, on_successor: Callable[[socket.socket], None]) -> None:
        self.path, self._listener, self._on_successor = path, listener, on_successor
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)  # left by a process that has ended, or in use by the version that is replaced
        self._socket.bind(_bindable_path(path))
        self._inode = os.stat(path).st_ino
        os.chmod(path, 0o600)
        self._socket.listen(4)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        try:
            connection, _ = self._socket.accept()
        except OSError as error:
            log.warning("could not accept the connection of a new version: %s", error)
            return
        try:
            socket.send_fds(connection, [GREETING], [self._listener.fileno()])
        except OSError as error:
            log.warning("could not hand over the listening socket: %s", error)
            connection.close()
            return
        self._on_successor(connection)

    def close(self) -> None:
        """Stop listening, and remove the socket's file unless a new version has replaced it."""
        if self._socket.fileno() < 0:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self._inode:  # another inode belongs to a new version
                os.unlink(self.path)


def _bindable_path(path: Path) -> str:
    """A path to the same file that fits in a socket address (108 bytes, unix(7)), however long `path` is."""
    if len(os.fsencode(path)) < 100:
        return str(path)
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    # Valid because the descriptor stays open until the process ends.
    return f"/proc/self/fd/{folder}/{path.name}"
