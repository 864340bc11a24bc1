"""Files with one deliberate fault each: every fault gives exactly one error, and the file without faults gives none."""

from __future__ import annotations

import pytest

from passpost.operator.checks import check
from passpost.operator.reader import Problem, parse
from tests.operator.files import GOOD, good_file_with

# (text to replace, replacement, key, part of the error's text, part of its fix)
FAULTS: list[tuple[str, str, str, str, str]] = [
    # form
    ("name = \"studio\"", "nmae = \"studio\"", "nmae", "unknown key", "did you mean 'name'?"),
    ("version = 1", "version = 2", "version", "2 is not allowed", ""),
    ("version = 1\n", "", "version", "is missing", "of this form"),
    ("[drain]", "[tls]\nca = \"x\"\n\n[drain]", "tls", "is reserved for a feature that is not implemented yet", "leave"),
    ("[drain]", "[websocket]\n\n[drain]", "websocket", "is reserved for a feature that is not implemented yet", "leave"),
    ("memory_mb = 256", "memory_mb = \"256\"", "limits.memory_mb", "must be an integer, but is '256'", ""),
    ("memory_mb = 256", "memory_mb = 1", "limits.memory_mb", "must be at least 16, but is 1", ""),
    ("descriptors = 1024", "descriptors = 12.5", "limits.descriptors", "must be an integer, but is 12.5", ""),
    ("kill_after_s = 30", "kill_after_s = -1", "drain.kill_after_s", "must be above 0, but is -1", ""),
    ("kill_after_s = 30", "kill_after_s = nan", "drain.kill_after_s", "must be above 0, but is nan", ""),
    ("name = \"render\"", "name = \"Render!\"", "applications[0].name", "'Render!' has a character that is not", "lower"),
    ("effect = \"keyed\"", "effect = \"keyd\"", "applications[0].classes[0].effect", "'keyd' is not allowed", "'keyed'?"),
    ("methods = [\"POST\"]", "methods = [\"post\"]", "applications[0].classes[0].methods[0]", "'post' is not", "'POST'?"),
    ("methods = [\"POST\"]", "methods = []", "applications[0].classes[0].methods", "must hold at least 1 entries", ""),
    ("path = \"/jobs\"", "path = \"jobs\"", "applications[0].classes[0].path", "'jobs' has a character", "begins with /"),
    ("path = \"/jobs\"", "path = \"/jobs?x=1\"", "applications[0].classes[0].path", "'/jobs?x=1' has", "no ?"),
    ("path = \"/jobs\"\n", "", "applications[0].classes[0].path", "is missing", "which paths"),
    ("kind = \"static\"", "kind = \"statik\"", "applications[0].upstreams.kind", "'statik' is not a kind", "'static'?"),
    ("kind = \"static\"\n", "", "applications[0].upstreams.kind", "is missing", "one of 'static'"),
    ("[applications.upstreams]\nkind = \"names\"\nnames = [\"localhost:18003\"]", "upstreams = 5",
     "applications[1].upstreams", "must be a table, but is 5", ""),
    ("key_header = \"Idempotency-Key\"", "key_header = \"Idem Key\"", "applications[0].classes[0].key_header",
     "'Idem Key' has a character", "a header name"),
    # values: time and repeats
    ("attempts = 2\n", "attempts = 2\nconnect = 1\n", "applications[0].classes[0].connect", "unknown key", "accepts name"),
    ("attempts = 2\nattempt_ms = 900", "attempts = 3\nattempt_ms = 600", "applications[0].classes[0].attempts",
     "'submit' is keyed but has as many attempts as a safe class (3 attempts)", "fewer than 3"),
    ("attempts = 2\nattempt_ms = 900", "", "applications[0].classes[0].attempts",
     "'submit' is keyed but has as many attempts as a safe class (3 attempts)", "fewer than 3"),
    ("window_ms = 3000", "window_ms = 800", "applications[0].classes[0].attempts",
     "attempt 2 would begin 900 ms after the first, when the key's window of 800 ms has ended", "1 attempts at most"),
    ("window_ms = 3000\n", "", "applications[0].classes[0].window_ms", "a keyed class needs the time", "servers"),
    ("key_header = \"Idempotency-Key\"\n", "", "applications[0].classes[0].key_header",
     "a keyed class needs the header that carries its key", "Idempotency-Key"),
    ("attempt_ms = 900", "attempt_ms = 1100", "applications[0].classes[0].attempt_ms",
     "2 attempts of 1100 ms take 2200 ms, but the caller waits 2000 ms", "attempt_ms = 1000, or 1 attempts"),
    ("aim_ms = 1200\nattempt_ms = 1000", "aim_ms = 1200\nattempt_ms = 4000", "applications[0].classes[1].attempt_ms",
     "one attempt may take 4000 ms, but the caller waits 3000 ms", "less than deadline_ms"),
    ("aim_ms = 1200", "aim_ms = 3200", "applications[0].classes[1].aim_ms", "3200 ms is longer than the deadline", "less"),
    ("attempts = 2\nattempt_ms = 900", "attempts = 4\nattempt_ms = 400", "applications[0].classes[0].attempts", "4 is more than the application's 3", ""),
    ("effect = \"unsafe\"", "effect = \"unsafe\"\nwindow_ms = 100", "applications[0].classes[2].window_ms",
     "has no meaning for a class that is unsafe", "effect = 'keyed'"),
    ("effect = \"unsafe\"", "effect = \"unsafe\"\nkey_header = \"K\"", "applications[0].classes[2].key_header",
     "has no meaning for a class that is unsafe", "effect = 'keyed'"),
    ("rate_per_s = 200", "rate_per_s = 200\nconnect_ms = 2500", "applications[0].connect_ms",
     "a connection may take 2500 ms, but callers of 'submit' wait 2000 ms", "less than every deadline_ms"),
    # values: tiers
    ("deadline_ms = 1000\n", "deadline_ms = 3000\n", "applications[0].classes[1].deadline_ms",
     "'render' abandons 'frame' after 3000 ms, but 'queue', which it calls, continues for 3000 ms", "a shorter deadline in 'queue' than in 'render'"),
    ("listen = \"127.0.0.1:17071\"", "listen = \"127.0.0.1:17071\"\ncalls = [\"render\"]", "applications[0].calls",
     "the calls form a cycle: render -> queue -> render", "remove one of these calls"),
    ("calls = [\"queue\"]", "calls = [\"queue\", \"render\"]", "applications[0].calls",
     "the calls form a cycle: render -> render", "remove one of these calls"),
    ("calls = [\"queue\"]", "calls = [\"que\"]", "applications[0].calls", "there is no application 'que'", "queue"),
    ("name = \"queue\"", "name = \"render\"", "applications[1].name", "'render' is already the name of applications[0]", "a unique name"),
    # values: tenants
    ("share = 0.4", "share = 0.5", "applications[0].tenants", "the shares add up to 110%", "at most 100%"),
    ("name = \"castle\"", "name = \"harbour\"", "applications[0].tenants[1].name", "'harbour' is listed twice", "once"),
    ("rate_per_s = 200\n", "", "applications[0].rate_per_s", "tenant shares have no meaning without a known rate", "handle"),
    ("tenant = \"harbour\"", "tenant = \"abbey\"", "applications[0].identity.tenant",
     "'abbey' is not one of the tenants, so it has no share", "one of castle, harbour"),
    ("share = 0.4", "share = 0", "applications[0].tenants[1].share", "must be above 0, but is 0", ""),
    # values: addresses
    ("listen = \"127.0.0.1:17070\"", "listen = \"127.0.0.1:80\"", "applications[0].listen",
     "port 80 is privileged: an ordinary user can't listen on it", "a port from 1024 on"),
    ("listen = \"127.0.0.1:17071\"", "listen = \"127.0.0.1:17070\"", "applications[1].listen",
     "'render' already listens on 127.0.0.1:17070", "another port"),
    ("listen = \"127.0.0.1:17071\"", "listen = \"studio:17071\"", "applications[1].listen",
     "'studio' is a host name, not an IP address", "an IP address"),
    ("listen = \"127.0.0.1:17071\"", "listen = \"17071\"", "applications[1].listen",
     "'17071' is not a valid listen address", "such as 127.0.0.1:7070"),
    ("\"127.0.0.1:18002\"", "\"127.0.0.1:99999\"", "applications[0].upstreams.addresses",
     "'127.0.0.1:99999' is not a valid upstream address", "an IP address and a port"),
    ("\"127.0.0.1:18002\"", "\"127.0.0.1:18001\"", "applications[0].upstreams.addresses",
     "127.0.0.1:18001 is listed twice", "each server once"),
    ("\"127.0.0.1:18002\"", "\"render.internal:8080\"", "applications[0].upstreams.addresses",
     "'render.internal' is a host name, not an IP address", "kind = 'names'"),
    ("\"127.0.0.1:18002\"", "\"127.0.0.1:17070\"", "applications[0].upstreams.addresses",
     "127.0.0.1:17070 is this application's own listener", "its server"),
    ("\"localhost:18003\"", "\"local host:18003\"", "applications[1].upstreams.names",
     "'local host:18003' is not a host name and port", "such as"),
    ("\"localhost:18003\"", "\"localhost\"", "applications[1].upstreams.names", "'localhost' is not a host name", "such as"),
    ("\"localhost:18003\"", "\"localhost:1\", \"localhost:1\"", "applications[1].upstreams.names", "listed twice", "once"),
    # values: paths
    ("path = \"/frames/*\"", "path = \"/frames/*.png\"", "applications[0].classes[1].path",
     "'/frames/*.png' has a * within a segment", "* for one whole segment"),
    ("path = \"/frames/*\"", "path = \"/**/frames\"", "applications[0].classes[1].path", "or ** before the end", "at the"),
    ("path = \"/frames/*\"", "path = \"/frames/../*\"", "applications[0].classes[1].path", "an empty segment, or", "as"),
    ("name = \"frame\"\npath = \"/**\"\ndeadline_ms = 1000\n",
     "name = \"any\"\npath = \"/**\"\ndeadline_ms = 1000\n\n[[applications.classes]]\nname = \"frame\"\npath = \"/f\"\n"
     "deadline_ms = 900\n", "applications[1].classes[1].path",
     "no request reaches 'frame': classes above it take them all", "move it up"),
    ("path = \"/jobs\"\nmethods = [\"POST\"]", "path = \"/**\"\nmethods = [\"POST\", \"DELETE\"]",
     "applications[0].classes[2].path", "no request reaches 'pay': classes above it take them all", "move it up"),
    ("path = \"/orders/**\"\nmethods = [\"POST\", \"DELETE\"]", "path = \"/*/7\"", "applications[0].classes[2].path",
     "'/*/7' and '/frames/*' of 'frame' overlap, and neither contains the other", "disjoint"),
    ("name = \"pay\"", "name = \"frame\"", "applications[0].classes[2].name", "'frame' is already a class of this", "another"),
    ("path = \"/frames/*\"", "path = \"/health/ready\"", "applications[0].classes[1].path",
     "'/health/ready' is the health path", "another health.path"),
    # values: the process
    ("kill_after_s = 30", "kill_after_s = 5", "drain.kill_after_s",
     "draining for 2 s, then up to 3 s of open requests, takes 6 s, but the process is killed after 5 s", "at least 6"),
    ("descriptors = 1024", "descriptors = 1024\nconnections = 900", "limits.connections",
     "900 client and 358 upstream connections need 1292 descriptors, but there are 1024", "to 1292"),
    # values: headers
    ("X-Studio = \"north\"", "Authorization = \"Bearer abc\"", "applications[0].add_headers.Authorization",
     "a secret in plain text", "env:VARIABLE"),
    ("\"env:RENDER_TOKEN\"", "\"abc123\"", "applications[0].add_headers.X-Render-Token", "a secret in plain", "env:"),
    ("\"env:RENDER_TOKEN\"", "\"env:RENDER TOKEN\"", "applications[0].add_headers.X-Render-Token", "does not name", "such"),
    ("X-Studio = \"north\"", "Host = \"north\"", "applications[0].add_headers.Host", "'Host' is not a header that", ""),
    ("X-Studio = \"north\"", "X-Studio = \"n\\nX: 1\"", "applications[0].add_headers.X-Studio", "not allowed in a header", ""),
    ("tenant_header = \"X-Tenant\"", "tenant_header = \"x-request-id\"", "applications[0].identity.tenant_header",
     "is 'x-request-id', the same as id_header", "another header"),
    ("tenant_header = \"X-Tenant\"", "tenant_header = \"Host\"", "applications[0].identity", "is reserved by HTTP", ""),
]  # fmt: skip


def errors(text: str) -> list[Problem]:
    reading = parse(text, "f.toml")
    found = reading.all_problems(check(reading.file) if reading.file is not None else ())
    return [p for p in found if not p.warning]


def test_valid_file_has_no_errors() -> None:
    assert errors(GOOD) == []


def test_at_least_fifty_faults_are_covered() -> None:
    assert len(FAULTS) >= 50


@pytest.mark.parametrize(
    ("old", "new", "key", "text_part", "fix"), FAULTS, ids=[f"{i}-{f[2]}" for i, f in enumerate(FAULTS)]
)
def test_each_fault_gives_exactly_one_error_at_its_line(
    old: str, new: str, key: str, text_part: str, fix: str
) -> None:
    text = good_file_with((old, new))
    found = errors(text)
    assert [(p.key, text_part in p.text, fix in p.fix) for p in found] == [(key, True, True)], found
    assert "\n" not in found[0].text + found[0].fix
    # The line is that of the key, or of the table that should contain it.
    line = text.split("\n")[found[0].line - 1]
    last = key.rpartition(".")[2].partition("[")[0]
    assert last in line or line.startswith("[") or found[0].text == "is missing" or line.startswith("version")
