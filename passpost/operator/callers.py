"""Validates and classifies requests from ordinary HTTP clients that know nothing of the platform. No I/O.

A request needs no platform header. Its class follows from method and path, its tenant from a header or the file, and
its deadline from a header or the class. A caller's request id is passed on unchanged but not used as the internal id:
two open requests with the same id from outside are two separate requests.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping

from passpost.http1 import HOP_BY_HOP, Headers
from passpost.operator.model import Application, File
from passpost.operator.routes import Routes
from passpost.validation import (
    NUMBER,
    SINGLE_FIELDS,
    TOKEN,
    BadRequestError,
    Call,
    check_message,
    origin_form,
)


class RequestClassifier:
    """Used instead of `passpost.validation.check` for one application of the file.

    `run` is a part of the internal ids that makes them unique among runs of the sidecar.
    """

    def __init__(
        self, application: Application, file: File, run: str, environment: Mapping[str, str]
    ) -> None:
        self._routes = Routes(application.classes)
        self._health_path = file.health.path.encode()
        self._max_body = max_body_bytes(file)
        identity = application.identity
        self._id_header = identity.id_header.encode()
        self._tenant_key = identity.tenant_header.lower().encode()
        self._default_tenant = identity.tenant or None
        self._deadline_key = identity.deadline_header.lower().encode()
        self._deadline_header = identity.deadline_header.encode()
        keys = {c.key_header.lower().encode() for c in application.classes if c.key_header is not None}
        self._single_headers = SINGLE_FIELDS | {
            self._id_header.lower(),
            self._tenant_key,
            self._deadline_key,
            *keys,
        }
        self._id_prefix = f"{application.name}-{run}"
        self._counter = itertools.count(1)
        self._added_headers: Headers = [
            (name.encode(), resolve_header_value(value, environment).encode())
            for name, value in application.add_headers.items()
        ]
        self._dropped_headers = HOP_BY_HOP | {
            self._deadline_key,
            *(name.lower() for name, _ in self._added_headers),
        }

    def __call__(self, method: bytes, target: bytes, version: str, headers: Headers) -> Call | None:
        """Turns a request head into a call; None for the health check; raises BadRequestError if it is refused."""
        target = origin_form(target)
        fields, passed_on = check_message(
            target, version, headers, self._max_body, self._single_headers, self._dropped_headers
        )
        path = target.partition(b"?")[0]
        if path == self._health_path and method in (b"GET", b"HEAD"):
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
        if (remaining_text := fields.get(self._deadline_key)) is not None:
            if not NUMBER.fullmatch(remaining_text) or not math.isfinite(float(remaining_text)):
                raise BadRequestError(400, "the time left is no number")
            remaining = min(float(remaining_text), remaining)
        tenant = (
            fields[self._tenant_key].decode("latin-1") if self._tenant_key in fields else self._default_tenant
        )
        internal_id = f"{self._id_prefix}-{next(self._counter)}".encode()
        if self._id_header.lower() not in fields:
            passed_on.append((self._id_header, internal_id))
        passed_on += self._added_headers
        idle_s = cls.idle_s if cls.streams else 0.0
        return Call(
            cls.name, internal_id, tenant, remaining, method, target, passed_on, self._deadline_header, idle_s
        )


def max_body_bytes(file: File) -> int:
    """The size limit of a body in bytes."""
    return file.limits.body_mb * 1024 * 1024


def resolve_header_value(value: str, environment: Mapping[str, str]) -> str:
    """A header's value. `env:NAME` is read from the environment; raises ValueError if it is not set or not valid."""
    if not value.startswith("env:"):
        return value
    name = value.removeprefix("env:")
    if name not in environment:
        raise ValueError(f"the environment variable {name} is not set")
    found = environment[name]
    if not found.isascii() or not found.isprintable():
        raise ValueError(f"the environment variable {name} has a character that is not allowed in a header")
    return found
