"""Callers that know nothing of the platform: which requests are taken, and as what. No I/O.

A request needs no header of ours. Its class follows from method and path, its tenant from a header or the
file, its time from a header or its class. A caller's id is kept and passed on, and never taken for ours: two open
requests with the same id from outside are two requests.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping

from passpost.http1 import HOP_BY_HOP, Headers
from passpost.operator.model import Application, File
from passpost.operator.routes import Routes
from passpost.validation import NUMBER, SINGLE, TOKEN, BadRequestError, Call, check_message, origin_form


class RequestClassifier:
    """Takes the place of `passpost.validation.check` for one application of the file."""

    def __init__(
        self, application: Application, file: File, run: str, environment: Mapping[str, str]
    ) -> None:
        self._routes = Routes(application.classes)
        self._ready = file.health.path.encode()
        self._max_body = max_body_bytes(file)
        identity = application.identity
        self._id = identity.id_header.encode()
        self._tenant = identity.tenant_header.lower().encode()
        self._default_tenant = identity.tenant or None
        self._deadline = identity.deadline_header.lower().encode()
        self._deadline_name = identity.deadline_header.encode()
        keys = {c.key_header.lower().encode() for c in application.classes if c.key_header is not None}
        self._single = SINGLE | {self._id.lower(), self._tenant, self._deadline, *keys}
        self._run = f"{application.name}-{run}"
        self._count = itertools.count(1)
        self._added: Headers = [
            (name.encode(), resolve_header_value(value, environment).encode())
            for name, value in application.add_headers.items()
        ]
        self._dropped = HOP_BY_HOP | {self._deadline, *(name.lower() for name, _ in self._added)}

    def __call__(self, method: bytes, target: bytes, version: str, headers: Headers) -> Call | None:
        """The call that a head stands for, None for the question of health; or BadRequestError."""
        target = origin_form(target)
        fields, passed_on = check_message(
            target, version, headers, self._max_body, self._single, self._dropped
        )
        path = target.partition(b"?")[0]
        if path == self._ready and method in (b"GET", b"HEAD"):
            return None
        text = path.decode("ascii")
        cls = self._routes.find(method.decode("latin-1"), text)
        if cls is None:
            if self._routes.accepts_path(text):
                raise BadRequestError(405, "no class takes this method here")
            raise BadRequestError(404, "no class takes this path")
        if cls.key_header is not None:
            key = fields.get(cls.key_header.lower().encode())
            if key is None or not TOKEN.fullmatch(key):
                raise BadRequestError(
                    400, f"{cls.name} needs a key in {cls.key_header}: without one no repeat is dropped"
                )
        remaining = cls.deadline_ms / 1000
        if (told := fields.get(self._deadline)) is not None:
            if not NUMBER.fullmatch(told) or not math.isfinite(float(told)):
                raise BadRequestError(400, "the time left is no number")
            remaining = min(float(told), remaining)
        tenant = fields[self._tenant].decode("latin-1") if self._tenant in fields else self._default_tenant
        own = f"{self._run}-{next(self._count)}".encode()
        if self._id.lower() not in fields:
            passed_on.append((self._id, own))
        passed_on += self._added
        idle_s = cls.idle_s if cls.streams else 0.0
        return Call(cls.name, own, tenant, remaining, method, target, passed_on, self._deadline_name, idle_s)


def max_body_bytes(file: File) -> int:
    """How many bytes a body may have."""
    return file.limits.body_mb * 1024 * 1024


def resolve_header_value(value: str, environment: Mapping[str, str]) -> str:
    """A header's value; `env:NAME` is read from the environment; ValueError where it is not set."""
    if not value.startswith("env:"):
        return value
    name = value.removeprefix("env:")
    if name not in environment:
        raise ValueError(f"the variable {name} is not set")
    found = environment[name]
    if not found.isascii() or not found.isprintable():
        raise ValueError(f"the variable {name} holds a character that no header may")
    return found
