"""An engine that counts how requests end. The plain engine does not count, so it has none of the cost."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from passpost.engine import Caller, Engine
from passpost.http1 import Answer
from passpost.ops.metrics import ClassCounters, Metrics
from passpost.streams import Sink, Source
from passpost.upstreams.attempt import OutgoingRequest


class _CountingCaller:
    """Wraps a caller and counts its answer before passing it on. Also the sink of a streamed answer."""

    __slots__ = ("_caller", "_counters", "_is_open", "_sink", "_totals", "write")

    def __init__(self, caller: Caller, counters: ClassCounters, totals: Metrics) -> None:
        self._caller, self._counters, self._totals, self._is_open = caller, counters, totals, True
        self._sink: Sink
        self.write: Callable[[bytes], None]
        totals.open_requests += 1

    def end(self) -> None:
        """Count the request as no longer open, answered or not; only the first call has an effect."""
        self._totals.open_requests -= self._is_open
        self._is_open = False

    def serve(self, answer: Answer) -> None:
        """Count the request as served."""
        self._counters.served += 1
        self.end()
        self._caller.serve(answer)

    def refuse(self, retry_after_ms: float) -> None:
        """Count the request as refused."""
        self._counters.refused += 1
        self.end()
        self._caller.refuse(retry_after_ms)

    def fail(self, status: int) -> None:
        """Count the request as failed."""
        self._counters.failed += 1
        self.end()
        self._caller.fail(status)

    def begin(self, answer: Answer, length: int | None, source: Source) -> Sink:
        """Start a streamed answer; it is counted when it is complete or cut off."""
        self._sink = self._caller.begin(answer, length, source)
        self.write = self._sink.write
        return self

    def has_left(self) -> bool:
        """Whether the wrapped caller has gone."""
        return self._caller.has_left()

    def finish(self) -> None:
        """Count the request as served: its answer is complete."""
        self._counters.served += 1
        self.end()
        self._sink.finish()

    def truncate(self) -> None:
        """Count the request as failed, unless it is no longer open: its answer was cut off."""
        self._counters.failed += self._is_open
        self.end()
        self._sink.truncate()


class CountingEngine(Engine):
    """An engine that counts requests and attempts in `metrics`."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.metrics = Metrics(self.classes)

    def request_arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: OutgoingRequest,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """As in `Engine`; also counts how the request ends and each attempt that is written in full."""
        counters = self.metrics.classes[class_name]
        outgoing.on_sent = partial(_count_attempt, counters)
        counting_caller = _CountingCaller(caller, counters, self.metrics)
        return super().request_arrived(
            class_name, tenant, remaining, outgoing, counting_caller, free_connections
        )

    def client_disconnected(self, number: int) -> None:
        """Count the request as no longer open, as the caller has gone.

        Any count of its end would be acceptable; it is left uncounted.
        """
        request = self._requests.get(number)
        if request is not None and isinstance(request.caller, _CountingCaller):
            request.caller.end()
        super().client_disconnected(number)

    def request_expired(self, class_name: str) -> None:
        """Count as failed a request whose time had run out before it was accepted."""
        self.metrics.classes[class_name].failed += 1


def _count_attempt(counters: ClassCounters) -> None:
    counters.attempts += 1
