"""Generates the operator's file from a description, and regenerates it without losing the operator's edits. No I/O.

The same description always gives the same bytes. The generated text is kept next to the file as the merge base. When
the file is generated again, a three-way merge by lines combines the new text with the operator's edits; if both
changed the same lines, nothing is written and the conflicts are reported.
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
SAFE_ATTEMPTS, KEYED_ATTEMPTS = 3, 2  # a keyed request must have fewer attempts than a safe one
KEY_WINDOW_SHARE = 0.9  # share of the key's window within which the last attempt must start
COMMENT_WIDTH = 100


def build(description: Description) -> File:
    """Builds the file that a description asks for."""
    taken = {split_host_port(s.listen) for s in description.calls if s.listen}
    port = FIRST_PORT
    applications = []
    for service in description.calls:
        listen = service.listen
        if not listen:
            while ("127.0.0.1", port) in taken:
                port += 1
            listen, port = f"127.0.0.1:{port}", port + 1
        applications.append(_build_application(service, listen))
    longest_deadline_s = max(c.deadline_ms for a in applications for c in a.classes) / 1000
    serve = max(min(2.0, description.kill_after_s - longest_deadline_s - 1.5), 0.0)
    return File(
        version=1,
        name=description.application,
        drain=Drain(kill_after_s=description.kill_after_s, serve_s=round(serve, 3)),
        applications=tuple(applications),
    )


def _build_application(service: Service, listen: str) -> Application:
    host_ports = [split_host_port(a) for a in service.at]
    all_ip_addresses = all(p is not None and is_ip_address(p[0]) for p in host_ports)
    requests = service.requests or (Request(name="any"),)
    return Application(
        name=service.service,
        listen=listen,
        upstreams=Static(addresses=service.at) if all_ip_addresses else Names(names=service.at),
        classes=tuple(_build_class(r, service) for r in requests),
        attempts=SAFE_ATTEMPTS,
        rate_per_s=service.rate_per_s,
    )


def _build_class(request: Request, service: Service) -> Class:
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
            **base,
            effect="safe",
            attempts=SAFE_ATTEMPTS,
            attempt_ms=float(int(waits / SAFE_ATTEMPTS * 1000) / 1000),
        )
    if request.repeat == "never":
        return Class(**base, effect="unsafe", attempts=1)
    attempt = min(waits / KEYED_ATTEMPTS, request.key_kept_ms * KEY_WINDOW_SHARE)
    return Class(
        **base,
        effect="keyed",
        key_header=request.key_header,
        window_ms=request.key_kept_ms,
        attempts=KEYED_ATTEMPTS,
        attempt_ms=float(int(attempt * 1000) / 1000),
    )


# ---- text ---------------------------------------------------------------------------------------


def render(file: File, source: str = "") -> str:
    """Formats the file as TOML with comments; keys that have their default value are commented out."""
    lines = [
        f"# passpost: {file.name}" + (f", written by `passpost new` from {source}" if source else ""),
        "# Check it after each edit: passpost check FILE. Start it: passpost run FILE.",
        "",
        *_format_keys(file, skip=("applications", "limits", "drain", "health")),
    ]
    for section in ("limits", "drain", "health"):
        lines += ["", f"[{section}]", *_format_keys(getattr(file, section))]
    for application in file.applications:
        lines += [
            "",
            "",
            f"# ---- {application.name} " + "-" * max(COMMENT_WIDTH - 9 - len(application.name), 3),
        ]
        lines += ["[[applications]]", *_format_keys(application, skip=_TABLE_KEYS)]
        lines += ["", "[applications.upstreams]", *_format_keys(application.upstreams)]
        for section in ("identity", "cold"):
            lines += ["", f"[applications.{section}]", *_format_keys(getattr(application, section))]
        if application.add_headers:
            lines += ["", "[applications.add_headers]"]
            lines += [
                f"{_format_key(k)} = {_format_value(v)}" for k, v in sorted(application.add_headers.items())
            ]
        for key, items in (("tenants", application.tenants), ("classes", application.classes)):
            item: Tenant | Class
            for item in items:
                lines += ["", f"[[applications.{key}]]", *_format_keys(item)]
    return "\n".join(lines) + "\n"


_TABLE_KEYS = ("upstreams", "identity", "cold", "add_headers", "tenants", "classes")


def _format_keys(part: Part, skip: tuple[str, ...] = ()) -> list[str]:
    lines = []
    if tag := part.__struct_config__.tag:
        lines.append(f"kind = {_format_value(tag)}")
    for info in msgspec.structs.fields(type(part)):
        if info.name in skip:
            continue
        value = getattr(part, info.name)
        texts = [m.description for m in getattr(info.type, "__metadata__", ()) if m.description]
        for text in texts[-1:]:
            lines += textwrap.wrap(text, COMMENT_WIDTH, initial_indent="# ", subsequent_indent="# ")
        at_default = not info.required and value == info.default
        if value is None:
            lines.append(f"# {info.name} = ")
        else:
            lines.append(f"{'# ' if at_default else ''}{info.name} = {_format_value(value)}")
    return lines


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return repr(int(value)) if value.is_integer() and abs(value) < 1e15 else repr(value)
    if isinstance(value, int):
        return repr(value)
    if isinstance(value, str):
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
    return "[" + ", ".join(map(_format_value, value)) + "]"


def _format_key(name: str) -> str:
    return (
        name if name.replace("-", "").replace("_", "").isalnum() and name.isascii() else _format_value(name)
    )


# ---- edits --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Conflict:
    """Lines that both the operator and the new description changed. `line` counts in the operator's file."""

    line: int
    current: str
    new: str


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged text, and the conflicts; with a conflict, the text must not be written."""

    text: str
    conflicts: tuple[Conflict, ...] = ()


def merge(base: str, current: str, new: str) -> Merged:
    """Applies the operator's edits, the difference between `base` and `current`, to the new text."""
    texts = [text.splitlines(keepends=True) for text in (base, current, new)]
    merged: list[str] = []
    conflicts: list[Conflict] = []
    for kind, *region in merge3.Merge3(texts[0], texts[1], texts[2]).merge_regions():
        if kind == "conflict":
            _, _, first, after, new_first, new_after = region
            current_lines, new_lines = texts[1][first:after], texts[2][new_first:new_after]
            conflicts.append(Conflict(first + 1, "".join(current_lines).strip(), "".join(new_lines).strip()))
        else:
            first, after = region
            merged += {"unchanged": texts[0], "a": texts[1], "same": texts[1], "b": texts[2]}[kind][
                first:after
            ]
    return Merged("".join(merged), tuple(conflicts))
