"""Turns addresses from sources into updates of the server list. No I/O.

An upstream is identified by its address and listed once, even if several names resolve to it. If a source fails (a
name that doesn't resolve, a file that can't be read), its last addresses are kept. An address that appears after the
first list counts as just started, and so as cold if the application configures a cold period.
"""

from __future__ import annotations

from collections.abc import Iterable

from passpost.host import Address
from umberworks.interface import ListKind, ListUpdate, Member


def format_address(address: Address) -> str:
    """The text form of an address, `host:port` or `[host]:port`, which is also the id of its upstream."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Membership:
    """The addresses that each source last reported."""

    def __init__(self) -> None:
        self._by_source: dict[str, tuple[Address, ...]] = {}
        self._up_since_ms: dict[Address, float] = {}
        self._had_list = False

    def set_addresses(self, source: str, addresses: Iterable[Address]) -> None:
        """Stores the addresses of a source (a name or a file); an empty answer is ignored, as it may be a failure."""
        if found := tuple(sorted(set(addresses))):
            self._by_source[source] = found

    def addresses(self) -> list[Address]:
        """All known addresses, without duplicates and sorted."""
        return sorted({a for found in self._by_source.values() for a in found})

    def update(self, unix_ms: float) -> tuple[ListUpdate, dict[str, Address]] | None:
        """The whole list for the decision module, with the address of each server; None if nothing changed."""
        known = self.addresses()
        if known == list(self._up_since_ms):
            return None
        new_up_since_ms = unix_ms if self._had_list else 0.0
        self._up_since_ms = {a: self._up_since_ms.get(a, new_up_since_ms) for a in known}
        self._had_list = self._had_list or bool(known)
        members = tuple(
            Member(format_address(a), up_since_ms=since) for a, since in self._up_since_ms.items()
        )
        return ListUpdate(ListKind.WHOLE, members), {format_address(a): a for a in known}


def parse_address_list(text: str) -> list[Address]:
    """Parses a list with one address per line; # begins a comment. Raises ValueError that names an invalid line."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if line:
            found.append(parse_address(line, f"line {number}: "))
    return found


def parse_address(text: str, where: str = "") -> Address:
    """Parses an IP address and port; raises ValueError with the reason. `where` is a prefix for its message."""
    from passpost.operator.checks import is_ip_address, split_host_port

    pair = split_host_port(text)
    if pair is None or not is_ip_address(pair[0]) or not pair[1]:
        raise ValueError(f"{where}{text[:80]!r} is not an IP address and port")
    return pair
