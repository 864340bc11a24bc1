"""Long bodies on their way: a request's to an upstream, an answer's to a caller. Bytes are held back, never piled up.

Whoever writes is told to hold while whoever reads is slower. A body's first part is kept until some of it has gone
out; from then on the request can't be sent again, which the module is told.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

LONG = (
    64 * 1024
)  # a body beyond this is passed on as it comes; one up to it is kept whole and can be sent again
AHEAD = 64 * 1024  # bytes of a request's body that wait here at most before its caller is held


class Reader(Protocol):
    """Where a request's body goes."""

    def ready(self) -> None:
        """There are bytes, or the end, to take."""


class Upload:
    """The body of one request between its caller and the upstream that gets it."""

    def __init__(self, length: int | None, hold: Callable[[bool], None]) -> None:
        """With no `length` it is chunked. `hold` stops the caller's bytes, or lets them come again."""
        self.length, self.seen = length, 0
        self.whole = False  # its last byte has come
        self.spent = False  # part of it has been taken: it can't be sent again
        self.on_spent: Callable[[], None] = lambda: None
        self._hold, self._held = hold, False
        self._pieces: deque[bytes] = deque()
        self._size = 0
        self._reader: Reader | None = None

    def feed(self, data: bytes) -> None:
        """A piece has come."""
        self.seen += len(data)
        self._size += len(data)
        self._pieces.append(data)
        if self._reader is not None:
            self._reader.ready()
        self._set_hold()

    def end(self) -> None:
        """The last byte has come."""
        self.whole = True
        if self._reader is not None:
            self._reader.ready()

    def attach(self, reader: Reader) -> None:
        """From now on an upstream's connection takes the pieces."""
        self._reader = reader
        reader.ready()

    def detach(self, reader: Reader) -> None:
        """It takes no more."""
        if self._reader is reader:
            self._reader = None

    def take(self) -> bytes | None:
        """The next piece, if there is one."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._size -= len(piece)
        if not self.spent:
            self.spent = True
            self.on_spent()
        self._set_hold()
        return piece

    def is_ending(self) -> bool:
        """Whether the next piece is the last of a body whose length was told."""
        return self.length is not None and self.seen >= self.length and len(self._pieces) == 1

    def is_empty(self) -> bool:
        """Whether all that has come is taken."""
        return not self._pieces

    def drop(self) -> None:
        """Nobody takes it any more; what still comes is thrown away by the caller's connection."""
        self._reader = None
        self._pieces.clear()
        self._size = 0
        self._set_hold()

    def _set_hold(self) -> None:
        held = self._size >= AHEAD
        if held is not self._held:
            self._held = held
            self._hold(held)


class Sink(Protocol):
    """Where an answer's body goes."""

    def write(self, data: bytes) -> None:
        """A piece."""

    def finish(self) -> None:
        """That was all."""

    def cut(self) -> None:
        """The rest does not come, and whoever reads must be able to tell."""


class Source(Protocol):
    """Where an answer's body comes from."""

    def hold(self, on: bool) -> None:
        """Stop its bytes, or let them come again."""
