"""Decides what an operator's call means and what becomes of the bans. No I/O, no clock.

A call is one of six lines (`CALLS`); everything else is told no with the reason. Bans are a set: one call back
answers any number of calls out. An id is known while the list names it or a ban holds it.
"""

from __future__ import annotations

from collections.abc import Container
from urllib.parse import parse_qs

from passpost.ops.model import AskFigures, AskReady, Bans, Command, Reply, Request, SetBan, SetDrain

MAX_ID = 256  # letters of an id; the list's are far shorter

CALLS = {
    "/_ready": "GET",
    "/_vars": "GET",
    "/_upstreams/detach": "PUT",
    "/_upstreams/attach": "PUT",
    "/_lameduck/on": "PUT",
    "/_lameduck/off": "PUT",
}


def read(call: Request) -> Command | Reply:
    """What is to be done, or the no for a call that means nothing."""
    method = CALLS.get(call.path)
    if method is None:
        return Reply(404, f"{call.path}: no such call; there are {', '.join(CALLS)}")
    if call.method != method:
        return Reply(405, f"{call.path}: asked by {call.method}, takes {method}")
    if call.path == "/_ready":
        return AskReady()
    if call.path == "/_vars":
        return AskFigures()
    what = call.path.rpartition("/")[2]
    if call.path.startswith("/_lameduck/"):
        return SetDrain(what == "on")
    ids = parse_qs(call.query, keep_blank_values=True, max_num_fields=16).get("id", [])
    if len(ids) != 1 or not 0 < len(ids[0]) <= MAX_ID:
        return Reply(400, f"{call.path}: wants one id=ID of 1 to {MAX_ID} letters")
    return SetBan(ids[0], what == "detach")


def ban(
    bans: Bans, change: SetBan, listed: Container[str], now: float, memory_ms: float
) -> tuple[Bans, Reply]:
    """The bans after a change at `now` (Unix milliseconds), and what the operator is told.

    `memory_ms`: how long it matters that an upstream was put back.
    """
    server = change.server
    banned = server in bans.out
    if not banned and server not in listed:
        return bans, Reply(404, f"{server}: no upstream of this name is listed or left out")
    back = {name: at for name, at in bans.back.items() if now - at < memory_ms}
    if change.out:
        back.pop(server, None)
        return Bans(bans.out | {server}, back), Reply(
            200, f"{server}: left out" + (" already" if banned else "")
        )
    if banned:
        back[server] = now
    return Bans(bans.out - {server}, back), Reply(200, f"{server}: in use" + ("" if banned else " already"))


def difference(old: Bans, new: Bans) -> tuple[list[str], list[tuple[str, float]]]:
    """Which upstreams went out between two states, and which came back and when, in order of their names."""
    out = sorted(new.out - old.out)
    back = [(n, at) for n, at in sorted(new.back.items()) if n not in new.out and old.back.get(n) != at]
    back += [(n, 0.0) for n in sorted(old.out - new.out) if n not in new.back]
    return out, back
