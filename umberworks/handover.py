"""Hands measurements, no decisions, to the next version (the contract: umberworks/interface.py)."""

from __future__ import annotations

from collections.abc import Iterable

from umberworks import interface
from umberworks.admission import AdmissionControl
from umberworks.servers import Server

MAX_SERVERS = 4_096  # exported, with the most served calls; more would delay requests by over 10 ms


def export_state(
    admission: AdmissionControl, servers: Iterable[Server], now: float
) -> interface.LearnedState:
    """What this version has measured up to `now`."""
    measured = []
    for server in servers:
        server.catch_up(now)
        if server.served or server.baseline_time:
            measured.append(server)
    measured.sort(key=lambda s: -s.served)
    return interface.LearnedState(
        admission.base_service_time,
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
            for s in measured[:MAX_SERVERS]
        ),
    )


class Handover:
    """The measurements of the version before, each kept until its server is listed."""

    def __init__(self) -> None:
        self._known: dict[str, interface.ServerEstimate] = {}

    def load(self, event: interface.LearnedState, admission: AdmissionControl) -> None:
        """Take over the measurements, and the base service time if this version has not measured it."""
        if not admission.base_service_time and event.base:
            admission.base_service_time = admission.mean_service_time = event.base
        self._known = {k.server: k for k in event.servers}

    def apply(self, server: Server) -> None:
        """Give a server the measurements of the same process, unless it has served calls of this version."""
        known = self._known.pop(server.member.server, None) if self._known else None
        if known is None or known.started_at_ms != server.member.up_since_ms or server.served:
            return
        server.served, server.busy_ms, server.baseline_time = known.served, known.busy_ms, known.baseline_time
        server.concurrency_limit, server.concurrency_ceiling = (
            known.concurrency_limit,
            known.concurrency_ceiling,
        )
