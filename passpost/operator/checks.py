"""What a well-formed file means, and whether that can be meant. No I/O: `probe.py` looks at the machine.

Each check yields problems with the key they are about. An error is what breaks a promise or can't work; a warning
is what is legal and unwise.
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

OTHER_DESCRIPTORS = (
    32  # listening sockets, discovery, the loop, files, and sockets that are closed but not gone
)
BUFFERS_PER_CONNECTION_KB = 2  # beside the body
BASE_MB = 24  # the process with nothing to do, as measured on the platform (13 to 16 MB) and some room
FIRST_FREE_PORT = 1024  # below it a port needs privileges
_HOST = re.compile(r"(?=.{1,253}$)[A-Za-z0-9_]([A-Za-z0-9_-]{0,62})(\.[A-Za-z0-9_]([A-Za-z0-9_-]{0,62}))*\.?")
_SECRET = re.compile(r"authori[sz]ation|cookie|token|secret|passw|credential|api-?key", re.I)
_OWN = frozenset({"host", "content-length", "transfer-encoding", "connection", "te", "upgrade", "expect"})


def check(file: File) -> list[Problem]:
    """All that is wrong or unwise in a file, in its order."""
    found = [*_process(file), *_listeners(file), *_names(file), *_tiers(file)]
    for i, application in enumerate(file.applications):
        found += _application(application, f"applications[{i}]", file)
    return found


# ---- addresses ----------------------------------------------------------------------------------


def split_host_port(text: str) -> tuple[str, int] | None:
    """Host and port of `host:port` or `[host]:port`; None if it is neither."""
    host, colon, port = text.rpartition(":")
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65_535:
        return None
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    return (host, int(port)) if host else None


def is_ip_address(host: str) -> bool:
    """Whether it is an IP address and no name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _address(text: str, key: str, what: str) -> Iterator[Problem]:
    pair = split_host_port(text)
    if pair is None:
        yield Problem(key, f"{text!r} is no {what}", "an IP address and a port, such as 10.0.0.5:8080")
    elif not is_ip_address(pair[0]):
        fix = (
            "names go under kind = 'names'"
            if what == "upstream's address"
            else "an IP address of this machine"
        )
        yield Problem(key, f"{pair[0]!r} is a name and no IP address", fix)
    elif pair[1] == 0:
        yield Problem(key, "port 0 is no port to connect to", "the port that it listens on")


# ---- the process --------------------------------------------------------------------------------


def findings(reading: ParsedFile) -> list[Problem]:
    """All that is wrong or unwise in what was read, of form and of meaning."""
    return reading.with_meaning(check(reading.file) if reading.file is not None else ())


def connection_limits(file: File) -> tuple[int, int]:
    """Callers' and upstreams' connections that the process may hold."""
    limits = file.limits
    callers = limits.connections or int(limits.descriptors * 0.55)
    return callers, limits.upstream_connections or int(limits.descriptors * 0.35)


def _process(file: File) -> Iterator[Problem]:
    limits, drain = file.limits, file.drain
    callers, upstreams = connection_limits(file)
    needed = callers + upstreams + OTHER_DESCRIPTORS + len(file.applications)
    if needed > limits.descriptors and (limits.connections or limits.upstream_connections):
        key = "limits.connections" if limits.connections else "limits.upstream_connections"
        text = f"{callers} callers' and {upstreams} upstream connections need {needed} descriptors, and there are "
        yield Problem(key, f"{text}{limits.descriptors}", f"raise limits.descriptors to {needed}")
    share = min(callers, upstreams) // max(len(file.applications), 1)
    if share < 2:
        text = (
            f"{len(file.applications)} applications share {limits.descriptors} descriptors: under 2 each way"
        )
        yield Problem("limits.descriptors", text, "raise it, or carry fewer applications in one process")
    if limits.body_kb > limits.body_mb * 1024:
        text = (
            f"{limits.body_kb} KB of a body are kept whole, and none may be longer than {limits.body_mb} MB"
        )
        yield Problem("limits.body_kb", text, "lower it, or raise limits.body_mb")
    worst = BASE_MB + callers * (limits.body_kb + BUFFERS_PER_CONNECTION_KB) / 1024
    if worst > limits.memory_mb:
        text = f"{callers} callers with bodies of {limits.body_kb} KB may need {worst:.0f} MB, and there are "
        yield Problem(
            "limits.memory_mb",
            f"{text}{limits.memory_mb}",
            "lower limits.connections or limits.body_kb, or raise it",
            warning=True,
        )
    longest = max((c.deadline_ms for a in file.applications for c in a.classes), default=0.0) / 1000
    needs = drain.serve_s + longest + 1
    if needs > drain.kill_after_s:
        text = f"serving on for {drain.serve_s:g} s and answering for up to {longest:g} s takes {needs:g} s, and the "
        fix = f"raise it to {needs:g} at the least, where the supervisor allows it, or lower drain.serve_s"
        yield Problem("drain.kill_after_s", f"{text}kill comes after {drain.kill_after_s:g} s", fix)


def _listeners(file: File) -> Iterator[Problem]:
    seen: dict[tuple[str, int], str] = {}
    for i, application in enumerate(file.applications):
        key = f"applications[{i}].listen"
        pair = split_host_port(application.listen)
        if pair is None:
            yield Problem(key, f"{application.listen!r} is no address to listen on", "such as 127.0.0.1:7070")
            continue
        host, port = pair
        if not is_ip_address(host):
            yield Problem(key, f"{host!r} is a name and no IP address", "an IP address of this machine")
            continue
        if 0 < port < FIRST_FREE_PORT:
            text = f"port {port} is privileged: an ordinary user can't listen on it"
            yield Problem(key, text, f"a port from {FIRST_FREE_PORT} on")
        if port == 0:
            yield Problem(key, "port 0 is a new one at each start", "a port that callers can be told", True)
        if host in ("0.0.0.0", "::"):
            text = "listens on every address of the machine, to whoever can reach it"
            yield Problem(key, text, "127.0.0.1 for callers on this machine", True)
        for other, name in seen.items():
            if port and other[1] == port and (other[0] == host or {"0.0.0.0", "::"} & {other[0], host}):
                yield Problem(key, f"{name!r} listens on {application.listen} already", "another port")
        seen.setdefault(pair, application.name)


def _names(file: File) -> Iterator[Problem]:
    names: dict[str, int] = {}
    for i, application in enumerate(file.applications):
        if application.name in names:
            text = f"{application.name!r} is applications[{names[application.name]}] already"
            yield Problem(f"applications[{i}].name", text, "a name of its own")
        names.setdefault(application.name, i)


# ---- tiers: applications that call one another --------------------------------------------------


def _tiers(file: File) -> Iterator[Problem]:
    places = {a.name: i for i, a in enumerate(file.applications)}
    circles = list(_cycles(file, places))
    yield from circles
    if len(places) < len(file.applications):
        return  # two of one name: who calls whom can't be told
    for i, application in enumerate(file.applications):
        for j, name in enumerate(application.calls):
            key = f"applications[{i}].calls"
            if name not in places:
                yield Problem(key, f"there is no application {name!r} in this file", f"one of {_few(places)}")
            elif name in application.calls[:j]:
                yield Problem(key, f"{name!r} is named twice", "once is enough")
            elif not circles:
                yield from _contradictions(application, file.applications[places[name]], i)


def _contradictions(outer: Application, inner: Application, number: int) -> Iterator[Problem]:
    """An inner tier that waits longer than the tier that asks it works for nobody."""
    for j, cls in enumerate(outer.classes):
        for other in inner.classes:
            if cls.name == other.name and other.deadline_ms >= cls.deadline_ms:
                text = (
                    f"{outer.name!r} gives {cls.name!r} up after {cls.deadline_ms:g} ms while {inner.name!r}, which it "
                    f"calls, goes on for {other.deadline_ms:g} ms"
                )
                fix = f"let {inner.name!r} wait less than {outer.name!r}"
                yield Problem(f"applications[{number}].classes[{j}].deadline_ms", text, fix)


def _cycles(file: File, places: dict[str, int]) -> Iterator[Problem]:
    """Each circle of calls once, told at its first application in the file."""
    state: dict[str, int] = {}  # 1: on the path, 2: done
    for start in file.applications:
        stack: list[tuple[str, Iterator[str]]] = []
        if start.name not in state:
            state[start.name] = 1
            stack.append((start.name, iter(start.calls)))
        while stack:
            name, rest = stack[-1]
            following = next(rest, None)
            if following is None:
                state[name] = 2
                stack.pop()
            elif following in places and following not in state:
                state[following] = 1
                stack.append((following, iter(file.applications[places[following]].calls)))
            elif state.get(following) == 1:
                path = [n for n, _ in stack]
                circle = path[path.index(following) :]
                first = min(circle, key=places.__getitem__)
                turn = circle.index(first)
                text = " -> ".join([*circle[turn:], *circle[:turn], first])
                yield Problem(
                    f"applications[{places[first]}].calls", f"calls go in a circle: {text}", "break it"
                )


# ---- one application ----------------------------------------------------------------------------


def _application(application: Application, key: str, file: File) -> Iterator[Problem]:
    yield from _upstreams(application, key)
    yield from _tenants(application, key)
    yield from _headers(application, key)
    names: set[str] = set()
    for i, cls in enumerate(application.classes):
        at = f"{key}.classes[{i}]"
        if cls.name in names:
            yield Problem(
                f"{at}.name", f"{cls.name!r} is a class of this application already", "another name"
            )
        names.add(cls.name)
        yield from _class(cls, application, at)
    yield from _paths(application, key, file)
    yield from _freely(application, key)
    least = min(application.classes, key=lambda c: c.deadline_ms)
    if application.connect_ms >= least.deadline_ms:
        text = f"a connection may take {application.connect_ms:g} ms, and who asks for {least.name!r} waits "
        yield Problem(f"{key}.connect_ms", f"{text}{least.deadline_ms:g} ms", "less than every deadline_ms")
    cold = application.cold
    if cold.span_ms and cold.window_ms > cold.span_ms:
        text = f"a window of {cold.window_ms:g} ms is longer than the {cold.span_ms:g} ms of being cold"
        yield Problem(f"{key}.cold.window_ms", text, "a part of cold.span_ms", True)


def _upstreams(application: Application, key: str) -> Iterator[Problem]:
    source, key = application.upstreams, f"{key}.upstreams"
    listen = split_host_port(application.listen)
    match source:
        case model.Static():
            for i, text in enumerate(source.addresses):
                yield from _address(text, f"{key}.addresses", "upstream's address")
                if text in source.addresses[:i]:
                    yield Problem(f"{key}.addresses", f"{text} is named twice", "each server once")
                if listen is not None and split_host_port(text) == listen:
                    yield Problem(
                        f"{key}.addresses", f"{text} is this application's own listener", "its server"
                    )
        case model.Names():
            for i, text in enumerate(source.names):
                pair = split_host_port(text)
                if pair is None or not pair[1] or not _HOST.fullmatch(pair[0]):
                    text = f"{text!r} is no host name and port"
                    yield Problem(f"{key}.names", text, "such as render.internal:8080")
                elif is_ip_address(pair[0]):
                    yield Problem(
                        f"{key}.names", f"{pair[0]} is an address and no name", "kind = 'static'", True
                    )
                if text in source.names[:i]:
                    yield Problem(f"{key}.names", f"{text} is named twice", "each name once")
            if source.timeout_s > source.expires_s:
                text = f"waiting {source.timeout_s:g} s for a name that expires after {source.expires_s:g} s"
                yield Problem(f"{key}.timeout_s", text, "less than expires_s", True)
            if source.expires_s < 1:
                text = f"every name is resolved {1 / source.expires_s:.0f} times a second"
                yield Problem(f"{key}.expires_s", text, "some seconds", True)
        case model.Watched():
            if not source.path.startswith("/"):
                text = f"{source.path!r} depends on where the sidecar is started"
                yield Problem(f"{key}.path", text, "a path from the root", True)
        case model.Discovered():
            yield from _address(source.address, f"{key}.address", "discovery's address")


def _tenants(application: Application, key: str) -> Iterator[Problem]:
    total = sum(t.share for t in application.tenants)
    if total > 1.0001:
        text = f"the shares come to {total * 100:g}%"
        yield Problem(f"{key}.tenants", text, "100% at the most: all could not have theirs at once")
    seen: set[str] = set()
    for i, tenant in enumerate(application.tenants):
        if tenant.name in seen:
            yield Problem(f"{key}.tenants[{i}].name", f"{tenant.name!r} is named twice", "each tenant once")
        seen.add(tenant.name)
    if application.tenants and not application.rate_per_s:
        text = "shares of a rate that is not known mean nothing"
        yield Problem(f"{key}.rate_per_s", text, "the requests a second that its servers can take")
    default = application.identity.tenant
    if application.tenants and default and default not in seen:
        text = f"{default!r} is none of the tenants, and so has no share"
        yield Problem(f"{key}.identity.tenant", text, f"one of {_few(seen)}")


def _headers(application: Application, key: str) -> Iterator[Problem]:
    for name, value in application.add_headers.items():
        at = f"{key}.add_headers.{name}"
        if not re.fullmatch(model.TOKEN, name) or name.lower() in _OWN:
            yield Problem(at, f"{name!r} is no header that can be added", "a header of the application's own")
        elif value.startswith("env:"):
            if not re.fullmatch(r"env:[A-Za-z_][A-Za-z0-9_]*", value):
                yield Problem(at, f"{value!r} names no variable", "such as env:RENDER_TOKEN")
        elif _SECRET.search(name) or re.match(r"(Bearer|Basic)\s", value):
            yield Problem(at, "a secret in plain text", "env:VARIABLE, and the secret in the environment")
        elif not re.fullmatch(r"[\x20-\x7e]*", value):
            yield Problem(at, "holds a character that no header may", "printable ASCII")
    identity = application.identity
    own = [identity.id_header, identity.tenant_header, identity.deadline_header]
    for a, b in combinations(("id_header", "tenant_header", "deadline_header"), 2):
        if getattr(identity, a).lower() == getattr(identity, b).lower():
            yield Problem(f"{key}.identity.{b}", f"is {getattr(identity, b)!r}, as {a} is", "another header")
    for name in own:
        if name.lower() in _OWN:
            yield Problem(f"{key}.identity", f"{name!r} belongs to HTTP itself", "another header")


def _class(cls: Class, application: Application, key: str) -> Iterator[Problem]:
    attempts = cls.attempts or application.attempts
    if cls.aim_ms > cls.deadline_ms:
        text = f"{cls.aim_ms:g} ms is past the deadline of {cls.deadline_ms:g} ms"
        yield Problem(f"{key}.aim_ms", text, "less than deadline_ms")
    if cls.attempts > application.attempts:
        text = f"{cls.attempts} is more than the application's {application.attempts}"
        yield Problem(f"{key}.attempts", text, "at most the application's attempts")
    if cls.attempt_ms > cls.deadline_ms:
        text = f"one attempt may take {cls.attempt_ms:g} ms, and the caller waits {cls.deadline_ms:g} ms"
        yield Problem(f"{key}.attempt_ms", text, "less than deadline_ms")
    elif cls.attempt_ms and attempts * cls.attempt_ms > cls.deadline_ms:
        text = (
            f"{attempts} attempts of {cls.attempt_ms:g} ms take {attempts * cls.attempt_ms:g} ms, and the caller "
            f"waits {cls.deadline_ms:g} ms"
        )
        fitting = max(int(cls.deadline_ms // cls.attempt_ms), 1)
        fix = f"attempt_ms = {cls.deadline_ms / attempts:.0f}, or {fitting} attempts"
        yield Problem(f"{key}.attempt_ms", text, fix)
    yield from _effect(cls, attempts, key)
    if len(set(cls.methods)) < len(cls.methods):
        yield Problem(f"{key}.methods", "names a method twice", "each once")
    parts = segments(cls.path)
    if any("*" in p and p not in ("*", "**") for p in parts) or "**" in parts[:-1]:
        text = f"{cls.path!r} has a * within a segment, or ** before the end"
        yield Problem(f"{key}.path", text, "* for one whole segment, ** at the end")
    elif any(p in (".", "..") or not p for p in parts[:-1]) or parts[-1] in (".", ".."):
        yield Problem(
            f"{key}.path",
            f"{cls.path!r} has an empty segment or a dot for one",
            "the path as callers send it",
        )


def _effect(cls: Class, attempts: int, key: str) -> Iterator[Problem]:
    if cls.effect == "keyed":
        if cls.key_header is None:
            yield Problem(
                f"{key}.key_header", "a keyed class needs the header that carries its key", "Idempotency-Key"
            )
        if not cls.window_ms:
            text = "a keyed class needs the time for which its servers drop a repeat"
            yield Problem(f"{key}.window_ms", text, "as its servers are built")
        elif cls.attempt_ms and (attempts - 1) * cls.attempt_ms >= cls.window_ms:
            text = (
                f"attempt {attempts} would begin {(attempts - 1) * cls.attempt_ms:g} ms after the first, when its "
                f"key's window of {cls.window_ms:g} ms is over"
            )
            yield Problem(
                f"{key}.attempts", text, f"{max(int(cls.window_ms // cls.attempt_ms), 1)} attempts at most"
            )
        elif not cls.attempt_ms and cls.window_ms < cls.deadline_ms and attempts > 1:
            text = f"its key's window of {cls.window_ms:g} ms ends before the caller's {cls.deadline_ms:g} ms"
            yield Problem(f"{key}.window_ms", text, "no repeat comes after it", True)
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
        text = f"{' and '.join(changing)} is said to be safe to repeat; RFC 9110, 9.2.2, does not think so"
        yield Problem(f"{key}.effect", text, "keyed or unsafe, unless its servers are sure", True)


def _freely(application: Application, key: str) -> Iterator[Problem]:
    """A request whose repeat matters must not be tried as often as one whose repeat does not."""
    safe = [c.attempts or application.attempts for c in application.classes if c.effect == "safe"]
    for i, cls in enumerate(application.classes):
        attempts = cls.attempts or application.attempts
        if (
            cls.effect == "keyed"
            and application.attempts >= attempts > 1
            and attempts >= max(safe, default=21)
        ):
            text = (
                f"{cls.name!r} is keyed and retries as freely as a class that is safe ({attempts} attempts)"
            )
            yield Problem(f"{key}.classes[{i}].attempts", text, f"fewer than {max(safe)}")
        if cls.effect == "unsafe" and cls.attempts > 1:
            text = f"{cls.name!r} is unsafe: a further attempt is made only if it is sure that none ran"
            yield Problem(f"{key}.classes[{i}].attempts", text, "1, unless that is what is wanted", True)


def _paths(application: Application, key: str, file: File) -> Iterator[Problem]:
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
                text = f"{later.path!r} and {earlier.path!r} of {earlier.name!r} overlap, and neither holds the other"
                yield Problem(at, text, "patterns that are apart, or one inside the other and above it")
        if not left:
            yield Problem(
                at, f"no request reaches {later.name!r}: classes above it take them all", "move it up"
            )
        elif left != set(later.methods):
            gone = ", ".join(sorted(set(later.methods) - left))
            yield Problem(
                at, f"{gone} never reach {later.name!r}: classes above it take them", "leave them out", True
            )


def _few(names: object) -> str:
    listed = sorted(names)  # type: ignore[call-overload]
    return ", ".join(listed[:5]) + (", ..." if len(listed) > 5 else "")
