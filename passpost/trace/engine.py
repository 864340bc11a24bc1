"""Engines that write a line for each request that is over. Off by default, and not imported then: PASSPOST_TRACE=1."""

from __future__ import annotations

import logging
import re
from typing import Any

from passpost.engine import Caller, Engine, _OpenRequest
from passpost.http1 import Answer
from passpost.ops.counting import CountingEngine
from passpost.trace.model import End, Entry, Try, write
from passpost.upstreams.attempt import Outgoing
from umberworks import interface
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

_TXN = re.compile(rb"\r\nX-Txn:[ \t]*([^\r\n ]+)", re.IGNORECASE)


class _Trace:
    """A request as far as it has come."""

    __slots__ = ("at", "class_name", "end", "ended", "sent", "tries", "txn", "written")

    def __init__(self, txn: str, class_name: str, at: float) -> None:
        self.txn, self.class_name, self.at, self.ended = txn, class_name, at, at
        self.end = End.LEFT
        self.sent: dict[int, float] = {}
        self.written: dict[int, float] = {}
        self.tries: dict[int, Try] = {}


class TracedEngine(Engine):
    """Writes what became of each request and of each attempt, once no attempt is out."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._traces: dict[int, _Trace] = {}

    def request_arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: Outgoing,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """As the engine's."""
        found = _TXN.search(outgoing.head)
        txn = found[1].decode("latin-1") if found is not None else "-"
        number = self._last_number + 1
        self._traces[number] = _Trace(txn, class_name, self.now())
        written = outgoing.written

        def note() -> None:
            if written is not None:
                written()
            self._note_written(number)

        outgoing.written = note
        return super().request_arrived(class_name, tenant, remaining, outgoing, caller, free_connections)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.Refuse(number):
                self._note_end(number, End.REFUSED)
            case interface.Fail(number):
                self._note_end(number, End.FAILED)
            case interface.Send(number) if (trace := self._traces.get(number)) is not None:
                trace.sent[len(self._requests[number].attempts)] = self.now()
        super()._execute(action)

    def _send(self, action: interface.Send) -> None:
        super()._send(action)
        # On a connection that was there it went out before it had its place.
        self._note_written(action.request)

    def _note_written(self, number: int) -> None:
        request, trace = self._requests.get(number), self._traces.get(number)
        if request is not None and trace is not None:
            for index, attempt in enumerate(request.attempts):
                if attempt is not None and attempt.is_written():
                    trace.written.setdefault(index, self.now())

    def _abandon(self, number: int, status: int) -> None:
        self._note_end(number, End.FAILED)
        super()._abandon(number, status)

    def _note_end(self, number: int, end: End) -> None:
        request, trace = self._requests.get(number), self._traces.get(number)
        if request is not None and trace is not None and not request.finished:
            trace.end, trace.ended = end, self.now()

    def _on_attempt_ended(
        self,
        number: int,
        request: _OpenRequest,
        index: int,
        server: str,
        outcome: Outcome,
        answer: Answer | None,
    ) -> None:
        trace = self._traces.get(number)
        if trace is not None:
            now, sent = self.now(), trace.sent.get(index, trace.at)
            said = outcome.value.replace(" ", "_")
            out = trace.written.get(index)
            written = None if out is None else round(out - sent)
            trace.tries[index] = Try(server, round(sent - trace.at), round(now - sent), said, written)
            if outcome is Outcome.SERVED and not request.finished:
                trace.end, trace.ended = End.SERVED, now
        super()._on_attempt_ended(number, request, index, server, outcome, answer)

    def _remove_if_done(self, number: int, request: _OpenRequest) -> None:
        super()._remove_if_done(number, request)
        if not request.finished or request.unfinished_attempts:
            return
        if (trace := self._traces.pop(number, None)) is not None:
            tries = tuple(trace.tries[i] for i in sorted(trace.tries))
            took = round((self.now() if trace.end is End.LEFT else trace.ended) - trace.at)
            entry = Entry(trace.txn, trace.class_name, round(trace.at), took, trace.end, tries)
            log.info("%s", write(entry))


class TracedCountingEngine(TracedEngine, CountingEngine):
    """The same, where operators call."""
