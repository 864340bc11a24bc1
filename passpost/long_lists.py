"""Parses and compares long server lists in slices, so that requests are served in between. No I/O.

The module is imported only when a long list arrives. A list is parsed completely before any part of it is applied, so
that an invalid one changes nothing, as with short lists. Its changes are then applied in slices, new and changed
members before removed ones, so that the set of servers never runs empty in between.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from typing import Any

from passpost.http1 import Address
from passpost.listing import Listing, parse_listing
from umberworks.interface import Member, Readiness

ENTRIES_PER_SLICE = 100  # entries parsed between two pauses, which takes 1.5 to 2 ms
MEMBERS_PER_UPDATE = 100  # members in one event for the decision module, which takes 2 to 3 ms
COMPARED_PER_SLICE = 1_000  # members compared with the current list between two pauses, which takes 2 ms

_SPACE = re.compile(r"[ \t\r\n]*")
_DECODER = json.JSONDecoder()


@dataclass(slots=True)
class PartialListing:
    """The state of parsing a listing in slices."""

    listing: Listing | None = None  # set once it is complete
    members: list[Member] = field(default_factory=list)
    addresses: dict[str, Address] = field(default_factory=dict)


def read(text: str, partial: PartialListing) -> Iterator[None]:
    """Parse a listing in discovery's JSON format; the iterator pauses after each slice.

    `partial.listing` is set when the iterator ends. Raises ValueError, TypeError or LookupError if it is invalid.
    """
    fields: dict[str, Any] = {}
    has_members = False
    position = _expect(text, 0, "{")
    while True:
        name, position = _DECODER.raw_decode(text, position)
        if not isinstance(name, str):
            raise ValueError(f"expected a name, not {name!r}")
        position = _expect(text, position, ":")
        if name == "members":
            has_members = True
            partial.members.clear()  # of duplicate names the last one counts, as in the json module
            partial.addresses.clear()
            position = yield from _read_members(text, position, partial)
        else:
            fields[name], position = _DECODER.raw_decode(text, position)
        position = _skip_space(text, position)
        if text[position : position + 1] != ",":
            break
        position = _skip_space(text, position + 1)
    if _expect(text, position, "}") != len(text):
        raise ValueError("unexpected data after the list")
    if not has_members:
        raise KeyError("members")
    partial.listing = Listing(
        int(fields["revision"]), bool(fields["complete"]), tuple(partial.members), partial.addresses
    )


def _read_members(text: str, position: int, partial: PartialListing) -> Generator[None, None, int]:
    position = _expect(text, position, "[")
    entries: list[Any] = []
    while text[position : position + 1] != "]":
        entry, position = _DECODER.raw_decode(text, position)
        entries.append(entry)
        position = _skip_space(text, position)
        if text[position : position + 1] == ",":
            position = _skip_space(text, position + 1)
            if text[position : position + 1] == "]":
                raise ValueError(f"expected an entry at position {position}")
        elif text[position : position + 1] != "]":
            raise ValueError(f"expected a comma at position {position}")
        if len(entries) >= ENTRIES_PER_SLICE:
            _add_entries(entries, partial)
            yield
    _add_entries(entries, partial)
    return position + 1


def _add_entries(entries: list[Any], partial: PartialListing) -> None:
    part = parse_listing({"revision": 0, "complete": False, "members": entries})
    partial.members += part.members
    partial.addresses.update(part.addresses)
    entries.clear()


def _skip_space(text: str, position: int) -> int:
    match = _SPACE.match(text, position)
    return match.end() if match is not None else position


def _expect(text: str, position: int, character: str) -> int:
    position = _skip_space(text, position)
    if text[position : position + 1] != character:
        raise ValueError(f"{character!r} expected at position {position}")
    return _skip_space(text, position + 1)


def changes(
    old: dict[str, Member], old_addresses: dict[str, Address], new: Listing
) -> Iterator[tuple[tuple[Member, ...], dict[str, Address]]]:
    """Compare a whole list with the current one; yield slices of changed members with their addresses.

    A slice may be empty, and there is always at least one: even an update without changes says that the list is
    available again.
    """
    members, addresses = new.members, new.addresses
    old_names = list(old)
    slice_: list[Member] = []
    for i, member in enumerate(members, 1):
        name = member.server
        if old.get(name) != member or old_addresses.get(name) != addresses.get(name):
            slice_.append(member)
        if len(slice_) >= MEMBERS_PER_UPDATE or not i % COMPARED_PER_SLICE:
            yield _slice(slice_, new)
            slice_ = []
    listed_names = {m.server for m in members}
    for name in old_names:
        if name not in listed_names:
            slice_.append(Member(name, Readiness.GONE))
        if len(slice_) >= MEMBERS_PER_UPDATE:
            yield _slice(slice_, new)
            slice_ = []
    yield _slice(slice_, new)


def split(new: Listing) -> Iterator[tuple[tuple[Member, ...], dict[str, Address]]]:
    """Split changes into slices, in their order; always at least one slice, which may be empty."""
    for start in range(0, max(len(new.members), 1), MEMBERS_PER_UPDATE):
        yield _slice(list(new.members[start : start + MEMBERS_PER_UPDATE]), new)


def _slice(members: list[Member], new: Listing) -> tuple[tuple[Member, ...], dict[str, Address]]:
    addresses = new.addresses
    return tuple(members), {m.server: addresses[m.server] for m in members if m.server in addresses}
