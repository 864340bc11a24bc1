"""What one version hands on to the next: evidence, not decisions (the contract: umberworks/interface.py)."""

from __future__ import annotations

from collections.abc import Iterable

from umberworks import interface
from umberworks.admission import AdmissionControl
from umberworks.servers import Server

MOST = 4_096  # servers told of, those with the most evidence: more would hold up requests for over 10 ms


def export_state(room: AdmissionControl, servers: Iterable[Server], now: float) -> interface.LearnedState:
    """What is known now."""
    known = []
    for server in servers:
        server.catch_up(now)
        if server.served or server.baseline_time:
            known.append(server)
    known.sort(key=lambda s: -s.served)
    return interface.LearnedState(
        room.base_service_time,
        tuple(
            interface.ServerEstimate(
                s.member.server,
                s.member.up_since_ms,
                s.served,
                s.busy_ms,
                s.baseline_time,
                s.concurrency_limit,
                s.concurrency_ceiling,
            )
            for s in known[:MOST]
        ),
    )


class Handover:
    """What was handed to this version, until each server that it tells of is listed."""

    def __init__(self) -> None:
        self._known: dict[str, interface.ServerEstimate] = {}

    def load(self, event: interface.LearnedState, room: AdmissionControl) -> None:
        """Believe it where nothing better is known."""
        if not room.base_service_time and event.base:
            room.base_service_time = room.mean_service_time = event.base
        self._known = {k.server: k for k in event.servers}

    def apply(self, server: Server) -> None:
        """Tell a server what was known of its process, unless it has shown something itself."""
        known = self._known.pop(server.member.server, None) if self._known else None
        if known is None or known.started_at_ms != server.member.up_since_ms or server.served:
            return
        server.served, server.busy_ms, server.baseline_time = known.served, known.busy_ms, known.baseline_time
        server.concurrency_limit, server.concurrency_ceiling = (
            known.concurrency_limit,
            known.concurrency_ceiling,
        )
