"""HTTP/1.1 messages as both sides of the balancer use them, on top of httptools' parser."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from passpost.host import Address as Address

Headers = list[tuple[bytes, bytes]]

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024  # the protocol's bound for what is read whole
MAX_LONG = 40 * 1024 * 1024  # for what is passed on as it comes: the longest that peers send and some spare

MAX_ERROR = 1024 * 1024  # for an answer that serves nobody

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)


def end_to_end(headers: Headers) -> Headers:
    """The headers that a proxy passes on; framing and connection headers are each hop's own."""
    kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    return kept if len(kept) == len(headers) else without_named(kept, headers)


def without_named(kept: Headers, headers: Headers) -> Headers:
    """Those to be kept that the Connection fields among `headers` do not name (RFC 9110, section 7.6.1)."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [pair for pair in kept if pair[0].lower() not in named] if named else kept


def write_headers(headers: Headers) -> bytes:
    """Header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


class BadAnswerError(Exception):
    """What came is no answer, or one beyond the bounds."""


class TooLongError(BadAnswerError):
    """The answer is longer than is passed on; its head is good."""


@dataclass(slots=True)  # not frozen, which would cost more than all else about it
class Answer:
    """One whole answer; `reusable` says that its connection can carry another request."""

    status: int
    headers: Headers
    body: bytes
    reusable: bool


class AnswerReader:
    """Reads the one answer that is due on a connection.

    A close-delimited answer ends with its connection (RFC 9112, 6.3, rule 8): then `ended` is asked, and only if that
    was a close, as a reset ends nothing.
    """

    def __init__(
        self,
        max_body: int = MAX_BODY,
        bodyless: bool = False,
        long: int | None = None,
        serves: Callable[[Answer], bool] = lambda answer: True,
        at_once: bool = False,
    ) -> None:
        """An answer that `serves` and has a body beyond `long` bytes is `started`: its pieces are to be taken.

        With `at_once` any that serves is, from its head on, and however long it grows.
        """
        self._long, self._serves, self._at_once = long, serves, at_once
        self.started = False  # its pieces are to be taken as they come
        self.length: int | None = None  # of its body, where it is told
        self._seen = 0
        self._bodyless = bodyless  # the answer to a HEAD: its length is that of a body that does not come
        self._parser = httptools.HttpResponseParser(self)
        self._max_body = max_body
        self._head_size, self._head_done = 0, False
        self._headers: Headers = []
        self._body = bytearray()
        self._whole: Answer | None = None
        self._surplus, self._too_long = False, False

    def feed(self, data: bytes) -> Answer | None:
        """The answer once it is whole; raises BadAnswerError on anything that can't become one."""
        if not self._head_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._whole is None:
                raise BadAnswerError(str(error)) from None
            self._surplus = True
        if self._too_long:
            raise TooLongError("the body is too long")
        if self.started:
            if self._seen > self._max_body and not self._at_once:
                raise BadAnswerError("the body is too long")
            if self._whole is None:
                return None
            return Answer(
                self._whole.status, self._whole.headers, b"", self._whole.reusable and not self._surplus
            )
        if self._whole is None:
            if not self._head_done and self._head_size > MAX_HEAD:
                raise BadAnswerError("the head is too long")
            self._check_body(self._body)
            return None
        self._check_body(self._whole.body)
        if self._surplus:  # the answer is good, but what follows it belongs to no request
            return Answer(self._whole.status, self._whole.headers, self._whole.body, False)
        return self._whole

    def ended(self) -> Answer | None:
        """The answer that the close of its connection makes whole; None if it is cut short by it."""
        if self._whole is not None or not self._head_done or self.length is not None or self._is_chunked():
            return None
        return Answer(
            self._parser.get_status_code(), self._headers, b"" if self.started else bytes(self._body), False
        )

    def _may_have_body(self) -> bool:
        """RFC 9112, 6.3, rule 1."""
        status = self._parser.get_status_code()
        return status >= 200 and status not in (204, 304)

    def _is_chunked(self) -> bool:
        return any(name.lower() == b"transfer-encoding" for name, _ in self._headers)

    def head(self) -> Answer:
        """The answer that has started, without its body."""
        return Answer(self._parser.get_status_code(), self._headers, b"", False)

    def start(self) -> None:
        """Pass it on from now on, although it may come out short."""
        if self._head_done and self._whole is None and self._long is not None and not self._bodyless:
            self.started = self._serves(self.head())
            if not self.started:  # of no use to anybody in full
                self._max_body = min(self._max_body, MAX_ERROR)

    def is_settling(self) -> bool:
        """Whether its head is there and nothing tells how long it will be."""
        return self._head_done and self._whole is None and self.length is None and self._long is not None

    def take(self) -> bytes:
        """The pieces that have come since."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def _check_body(self, body: bytes | bytearray) -> None:
        if len(body) > self._max_body:
            raise TooLongError("the body is too long")

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """A second message behind the answer is surplus."""
        self._surplus = self._whole is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer, which nobody needs."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is there; a length beyond the bound is not waited for."""
        self._head_done = True
        if self._bodyless and self._parser.get_status_code() >= 200:
            self._whole = Answer(
                self._parser.get_status_code(), self._headers, b"", self._parser.should_keep_alive()
            )
        elif self._whole is None:
            for name, value in self._headers:
                if len(name) == 14 and name.lower() == b"content-length":
                    self.length = int(value)
                    self._too_long = self._too_long or (self.length > self._max_body and not self._at_once)
            if self._long is not None and (
                (self._at_once and self._may_have_body())
                or (self.length is not None and self.length > self._long)
            ):
                self.start()

    def on_body(self, data: bytes) -> None:
        """A piece of the body; one piece past the bound is enough to know."""
        self._seen += len(data)
        if self._seen <= self._max_body + len(data) and self._whole is None:
            self._body += data
            if self._long is not None and self._seen > self._long and not self.started:
                self.start()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it is a 1xx, which only announces it."""
        status = self._parser.get_status_code()
        if self._whole is not None:
            return
        if status >= 200:
            keep = self._parser.should_keep_alive()
            self._whole = Answer(status, self._headers, b"" if self.started else bytes(self._body), keep)
            return
        self._headers, self._head_done = [], False
