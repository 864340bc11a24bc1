"""Parses operators' calls and computes the changes to the detached upstreams. No I/O, no clock.

The calls are those in `METHOD_BY_PATH`; any other is answered with an error that gives the reason. Detached
upstreams are a set: one attach undoes any number of detaches. An id is known while it is in the server list
or detached.
"""

from __future__ import annotations

from collections.abc import Container
from urllib.parse import parse_qs

from passpost.ops.model import (
    Command,
    DetachState,
    GetMetrics,
    GetReadiness,
    Reply,
    Request,
    SetDetached,
    SetDrain,
)

MAX_ID_CHARS = 256  # ids in the server list are far shorter

METHOD_BY_PATH = {
    "/_ready": "GET",
    "/_vars": "GET",
    "/_upstreams/detach": "PUT",
    "/_upstreams/attach": "PUT",
    "/_lameduck/on": "PUT",
    "/_lameduck/off": "PUT",
}


def parse_command(request: Request) -> Command | Reply:
    """The command of a call, or an error reply if the call is not valid."""
    method = METHOD_BY_PATH.get(request.path)
    if method is None:
        return Reply(404, f"{request.path}: no such call; there are {', '.join(METHOD_BY_PATH)}")
    if request.method != method:
        return Reply(405, f"{request.path}: asked by {request.method}, takes {method}")
    if request.path == "/_ready":
        return GetReadiness()
    if request.path == "/_vars":
        return GetMetrics()
    action = request.path.rpartition("/")[2]
    if request.path.startswith("/_lameduck/"):
        return SetDrain(action == "on")
    ids = parse_qs(request.query, keep_blank_values=True, max_num_fields=16).get("id", [])
    if len(ids) != 1 or not 0 < len(ids[0]) <= MAX_ID_CHARS:
        return Reply(400, f"{request.path}: wants one id=ID of 1 to {MAX_ID_CHARS} letters")
    return SetDetached(ids[0], action == "detach")


def apply_change(
    state: DetachState, change: SetDetached, listed: Container[str], now_ms: float, retention_ms: float
) -> tuple[DetachState, Reply]:
    """The state after a change at `now_ms` (Unix time in milliseconds), and the reply to the operator.

    `listed`: ids in the server list. `retention_ms`: how long the time of an attach is kept. An id that is
    neither listed nor detached is answered with 404.
    """
    server = change.server
    was_detached = server in state.detached
    if not was_detached and server not in listed:
        return state, Reply(404, f"{server}: no upstream of this name is listed or left out")
    attached_at_ms = {name: at for name, at in state.attached_at_ms.items() if now_ms - at < retention_ms}
    if change.detached:
        attached_at_ms.pop(server, None)
        return DetachState(state.detached | {server}, attached_at_ms), Reply(
            200, f"{server}: left out" + (" already" if was_detached else "")
        )
    if was_detached:
        attached_at_ms[server] = now_ms
    return DetachState(state.detached - {server}, attached_at_ms), Reply(
        200, f"{server}: in use" + ("" if was_detached else " already")
    )


def diff(old: DetachState, new: DetachState) -> tuple[list[str], list[tuple[str, float]]]:
    """The upstreams detached between two states, and those attached with their times, each sorted by id.

    The time of an attach is Unix time in milliseconds; it is 0 if the new state no longer keeps it.
    """
    detached = sorted(new.detached - old.detached)
    attached_at_ms = [
        (n, at)
        for n, at in sorted(new.attached_at_ms.items())
        if n not in new.detached and old.attached_at_ms.get(n) != at
    ]
    attached_at_ms += [(n, 0.0) for n in sorted(old.detached - new.detached) if n not in new.attached_at_ms]
    return detached, attached_at_ms
