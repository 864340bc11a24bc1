"""Streaming of long request and answer bodies with back-pressure, so that few bytes are buffered.

The sending side is paused while the receiving side is slower. The first part of a request body is
kept until some of it has been sent upstream; from then on the request can't be sent again, and the module is informed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

# Bodies above this many bytes are streamed; those up to it are buffered whole, and such requests can be sent again.
STREAM_ABOVE_BYTES = 64 * 1024
UPLOAD_BUFFER_BYTES = 64 * 1024  # of a request's body; reading from its client pauses when it is full


class Reader(Protocol):
    """The upstream connection that sends a request's body."""

    def ready(self) -> None:
        """Called when there are bytes to take, or when the body is complete."""


class Upload:
    """The body of one request, on its way from the client to an upstream."""

    def __init__(
        self, length: int | None, hold: Callable[[bool], None], buffer_bytes: int = UPLOAD_BUFFER_BYTES
    ) -> None:
        """`length`: bytes in the body, None if chunked. `hold` pauses (True) or resumes reading from the client."""
        self.length, self.received_bytes, self._buffer_bytes = length, 0, buffer_bytes
        self.is_complete = False  # the last byte has been received
        self.is_consumed = False  # part of it has been taken, so the request can't be sent again
        self.on_consumed: Callable[[], None] = lambda: None
        self._hold, self._is_held = hold, False
        self._pieces: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._reader: Reader | None = None

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.received_bytes += len(data)
        self._buffered_bytes += len(data)
        self._pieces.append(data)
        if self._reader is not None:
            self._reader.ready()
        self._update_hold()

    def end(self) -> None:
        """Mark the body as completely received."""
        self.is_complete = True
        if self._reader is not None:
            self._reader.ready()

    def attach(self, reader: Reader) -> None:
        """Let `reader`, an upstream's connection, take the body from now on."""
        self._reader = reader
        reader.ready()

    def detach(self, reader: Reader) -> None:
        """Stop notifying `reader`, if it is the current one."""
        if self._reader is reader:
            self._reader = None

    def take(self) -> bytes | None:
        """Remove and return the next piece, or None. Taking a piece marks the body as consumed."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._buffered_bytes -= len(piece)
        if not self.is_consumed:
            self.is_consumed = True
            self.on_consumed()
        self._update_hold()
        return piece

    def is_ending(self) -> bool:
        """Whether the next piece is the last one of a body of known length."""
        return self.length is not None and self.received_bytes >= self.length and len(self._pieces) == 1

    def is_empty(self) -> bool:
        """Whether all received bytes have been taken."""
        return not self._pieces

    def drop(self) -> None:
        """Discard the body; the client's connection discards bytes that arrive later."""
        self._reader = None
        self._pieces.clear()
        self._buffered_bytes = 0
        self._update_hold()

    def _update_hold(self) -> None:
        held = self._buffered_bytes >= self._buffer_bytes
        if held is not self._is_held:
            self._is_held = held
            self._hold(held)


class Sink(Protocol):
    """Receives an answer's body on the client's side."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish(self) -> None:
        """End the body, which is complete."""

    def truncate(self) -> None:
        """End an incomplete body in a way that the client can detect."""


class Source(Protocol):
    """The upstream connection that an answer's body comes from."""

    def hold(self, on: bool) -> None:
        """Pause (True) or resume (False) reading from it."""


class BodyBuffer:
    """The body of a request that is kept whole, in pieces of bounded size.

    One buffer that grows with each piece would be moved each time, and leave holes in the heap that nothing fits into.
    """

    PIECE_BYTES = 16 * 1024

    def __init__(self) -> None:
        self._pieces: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, data: bytes) -> None:
        """Add received bytes; small ones join the last piece."""
        self._size += len(data)
        if self._pieces and len(self._pieces[-1]) + len(data) <= self.PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def take(self) -> bytes:
        """Remove and return all bytes."""
        body = b"".join(self._pieces)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces, self._size = [], 0
