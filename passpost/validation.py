"""Validation of client requests: every request must pass `check` before it is processed further."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from passpost.http1 import HOP_BY_HOP, MAX_HEAD_BYTES, MAX_STREAM_BYTES, Headers, without_named
from umberworks.interface import Effect, RequestClass

READY_PATH = b"/health/ready"

SINGLE_FIELDS = frozenset({b"host", b"content-length", b"transfer-encoding"})
_PLATFORM_SINGLE = SINGLE_FIELDS | {b"x-txn", b"x-org", b"x-remaining", b"idempotency-key"}
_NOT_FORWARDED = HOP_BY_HOP | {b"x-remaining"}
_FIELD_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
TOKEN = re.compile(rb"[\x21-\x7e]+")  # for ids and idempotency keys, which upstreams compare byte for byte
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_SCHEME_AND_HOST = re.compile(rb"(?i:https?)://[^/?#@\s]+")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
NUMBER = re.compile(rb"[-+]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)?")


class BadRequestError(Exception):
    """A request that is answered with `status`, after which its connection is closed; it is not forwarded."""

    def __init__(self, status: int, reason: str = "") -> None:
        super().__init__(status, reason)
        self.status, self.reason = status, reason


@dataclass(slots=True)
class Call:
    """A valid request head; `remaining` is the time limit in seconds, counted from the request's last byte."""

    class_name: str
    txn: bytes
    tenant: str | None
    remaining: float
    method: bytes
    target: bytes
    forwarded_headers: Headers
    deadline_header: bytes = b"X-Remaining"
    idle_s: float = 0.0  # above 0: the answer is streamed and may pause for this many seconds


# Takes a request's method, target, version and headers; returns None for a readiness check.
Check = Callable[[bytes, bytes, str, Headers], Call | None]


def origin_form(target: bytes) -> bytes:
    """Strip the scheme and host from a request target in absolute form (RFC 9112, section 3.2.2)."""
    match = _SCHEME_AND_HOST.match(target) if target[:1] != b"/" else None
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest[:1] == b"/" else b"/" + rest


def check_message(
    target: bytes,
    version: str,
    headers: Headers,
    max_body: int,
    single: frozenset[bytes],
    dropped: frozenset[bytes],
) -> tuple[dict[bytes, bytes], Headers]:
    """Validate a request head; return its fields by lower-case name, and the headers to forward.

    Ambiguous messages raise BadRequestError, so that no upstream can interpret them differently than the balancer.
    `single` names the fields that may occur only once and includes SINGLE_FIELDS; `dropped` names the fields that are
    not forwarded and includes HOP_BY_HOP. `max_body` is the limit for Content-Length in bytes.
    """
    fields: dict[bytes, bytes] = {}
    forwarded: Headers = []
    values, size, has_duplicate = [], len(target), False
    for pair in headers:
        name, value = pair
        lower_name = name.lower()
        if lower_name in fields and lower_name in single:
            has_duplicate = True
        fields[lower_name] = value
        values.append(value)
        size += len(name) + len(value) + 4
        if lower_name not in dropped:
            forwarded.append(pair)
    if size > MAX_HEAD_BYTES:
        raise BadRequestError(431)
    if has_duplicate or not _TARGET.fullmatch(target) or not _FIELD_VALUE.fullmatch(b"".join(values)):
        raise BadRequestError(400)
    if b"connection" in fields:
        forwarded = without_named(forwarded, headers)
    length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if length is not None and (coding is not None or not _CONTENT_LENGTH.fullmatch(length)):
        raise BadRequestError(400)  # a head with both is a means of request smuggling
    if coding is not None and (coding.lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400)
    if length is not None and int(length) > max_body:
        raise BadRequestError(413)
    return fields, forwarded


def check(
    method: bytes, target: bytes, version: str, headers: Headers, classes: Mapping[str, RequestClass]
) -> Call | None:
    """Return the platform's call that a head describes, None for a readiness check; or raise BadRequestError."""
    target = origin_form(target)
    fields, forwarded_headers = check_message(
        target, version, headers, MAX_STREAM_BYTES, _PLATFORM_SINGLE, _NOT_FORWARDED
    )
    length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if method not in (b"GET", b"POST"):
        raise BadRequestError(405)
    path = target.partition(b"?")[0]
    if path == READY_PATH:
        return None
    cls = classes.get(path.split(b"/")[1].decode("ascii"))
    if cls is None:
        raise BadRequestError(404)
    if method != (b"GET" if cls.effect is Effect.REPEATABLE else b"POST"):
        raise BadRequestError(405)
    if method == b"GET" and (coding is not None or int(length or 0) > 0):
        raise BadRequestError(400)
    txn, key = fields.get(b"x-txn", b""), fields.get(b"idempotency-key")
    if not TOKEN.fullmatch(txn) or (key is not None) != (cls.effect is Effect.KEYED):
        raise BadRequestError(400)  # without its key, a repeat could not be recognized and dropped
    if key is not None and not TOKEN.fullmatch(key):
        raise BadRequestError(400)
    remaining = cls.deadline_ms / 1000
    if (remaining_field := fields.get(b"x-remaining")) is not None:
        if not NUMBER.fullmatch(remaining_field) or not math.isfinite(float(remaining_field)):
            raise BadRequestError(400)
        remaining = min(float(remaining_field), remaining)
    tenant = fields[b"x-org"].decode("latin-1") if b"x-org" in fields else None
    return Call(cls.name, txn, tenant, remaining, method, target, forwarded_headers)
