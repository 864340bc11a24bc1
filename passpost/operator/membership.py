"""The upstreams that addresses stand for, as they come and go. No I/O.

Its rules: an upstream is its address; it is listed once, however many names lead to it. What can't be learned
now (a name that does not resolve, a file that can't be read) keeps what was known. An address that appears after
the first list is one that has just started, and so is cold where the application says so.
"""

from __future__ import annotations

from collections.abc import Iterable

from passpost.host import Address
from umberworks.interface import ListKind, ListUpdate, Member


def format_address(address: Address) -> str:
    """An address as files write it: the id of its upstream."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Membership:
    """What each source of addresses last told; `update` gives the module's news, or None if nothing changed."""

    def __init__(self) -> None:
        self._by_source: dict[str, tuple[Address, ...]] = {}
        self._since: dict[Address, float] = {}
        self._listed = False

    def set_addresses(self, source: str, addresses: Iterable[Address]) -> None:
        """A source (a name, a file) has told its addresses; an empty answer is kept out, as it may be a fault."""
        if found := tuple(sorted(set(addresses))):
            self._by_source[source] = found

    def addresses(self) -> list[Address]:
        """All that is known, each once, in a stable order."""
        return sorted({a for found in self._by_source.values() for a in found})

    def update(self, unix_ms: float) -> tuple[ListUpdate, dict[str, Address]] | None:
        """The whole list for the module with its addresses, if it has changed."""
        known = self.addresses()
        if known == list(self._since):
            return None
        fresh = unix_ms if self._listed else 0.0
        self._since = {a: self._since.get(a, fresh) for a in known}
        self._listed = self._listed or bool(known)
        members = tuple(Member(format_address(a), up_since_ms=since) for a, since in self._since.items())
        return ListUpdate(ListKind.WHOLE, members), {format_address(a): a for a in known}


def parse_address_list(text: str) -> list[Address]:
    """Addresses, one a line; # begins a comment. Raises ValueError with the line that is none."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if line:
            found.append(parse_address(line, f"line {number}: "))
    return found


def parse_address(text: str, where: str = "") -> Address:
    """IP address and port; raises ValueError with a plain reason."""
    from passpost.operator.checks import is_ip_address, split_host_port

    pair = split_host_port(text)
    if pair is None or not is_ip_address(pair[0]) or not pair[1]:
        raise ValueError(f"{where}{text[:80]!r} is no IP address and port")
    return pair
