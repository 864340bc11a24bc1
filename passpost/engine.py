"""Runs the decision module: turns socket activity into its events and carries out its actions.

The engine makes no decisions itself. It fulfils the caller's side of the contract in `umberworks.interface`: a clock
that never goes back, one event at a time, exactly one outcome per attempt and one answer per request.
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
    """The client side of a request, which receives its one final answer."""

    def serve(self, answer: Answer) -> None:
        """Send a complete upstream answer to the client."""

    def refuse(self, retry_after_ms: float) -> None:
        """Refuse the request; a retry is safe, best after `retry_after_ms` (0: no advice)."""

    def fail(self, status: int) -> None:
        """Answer with an error status; the request may or may not have had an effect."""

    def begin(self, answer: Answer, length: int | None, source: Source) -> Sink:
        """Start an answer whose body is streamed from `source`; `length` is None if unknown."""

    def has_left(self) -> bool:
        """Whether the client has disconnected, even if the end of its connection has not been read yet."""


class _OpenRequest:
    """A request that has no final answer yet, or that still has unfinished attempts."""

    def __init__(self, caller: Caller, outgoing: OutgoingRequest) -> None:
        self.caller, self.outgoing = caller, outgoing
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.due_s = 0.0  # when the timer fires, in seconds of the event loop's clock
        self.started_attempt: Attempt | None = None  # its answer is being streamed to the client
        self.attempts: list[Attempt | None] = []
        self.unfinished_attempts = 0
        self.finished = False  # it has its final answer, or the client has disconnected
        self.failure_status = 502  # status of a failure; 504 if the last attempt timed out
        self.upstream_error: Answer | None = None  # the last error of an upstream, where errors are passed on


class Engine:
    """Owns the decision module, its clock, its timers and the open requests."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        upstreams: Upstreams,
        subscribe: Callable[[], None],
        answer_grace: float,
        host: Host = HOST,
        module: type[Balancer] = Balancer,
        relay_upstream_errors: bool = False,
        unbounded_answers: bool = False,
    ) -> None:
        """Create the engine and its decision module, an instance of `module`.

        `answer_grace`: seconds after a request's deadline at which the engine itself ends an unanswered request.
        `relay_upstream_errors`: a failed request is answered with the last error response of an upstream, unchanged.
        `unbounded_answers`: a started answer may continue for as long as it makes progress. Otherwise only a long one
        may; one that may still turn out short is bounded by its request's deadline, which each byte extends a little.
        """
        self._relay_upstream_errors, self._unbounded_answers = relay_upstream_errors, unbounded_answers
        self._balancer = module(settings, seed)
        self.classes = {c.name: c for c in settings.classes}
        self._upstreams, self._subscribe, self._answer_grace_s = upstreams, subscribe, answer_grace
        self._requests: dict[int, _OpenRequest] = {}
        self._last_number = 0
        self._events: deque[interface.Event] = deque()
        self._is_handling = False
        # The module compares `up_since_ms` with its clock (0 or less means long ago), so its clock has to be Unix
        # time. The system clock can be set back, so it is read only once and the monotonic clock is added to it.
        self._monotonic = host.monotonic
        self._clock_offset_ms = host.unix() * 1000 - host.monotonic() * 1000
        self._now_ms = 0.0
        self.has_upstreams = False
        self._draining: set[str] = set()  # servers that the list shows as draining

    def now(self) -> float:
        """The decision module's clock: Unix time in milliseconds that never goes back."""
        self._now_ms = max(self._now_ms, self._clock_offset_ms + self._monotonic() * 1000)
        return self._now_ms

    def is_idle(self) -> bool:
        """Whether no request is open."""
        return not self._requests

    # ---- input from sockets, discovery and operators

    def list_updated(self, update: interface.ListUpdate, addresses: dict[str, Address]) -> None:
        """Process an update of the server list, with the addresses of all members.

        The addresses are stored first, because the module may send to a new server at once.
        """
        self._upstreams.set_addresses(addresses)
        self._process_list_update(update)

    def list_slice_updated(self, update: interface.ListUpdate, addresses: dict[str, Address]) -> None:
        """Process changes of the server list, with the addresses of the changed members only."""
        self._upstreams.update_addresses([m.server for m in update.members], addresses)
        self._process_list_update(update)

    def _process_list_update(self, update: interface.ListUpdate) -> None:
        if update.kind in (interface.ListKind.SAVED, interface.ListKind.WHOLE):
            self._draining.clear()
        for member in update.members:
            if member.readiness is interface.Readiness.DRAINING:
                self._draining.add(member.server)
            else:
                self._draining.discard(member.server)
        self.has_upstreams = self.has_upstreams or any(
            m.readiness is interface.Readiness.READY for m in update.members
        )
        self._post(update)

    def request_arrived(
        self,
        class_name: str,
        tenant: str | None,
        remaining: float,
        outgoing: OutgoingRequest,
        caller: Caller,
        free_connections: float,
    ) -> int:
        """Process a new request that has to be answered within `remaining` seconds; return its number."""
        self._last_number += 1
        number = self._last_number
        request = self._requests[number] = _OpenRequest(caller, outgoing)
        upload = outgoing.upload
        is_open = upload is not None and not upload.is_complete
        if not is_open:
            self._start_deadline_timer(number, request, remaining)
        if upload is not None:
            upload.on_consumed = lambda: self._post(interface.BodyDiscarded(number))
        self._post(
            interface.RequestArrived(number, class_name, remaining * 1000, tenant, free_connections, is_open)
        )
        return number

    def _start_deadline_timer(self, number: int, request: _OpenRequest, remaining: float) -> None:
        loop = asyncio.get_running_loop()
        request.due_s = loop.time() + remaining + self._answer_grace_s
        request.deadline_timer = loop.call_at(request.due_s, self._on_deadline, number)

    def body_ended(self, number: int, remaining: float) -> None:
        """Process the end of a body that was still incomplete; the deadline is `remaining` seconds from now."""
        request = self._requests.get(number)
        if request is not None and not request.finished:
            self._start_deadline_timer(number, request, remaining)
            self._post(interface.BodyEnded(number, remaining * 1000))
        elif request is not None and request.started_attempt is not None and not self._unbounded_answers:
            # The answer started before the body was complete.
            self._start_deadline_timer(number, request, remaining)

    def must_not_repeat(self, number: int, class_name: str) -> bool:
        """Whether a request has an effect that must not happen twice, and has been sent to a server."""
        request, request_class = self._requests.get(number), self.classes.get(class_name)
        if request is None or request_class is None or request_class.effect is not interface.Effect.ONCE:
            return False
        return any(attempt is not None and attempt.is_written() for attempt in request.attempts)

    def body_overdue(self, number: int) -> None:
        """Fail a request whose time is up although its body has not been read to its end."""
        log.warning("request %d: its time is up while its upstream holds its body up", number)
        self._abandon(number, 504)

    def forward_event(
        self,
        event: interface.Detached | interface.Attached | interface.LearnedState | interface.DiscoveryMoved,
    ) -> None:
        """Pass on an operator's command, the state learned by an older version, or a move of the list."""
        self._post(event)

    def learned(self) -> interface.LearnedState:
        """Return the learned state for a version that takes over from this one."""
        return self._balancer.learned(self.now())

    def request_expired(self, class_name: str) -> None:
        """Record a request that was out of time before it was processed; does nothing here, subclasses count it."""

    def client_disconnected(self, number: int) -> None:
        """Process the disconnect of a request's client."""
        request = self._requests.get(number)
        if request is None:
            return
        if request.started_attempt is not None:
            request.started_attempt.cancel()
        elif self._finish(number, request):
            self._post(interface.ClientDisconnected(number))

    def _on_deadline(self, number: int) -> None:
        """Fail a request that the module has not answered in time, so that its client always gets an answer.

        An answer that has started is cut off, which the client can detect, unless it may still continue past the
        deadline because it is long and making progress.
        """
        request = self._requests.get(number)
        if request is not None and request.started_attempt is not None:
            loop = asyncio.get_running_loop()
            if (cutoff_s := request.started_attempt.answer_deadline(request.due_s)) > loop.time():
                request.deadline_timer = loop.call_at(cutoff_s, self._on_deadline, number)
                return
            log.warning("request %d: cutting off its answer, which did not end in time", number)
            request.started_attempt.end(Outcome.BROKEN)
            return
        log.error("request %d was not answered by its deadline", number)
        self._abandon(number, 504)

    def _abandon(self, number: int, status: int) -> None:
        """Fail a request without the module's decision, and tell the module that no answer is due any more."""
        request = self._requests.get(number)
        if request is not None and self._finish(number, request):
            request.caller.fail(status)
            self._post(interface.ClientDisconnected(number))

    # ---- calls to the decision module

    def _post(self, event: interface.Event) -> None:
        """Pass an event to the module; events that arise while another is handled are queued."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: interface.Event) -> None:
        # An exception must fail only the request that it belongs to; the other requests and the process continue.
        try:
            actions = self._balancer.handle(event, self.now())
        except Exception:
            log.exception("the decision module failed on event %s", type(event).__name__)
            self._fail_request_of(event)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("failed to execute action %s", type(action).__name__)
                self._fail_request_of(action)

    def _fail_request_of(self, cause: interface.Event | interface.Action) -> None:
        number = getattr(cause, "request", None)
        if number is not None:
            self._abandon(number, 500)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.Send():
                self._send(action)
            case interface.SetTimer(at, token):
                delay = max(at - self.now(), 0.0) / 1000
                asyncio.get_running_loop().call_later(delay, self._on_timer, at, token)
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
                    if request.upstream_error is not None:
                        request.caller.serve(request.upstream_error)
                    else:
                        request.caller.fail(request.failure_status)
            case interface.Subscribe():
                self._subscribe()
            case interface.Log(text):
                log.info("%s", text)

    def _on_timer(self, at: float, token: str) -> None:
        self._now_ms = max(self._now_ms, at)  # the loop's timers are coarse and may fire slightly early
        self._post(interface.TimerDue(token))

    def _send(self, action: interface.Send) -> None:
        number, server = action.request, action.server
        request = self._requests[number]
        index = len(request.attempts)
        request.attempts.append(None)
        request.unfinished_attempts += 1

        def done(outcome: Outcome, answer: Answer | None) -> None:
            self._on_attempt_ended(number, request, index, server, outcome, answer)

        # A server that starts draining after it was chosen gets nothing; one that was draining then is allowed.
        was_draining = server in self._draining

        def may_go() -> bool:
            stays = was_draining or server not in self._draining
            return stays and self._may_go(number, request, index)

        def begin(answer: Answer, length: int | None, source: Source) -> Sink | None:
            return self._start_answer(number, request, index, answer, length, source)

        attempt = self._upstreams.send(server, request.outgoing, action.timeout_ms / 1000, done, may_go)
        attempt.on_answer_start = begin
        if not attempt.is_over():
            request.attempts[index] = attempt

    def _may_go(self, number: int, request: _OpenRequest, index: int) -> bool:
        """Whether an attempt may still be sent; checked when it is made, and again once its connection is open.

        Nothing is sent after the final answer, nor if part of the body has been consumed already, nor for a client
        that has disconnected, nor if the module does not allow it any more: the module then chooses again.
        """
        upload = request.outgoing.upload
        if request.finished or (upload is not None and upload.is_consumed):
            return False
        if not self._module_allows(number, index):
            return False
        if request.caller.has_left():
            self.client_disconnected(number)
            return False
        return True

    def _module_allows(self, number: int, index: int) -> bool:
        """Whether the module lets an attempt be sent now; false if it fails."""
        try:
            return self._balancer.may_send(number, index, self.now())
        except Exception:
            log.exception("the decision module failed on whether to send")
            return False

    def _start_answer(
        self,
        number: int,
        request: _OpenRequest,
        index: int,
        answer: Answer,
        length: int | None,
        source: Source,
    ) -> Sink | None:
        """Start streaming an attempt's answer to the client; None if the request already has its final answer.

        The module learns which attempt answers before it learns that others have ended for that reason. Otherwise it
        would take the end of another attempt for a sign that this one is not needed, and cancel it.
        """
        if request.finished:
            return None
        request.started_attempt = request.attempts[index]
        self._mark_finished(request)
        self._post(interface.ResponseStarted(number, index))
        self._end_unwritten(request)
        return request.caller.begin(answer, length, source)

    def _on_attempt_ended(
        self,
        number: int,
        request: _OpenRequest,
        index: int,
        server: str,
        outcome: Outcome,
        answer: Answer | None,
    ) -> None:
        attempt, request.attempts[index] = request.attempts[index], None
        request.unfinished_attempts -= 1
        request.failure_status = 504 if outcome is Outcome.TIMED_OUT else 502
        if self._relay_upstream_errors and outcome is Outcome.ERROR and answer is not None:
            # 429 and 503 tell the client that a retry is safe, which only the module can decide.
            request.upstream_error = answer if answer.status not in (429, 503) else None
        try:
            if attempt is not None and attempt is request.started_attempt:
                if request.deadline_timer is not None:
                    request.deadline_timer.cancel()
                if outcome is Outcome.SERVED and attempt.sink is not None:
                    attempt.sink.finish()
            elif outcome is Outcome.SERVED and answer is not None and self._finish(number, request):
                request.caller.serve(answer)
        finally:  # the module must get the outcome even if delivering the answer raised
            self._remove_if_done(number, request)
            self._post(interface.AttemptEnded(number, index, server, outcome, request.finished))

    def _finish(self, number: int, request: _OpenRequest) -> bool:
        """Mark a request as finished; True only the first time, when its answer may be sent."""
        if request.finished:
            return False
        self._mark_finished(request)
        self._end_unwritten(request)
        self._remove_if_done(number, request)
        return True

    def _mark_finished(self, request: _OpenRequest) -> None:
        """Record that a request has its final answer, or that its client has disconnected.

        The deadline timer of a started answer keeps running until that answer ends, unless answers may outlive it.
        """
        request.finished = True
        if request.deadline_timer is not None and (
            request.started_attempt is None or self._unbounded_answers
        ):
            request.deadline_timer.cancel()

    def _end_unwritten(self, request: _OpenRequest) -> None:
        """End the attempts that are not sent yet: nothing may be sent upstream after the final answer."""
        for attempt in request.attempts:
            if attempt is not None and attempt is not request.started_attempt and not attempt.is_written():
                attempt.end(Outcome.NOT_SENT)

    def _remove_if_done(self, number: int, request: _OpenRequest) -> None:
        if request.finished and not request.unfinished_attempts:
            self._requests.pop(number, None)
