"""Data types shared by the modules that serve operators' calls."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class DetachState:
    """Which upstreams operators have detached, and when they attached others again.

    `detached`: ids of upstreams that get no requests, whatever the server list says. `attached_at_ms`: id to
    the Unix time in milliseconds of its last attach, kept for as long as an upstream that started then may
    still be cold.
    """

    detached: frozenset[str] = frozenset()
    attached_at_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Request:
    """The method, path and query of an operator's call."""

    method: str
    path: str
    query: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an operator's call; `text` is one line, or all metrics with a line each."""

    status: int
    text: str


# ---- commands


@dataclass(frozen=True, slots=True)
class GetReadiness:
    """Report whether this process is ready to serve."""


@dataclass(frozen=True, slots=True)
class GetMetrics:
    """Report the metrics."""


@dataclass(frozen=True, slots=True)
class SetDetached:
    """Detach an upstream, or attach it again."""

    server: str
    detached: bool


@dataclass(frozen=True, slots=True)
class SetDrain:
    """Drain the balancer, or resume normal service."""

    enabled: bool


Command = GetReadiness | GetMetrics | SetDetached | SetDrain
