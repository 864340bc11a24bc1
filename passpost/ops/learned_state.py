"""Serializes what one version has learned about the servers as a line of JSON for the next version. No I/O.

The names and the order of the values are read by other versions and must not change.
"""

from __future__ import annotations

import json
import math
from dataclasses import astuple

from umberworks.interface import LearnedState, ServerEstimate


def serialize(learned: LearnedState) -> bytes:
    """One line of JSON, without a line end. An infinite ceiling becomes null, as JSON has no infinity."""
    servers = []
    for estimate in learned.servers:
        values = astuple(estimate)
        servers.append(
            [*values[:-1], None if math.isinf(estimate.concurrency_ceiling) else estimate.concurrency_ceiling]
        )
    return json.dumps({"base": learned.base, "servers": servers}, separators=(",", ":")).encode()


def deserialize(line: bytes) -> LearnedState:
    """The inverse of `serialize`; raises ValueError if the line is malformed or a value is out of range."""
    try:
        data = json.loads(line)
        servers = []
        for name, started_at_ms, served, busy_ms, baseline_time, limit, ceiling in data["servers"]:
            parsed_ceiling = math.inf if ceiling is None else float(ceiling)
            numbers = float(started_at_ms), float(served), float(busy_ms), float(baseline_time), float(limit)
            servers.append(ServerEstimate(str(name), *numbers, parsed_ceiling))
        return LearnedState(float(data["base"]), tuple(servers))
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
