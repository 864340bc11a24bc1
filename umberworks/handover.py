"""What one version hands on to the next: evidence, not decisions (the contract: umberworks/interface.py)."""

from __future__ import annotations

from collections.abc import Iterable

from umberworks import interface as face
from umberworks.admission import AdmissionControl
from umberworks.servers import Server

MOST = 4_096  # servers told of, those with the most evidence: more would hold up requests for over 10 ms


def export_state(room: AdmissionControl, servers: Iterable[Server], now: float) -> face.Inherited:
    """What is known now."""
    known = []
    for server in servers:
        server.catch_up(now)
        if server.served or server.usual_time:
            known.append(server)
    known.sort(key=lambda s: -s.served)
    return face.Inherited(
        room.base_service_time,
        tuple(
            face.Known(
                s.member.server,
                s.member.up_since_ms,
                s.served,
                s.busy,
                s.usual_time,
                s.carries,
                s.ceiling,
            )
            for s in known[:MOST]
        ),
    )


class Handover:
    """What was handed to this version, until each server that it tells of is listed."""

    def __init__(self) -> None:
        self._known: dict[str, face.Known] = {}

    def load(self, event: face.Inherited, room: AdmissionControl) -> None:
        """Believe it where nothing better is known."""
        if not room.base_service_time and event.base:
            room.base_service_time = room.mean_service_time = event.base
        self._known = {k.server: k for k in event.servers}

    def apply(self, server: Server) -> None:
        """Tell a server what was known of its process, unless it has shown something itself."""
        known = self._known.pop(server.member.server, None) if self._known else None
        if known is None or known.since_ms != server.member.up_since_ms or server.served:
            return
        server.served, server.busy, server.usual_time = known.served, known.busy, known.usual_time
        server.carries, server.ceiling = known.carries, known.ceiling
