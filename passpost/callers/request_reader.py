"""Reads the requests of one client connection, one at a time. No I/O.

Two rules hold here:

- At most one request is parsed at a time. What follows it stays bytes, which the caller keeps, so that many requests
  sent at once cost no more memory than their bytes.
- One call of `feed` does a bounded amount of work, however small the pieces are that the bytes consist of.

The parser reports neither the end of a request before it has gone past it, nor can it be stopped there. So it is fed
up to a point at which a request may end: the end of a body of known length, or an empty line otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import httptools

from passpost.http1 import MAX_EVENTS_PER_TURN, MAX_HEAD_BYTES, Headers, write_headers
from passpost.validation import BadRequestError

EMPTY_LINE = b"\r\n\r\n"  # ends a head, and a chunked body with or without trailers
MAX_PIECE_BYTES = 4_096  # of a head or a chunked body, which may consist of many small parts
MAX_HEAD_FIELDS = 1_024  # each costs as much work as a hundred bytes of a body
# An incomplete head of more fields is kept as bytes: as separate objects short fields take 25 times their size.
MAX_KEPT_FIELDS = 16


@dataclass(slots=True)
class RequestHead:
    """A head as it was read; its fields are unchecked, except that they could be told apart."""

    method: bytes
    target: bytes
    version: str
    headers: Headers = field(repr=False)
    offers_upgrade: bool  # to a protocol that is not spoken here: the offer is ignored (RFC 9110, 7.8)
    content_length: int | None
    expects_continue: bool


class RequestHandler(Protocol):
    """Receives the parts of each request in their order."""

    def request_started(self) -> None:
        """The first byte of a request has arrived."""

    def head_received(self, head: RequestHead) -> None:
        """The head is complete."""

    def body_received(self, data: bytes) -> None:
        """A part of the body has arrived."""

    def request_received(self, keep_alive: bool) -> None:
        """The request is complete; `keep_alive` says whether another may follow it."""


class RequestReader:
    """Parses requests and reports them to a handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._target, self._headers = b"", list[tuple[bytes, bytes]]()
        self._body_parts: list[bytes] = []  # of the last call of `feed`
        self._packed_headers = bytearray()  # the first fields of an incomplete head, as lines
        self._head_bytes, self._head_fields = 0, 0
        self._body_left: int | None = None  # bytes left of a body of known length
        self._last_bytes = b""  # the last three bytes, as the empty line may arrive in parts
        self._offers_upgrade, self._is_offer_unread = False, False
        self.events = 0  # fields and parts of a body in the last call of `feed`
        self._is_complete = False
        self.received_bytes = 0  # bytes of the connection that have been parsed
        self.in_request = False  # part of a request has arrived
        self.in_head = True  # the next byte belongs to a head

    @property
    def held_bytes(self) -> int:
        """Bytes of an incomplete head."""
        return self._head_bytes if self.in_request else 0

    def close(self) -> None:
        """Drop what has been read, and the cycle of references to the parser; nothing can be read any more.

        The cycle would keep all of it in memory until the next full garbage collection.
        """
        del self._parser, self._handler
        self._headers, self._body_parts, self._packed_headers = [], [], bytearray()

    def feed(self, data: bytes, start: int) -> int:
        """Parse `data` from `start` on; return where it stopped.

        It stops at the end of a request, or when it has done enough for one turn, by one piece more at most. Raises
        BadRequestError if the bytes are no request; nothing that follows can be understood then.
        """
        self.events, self._is_complete = 0, False
        position, size = start, len(data)
        while position < size and not self._is_complete and self.events < MAX_EVENTS_PER_TURN:
            end = self._find_piece_end(data, position)
            self._feed_piece(data if end - position == size else data[position:end])
            position = end
        self._pass_on_body()
        if len(self._headers) > MAX_KEPT_FIELDS and self.in_head:
            self._packed_headers += write_headers(self._headers)
            self._headers.clear()
        return position

    def _find_piece_end(self, data: bytes, start: int) -> int:
        """The end of the bytes that can be parsed without going past the end of a request."""
        if self._body_left is not None:
            return min(len(data), start + self._body_left)
        limit = min(len(data), start + MAX_PIECE_BYTES)
        before = self._last_bytes
        if before:
            found = (before + data[start : start + 3]).find(EMPTY_LINE)
            if found >= 0:
                return start + found + len(EMPTY_LINE) - len(before)
        found = data.find(EMPTY_LINE, start, limit)
        return limit if found < 0 else found + len(EMPTY_LINE)

    def _feed_piece(self, piece: bytes) -> None:
        self.received_bytes += len(piece)
        if self.in_head:
            self._head_bytes += len(piece)
        if self._body_left is not None:
            self._body_left -= len(piece)
        else:
            self._last_bytes = (self._last_bytes + piece[-3:])[-3:]
            self.events += 1
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            if self._is_offer_unread:
                self._read_without_offer()
        except httptools.HttpParserError:
            raise BadRequestError(400) from None
        if self._head_fields > MAX_HEAD_FIELDS or (self.in_head and self._head_bytes > MAX_HEAD_BYTES):
            raise BadRequestError(431)

    def _read_without_offer(self) -> None:
        """Read a head that offers an upgrade once more without the offer.

        The parser takes what follows such a head for another protocol, and reads no body.
        """
        headers = [pair for pair in self._headers if pair[0].lower() != b"upgrade"]
        parser = self._parser
        line = b"%b %b HTTP/%b\r\n" % (
            parser.get_method(),
            self._target,
            parser.get_http_version().encode(),
        )
        self._parser, self._is_offer_unread = httptools.HttpRequestParser(self), False
        try:
            self._parser.feed_data(line + write_headers(headers) + b"\r\n")
        except httptools.HttpParserError:
            raise BadRequestError(400) from None

    def _pass_on_body(self) -> None:
        if self._body_parts:
            parts, self._body_parts = self._body_parts, []
            self._handler.body_received(b"".join(parts))

    def _take_headers(self) -> Headers:
        """All fields of the head, those kept as lines among them."""
        if self._packed_headers:
            lines = bytes(self._packed_headers).split(b"\r\n")[:-1]
            self._packed_headers.clear()
            packed = [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]
            self._headers = packed + self._headers
        return self._headers

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """Start a request, or the second reading of its head."""
        self._target, self._headers, self._head_fields = b"", [], 0
        self._packed_headers.clear()
        if not self._offers_upgrade:
            self.in_request = True
            self._handler.request_started()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; trailers are ignored."""
        self.events += 1
        if self.in_head and self._head_fields <= MAX_HEAD_FIELDS:
            self._head_fields += 1
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Report the head, unless it has to be read again without an offer to upgrade."""
        if self._head_fields > MAX_HEAD_FIELDS:
            return
        parser, headers = self._parser, self._take_headers()
        method = parser.get_method()
        if parser.should_upgrade() and method != b"CONNECT":
            self._offers_upgrade = self._is_offer_unread = True
            return
        length, expects_continue = None, False
        for name, value in headers:
            size = len(name)
            if size == 14 and name.lower() == b"content-length" and value.isdigit():
                length = int(value)
            elif size == 6 and name.lower() == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
        self.in_head, self._head_bytes = False, 0
        self._headers = []
        self._body_left = length
        self._handler.head_received(
            RequestHead(
                method,
                self._target,
                parser.get_http_version(),
                headers,
                self._offers_upgrade,
                length,
                expects_continue,
            )
        )

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; parts that have come together are passed on together."""
        self.events += 1
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Report the end of the request."""
        if self._is_offer_unread or self._head_fields > MAX_HEAD_FIELDS:
            return
        self._pass_on_body()
        self.in_request, self.in_head, self._is_complete = False, True, True
        self._body_left, self._last_bytes, self._offers_upgrade = None, b"", False
        self._handler.request_received(self._parser.should_keep_alive())
