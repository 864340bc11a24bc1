"""Values that the parts of daily operation share."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bans:
    """What operators have done to upstreams by hand.

    `out`: ids that are left out, whatever the list says. `back`: when those that were put back came back (Unix
    milliseconds), kept for as long as one that started then may be cold.
    """

    out: frozenset[str] = frozenset()
    back: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Request:
    """One call of an operator, as it was read."""

    method: str
    path: str
    query: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """What an operator is told: 2xx is yes, all else is no; `text` is one line or the figures."""

    status: int
    text: str


# ---- what is to be done for a call


@dataclass(frozen=True, slots=True)
class AskReady:
    """Whether this process is ready to serve."""


@dataclass(frozen=True, slots=True)
class AskFigures:
    """The figures."""


@dataclass(frozen=True, slots=True)
class SetBan:
    """Leave an upstream out, or put it back."""

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class SetDrain:
    """Empty the balancer, or go back to work."""

    on: bool


Command = AskReady | AskFigures | SetBan | SetDrain
