"""Runs balancer instances for the simulator: reads batches of events from stdin, writes actions to stdout."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from umberworks import wire
from umberworks.interface import Member
from umberworks.rules import Balancer


class SimulatorHost:
    """The balancer instances of one process, and the server lists (ledgers), which they share.

    An instance whose decision code failed is None and gets no more events.
    """

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._warned: set[str] = set()
        self._balancers: dict[str, Balancer | None] = {}
        self._ledgers: dict[int, tuple[Member, ...]] = {}
        self._now = 0.0
        self._batch = "?"

    def run(self, source: TextIO, target: TextIO) -> int:
        """Reply to batches until the input ends; returns the exit status, 1 after invalid input."""
        self._line = ""
        self._in_batch = False
        try:
            lines = (line.rstrip("\r\n") for line in source)
            for self._line in lines:
                if self._line:
                    self._in_batch = True
                    target.write("\n".join(self._process_batch(lines)) + "\n")
                    target.flush()
                    self._in_batch = False
        except (wire.WireError, UnicodeDecodeError) as error:
            self._report_error(str(error))
            return 1
        except BrokenPipeError:
            return 1
        return 0

    def _report_error(self, reason: str) -> None:
        print(f"umberworks: batch {self._batch}, line {self._line[:200]!r}: {reason}", file=self._errors)

    def _warn(self, text: str) -> None:
        if text not in self._warned:
            self._warned.add(text)
            print(f"umberworks: {text}", file=self._errors)

    def _next_line(self, lines: Iterator[str]) -> list[str]:
        for self._line in lines:
            return self._line.split(" ")
        raise wire.WireError("the input ended inside a batch")

    def _process_batch(self, lines: Iterator[str]) -> list[str]:
        word, *parts = self._line.split(" ")
        if word != "sync":
            raise wire.WireError("a batch must begin with 'sync'")
        fields = wire.read_fields(parts)
        self._batch = wire.required(fields, "batch")
        self._now = wire.number(fields, "time")
        reply: list[str] = []
        while True:
            word, *parts = self._next_line(lines)
            if word == "eob":
                reply.append(f"yield batch={self._batch}")
                return reply
            fields = wire.read_fields(parts)
            if word == "ledger":
                self._read_ledger(fields, lines)
            else:
                self._handle(word, fields, reply)

    def _read_ledger(self, fields: wire.Fields, lines: Iterator[str]) -> None:
        members = []
        for _ in range(wire.integer(fields, "membersList")):
            word, *parts = self._next_line(lines)
            if word != "m":
                raise wire.WireError("the entries of a ledger are cut short")
            members.append(wire.read_member(wire.read_fields(parts)))
        self._ledgers[wire.integer(fields, "list")] = tuple(members)

    def _handle(self, word: str, fields: wire.Fields, reply: list[str]) -> None:
        try:
            event = wire.read_event(word, fields, self._warn)
        except wire.WireError:
            raise
        except ValueError as error:  # settings out of range
            raise wire.WireError(str(error)) from None
        if event is None:
            return
        instance = wire.required(fields, "who")
        if isinstance(event, wire.InstanceStarted):
            self._balancers[instance] = Balancer(event.settings, event.seed)
            return
        if instance not in self._balancers:
            raise wire.WireError(f"instance {instance!r} is unknown")
        if isinstance(event, wire.InstanceKilled):
            del self._balancers[instance]
            return
        if isinstance(event, wire.ListReference):
            members: tuple[Member, ...] = ()
            if event.ledger is not None:
                if event.ledger not in self._ledgers:
                    raise wire.WireError(f"ledger {event.ledger} was never sent")
                members = self._ledgers[event.ledger]
            event = wire.list_update(event, members)
        balancer = self._balancers[instance]
        if balancer is None:
            return
        try:
            reply.extend(
                [wire.write_action(instance, action) for action in balancer.handle(event, self._now)]
            )
        except Exception as error:  # reported to the simulator, so that it is seen where it happened
            traceback.print_exc(file=self._errors)
            self._balancers[instance] = None
            reply.append(wire.write_failure(instance, error))


def main() -> int:
    """Run on standard input and output; returns the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return SimulatorHost(sys.stderr).run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
