"""HTTP/1.1 headers and responses, as used on both sides of the balancer; built on httptools' parser."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from passpost.host import Address as Address

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit for a body that is buffered whole
MAX_STREAM_BYTES = 40 * 1024 * 1024  # limit for a streamed body: the longest that peers send, plus a margin

MAX_EVENTS_PER_TURN = (
    256  # fields and parts of a body of one connection that are read before others are served
)
MAX_ERROR_BODY_BYTES = 1024 * 1024  # limit for the body of an error answer, which is not streamed

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)


def end_to_end(headers: Headers) -> Headers:
    """The headers that a proxy forwards; framing and connection headers apply to a single hop."""
    kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    return kept if len(kept) == len(headers) else without_named(kept, headers)


def without_named(kept: Headers, headers: Headers) -> Headers:
    """`kept` without the headers that a Connection field in `headers` names (RFC 9110, section 7.6.1)."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [pair for pair in kept if pair[0].lower() not in named] if named else kept


def write_headers(headers: Headers) -> bytes:
    """Serialize headers as lines that end in CRLF."""
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


class BadAnswerError(Exception):
    """The bytes received are not a valid HTTP response, or exceed a limit."""


class TooLongError(BadAnswerError):
    """The body of the answer exceeds the limit; its head is valid."""


@dataclass(slots=True)  # not frozen: a frozen dataclass costs more to create than everything else about it
class Answer:
    """An HTTP response; `reusable` says whether its connection can carry another request."""

    status: int
    headers: Headers
    body: bytes
    reusable: bool


class AnswerReader:
    """Parses the one answer that is expected on a connection.

    A close-delimited answer ends with its connection (RFC 9112, section 6.3, rule 8): `completed_by_close` returns it
    then, but must be called only after an orderly close, because a reset doesn't complete an answer.
    """

    def __init__(
        self,
        max_body: int = MAX_BODY_BYTES,
        bodyless: bool = False,
        stream_above: int | None = None,
        serves: Callable[[Answer], bool] = lambda answer: True,
        stream_at_once: bool = False,
    ) -> None:
        """Set the limits; by default the whole body is buffered, up to `max_body` bytes.

        `bodyless`: the answer is to a HEAD request. `stream_above`: an answer is streamed if its body exceeds this
        number of bytes and `serves` is true for it; then `is_streaming` is set and `take_body` returns what has come.
        `stream_at_once`: such an answer is streamed from its head on, without a limit on its length.
        """
        self._stream_above_bytes, self._may_serve, self._stream_at_once = stream_above, serves, stream_at_once
        self.is_streaming = False  # the body is streamed; collect it with `take_body`
        self.length: int | None = None  # of its body, if it has a Content-Length
        self._body_bytes = 0
        self._bodyless = bodyless  # its Content-Length is that of a body that is not sent
        self._parser = httptools.HttpResponseParser(self)
        self._max_body = max_body
        self._head_size, self._head_done = 0, False
        self._headers: Headers = []
        self._body = bytearray()
        self._complete: Answer | None = None
        self._has_surplus, self._too_long = False, False
        self.events = 0  # fields and parts of the body so far

    def feed(self, data: bytes) -> Answer | None:
        """Process received bytes; return the answer once it is complete.

        Raises BadAnswerError if the bytes are not a valid answer, TooLongError if its body is too long.
        """
        if not self._head_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete is None:
                raise BadAnswerError(str(error)) from None
            self._has_surplus = True
        if self._too_long:
            raise TooLongError("the body is too long")
        if self.is_streaming:
            if self._body_bytes > self._max_body and not self._stream_at_once:
                raise BadAnswerError("the body is too long")
            if self._complete is None:
                return None
            return Answer(
                self._complete.status,
                self._complete.headers,
                b"",
                self._complete.reusable and not self._has_surplus,
            )
        if self._complete is None:
            if not self._head_done and self._head_size > MAX_HEAD_BYTES:
                raise BadAnswerError("the head is too long")
            self._check_body(self._body)
            return None
        self._check_body(self._complete.body)
        if self._has_surplus:  # the answer is valid, but the bytes after it belong to no request
            return Answer(self._complete.status, self._complete.headers, self._complete.body, False)
        return self._complete

    def close(self) -> None:
        """Drop what has been read, and the cycle of references to the parser, which would keep it in memory."""
        del self._parser
        self._body = bytearray()

    def completed_by_close(self) -> Answer | None:
        """The answer that the close of its connection completes; None if the close truncates it."""
        if self._complete is not None or not self._head_done or self.length is not None or self._is_chunked():
            return None
        return Answer(
            self._parser.get_status_code(),
            self._headers,
            b"" if self.is_streaming else bytes(self._body),
            False,
        )

    def _may_have_body(self) -> bool:
        """Whether an answer of this status has a body (RFC 9112, section 6.3, rule 1)."""
        status = self._parser.get_status_code()
        return status >= 200 and status not in (204, 304)

    def _is_chunked(self) -> bool:
        return any(name.lower() == b"transfer-encoding" for name, _ in self._headers)

    def head(self) -> Answer:
        """The answer without its body, once its head has arrived."""
        return Answer(self._parser.get_status_code(), self._headers, b"", False)

    def start_streaming(self) -> None:
        """Stream the body from now on, even if it may turn out to be short."""
        if (
            self._head_done
            and self._complete is None
            and self._stream_above_bytes is not None
            and not self._bodyless
        ):
            self.is_streaming = self._may_serve(self.head())
            if not self.is_streaming:  # an error answer is not needed in full
                self._max_body = min(self._max_body, MAX_ERROR_BODY_BYTES)

    def has_unknown_length(self) -> bool:
        """Whether the head has arrived, the answer is incomplete and its length is unknown."""
        return (
            self._head_done
            and self._complete is None
            and self.length is None
            and self._stream_above_bytes is not None
        )

    def take_body(self) -> bytes:
        """Return the part of the body received since the last call, and drop it here."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def _check_body(self, body: bytes | bytearray) -> None:
        if len(body) > self._max_body:
            raise TooLongError("the body is too long")

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """Note the start of a message; a second one after the answer is surplus."""
        self._has_surplus = self._complete is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are ignored."""
        self.events += 1
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Process the end of the head; a Content-Length above the limit fails at once."""
        self._head_done = True
        if self._bodyless and self._parser.get_status_code() >= 200:
            self._complete = Answer(
                self._parser.get_status_code(), self._headers, b"", self._parser.should_keep_alive()
            )
        elif self._complete is None:
            for name, value in self._headers:
                if len(name) == 14 and name.lower() == b"content-length":
                    self.length = int(value)
                    self._too_long = self._too_long or (
                        self.length > self._max_body and not self._stream_at_once
                    )
            if self._stream_above_bytes is not None and (
                (self._stream_at_once and self._may_have_body())
                or (self.length is not None and self.length > self._stream_above_bytes)
            ):
                self.start_streaming()

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body; one piece beyond the limit is enough to detect the excess."""
        self.events += 1
        self._body_bytes += len(data)
        if self._body_bytes <= self._max_body + len(data) and self._complete is None:
            self._body += data
            if (
                self._stream_above_bytes is not None
                and self._body_bytes > self._stream_above_bytes
                and not self.is_streaming
            ):
                self.start_streaming()

    def on_message_complete(self) -> None:
        """Complete the answer, unless it is an interim one (1xx), which the final one follows."""
        status = self._parser.get_status_code()
        if self._complete is not None:
            return
        if status >= 200:
            keep = self._parser.should_keep_alive()
            self._complete = Answer(
                status, self._headers, b"" if self.is_streaming else bytes(self._body), keep
            )
            return
        self._headers, self._head_done = [], False
