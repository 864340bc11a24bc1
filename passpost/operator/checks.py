"""Checks whether the values of a well-formed operator's file are consistent. No I/O: `probe.py` checks the machine.

Each check yields problems, each with the key that it concerns. An error is a setting that can't work or that breaks
a guarantee (such as the deduplication of keyed requests); a warning is a setting that is legal but unwise.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator
from itertools import combinations

from passpost.operator import model
from passpost.operator.model import Application, Class, File
from passpost.operator.reader import ParsedFile, Problem
from passpost.operator.routes import covers, overlap, segments

# Descriptors for listening sockets, discovery, the event loop, files, and sockets whose close is not complete.
OTHER_DESCRIPTORS = 32
BUFFERS_PER_CONNECTION_KB = 2  # in addition to the body
BASE_MEMORY_MB = 24  # an idle process: 13 to 16 MB measured on the platform, plus a margin
FIRST_UNPRIVILEGED_PORT = 1024  # a process needs privileges to listen on a lower port
_HOST_NAME = re.compile(
    r"(?=.{1,253}$)[A-Za-z0-9_]([A-Za-z0-9_-]{0,62})(\.[A-Za-z0-9_]([A-Za-z0-9_-]{0,62}))*\.?"
)
_SECRET_NAME = re.compile(r"authori[sz]ation|cookie|token|secret|passw|credential|api-?key", re.I)
_RESERVED_HEADERS = frozenset(
    {"host", "content-length", "transfer-encoding", "connection", "te", "upgrade", "expect"}
)


def check(file: File) -> list[Problem]:
    """All errors and warnings about the values of a file, in the order of its sections."""
    found = [*_check_process(file), *_check_listeners(file), *_check_unique_names(file), *_check_calls(file)]
    for i, application in enumerate(file.applications):
        found += _check_application(application, f"applications[{i}]", file)
    return found


# ---- addresses ----------------------------------------------------------------------------------


def split_host_port(text: str) -> tuple[str, int] | None:
    """The host and port of `host:port` or `[host]:port`; None if the text has neither form."""
    host, colon, port = text.rpartition(":")
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65_535:
        return None
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    return (host, int(port)) if host else None


def is_ip_address(host: str) -> bool:
    """Whether `host` is an IP address rather than a host name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _check_address(text: str, key: str, what: str) -> Iterator[Problem]:
    pair = split_host_port(text)
    if pair is None:
        yield Problem(
            key, f"{text!r} is not a valid {what}", "an IP address and a port, such as 10.0.0.5:8080"
        )
    elif not is_ip_address(pair[0]):
        fix = (
            "kind = 'names' for host names" if what == "upstream address" else "an IP address of this machine"
        )
        yield Problem(key, f"{pair[0]!r} is a host name, not an IP address", fix)
    elif pair[1] == 0:
        yield Problem(key, "port 0 can't be connected to", "the port that the server listens on")


# ---- the process --------------------------------------------------------------------------------


def findings(reading: ParsedFile) -> list[Problem]:
    """All problems of a parsed file: those found while parsing it and those found by `check`."""
    return reading.all_problems(check(reading.file) if reading.file is not None else ())


def connection_limits(file: File) -> tuple[int, int]:
    """How many connections from callers and how many to upstreams the process may hold open."""
    limits = file.limits
    callers = limits.connections or int(limits.descriptors * 0.55)
    return callers, limits.upstream_connections or int(limits.descriptors * 0.35)


def _check_process(file: File) -> Iterator[Problem]:
    limits, drain = file.limits, file.drain
    callers, upstreams = connection_limits(file)
    needed_descriptors = callers + upstreams + OTHER_DESCRIPTORS + len(file.applications)
    if needed_descriptors > limits.descriptors and (limits.connections or limits.upstream_connections):
        key = "limits.connections" if limits.connections else "limits.upstream_connections"
        text = (
            f"{callers} client and {upstreams} upstream connections need {needed_descriptors} descriptors, "
            "but there are "
        )
        yield Problem(key, f"{text}{limits.descriptors}", f"raise limits.descriptors to {needed_descriptors}")
    share = min(callers, upstreams) // max(len(file.applications), 1)
    if share < 2:
        text = (
            f"{len(file.applications)} applications share {limits.descriptors} descriptors: "
            "fewer than 2 connections each way"
        )
        yield Problem("limits.descriptors", text, "a higher limit, or fewer applications in one process")
    if limits.body_kb > limits.body_mb * 1024:
        text = f"{limits.body_kb} KB of a body are buffered, but a body may have at most {limits.body_mb} MB"
        yield Problem("limits.body_kb", text, "a lower value, or a higher limits.body_mb")
    worst_case_mb = BASE_MEMORY_MB + callers * (limits.body_kb + BUFFERS_PER_CONNECTION_KB) / 1024
    if worst_case_mb > limits.memory_mb:
        text = (
            f"{callers} client connections with bodies of {limits.body_kb} KB may need {worst_case_mb:.0f} MB, "
            "but there are "
        )
        yield Problem(
            "limits.memory_mb",
            f"{text}{limits.memory_mb}",
            "lower limits.connections or limits.body_kb, or a higher limit",
            warning=True,
        )
    longest_deadline_s = (
        max((c.deadline_ms for a in file.applications for c in a.classes), default=0.0) / 1000
    )
    needed_s = drain.serve_s + longest_deadline_s + 1
    if needed_s > drain.kill_after_s:
        text = (
            f"draining for {drain.serve_s:g} s, then up to {longest_deadline_s:g} s of open requests, "
            f"takes {needed_s:g} s, but the "
        )
        fix = f"at least {needed_s:g}, if the supervisor allows it, or a lower drain.serve_s"
        yield Problem("drain.kill_after_s", f"{text}process is killed after {drain.kill_after_s:g} s", fix)


def _check_listeners(file: File) -> Iterator[Problem]:
    seen: dict[tuple[str, int], str] = {}
    for i, application in enumerate(file.applications):
        key = f"applications[{i}].listen"
        pair = split_host_port(application.listen)
        if pair is None:
            yield Problem(
                key, f"{application.listen!r} is not a valid listen address", "such as 127.0.0.1:7070"
            )
            continue
        host, port = pair
        if not is_ip_address(host):
            yield Problem(key, f"{host!r} is a host name, not an IP address", "an IP address of this machine")
            continue
        if 0 < port < FIRST_UNPRIVILEGED_PORT:
            text = f"port {port} is privileged: an ordinary user can't listen on it"
            yield Problem(key, text, f"a port from {FIRST_UNPRIVILEGED_PORT} on")
        if port == 0:
            yield Problem(key, "port 0 gives another port at each start", "a fixed port", True)
        if host in ("0.0.0.0", "::"):
            text = "listens on every address of the machine, so any host that reaches it can call"
            yield Problem(key, text, "127.0.0.1 for callers on this machine", True)
        for other, name in seen.items():
            if port and other[1] == port and (other[0] == host or {"0.0.0.0", "::"} & {other[0], host}):
                yield Problem(key, f"{name!r} already listens on {application.listen}", "another port")
        seen.setdefault(pair, application.name)


def _check_unique_names(file: File) -> Iterator[Problem]:
    names: dict[str, int] = {}
    for i, application in enumerate(file.applications):
        if application.name in names:
            text = f"{application.name!r} is already the name of applications[{names[application.name]}]"
            yield Problem(f"applications[{i}].name", text, "a unique name")
        names.setdefault(application.name, i)


# ---- tiers: applications that call one another --------------------------------------------------


def _check_calls(file: File) -> Iterator[Problem]:
    positions = {a.name: i for i, a in enumerate(file.applications)}
    cycles = list(_find_call_cycles(file, positions))
    yield from cycles
    if len(positions) < len(file.applications):
        return  # with a duplicate name, a call can't be assigned to one application
    for i, application in enumerate(file.applications):
        for j, name in enumerate(application.calls):
            key = f"applications[{i}].calls"
            if name not in positions:
                yield Problem(
                    key,
                    f"there is no application {name!r} in this file",
                    f"one of {_shorten_list(positions)}",
                )
            elif name in application.calls[:j]:
                yield Problem(key, f"{name!r} is listed twice", "each application once")
            elif not cycles:
                yield from _check_nested_deadlines(application, file.applications[positions[name]], i)


def _check_nested_deadlines(outer: Application, inner: Application, number: int) -> Iterator[Problem]:
    """Finds inner deadlines that don't end before the outer one: work after the outer deadline is wasted."""
    for j, cls in enumerate(outer.classes):
        for other in inner.classes:
            if cls.name == other.name and other.deadline_ms >= cls.deadline_ms:
                text = (
                    f"{outer.name!r} abandons {cls.name!r} after {cls.deadline_ms:g} ms, but {inner.name!r}, which it "
                    f"calls, continues for {other.deadline_ms:g} ms"
                )
                fix = f"a shorter deadline in {inner.name!r} than in {outer.name!r}"
                yield Problem(f"applications[{number}].classes[{j}].deadline_ms", text, fix)


def _find_call_cycles(file: File, positions: dict[str, int]) -> Iterator[Problem]:
    """Reports each cycle of calls once, at the application of the cycle that comes first in the file."""
    state: dict[str, int] = {}  # 1: on the current path, 2: visited
    for start in file.applications:
        stack: list[tuple[str, Iterator[str]]] = []
        if start.name not in state:
            state[start.name] = 1
            stack.append((start.name, iter(start.calls)))
        while stack:
            name, rest = stack[-1]
            next_name = next(rest, None)
            if next_name is None:
                state[name] = 2
                stack.pop()
            elif next_name in positions and next_name not in state:
                state[next_name] = 1
                stack.append((next_name, iter(file.applications[positions[next_name]].calls)))
            elif state.get(next_name) == 1:
                path = [n for n, _ in stack]
                cycle = path[path.index(next_name) :]
                first = min(cycle, key=positions.__getitem__)
                offset = cycle.index(first)
                text = " -> ".join([*cycle[offset:], *cycle[:offset], first])
                yield Problem(
                    f"applications[{positions[first]}].calls",
                    f"the calls form a cycle: {text}",
                    "remove one of these calls",
                )


# ---- one application ----------------------------------------------------------------------------


def _check_application(application: Application, key: str, file: File) -> Iterator[Problem]:
    yield from _check_upstreams(application, key)
    yield from _check_tenants(application, key)
    yield from _check_headers(application, key)
    names: set[str] = set()
    for i, cls in enumerate(application.classes):
        at = f"{key}.classes[{i}]"
        if cls.name in names:
            yield Problem(
                f"{at}.name", f"{cls.name!r} is already a class of this application", "another name"
            )
        names.add(cls.name)
        yield from _check_class(cls, application, at)
    yield from _check_paths(application, key, file)
    yield from _check_attempt_counts(application, key)
    shortest = min(application.classes, key=lambda c: c.deadline_ms)
    if application.connect_ms >= shortest.deadline_ms:
        text = f"a connection may take {application.connect_ms:g} ms, but callers of {shortest.name!r} wait "
        yield Problem(
            f"{key}.connect_ms", f"{text}{shortest.deadline_ms:g} ms", "less than every deadline_ms"
        )
    cold = application.cold
    if cold.span_ms and cold.window_ms > cold.span_ms:
        text = f"a window of {cold.window_ms:g} ms is longer than the cold period of {cold.span_ms:g} ms"
        yield Problem(f"{key}.cold.window_ms", text, "at most cold.span_ms", True)


def _check_upstreams(application: Application, key: str) -> Iterator[Problem]:
    source, key = application.upstreams, f"{key}.upstreams"
    listen = split_host_port(application.listen)
    match source:
        case model.Static():
            for i, text in enumerate(source.addresses):
                yield from _check_address(text, f"{key}.addresses", "upstream address")
                if text in source.addresses[:i]:
                    yield Problem(f"{key}.addresses", f"{text} is listed twice", "each server once")
                if listen is not None and split_host_port(text) == listen:
                    yield Problem(
                        f"{key}.addresses",
                        f"{text} is this application's own listener",
                        "its server's address",
                    )
        case model.Names():
            for i, text in enumerate(source.names):
                pair = split_host_port(text)
                if pair is None or not pair[1] or not _HOST_NAME.fullmatch(pair[0]):
                    text = f"{text!r} is not a host name and port"
                    yield Problem(f"{key}.names", text, "such as render.internal:8080")
                elif is_ip_address(pair[0]):
                    yield Problem(
                        f"{key}.names",
                        f"{pair[0]} is an IP address, not a host name",
                        "kind = 'static'",
                        True,
                    )
                if text in source.names[:i]:
                    yield Problem(f"{key}.names", f"{text} is listed twice", "each name once")
            if source.timeout_s > source.expires_s:
                text = (
                    f"the timeout of {source.timeout_s:g} s is longer than the {source.expires_s:g} s "
                    "after which a name expires"
                )
                yield Problem(f"{key}.timeout_s", text, "less than expires_s", True)
            if source.expires_s < 1:
                text = f"every name is resolved {1 / source.expires_s:.0f} times a second"
                yield Problem(f"{key}.expires_s", text, "at least several seconds", True)
        case model.Watched():
            if not source.path.startswith("/"):
                text = f"{source.path!r} depends on the working directory"
                yield Problem(f"{key}.path", text, "an absolute path", True)
        case model.Discovered():
            yield from _check_address(source.address, f"{key}.address", "discovery address")


def _check_tenants(application: Application, key: str) -> Iterator[Problem]:
    total = sum(t.share for t in application.tenants)
    if total > 1.0001:
        text = f"the shares add up to {total * 100:g}%"
        yield Problem(f"{key}.tenants", text, "at most 100%: otherwise the shares can't all be used at once")
    seen: set[str] = set()
    for i, tenant in enumerate(application.tenants):
        if tenant.name in seen:
            yield Problem(f"{key}.tenants[{i}].name", f"{tenant.name!r} is listed twice", "each tenant once")
        seen.add(tenant.name)
    if application.tenants and not application.rate_per_s:
        text = "tenant shares have no meaning without a known rate"
        yield Problem(f"{key}.rate_per_s", text, "the requests per second that its servers can handle")
    default = application.identity.tenant
    if application.tenants and default and default not in seen:
        text = f"{default!r} is not one of the tenants, so it has no share"
        yield Problem(f"{key}.identity.tenant", text, f"one of {_shorten_list(seen)}")


def _check_headers(application: Application, key: str) -> Iterator[Problem]:
    for name, value in application.add_headers.items():
        at = f"{key}.add_headers.{name}"
        if not re.fullmatch(model.TOKEN, name) or name.lower() in _RESERVED_HEADERS:
            yield Problem(at, f"{name!r} is not a header that can be added", "an application-specific header")
        elif value.startswith("env:"):
            if not re.fullmatch(r"env:[A-Za-z_][A-Za-z0-9_]*", value):
                yield Problem(
                    at, f"{value!r} does not name an environment variable", "such as env:RENDER_TOKEN"
                )
        elif _SECRET_NAME.search(name) or re.match(r"(Bearer|Basic)\s", value):
            yield Problem(at, "a secret in plain text", "env:VARIABLE, with the secret in the environment")
        elif not re.fullmatch(r"[\x20-\x7e]*", value):
            yield Problem(at, "has a character that is not allowed in a header", "printable ASCII")
    identity = application.identity
    header_names = [identity.id_header, identity.tenant_header, identity.deadline_header]
    for earlier, later in combinations(("id_header", "tenant_header", "deadline_header"), 2):
        if getattr(identity, earlier).lower() == getattr(identity, later).lower():
            yield Problem(
                f"{key}.identity.{later}",
                f"is {getattr(identity, later)!r}, the same as {earlier}",
                "another header",
            )
    for name in header_names:
        if name.lower() in _RESERVED_HEADERS:
            yield Problem(f"{key}.identity", f"{name!r} is reserved by HTTP", "another header")


def _check_class(cls: Class, application: Application, key: str) -> Iterator[Problem]:
    attempts = cls.attempts or application.attempts
    if cls.aim_ms > cls.deadline_ms:
        text = f"{cls.aim_ms:g} ms is longer than the deadline of {cls.deadline_ms:g} ms"
        yield Problem(f"{key}.aim_ms", text, "less than deadline_ms")
    if cls.attempts > application.attempts:
        text = f"{cls.attempts} is more than the application's {application.attempts}"
        yield Problem(f"{key}.attempts", text, "at most the application's attempts")
    if cls.attempt_ms > cls.deadline_ms:
        text = f"one attempt may take {cls.attempt_ms:g} ms, but the caller waits {cls.deadline_ms:g} ms"
        yield Problem(f"{key}.attempt_ms", text, "less than deadline_ms")
    elif cls.attempt_ms and attempts * cls.attempt_ms > cls.deadline_ms:
        text = (
            f"{attempts} attempts of {cls.attempt_ms:g} ms take {attempts * cls.attempt_ms:g} ms, but the caller "
            f"waits {cls.deadline_ms:g} ms"
        )
        fitting = max(int(cls.deadline_ms // cls.attempt_ms), 1)
        fix = f"attempt_ms = {cls.deadline_ms / attempts:.0f}, or {fitting} attempts"
        yield Problem(f"{key}.attempt_ms", text, fix)
    yield from _check_effect(cls, attempts, key)
    if len(set(cls.methods)) < len(cls.methods):
        yield Problem(f"{key}.methods", "lists a method twice", "each method once")
    parts = segments(cls.path)
    if any("*" in p and p not in ("*", "**") for p in parts) or "**" in parts[:-1]:
        text = f"{cls.path!r} has a * within a segment, or ** before the end"
        yield Problem(f"{key}.path", text, "* for one whole segment, ** at the end")
    elif any(p in (".", "..") or not p for p in parts[:-1]) or parts[-1] in (".", ".."):
        yield Problem(
            f"{key}.path",
            f"{cls.path!r} has an empty segment, or one that is . or ..",
            "the path as callers send it",
        )


def _check_effect(cls: Class, attempts: int, key: str) -> Iterator[Problem]:
    if cls.effect == "keyed":
        if cls.key_header is None:
            yield Problem(
                f"{key}.key_header", "a keyed class needs the header that carries its key", "Idempotency-Key"
            )
        if not cls.window_ms:
            text = "a keyed class needs the time for which its servers drop duplicates"
            yield Problem(f"{key}.window_ms", text, "the deduplication window of its servers")
        elif cls.attempt_ms and (attempts - 1) * cls.attempt_ms >= cls.window_ms:
            text = (
                f"attempt {attempts} would begin {(attempts - 1) * cls.attempt_ms:g} ms after the first, when the "
                f"key's window of {cls.window_ms:g} ms has ended"
            )
            yield Problem(
                f"{key}.attempts", text, f"{max(int(cls.window_ms // cls.attempt_ms), 1)} attempts at most"
            )
        elif not cls.attempt_ms and cls.window_ms < cls.deadline_ms and attempts > 1:
            text = (
                f"the key's window of {cls.window_ms:g} ms ends before the deadline of {cls.deadline_ms:g} ms"
            )
            yield Problem(
                f"{key}.window_ms", text, "at least deadline_ms; no retry is sent after the window", True
            )
    else:
        if cls.key_header is not None:
            yield Problem(
                f"{key}.key_header", f"has no meaning for a class that is {cls.effect}", "effect = 'keyed'"
            )
        if cls.window_ms:
            yield Problem(
                f"{key}.window_ms", f"has no meaning for a class that is {cls.effect}", "effect = 'keyed'"
            )
    changing = [m for m in cls.methods if m in ("POST", "PATCH")]
    if cls.effect == "safe" and changing:
        text = f"{' and '.join(changing)} is declared safe to repeat, but not idempotent by RFC 9110, section 9.2.2"
        yield Problem(
            f"{key}.effect", text, "keyed or unsafe, unless repeats are harmless on its servers", True
        )


def _check_attempt_counts(application: Application, key: str) -> Iterator[Problem]:
    """Finds keyed classes with as many attempts as a safe class, and unsafe classes that set several attempts.

    Repeats of a keyed request rely on deduplication by its servers, so it must have fewer attempts than a safe one.
    """
    safe = [c.attempts or application.attempts for c in application.classes if c.effect == "safe"]
    for i, cls in enumerate(application.classes):
        attempts = cls.attempts or application.attempts
        if (
            cls.effect == "keyed"
            and application.attempts >= attempts > 1
            and attempts >= max(safe, default=21)
        ):
            text = f"{cls.name!r} is keyed but has as many attempts as a safe class ({attempts} attempts)"
            yield Problem(f"{key}.classes[{i}].attempts", text, f"fewer than {max(safe)}")
        if cls.effect == "unsafe" and cls.attempts > 1:
            text = f"{cls.name!r} is unsafe: a further attempt is made only if it is certain that none ran"
            yield Problem(f"{key}.classes[{i}].attempts", text, "1, unless this is intended", True)


def _check_paths(application: Application, key: str, file: File) -> Iterator[Problem]:
    health = segments(file.health.path)
    for j, later in enumerate(application.classes):
        at = f"{key}.classes[{j}].path"
        if "GET" in later.methods and segments(later.path) == health:
            yield Problem(
                at, f"{later.path!r} is the health path, which the sidecar answers", "another health.path"
            )
        left = set(later.methods)
        for earlier in application.classes[:j]:
            shared = left & set(earlier.methods)
            if not shared:
                continue
            first, second = segments(earlier.path), segments(later.path)
            if covers(first, second):
                left -= shared
            elif overlap(first, second) and not covers(second, first):
                text = (
                    f"{later.path!r} and {earlier.path!r} of {earlier.name!r} overlap, "
                    "and neither contains the other"
                )
                yield Problem(at, text, "disjoint patterns, or the narrower one above the wider one")
        if not left:
            yield Problem(
                at, f"no request reaches {later.name!r}: classes above it take them all", "move it up"
            )
        elif left != set(later.methods):
            gone = ", ".join(sorted(set(later.methods) - left))
            yield Problem(
                at, f"{gone} never reach {later.name!r}: classes above it take them", "leave them out", True
            )


def _shorten_list(names: object) -> str:
    listed = sorted(names)  # type: ignore[call-overload]
    return ", ".join(listed[:5]) + (", ..." if len(listed) > 5 else "")
