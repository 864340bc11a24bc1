"""Runs the decision module: happenings on sockets become its events, its actions become calls.

No decision is made here. What the engine adds is the contract's other side: a clock that never goes back,
one event at a time, exactly one outcome for each attempt and one answer for each request.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from passpost.host import HOST, Host
from passpost.http1 import Address, Answer
from passpost.streams import Sink, Source
from passpost.upstreams.attempt import Attempt, OutgoingRequest
from passpost.upstreams.pool import Upstreams
from umberworks import interface
from umberworks.interface import Outcome
from umberworks.rules import Balancer

log = logging.getLogger(__name__)


class Caller(Protocol):
    """Whoever waits for a request's one answer."""

    def serve(self, answer: Answer) -> None:
        """Pass on an upstream's answer."""

    def refuse(self, retry_after_ms: float) -> None:
        """Say that trying again is harmless, best after so long; 0 for no advice."""

    def fail(self, status: int) -> None:
        """Say that it has failed."""

    def begin(self, answer: Answer, length: int | None, source: Source) -> Sink:
        """Pass on an answer whose body comes in pieces, from `source`."""

    def has_left(self) -> bool:
        """Whether it has gone, also if nobody has read its end yet."""


class _Open:
    """A request that the module has not heard the end of."""

    def __init__(self, caller: Caller, outgoing: OutgoingRequest) -> None:
        self.caller, self.outgoing = caller, outgoing
        self.guard: asyncio.TimerHandle | None = None
        self.due = 0.0  # when that runs out, by the loop's clock
        self.started: Attempt | None = None  # its answer is on its way to the caller
        self.attempts: list[Attempt | None] = []
        self.out = 0
        self.finished = False  # answered, or the caller has gone
        self.status = 502  # for a failure: 504 if the last attempt timed out
        self.error: Answer | None = None  # an upstream's own words for a failure, where they are passed on


class Engine:
    """The one owner of the module, its clock, its timers and the open requests."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        upstreams: Upstreams,
        subscribe: Callable[[], None],
        answer_grace: float,
        host: Host = HOST,
        module: type[Balancer] = Balancer,
        keeps_failures: bool = False,
        lasting: bool = False,
    ) -> None:
        """With `keeps_failures` a request that fails gets the last error of an upstream, in its words.

        With `lasting` an answer that has begun may go on for as long as it makes steps; else only a long one may, and
        one that may still be short has its request's time, and by each byte a little more.
        """
        self._keeps_failures, self._lasting = keeps_failures, lasting
        self._balancer = module(settings, seed)
        self.classes = {c.name: c for c in settings.classes}
        self._upstreams, self._subscribe, self._grace = upstreams, subscribe, answer_grace
        self._requests: dict[int, _Open] = {}
        self._count = 0
        self._events: deque[interface.Event] = deque()
        self._handling = False
        # The module takes an `up_since_ms` of 0 or less for long ago and compares others with its clock: it
        # needs Unix time. The system's clock may be set back, so that it is read only once.
        self._monotonic = host.monotonic
        self._epoch_ms = host.unix() * 1000 - host.monotonic() * 1000
        self._now = 0.0
        self.has_upstreams = False
        self._leaving: set[str] = set()  # as the list tells

    def now(self) -> float:
        """The module's clock."""
        self._now = max(self._now, self._epoch_ms + self._monotonic() * 1000)
        return self._now

    def is_idle(self) -> bool:
        """Whether no request is open."""
        return not self._requests

    # ---- happenings

    def listed(self, update: interface.ListUpdate, addresses: dict[str, Address]) -> None:
        """News of the list; the addresses come first, as the module may send at once."""
        self._upstreams.set_addresses(addresses)
        self._listed(update)

    def listed_part(self, update: interface.ListUpdate, addresses: dict[str, Address]) -> None:
        """Changes of the list, with the addresses of those that have changed only."""
        self._upstreams.update_addresses([m.server for m in update.members], addresses)
        self._listed(update)

    def _listed(self, update: interface.ListUpdate) -> None:
        if update.kind in (interface.ListKind.SAVED, interface.ListKind.WHOLE):
            self._leaving.clear()
        for member in update.members:
            if member.readiness is interface.Readiness.DRAINING:
                self._leaving.add(member.server)
            else:
                self._leaving.discard(member.server)
        self.has_upstreams = self.has_upstreams or any(
            m.readiness is interface.Readiness.READY for m in update.members
        )
        self._post(update)

    def arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: OutgoingRequest,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """A request is there, with so many seconds to answer it; the result is its number."""
        self._count += 1
        number = self._count
        request = self._requests[number] = _Open(caller, outgoing)
        upload = outgoing.upload
        is_open = upload is not None and not upload.whole
        if not is_open:
            self._guard(number, request, remaining)
        if upload is not None:
            upload.on_spent = lambda: self._post(interface.BodyDiscarded(number))
        self._post(
            interface.RequestArrived(number, class_name, remaining * 1000, tenant, free_connections, is_open)
        )
        return number

    def _guard(self, number: int, request: _Open, remaining: float) -> None:
        loop = asyncio.get_running_loop()
        request.due = loop.time() + remaining + self._grace
        request.guard = loop.call_at(request.due, self._overdue, number)

    def body_ended(self, number: int, remaining: float) -> None:
        """The last byte of a request has come that arrived with its body open; its time runs from now."""
        request = self._requests.get(number)
        if request is not None and not request.finished:
            self._guard(number, request, remaining)
            self._post(interface.BodyEnded(number, remaining * 1000))
        elif request is not None and request.started is not None and not self._lasting:
            self._guard(number, request, remaining)  # its answer began before

    def told(
        self,
        event: interface.Detached | interface.Attached | interface.LearnedState | interface.DiscoveryMoved,
    ) -> None:
        """An operator's word on a server, what an older version has learned, or that the list has moved."""
        self._post(event)

    def learned(self) -> interface.LearnedState:
        """What a version that takes over from this one should know."""
        return self._balancer.learned(self.now())

    def turned_back(self, class_name: str) -> None:
        """A request had no time left when it was taken up; for engines that count."""

    def left(self, number: int) -> None:
        """The caller has gone."""
        request = self._requests.get(number)
        if request is None:
            return
        if request.started is not None:
            request.started.cancel()
        elif self._finish(number, request):
            self._post(interface.ClientDisconnected(number))

    def _overdue(self, number: int) -> None:
        """The module owes an answer in time; should it ever miss one, the caller still gets it.

        An answer that has begun ends short of its end, as the caller sees: unless it is long and comes all the same.
        """
        request = self._requests.get(number)
        if request is not None and request.started is not None:
            loop = asyncio.get_running_loop()
            if (over := request.started.answer_deadline(request.due)) > loop.time():
                request.guard = loop.call_at(over, self._overdue, number)
                return
            log.warning("request %d: its answer did not end in time", number)
            request.started.end(Outcome.BROKEN)
            return
        log.error("request %d had no answer in time", number)
        self._abandon(number, 504)

    def _abandon(self, number: int, status: int) -> None:
        """Fail a request without the module, which is told that nothing more is owed."""
        request = self._requests.get(number)
        if request is not None and self._finish(number, request):
            request.caller.fail(status)
            self._post(interface.ClientDisconnected(number))

    # ---- the module

    def _post(self, event: interface.Event) -> None:
        """Hand over an event; those that come up while one is handled wait for their turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: interface.Event) -> None:
        # A fault in one request must fail that request only: the others and the process go on.
        try:
            actions = self._balancer.handle(event, self.now())
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            self._fault(event)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._fault(action)

    def _fault(self, cause: interface.Event | interface.Action) -> None:
        number = getattr(cause, "request", None)
        if number is not None:
            self._abandon(number, 500)

    def _carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.Send():
                self._send(action)
            case interface.SetTimer(at, token):
                delay = max(at - self.now(), 0.0) / 1000
                asyncio.get_running_loop().call_later(delay, self._due, at, token)
            case interface.Cancel(number, index):
                request = self._requests.get(number)
                if request is not None and (attempt := request.attempts[index]) is not None:
                    attempt.cancel()
            case interface.SetAttemptTimeout(number, index, timeout):
                request = self._requests.get(number)
                if request is not None and (attempt := request.attempts[index]) is not None:
                    attempt.limit(timeout / 1000)
            case interface.Refuse(number, retry_after):
                request = self._requests.get(number)
                if request is not None and self._finish(number, request):
                    request.caller.refuse(retry_after)
            case interface.Fail(number):
                request = self._requests.get(number)
                if request is not None and self._finish(number, request):
                    if request.error is not None:
                        request.caller.serve(request.error)
                    else:
                        request.caller.fail(request.status)
            case interface.Subscribe():
                self._subscribe()
            case interface.Log(text):
                log.info("%s", text)

    def _due(self, at: float, token: str) -> None:
        self._now = max(self._now, at)  # the loop's timers are coarse and may be a little early
        self._post(interface.TimerDue(token))

    def _send(self, action: interface.Send) -> None:
        number, server = action.request, action.server
        request = self._requests[number]
        index = len(request.attempts)
        request.attempts.append(None)
        request.out += 1

        def done(outcome: Outcome, answer: Answer | None) -> None:
            self._ended(number, request, index, server, outcome, answer)

        known = server in self._leaving  # when it was chosen: that is the module's business

        def may_go() -> bool:
            return self._may_go(number, request, known or server not in self._leaving)

        def begin(answer: Answer, length: int | None, source: Source) -> Sink | None:
            return self._begin(number, request, index, answer, length, source)

        attempt = self._upstreams.send(server, request.outgoing, action.timeout_ms / 1000, done, may_go)
        attempt.on_answer_start = begin
        if not attempt.is_over():
            request.attempts[index] = attempt

    def _may_go(self, number: int, request: _Open, stays: bool) -> bool:
        """Whether an attempt may still go out: asked when it is made, and again once its connection is there.

        Nothing is sent after the final answer, nor half a body, nor for a caller that has gone. Nor to a server that
        does not stay: the list has told since the choice that it leaves, and the module chooses anew.
        """
        upload = request.outgoing.upload
        if not stays or request.finished or (upload is not None and upload.spent):
            return False
        if request.caller.has_left():
            self.left(number)
            return False
        return True

    def _begin(
        self, number: int, request: _Open, index: int, answer: Answer, length: int | None, source: Source
    ) -> Sink | None:
        """An attempt's long answer begins; None if the request has its final answer already."""
        if request.finished:
            return None
        request.started = request.attempts[index]
        self._finish(number, request)
        sink = request.caller.begin(answer, length, source)
        self._post(interface.ResponseStarted(number, index))
        return sink

    def _ended(
        self, number: int, request: _Open, index: int, server: str, outcome: Outcome, answer: Answer | None
    ) -> None:
        attempt, request.attempts[index] = request.attempts[index], None
        request.out -= 1
        request.status = 504 if outcome is Outcome.TIMED_OUT else 502
        if self._keeps_failures and outcome is Outcome.ERROR and answer is not None:
            # That trying again is harmless is the module's to say, whoever words it.
            request.error = answer if answer.status not in (429, 503) else None
        try:
            if attempt is not None and attempt is request.started:
                if request.guard is not None:
                    request.guard.cancel()
                if outcome is Outcome.SERVED and attempt.sink is not None:
                    attempt.sink.finish()
            elif outcome is Outcome.SERVED and answer is not None and self._finish(number, request):
                request.caller.serve(answer)
        finally:  # the module is owed the outcome, whatever became of the answer
            self._forget_if_over(number, request)
            self._post(interface.AttemptEnded(number, index, server, outcome, request.finished))

    def _finish(self, number: int, request: _Open) -> bool:
        """Note the end of a request; True the first time, which is when its answer goes out.

        An answer that has begun stays guarded to its own end, unless it may last.
        """
        if request.finished:
            return False
        request.finished = True
        if request.guard is not None and (request.started is None or self._lasting):
            request.guard.cancel()
        for attempt in request.attempts:
            if attempt is not None and attempt is not request.started and not attempt.is_written():
                attempt.end(Outcome.NOT_SENT)  # nothing may be sent after the final answer
        self._forget_if_over(number, request)
        return True

    def _forget_if_over(self, number: int, request: _Open) -> None:
        if request.finished and not request.out:
            self._requests.pop(number, None)
