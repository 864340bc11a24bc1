"""Reads the platform's configuration file into typed values."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import dataclass
from typing import Any

from passpost.http1 import Address
from passpost.listing import Listing, parse_address, parse_listing
from umberworks import wire
from umberworks.interface import Settings

log = logging.getLogger(__name__)


class ConfigError(Exception):
    """The configuration can't be used; the message says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one balancer; time spans are in seconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: float | None  # limit for the process; None: no limit
    sockets: int
    known: Listing
    settings: Settings
    connect_timeout: float
    idle_timeout: float
    answer_grace: float
    ops: Address | None = None  # address for operators' calls, if enabled


def flatten(value: Any, path: str = "") -> wire.Fields:
    """Flatten nested settings into the form of the simulator's first message: a path and a text per scalar value."""
    if isinstance(value, dict):
        prefix = path + "." if path else ""
        return {k: v for name, item in value.items() for k, v in flatten(item, prefix + name).items()}
    if isinstance(value, list):
        if not any(isinstance(item, dict) for item in value):
            return {path: ",".join(map(str, value))}
        fields = {f"{path}.count": str(len(value))}
        for i, item in enumerate(value):
            fields |= flatten(item, f"{path}.{i}")
        return fields
    if isinstance(value, bool):
        return {path: str(int(value))}
    return {} if value is None else {path: str(value)}


def load(path: str) -> Config:
    """Read the configuration file; raises ConfigError with a one-line message if it can't be read or is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(json.load(file))
    except (OSError, ValueError, LookupError, TypeError, AttributeError, OverflowError) as error:
        reason = f"{type(error).__name__}: {error}".replace("\n", " ")
        raise ConfigError(f"configuration {path!r}: {reason}") from None


def read(data: dict[str, Any]) -> Config:
    """Convert the parsed file; raises ValueError, LookupError, TypeError or the like if it is invalid."""
    flat_settings = flatten(data["settings"])
    sockets = int(data["limits"]["sockets"])
    if sockets < 64:
        raise ValueError(f"limits.sockets: {sockets} is below the minimum of 64")
    return Config(
        name=str(data["name"]),
        listen=parse_address(data["listen"]),
        discovery=parse_address(data["discovery"]),
        seed=int(data["seed"], 16),
        sockets=sockets,
        memory_mb=float(memory_mb) if (memory_mb := data["limits"].get("memory_mb")) is not None else None,
        known=parse_listing(data.get("known") or {"revision": 0, "complete": True, "members": []}),
        settings=wire.read_settings(flat_settings, log.warning),
        connect_timeout=wire.number(flat_settings, "limits.connectTimeout") / 1000,
        idle_timeout=wire.number(flat_settings, "limits.connIdle") / 1000,
        ops=parse_address(ops) if (ops := data.get("ops") or os.environ.get("EDGE_OPS")) else None,
        answer_grace=wire.number(flat_settings, "contract.graceToAnswer") / 1000,
    )
