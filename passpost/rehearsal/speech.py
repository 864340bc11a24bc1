"""How clients, balancers and nodes write a request to one another: the platform's form, or plain HTTP by an
operator's file. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

from passpost.operator import model as operator
from passpost.operator.model import Application
from passpost.operator.routes import Routes, segments
from passpost.rehearsal.http import Request, write_request
from passpost.rehearsal.model import Class

TOLD_S = 0.001  # a plain client names its time only where it has less than its class says


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """What a request says. `remaining`: seconds left, None where it does not say."""

    cls: str
    txn: str
    remaining: float | None
    tenant: str
    key: str


class RequestFormat:
    """The platform's form: class in the path, the rest in its headers."""

    ready_path = "/health/ready"

    def write(self, cls: Class, txn: str, remaining: float, tenant: str, key: str, topic: str = "") -> bytes:
        """A request."""
        return write_request(cls.name, cls.effect, txn, remaining, tenant, key, topic)

    def read(self, request: Request) -> ParsedRequest | None:
        """What a request says; None if it is for no class or has no id."""
        headers = request.headers
        cls, txn = request.path.lstrip("/").split("/")[0], headers.get("x-txn", "")
        if not cls or not txn:
            return None
        left = headers.get("x-remaining")
        return ParsedRequest(
            cls,
            txn,
            None if left is None else float(left),
            headers.get("x-org", ""),
            headers.get("idempotency-key", ""),
        )


class PlainRequestFormat(RequestFormat):
    """What ordinary clients send to an application of an operator's file, and what its servers get."""

    def __init__(self, application: Application, ready_path: str) -> None:
        self.ready_path = ready_path
        self._identity = application.identity
        self._routes = Routes(application.classes)
        self._classes = {c.name: c for c in application.classes}

    def write(self, cls: Class, txn: str, remaining: float, tenant: str, key: str, topic: str = "") -> bytes:
        """A request with no header but those that its class and the watch need."""
        known = self._classes[cls.name]
        method, path = example_request(known, topic)
        body = b"" if method in ("GET", "OPTIONS") else b"model=%b" % txn.encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: rehearsal", f"{self._identity.id_header}: {txn}"]
        if tenant:
            lines.append(f"{self._identity.tenant_header}: {tenant}")
        if known.key_header is not None:
            lines.append(f"{known.key_header}: {key}")
        if remaining < cls.deadline_ms / 1000 - TOLD_S:
            lines.append(f"{self._identity.deadline_header}: {remaining:.4f}")
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def read(self, request: Request) -> ParsedRequest | None:
        """What a request says; None if no class takes it or it has no id."""
        cls, headers = self._routes.find(request.method, request.path), request.headers
        txn = headers.get(self._identity.id_header.lower(), "")
        if cls is None or not txn:
            return None
        left = float(headers.get(self._identity.deadline_header.lower(), math.nan))
        return ParsedRequest(
            cls.name,
            txn,
            None if math.isnan(left) else left,
            headers.get(self._identity.tenant_header.lower(), ""),
            headers.get(cls.key_header.lower(), "") if cls.key_header is not None else "",
        )


def example_request(cls: operator.Class, topic: str = "") -> tuple[str, str]:
    """A method and a path that the class is meant to take. HEAD only where it takes nothing else."""
    method = next((m for m in cls.methods if m != "HEAD"), "HEAD")
    filled = [(topic or "m1") if s in ("*", "**") else s for s in segments(cls.path)]
    return method, "/" + "/".join(filled)
