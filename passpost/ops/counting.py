"""An engine that counts what becomes of requests. The plain one counts nothing and pays nothing for it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from passpost.engine import Caller, Engine
from passpost.http1 import Answer
from passpost.ops.tally import Counts, Tally
from passpost.streams import Sink, Source
from passpost.upstreams.attempt import Outgoing


class _Counted:
    """Stands between the engine and a caller, and notes its one answer."""

    __slots__ = ("_caller", "_counts", "_is_open", "_sink", "_tally", "write")

    def __init__(self, caller: Caller, counts: Counts, tally: Tally) -> None:
        self._caller, self._counts, self._tally, self._is_open = caller, counts, tally, True
        self._sink: Sink
        self.write: Callable[[bytes], None]
        tally.open += 1

    def end(self) -> None:
        """The request is over, answered or not."""
        self._tally.open -= self._is_open
        self._is_open = False

    def serve(self, answer: Answer) -> None:
        """Count it served."""
        self._counts.served += 1
        self.end()
        self._caller.serve(answer)

    def refuse(self, retry_after_ms: float) -> None:
        """Count it refused."""
        self._counts.refused += 1
        self.end()
        self._caller.refuse(retry_after_ms)

    def fail(self, status: int) -> None:
        """Count it failed."""
        self._counts.failed += 1
        self.end()
        self._caller.fail(status)

    def begin(self, answer: Answer, length: int | None, source: Source) -> Sink:
        """Its answer is on its way: counted once it is whole, or cut."""
        self._sink = self._caller.begin(answer, length, source)
        self.write = self._sink.write
        return self

    def has_left(self) -> bool:
        """As the caller says."""
        return self._caller.has_left()

    def finish(self) -> None:
        """Count it served."""
        self._counts.served += 1
        self.end()
        self._sink.finish()

    def truncate(self) -> None:
        """Count it failed."""
        self._counts.failed += self._is_open
        self.end()
        self._sink.truncate()


class CountingEngine(Engine):
    """Counts into a tally of its own."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.tally = Tally(self.classes)

    def request_arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: Outgoing,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """As the engine's; the caller's answer and each attempt written whole are noted."""
        counts = self.tally.classes[class_name]
        outgoing.written = partial(_written, counts)
        counted = _Counted(caller, counts, self.tally)
        return super().request_arrived(class_name, tenant, remaining, outgoing, counted, free_connections)

    def client_disconnected(self, number: int) -> None:
        """The caller has gone: any count is fine, but the request is not open any more."""
        request = self._requests.get(number)
        if request is not None and isinstance(request.caller, _Counted):
            request.caller.end()
        super().client_disconnected(number)

    def request_expired(self, class_name: str) -> None:
        """A request was out of time before it was taken up."""
        self.tally.classes[class_name].failed += 1


def _written(counts: Counts) -> None:
    counts.attempts += 1
