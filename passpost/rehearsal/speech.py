"""Request formats of clients, balancers and nodes: the platform's, and plain HTTP for an operator's file.

No I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from passpost.operator import model as operator
from passpost.operator.model import Application
from passpost.operator.routes import Routes, segments
from passpost.rehearsal.http import Request, write_request
from passpost.rehearsal.model import Class

# A plain client sends a deadline header only if the time left is below its class's deadline by more than this.
DEADLINE_TOLERANCE_S = 0.001


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """The fields of a request. `remaining`: the time left in seconds, None if it is not given."""

    cls: str
    txn: str
    remaining: float | None
    tenant: str
    key: str


class RequestFormat:
    """The platform's format: the class is in the path, all else in the platform's headers."""

    ready_path = "/health/ready"

    def write(self, cls: Class, txn: str, remaining: float, tenant: str, key: str, topic: str = "") -> bytes:
        """Build a request. `remaining`: the time left in seconds; `topic`: the query's `key`."""
        return write_request(cls.name, cls.effect, txn, remaining, tenant, key, topic)

    def read(self, request: Request) -> ParsedRequest | None:
        """Parse a request; None if it names no class or has no id."""
        headers = request.headers
        cls, txn = request.path.lstrip("/").split("/")[0], headers.get("x-txn", "")
        if not cls or not txn:
            return None
        remaining = headers.get("x-remaining")
        return ParsedRequest(
            cls,
            txn,
            None if remaining is None else float(remaining),
            headers.get("x-org", ""),
            headers.get("idempotency-key", ""),
        )


class PlainRequestFormat(RequestFormat):
    """Plain HTTP between ordinary clients, an application of an operator's file and its servers."""

    def __init__(self, application: Application, ready_path: str) -> None:
        self.ready_path = ready_path
        self._identity = application.identity
        self._routes = Routes(application.classes)
        self._classes = {c.name: c for c in application.classes}

    def write(self, cls: Class, txn: str, remaining: float, tenant: str, key: str, topic: str = "") -> bytes:
        """Build a request with only the headers that its class and the invariant checker need."""
        operator_class = self._classes[cls.name]
        method, path = example_request(operator_class, topic)
        body = b"" if method in ("GET", "OPTIONS") else b"model=%b" % txn.encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: rehearsal", f"{self._identity.id_header}: {txn}"]
        if tenant:
            lines.append(f"{self._identity.tenant_header}: {tenant}")
        if operator_class.key_header is not None:
            lines.append(f"{operator_class.key_header}: {key}")
        if remaining < cls.deadline_ms / 1000 - DEADLINE_TOLERANCE_S:
            lines.append(f"{self._identity.deadline_header}: {remaining:.4f}")
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def read(self, request: Request) -> ParsedRequest | None:
        """Parse a request; None if no class matches it or it has no id."""
        cls, headers = self._routes.find(request.method, request.path), request.headers
        txn = headers.get(self._identity.id_header.lower(), "")
        if cls is None or not txn:
            return None
        remaining = float(headers.get(self._identity.deadline_header.lower(), math.nan))
        return ParsedRequest(
            cls.name,
            txn,
            None if math.isnan(remaining) else remaining,
            headers.get(self._identity.tenant_header.lower(), ""),
            headers.get(cls.key_header.lower(), "") if cls.key_header is not None else "",
        )


def example_request(cls: operator.Class, topic: str = "") -> tuple[str, str]:
    """A method and a path that should match the class. HEAD only if the class has no other method.

    `topic` replaces the path's wildcards.
    """
    method = next((m for m in cls.methods if m != "HEAD"), "HEAD")
    path_segments = [(topic or "m1") if s in ("*", "**") else s for s in segments(cls.path)]
    return method, "/" + "/".join(path_segments)
