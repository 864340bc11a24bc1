"""Encodes what one version has learned about the servers as a line of JSON for the next version. No I/O.

The names and the order of the values are read by other versions and must not change.
"""

from __future__ import annotations

import json
import math
from dataclasses import astuple

from umberworks.interface import LearnedState, ServerEstimate


def write(learned: LearnedState) -> bytes:
    """One line of JSON, without a line end. An infinite ceiling is written as null, as JSON has no infinity."""
    servers = []
    for known in learned.servers:
        values = astuple(known)
        servers.append(
            [*values[:-1], None if math.isinf(known.concurrency_ceiling) else known.concurrency_ceiling]
        )
    return json.dumps({"base": learned.base, "servers": servers}, separators=(",", ":")).encode()


def read(line: bytes) -> LearnedState:
    """The inverse of `write`; raises ValueError if the line is malformed or a value is out of range."""
    try:
        data = json.loads(line)
        servers = []
        for name, since, served, busy, usual, carries, ceiling in data["servers"]:
            parsed_ceiling = math.inf if ceiling is None else float(ceiling)
            numbers = float(since), float(served), float(busy), float(usual), float(carries)
            servers.append(ServerEstimate(str(name), *numbers, parsed_ceiling))
        return LearnedState(float(data["base"]), tuple(servers))
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
