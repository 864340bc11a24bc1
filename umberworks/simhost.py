"""Runs balancers on the simulator's wire: reads batches, keeps instances apart, answers each batch."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from umberworks import wire
from umberworks.interface import Member
from umberworks.rules import Balancer


class Host:
    """The instances of one process, and the server lists that travel once for all of them."""

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._noted: set[str] = set()
        self._balancers: dict[str, Balancer | None] = {}
        self._ledgers: dict[int, tuple[Member, ...]] = {}
        self._now = 0.0
        self._batch = "?"

    def run(self, source: TextIO, target: TextIO) -> int:
        """Answer batches until the input ends; the result is the exit status."""
        self._line = ""
        self._inside = False
        try:
            lines = (line.rstrip("\r\n") for line in source)
            for self._line in lines:
                if self._line:
                    self._inside = True
                    target.write("\n".join(self._answer(lines)) + "\n")
                    target.flush()
                    self._inside = False
        except (wire.WireError, UnicodeDecodeError) as error:
            self._complain(str(error))
            return 1
        except BrokenPipeError:
            return 1
        return 0

    def _complain(self, reason: str) -> None:
        print(f"umberworks: batch {self._batch}, line {self._line[:200]!r}: {reason}", file=self._errors)

    def _note(self, text: str) -> None:
        if text not in self._noted:
            self._noted.add(text)
            print(f"umberworks: {text}", file=self._errors)

    def _next(self, lines: Iterator[str]) -> list[str]:
        for self._line in lines:
            return self._line.split(" ")
        raise wire.WireError("the input ended inside a batch")

    def _answer(self, lines: Iterator[str]) -> list[str]:
        word, *parts = self._line.split(" ")
        if word != "sync":
            raise wire.WireError("a batch must begin with 'sync'")
        fields = wire.read_fields(parts)
        self._batch = wire.need(fields, "batch")
        self._now = wire.number(fields, "time")
        reply: list[str] = []
        while True:
            word, *parts = self._next(lines)
            if word == "eob":
                reply.append(f"yield batch={self._batch}")
                return reply
            fields = wire.read_fields(parts)
            if word == "ledger":
                self._read_ledger(fields, lines)
            else:
                self._take(word, fields, reply)

    def _read_ledger(self, fields: wire.Fields, lines: Iterator[str]) -> None:
        members = []
        for _ in range(wire.whole(fields, "membersList")):
            word, *parts = self._next(lines)
            if word != "m":
                raise wire.WireError("the entries of a ledger are cut short")
            members.append(wire.read_member(wire.read_fields(parts)))
        self._ledgers[wire.whole(fields, "list")] = tuple(members)

    def _take(self, word: str, fields: wire.Fields, reply: list[str]) -> None:
        try:
            event = wire.read_event(word, fields, self._note)
        except wire.WireError:
            raise
        except ValueError as error:  # settings out of range
            raise wire.WireError(str(error)) from None
        if event is None:
            return
        who = wire.need(fields, "who")
        if isinstance(event, wire.Start):
            self._balancers[who] = Balancer(event.settings, event.seed)
            return
        if who not in self._balancers:
            raise wire.WireError(f"instance {who!r} is unknown")
        if isinstance(event, wire.Stop):
            del self._balancers[who]
            return
        if isinstance(event, wire.ListNews):
            members: tuple[Member, ...] = ()
            if event.ledger is not None:
                if event.ledger not in self._ledgers:
                    raise wire.WireError(f"ledger {event.ledger} was never sent")
                members = self._ledgers[event.ledger]
            event = wire.list_update(event, members)
        balancer = self._balancers[who]
        if balancer is None:
            return
        try:
            reply.extend([wire.write_action(who, action) for action in balancer.handle(event, self._now)])
        except Exception as error:  # reported on the wire, so that the fault is seen where it happened
            traceback.print_exc(file=self._errors)
            self._balancers[who] = None
            reply.append(wire.write_fault(who, error))


def main() -> int:
    """Serve standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Host(sys.stderr).run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
