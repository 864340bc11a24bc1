"""Writes the operator's file from a description, and again without losing the operator's own edits. No I/O.

The same description gives the same bytes. What was written is kept beside the file as its base: written again, the
new text is merged with the operator's (three-way, by lines), and where both changed the same lines nothing is
written and the conflicts are named.
"""

from __future__ import annotations

import textwrap
from dataclasses import dataclass
from typing import Any

import merge3
import msgspec

from passpost.operator.checks import is_ip_address, split_host_port
from passpost.operator.description import Description, Request, Service
from passpost.operator.model import Application, Class, Drain, File, Names, Part, Static, Tenant

FIRST_PORT = 7070
FREELY, WITH_KEY = 3, 2  # attempts; a keyed request must not be tried as often as one that is safe
KEY_PART = 0.9  # of the key's window within which the last attempt begins
WIDTH = 100


def build(description: Description) -> File:
    """The file that a description asks for."""
    taken = {split_host_port(s.listen) for s in description.calls if s.listen}
    port = FIRST_PORT
    applications = []
    for service in description.calls:
        listen = service.listen
        if not listen:
            while ("127.0.0.1", port) in taken:
                port += 1
            listen, port = f"127.0.0.1:{port}", port + 1
        applications.append(_application(service, listen))
    longest = max(c.deadline_ms for a in applications for c in a.classes) / 1000
    serve = max(min(2.0, description.kill_after_s - longest - 1.5), 0.0)
    return File(
        version=1,
        name=description.application,
        drain=Drain(kill_after_s=description.kill_after_s, serve_s=round(serve, 3)),
        applications=tuple(applications),
    )


def _application(service: Service, listen: str) -> Application:
    pairs = [split_host_port(a) for a in service.at]
    fixed = all(p is not None and is_ip_address(p[0]) for p in pairs)
    requests = service.requests or (Request(name="any"),)
    return Application(
        name=service.service,
        listen=listen,
        upstreams=Static(addresses=service.at) if fixed else Names(names=service.at),
        classes=tuple(_class(r, service) for r in requests),
        attempts=FREELY,
        rate_per_s=service.rate_per_s,
    )


def _class(request: Request, service: Service) -> Class:
    waits = request.waits_ms or service.waits_ms
    base: dict[str, Any] = {
        "name": request.name,
        "path": request.path,
        "methods": request.methods,
        "deadline_ms": waits,
        "worth": request.worth,
        "streams": request.streams,
    }
    if request.repeat == "freely":
        return Class(
            **base, effect="safe", attempts=FREELY, attempt_ms=float(int(waits / FREELY * 1000) / 1000)
        )
    if request.repeat == "never":
        return Class(**base, effect="unsafe", attempts=1)
    attempt = min(waits / WITH_KEY, request.key_kept_ms * KEY_PART)
    return Class(
        **base,
        effect="keyed",
        key_header=request.key_header,
        window_ms=request.key_kept_ms,
        attempts=WITH_KEY,
        attempt_ms=float(int(attempt * 1000) / 1000),
    )


# ---- text ---------------------------------------------------------------------------------------


def render(file: File, source: str = "") -> str:
    """The file as commented TOML: every key, those at their default commented out."""
    lines = [
        f"# passpost: {file.name}" + (f", written by `passpost new` from {source}" if source else ""),
        "# Check it after each edit: passpost check FILE. Start it: passpost run FILE.",
        "",
        *_keys(file, skip=("applications", "limits", "drain", "health")),
    ]
    for section in ("limits", "drain", "health"):
        lines += ["", f"[{section}]", *_keys(getattr(file, section))]
    for application in file.applications:
        lines += ["", "", f"# ---- {application.name} " + "-" * max(WIDTH - 9 - len(application.name), 3)]
        lines += ["[[applications]]", *_keys(application, skip=_TABLES)]
        lines += ["", "[applications.upstreams]", *_keys(application.upstreams)]
        for section in ("identity", "cold"):
            lines += ["", f"[applications.{section}]", *_keys(getattr(application, section))]
        if application.add_headers:
            lines += ["", "[applications.add_headers]"]
            lines += [f"{_quoted(k)} = {_value(v)}" for k, v in sorted(application.add_headers.items())]
        for key, items in (("tenants", application.tenants), ("classes", application.classes)):
            item: Tenant | Class
            for item in items:
                lines += ["", f"[[applications.{key}]]", *_keys(item)]
    return "\n".join(lines) + "\n"


_TABLES = ("upstreams", "identity", "cold", "add_headers", "tenants", "classes")


def _keys(part: Part, skip: tuple[str, ...] = ()) -> list[str]:
    lines = []
    if tag := part.__struct_config__.tag:
        lines.append(f"kind = {_value(tag)}")
    for info in msgspec.structs.fields(type(part)):
        if info.name in skip:
            continue
        value = getattr(part, info.name)
        texts = [m.description for m in getattr(info.type, "__metadata__", ()) if m.description]
        for text in texts[-1:]:
            lines += textwrap.wrap(text, WIDTH, initial_indent="# ", subsequent_indent="# ")
        at_default = not info.required and value == info.default
        if value is None:
            lines.append(f"# {info.name} = ")
        else:
            lines.append(f"{'# ' if at_default else ''}{info.name} = {_value(value)}")
    return lines


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return repr(int(value)) if value.is_integer() and abs(value) < 1e15 else repr(value)
    if isinstance(value, int):
        return repr(value)
    if isinstance(value, str):
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
    return "[" + ", ".join(map(_value, value)) + "]"


def _quoted(name: str) -> str:
    return name if name.replace("-", "").replace("_", "").isalnum() and name.isascii() else _value(name)


# ---- edits --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Conflict:
    """Lines that both the operator and the description have changed. `line` is in the operator's file."""

    line: int
    current: str
    new: str


@dataclass(frozen=True, slots=True)
class Merged:
    """The text to write, or the conflicts that forbid it."""

    text: str
    conflicts: tuple[Conflict, ...] = ()


def merge(base: str, yours: str, new: str) -> Merged:
    """The new text with the operator's edits to the text before."""
    three = [text.splitlines(keepends=True) for text in (base, yours, new)]
    merged: list[str] = []
    conflicts: list[Conflict] = []
    for kind, *region in merge3.Merge3(three[0], three[1], three[2]).merge_regions():
        if kind == "conflict":
            _, _, first, after, new_first, new_after = region
            mine, other = three[1][first:after], three[2][new_first:new_after]
            conflicts.append(Conflict(first + 1, "".join(mine).strip(), "".join(other).strip()))
        else:
            first, after = region
            merged += {"unchanged": three[0], "a": three[1], "same": three[1], "b": three[2]}[kind][
                first:after
            ]
    return Merged("".join(merged), tuple(conflicts))
