"""Parses discovery's JSON answers: the whole server list or changes of it. No I/O."""

from __future__ import annotations

import ipaddress
import math
from dataclasses import dataclass
from typing import Any

from passpost.host import Address
from umberworks.interface import Member, Readiness

_PHASES = {"active": Readiness.READY, "leaving": Readiness.DRAINING, "left": Readiness.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer of discovery: all members with their addresses, or if not `complete` the changed ones."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    addresses: dict[str, Address]


def parse_address(text: str) -> Address:
    """Parse an IP address and port; host names are not resolved. Raises ValueError."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} has no valid port")
    return host, int(port)


def parse_listing(data: Any) -> Listing:
    """Parse decoded JSON in discovery's format; raises ValueError, TypeError or LookupError if it is invalid."""
    members, addresses = [], {}
    for entry in data["members"]:
        phase = entry["phase"]
        if phase not in _PHASES:
            raise ValueError(f"phase {phase!r} is unknown")
        member = Member(
            server=str(entry["id"]),
            readiness=_PHASES[phase],
            zone=str(entry.get("locality", "")),
            cell=int(entry.get("cell", 0)),
            size=float(entry.get("size", 1.0)),
            up_since_ms=float(entry.get("up_since_ms", 0)),
            kind=str(entry.get("flavor", "")),
        )
        if not math.isfinite(member.up_since_ms):
            raise ValueError(f"{member.server!r}: up_since_ms is not finite: {member.up_since_ms}")
        members.append(member)
        if member.readiness is not Readiness.GONE:
            addresses[member.server] = parse_address(entry["host_port"])
    return Listing(int(data["revision"]), bool(data["complete"]), tuple(members), addresses)
