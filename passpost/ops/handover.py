"""Two versions at once: the running process hands its listening socket to the one that is started beside it.

The running one listens on a socket under `$TMPDIR`. Whoever connects there is a new version and is sent the
descriptor of the clients' listening socket (SCM_RIGHTS, unix(7)). From then on both accept from one queue, so that
neither can leave anything in it when it ends. Then it is told what the running one has learned, as one line of JSON.
The connection stays open: its end tells each that the other is gone.
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

ASK_S = 2.0  # a running process that does not answer within this is taken for dead
GREETING = b"passpost 1\n"  # and the descriptor with it
MAX_LINE = 4 * 1024 * 1024  # bytes; 4,096 servers with long names come to a tenth of it
READ_AT_ONCE = 65_536


class Shared(Host):
    """A machine whose clients' address may be taken over from a running process.

    SO_REUSEPORT is the way out for a version that can't be handed a socket: each has a queue of its own then, and
    what lies in it when its process ends is reset.
    """

    reuse_port = True

    def __init__(self, given: socket.socket | None) -> None:
        self._given = given

    def listen(self, address: Address, backlog: int) -> Listener:
        """The socket that was handed over; else one that a second process may bind beside it."""
        if self._given is not None:
            given, self._given = self._given, None
            return given
        return super().listen(address, backlog)


class Link:
    """A connection to the other version, for as long as both run. `ended` is called when the other has gone.

    `said` gets each line that the other says, MAX_LINE bytes at most; what is longer or later is thrown away.
    """

    def __init__(
        self,
        connection: socket.socket,
        ended: Callable[[], None],
        said: Callable[[bytes], None] = lambda line: None,
    ) -> None:
        self._connection, self._ended, self._said = connection, ended, said
        self._line, self._out = bytearray(), bytearray()
        connection.setblocking(False)
        asyncio.get_running_loop().add_reader(connection, self._read)

    def say(self, line: bytes) -> None:
        """Tell the other version something it can do without."""
        if len(line) < MAX_LINE and self._connection.fileno() >= 0:
            self._out += line + b"\n"
            self._write()

    def _write(self) -> None:
        """Write what the socket takes; a long line waits here for the other side to read."""
        loop = asyncio.get_running_loop()
        try:
            del self._out[: self._connection.send(self._out)]
        except BlockingIOError:
            pass
        except OSError:  # it has gone, which the reader hears too
            self._out.clear()
        if self._out:
            loop.add_writer(self._connection, self._write)
        else:
            loop.remove_writer(self._connection)

    def _read(self) -> None:
        try:
            if data := self._connection.recv(READ_AT_ONCE):
                self._line += data
                while b"\n" in self._line:
                    line, _, self._line = self._line.partition(b"\n")
                    self._said(bytes(line))
                if len(self._line) > MAX_LINE:
                    self._line.clear()
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self.close()
        self._ended()

    def close(self) -> None:
        """Let go; the other side hears it."""
        if self._connection.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._connection)
            asyncio.get_running_loop().remove_writer(self._connection)
            self._connection.close()


Taken = tuple[
    socket.socket, socket.socket
]  # the listening socket, and a connection to whoever handed it over


def take(path: Path) -> Taken | None:
    """The running process's listening socket and a connection to it; None if none runs or it does not answer.

    Waits for ASK_S at most; called before this process serves anybody.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(ASK_S)
    try:
        connection.connect(_short(path))
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
        log.warning("nothing was handed over: an answer of %d bytes means nothing here", len(greeting))
        return None
    listener = socket.socket(fileno=descriptors[0])
    listener.setblocking(False)
    return listener, connection


class Offer:
    """Waits for a new version and hands it the listening socket."""

    def __init__(self, path: Path, listener: Listener, linked: Callable[[socket.socket], None]) -> None:
        self.path, self._listener, self._linked = path, listener, linked
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)  # of one that has ended, or of the one that we took over from
        self._socket.bind(_short(path))
        self._inode = os.stat(path).st_ino
        os.chmod(path, 0o600)
        self._socket.listen(4)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        try:
            connection, _ = self._socket.accept()
        except OSError as error:
            log.warning("a new version could not be let in: %s", error)
            return
        try:
            socket.send_fds(connection, [GREETING], [self._listener.fileno()])
        except OSError as error:
            log.warning("the listening socket could not be handed over: %s", error)
            connection.close()
            return
        self._linked(connection)

    def close(self) -> None:
        """Wait no more."""
        if self._socket.fileno() < 0:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self._inode:  # else a new version's
                os.unlink(self.path)


def _short(path: Path) -> str:
    """A name that fits in a socket's address (108 bytes, unix(7)), however long the folder's is."""
    if len(os.fsencode(path)) < 100:
        return str(path)
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    return f"/proc/self/fd/{folder}/{path.name}"  # the descriptor stays open for as long as the process runs
