"""Engines that log one line when a request ends. Imported only with PASSPOST_TRACE=1."""

from __future__ import annotations

import logging
import re
from typing import Any

from passpost.engine import Caller, Engine, _OpenRequest
from passpost.http1 import Answer
from passpost.ops.counting import CountingEngine
from passpost.trace.model import AttemptEntry, RequestEnd, RequestEntry, format_request
from passpost.upstreams.attempt import OutgoingRequest
from umberworks import interface
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

_TXN_HEADER = re.compile(rb"\r\nX-Txn:[ \t]*([^\r\n ]+)", re.IGNORECASE)


class _RequestTrace:
    """What has happened so far to one request. All times are in milliseconds on the engine's clock."""

    __slots__ = ("arrived_ms", "class_name", "end", "ended_ms", "sent_ms", "tries", "txn", "written_ms")

    def __init__(self, txn: str, class_name: str, arrived_ms: float) -> None:
        self.txn, self.class_name, self.arrived_ms, self.ended_ms = txn, class_name, arrived_ms, arrived_ms
        self.end = RequestEnd.LEFT  # replaced when the request ends in another way
        self.sent_ms: dict[int, float] = {}
        self.written_ms: dict[int, float] = {}
        self.tries: dict[int, AttemptEntry] = {}


class TracedEngine(Engine):
    """Logs how each request and its attempts ended, once the request is over and no attempt is running."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._traces: dict[int, _RequestTrace] = {}

    def request_arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: OutgoingRequest,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """As in `Engine`; also starts the request's trace."""
        found = _TXN_HEADER.search(outgoing.head)
        txn = found[1].decode("latin-1") if found is not None else "-"
        number = self._last_number + 1
        self._traces[number] = _RequestTrace(txn, class_name, self.now())
        written = outgoing.on_sent

        def on_written() -> None:
            if written is not None:
                written()
            self._note_written(number)

        outgoing.on_sent = on_written
        return super().request_arrived(class_name, tenant, remaining, outgoing, caller, free_connections)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.Refuse(number):
                self._note_end(number, RequestEnd.REFUSED)
            case interface.Fail(number):
                self._note_end(number, RequestEnd.FAILED)
            case interface.Send(number) if (trace := self._traces.get(number)) is not None:
                trace.sent_ms[len(self._requests[number].attempts)] = self.now()
        super()._execute(action)

    def _send(self, action: interface.Send) -> None:
        super()._send(action)
        # On an open connection the attempt was written before it was in `request.attempts`, so `on_written`
        # missed it.
        self._note_written(action.request)

    def _note_written(self, number: int) -> None:
        request, trace = self._requests.get(number), self._traces.get(number)
        if request is not None and trace is not None:
            for index, attempt in enumerate(request.attempts):
                if attempt is not None and attempt.is_written():
                    trace.written_ms.setdefault(index, self.now())

    def _abandon(self, number: int, status: int) -> None:
        self._note_end(number, RequestEnd.FAILED)
        super()._abandon(number, status)

    def _note_end(self, number: int, end: RequestEnd) -> None:
        request, trace = self._requests.get(number), self._traces.get(number)
        if request is not None and trace is not None and not request.finished:
            trace.end, trace.ended_ms = end, self.now()

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
            now, sent_ms = self.now(), trace.sent_ms.get(index, trace.arrived_ms)
            outcome_name = outcome.value.replace(" ", "_")
            written_at = trace.written_ms.get(index)
            written_ms = None if written_at is None else round(written_at - sent_ms)
            trace.tries[index] = AttemptEntry(
                server, round(sent_ms - trace.arrived_ms), round(now - sent_ms), outcome_name, written_ms
            )
            attempt = request.attempts[index]
            is_streamed = attempt is not None and attempt is request.started_attempt
            if outcome is Outcome.SERVED and (is_streamed or not request.finished):
                trace.end, trace.ended_ms = RequestEnd.SERVED, now
            elif is_streamed and outcome is not Outcome.CANCELLED:  # cut off; cancelled if its client left
                trace.end, trace.ended_ms = RequestEnd.FAILED, now
        super()._on_attempt_ended(number, request, index, server, outcome, answer)

    def _remove_if_done(self, number: int, request: _OpenRequest) -> None:
        super()._remove_if_done(number, request)
        if not request.finished or request.unfinished_attempts:
            return
        if (trace := self._traces.pop(number, None)) is not None:
            tries = tuple(trace.tries[i] for i in sorted(trace.tries))
            took_ms = round(
                (self.now() if trace.end is RequestEnd.LEFT else trace.ended_ms) - trace.arrived_ms
            )
            entry = RequestEntry(
                trace.txn, trace.class_name, round(trace.arrived_ms), took_ms, trace.end, tries
            )
            log.info("%s", format_request(entry))


class TracedCountingEngine(TracedEngine, CountingEngine):
    """A traced engine that also counts, for a node with an operators' listener."""
