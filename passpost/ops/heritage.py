"""What one version has learned, as a line of JSON for the next. No I/O."""

from __future__ import annotations

import json
import math
from dataclasses import astuple

from umberworks.interface import LearnedState, ServerEstimate


def write(learned: LearnedState) -> bytes:
    """One line, without its end. A ceiling that does not bind is null, as JSON has no infinity."""
    servers = []
    for known in learned.servers:
        values = astuple(known)
        servers.append(
            [*values[:-1], None if math.isinf(known.concurrency_ceiling) else known.concurrency_ceiling]
        )
    return json.dumps({"base": learned.base, "servers": servers}, separators=(",", ":")).encode()


def read(line: bytes) -> LearnedState:
    """The same again; raises ValueError if it is none."""
    try:
        data = json.loads(line)
        servers = []
        for name, since, served, busy, usual, carries, ceiling in data["servers"]:
            most = math.inf if ceiling is None else float(ceiling)
            numbers = float(since), float(served), float(busy), float(usual), float(carries)
            servers.append(ServerEstimate(str(name), *numbers, most))
        return LearnedState(float(data["base"]), tuple(servers))
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
