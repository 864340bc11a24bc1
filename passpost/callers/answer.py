"""The form of answers to clients: their heads, and bodies that are streamed."""

from __future__ import annotations

from typing import Protocol

from passpost.http1 import Headers, write_headers
from passpost.streams import Source

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def format_head(status: int, headers: Headers, framing: bytes, close: bool) -> bytes:
    """Write the head of an answer."""
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        _REASON_PHRASES.get(status, "").encode(),
        write_headers(headers),
        framing,
        b"Connection: close\r\n" if close else b"",
    )


class Stream(Protocol):
    """The client connection that a streamed answer is written to."""

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""

    def finish_streamed(self) -> None:
        """Go on to the next request after a streamed answer."""

    def abort(self, reset: bool = False) -> None:
        """Close at once and discard unsent bytes; with `reset` a partial body does not look whole."""


class StreamedAnswer:
    """An answer that is streamed to the client. It is the `Sink` of the attempt that supplies the body."""

    def __init__(self, stream: Stream, source: Source, length: int | None, accepts_chunked: bool) -> None:
        self._stream, self.source = stream, source
        self._chunked = length is None and accepts_chunked
        # HTTP/1.0 has no chunked coding: the close ends the body (RFC 9112, 6.3).
        self.close_delimited = length is None and not accepts_chunked

    def write(self, data: bytes) -> None:
        """Write a piece of the body in the framing chosen for the client."""
        self._stream.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Write the end of the body."""
        if self._chunked:
            self._stream.write(b"0\r\n\r\n")
        self._stream.finish_streamed()

    def truncate(self) -> None:
        """End the connection so that the client sees an incomplete body.

        The connection closes before the announced length or the last chunk. A close-delimited body ends by a reset.
        """
        self._stream.abort(reset=self.close_delimited)
