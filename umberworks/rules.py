"""Every decision of the balancer; its types, events and actions are in umberworks/interface.py.

Path of a request: `_request_arrived` queues it, `_send_waiting` and `_send` send it to a server that `_pick`
chooses, and `_attempt_ended` records the outcome and may retry it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from heapq import heapify, heappop, heappush

from umberworks import interface
from umberworks.admission import RATE_DECAY_MS, AdmissionControl
from umberworks.call_tracker import CallTracker
from umberworks.concurrency import ConcurrencyLimits
from umberworks.deduplication import may_still_send, repeat_group
from umberworks.handover import Handover, export_state
from umberworks.interface import DedupScope, Effect, ListKind, Outcome
from umberworks.kinds import KindSpeeds
from umberworks.list_backoff import ListBackoff
from umberworks.quotas import TenantQuotas
from umberworks.recovery import Recovery
from umberworks.requests import Attempt, Request, RetryDetector
from umberworks.servers import EVIDENCE_DECAY_MS, Fleet, Server, ServerPicker
from umberworks.slow_start import SlowStart

MAX_FULL_PICK = 16  # up to so many servers, a pick computes all capacities, which is as fast as sampling
MAX_WALK = 512  # servers looked at, at most, in a walk that would otherwise delay every request
MIN_SUBSET = 16  # the smallest subset: in a smaller one, a few failing servers carry too much weight
CALLS_EACH = 4.0  # decayed calls for each server of a larger subset; with fewer, estimates are poor
MAX_STALE_ENTRIES = 64  # answered requests in the wait queue from which it is rebuilt without them
WAIT_SHARE = 0.1  # share of its aim that a request may wait to be sent before it is refused
RETRY_AFTER_SHARE = 0.25  # Retry-After as a share of the aim: load changes, and the aim of the client runs on
# In a drain, callers that find every connection busy leave for good, even with no other balancer; a refusal
# frees one at once. It harms callers that don't share theirs (a free one helps no other): a few are exempt.
MAX_KEPT_FREE, REQUESTS_PER_FREE = 2, 3  # connections kept free, at most and for each so many requests
RETRY_SHARE = 0.2  # retries allowed for each first attempt, so that a failing fleet is not flooded
RETRY_BURST = 10.0  # the most retries that can be saved up
DUPLICATE_AFTER = 6.0  # mean times in service after which a duplicate is sent of an unanswered call


class Balancer:
    """A balancer instance: takes events in order and returns the actions to carry out."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random, self._fleet = random.Random(seed), Fleet()
        self._servers: dict[str, Server] = {}
        self._detached: set[str] = set()  # by operators, whatever the list says
        self._reattached: list[Server] = []  # attached again, and no call served since
        self._reattached_at: dict[str, float] = {}  # when, by server, also while the list does not name it
        self._removed: dict[str, Server] = {}  # not eligible any more; kept while calls are in flight
        self._requests: dict[int, Request] = {}
        self._wait_queue: list[tuple[bool, float, int]] = []  # heap of (over quota, -arrival time, request)
        self._retries, self._now = RETRY_BURST, 0.0  # retry budget; time of the latest event
        self._load = AdmissionControl(settings.balancers)
        self._limits = ConcurrencyLimits(settings.balancers, settings.calling_tier)
        self._recovery, self._handover, self._kinds = Recovery(), Handover(), KindSpeeds(settings.sizes_exact)
        self._call_tracker = CallTracker(self._load, self._fleet, self._limits)
        self._retry_detectors = {c.name: RetryDetector() for c in settings.classes}
        self._median, self._median_at, self._slow_start = 0.0, -math.inf, SlowStart(settings, self._random)
        self._quotas = TenantQuotas(settings.tenants, settings.balancers)
        self._backoff = ListBackoff(settings, self._random)
        self._started, self._counts_usable, self._sparse = False, False, False
        self._refusing_until = -math.inf  # when a refusal counts as the start of a new overload
        self._actions: list[interface.Action] = []

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Handle one event at time `now` and return the actions to carry out, in order."""
        self._actions = []
        if self._settings.pulls_list and (isinstance(event, interface.DiscoveryMoved) or not self._started):
            self._started = True
            wait = self._backoff.initial_delay()
            self._actions.append(interface.SetTimer(now + wait, "list") if wait else interface.Subscribe())
        self._call_tracker.release(now)
        self._load.catch_up(now)
        self._now = max(self._now, now)
        match event:
            case interface.AttemptEnded():
                self._attempt_ended(event, now)
            case interface.RequestArrived():
                self._request_arrived(event, now)
            case interface.TimerDue():
                self._timer_due(event.token, now)
            case interface.ListUpdate():
                self._list_updated(event, now)
            case interface.ClientDisconnected():
                self._client_disconnected(event.request)
            case interface.Detached():
                self._detached.add(event.server)
                if (server := self._servers.get(event.server)) is not None:
                    self._set_eligible(server, False)
            case interface.Attached():
                self._attached(event, now)
            case interface.ResponseStarted():
                self._response_started(event, now)
            case interface.BodyEnded():
                self._body_ended(event, now)
            case interface.LearnedState():
                self._handover.load(event, self._load)
                self._change_ready(self._handover.apply)
            case interface.BodyDiscarded():
                if (request := self._requests.get(event.request)) is not None:
                    request.one_shot = True
        self._send_waiting(now)
        return self._actions

    def _list_updated(self, event: interface.ListUpdate, now: float) -> None:
        if event.kind is ListKind.FAILED:
            if not self._backoff.failures:
                self._actions.append(interface.Log("server list out of reach; keeping the last one"))
            self._actions.append(
                interface.SetTimer(now + self._backoff.retry_delay(event.since_contact_ms), "list")
            )
            return
        if self._backoff.failures and event.kind is not ListKind.SAVED:
            self._backoff.failures = 0
            self._actions.append(interface.Log("server list is back"))
        if event.kind is not ListKind.CHANGES:
            named = {m.server for m in event.members}
            for removed in [s for n, s in self._servers.items() if s.listed_ready and n not in named]:
                removed.listed_ready = False  # missing from a whole list means gone
                self._set_eligible(removed, False)
        for member in event.members:
            server = self._servers.get(member.server)
            if server is None:
                server = Server(member, now, self._random.random(), self._slow_start.warmth)
                self._servers[member.server] = server
                server.reattached_at = self._reattached_at.get(member.server, 0.0)
                self._handover.apply(server)
            size = self._kinds.estimated_size(member)
            if member.up_since_ms > server.member.up_since_ms or size != server.size:
                self._set_eligible(server, False)  # what it is sampled by changes
            if member.up_since_ms > server.member.up_since_ms:
                server.reset_evidence(now)  # a new process of the same name
            server.set_member(member, now)
            server.size = size
            server.listed_ready = member.readiness is interface.Readiness.READY
            self._set_eligible(server, server.listed_ready and member.server not in self._detached)
            self._slow_start.note_start(member.up_since_ms)
        for name, server in list(self._removed.items()):
            if server.listed_ready or not server.in_flight:
                del self._removed[name]
                if not server.listed_ready:
                    del self._servers[name]
        self._resize_subset()
        self._median_at = -math.inf

    def _attached(self, event: interface.Attached, now: float) -> None:
        """Treat the server as just started until the list says when it did."""
        server = self._servers.get(event.server)
        was_detached = event.server in self._detached
        self._detached.discard(event.server)
        self._slow_start.note_start(event.at_ms)
        self._reattached_at[event.server] = max(self._reattached_at.get(event.server, 0.0), event.at_ms)
        if server is not None and (was_detached or server.reattached_at < event.at_ms):
            server.reattached_at = max(server.reattached_at, event.at_ms)
            self._set_eligible(server, False)
            server.reset_evidence(now)
            self._set_eligible(server, server.listed_ready)
            self._reattached.append(server)

    def may_send(self, request_id: int, attempt: int, now: float) -> bool:
        """Whether an attempt may still be sent that has waited since it was chosen, as for a connection."""
        request = self._requests.get(request_id)
        return request is None or may_still_send(request, attempt, now + self._settings.tick_ms)

    def learned(self, now: float) -> interface.LearnedState:
        """The state to hand over to the version that takes over from this one."""
        return export_state(self._load, self._fleet.ready, now)

    def _change_ready(self, change: Callable[[Server], None]) -> None:
        """Apply a change of what the ready servers are sampled by."""
        for server in list(self._fleet.ready):
            self._set_eligible(server, False)
            change(server)
            self._set_eligible(server, True)

    def _set_eligible(self, server: Server, eligible: bool) -> None:
        if eligible and not server.eligible:
            self._fleet.add(server, self._median or 1.0, self._now)
        elif server.eligible and not eligible:
            self._fleet.remove(server, self._median or 1.0, self._now)
        if not eligible:
            self._removed[server.member.server] = server

    def _resize_subset(self) -> None:
        """Size the subset by the decayed calls; a prefix in rank order is a random sample of the servers."""
        calls = self._fleet.decayed_calls(self._now)
        self._fleet.resize_subset(max(MIN_SUBSET, round(calls / CALLS_EACH)), self._median or 1.0, self._now)
        ready = len(self._fleet.ready)
        self._counts_usable = ready >= self._settings.balancers  # else counts of calls in flight are random
        self._sparse = self._settings.sizes_exact and calls < CALLS_EACH * ready
        self._slow_start.update(self._fleet.ready[: min(self._fleet.subset_size, MAX_WALK)], self._now)

    def _request_arrived(self, event: interface.RequestArrived, now: float) -> None:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        request.over_share = self._quotas.exceeds_quota(event.tenant, now)
        if self._settings.calling_tier == 0:
            self._retry_detectors[request.cls.name].observe(request, event.remaining_ms)
        self._requests[request.id] = request
        self._retries = min(RETRY_BURST, self._retries + RETRY_SHARE)
        if event.free_connections < min(MAX_KEPT_FREE, len(self._requests) // REQUESTS_PER_FREE):
            self._refuse_or_fail(request)
            return
        if self._is_overloaded(request):
            self._refuse_overload(request, now)
            return
        if len(self._wait_queue) > len(self._requests) + MAX_STALE_ENTRIES:
            # Under overload the newest go first, and refused requests at the end would never be popped.
            self._wait_queue = [entry for entry in self._wait_queue if entry[2] in self._requests]
            heapify(self._wait_queue)
        heappush(self._wait_queue, (request.over_share, -now, request.id))
        self._send_waiting(now)
        if not request.attempts:
            wait = min(WAIT_SHARE * request.cls.aim_ms, request.useful_until() - now - self._settings.tick_ms)
            if wait > 0:
                self._actions.append(interface.SetTimer(now + wait, f"wait:{request.id}"))
            else:
                self._refuse_or_fail(request)

    def _timer_due(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        request = self._requests.get(int(number or -1))
        if kind == "list":
            self._actions.append(interface.Subscribe())
        elif request is None or not request.unanswered:
            return
        elif kind == "copy":
            self._send_duplicate(request, now)
        elif not request.attempts:
            self._refuse_overload(request, now)

    def _refuse_overload(self, request: Request, now: float) -> None:
        if now > self._refusing_until:
            self._actions.append(interface.Log(f"no room: refusing; {self._load.in_flight} calls out"))
        self._refusing_until = now + EVIDENCE_DECAY_MS
        self._refuse_or_fail(request)

    def _send_duplicate(self, request: Request, now: float) -> None:
        """Duplicate an overdue request if its servers have served nothing since then: they may hang."""
        hangs = request.is_out() and all(a.server.last_served_at <= a.sent for a in request.attempts if a.out)
        if hangs and self._below_limit():
            self._retry(request, now, RETRY_BURST / 2)

    def _send_waiting(self, now: float) -> None:
        """Send waiting requests while the limit allows: first those within their quota, the newest first."""
        while self._wait_queue and self._below_limit():
            request = self._requests.get(self._wait_queue[0][2])
            if request is not None and request.unanswered and not self._send(request, now):
                return
            heappop(self._wait_queue)

    def _is_overloaded(self, request: Request) -> bool:
        """Whether to refuse by the mean time in service; calls in flight count, so stalls show at once."""
        if self._counts_usable or self._settings.calling_tier > 0:
            return False
        return self._random.random() >= self._load.admit_probability(request.cls.aim_ms, request.over_share)

    def _below_limit(self) -> bool:
        if not self._counts_usable or self._settings.calling_tier > 0:
            return True  # inner tiers admit everything: a refusal there wastes the work of the tiers above
        return self._load.in_flight < self._load.limit(len(self._fleet.ready))

    def _send(self, request: Request, now: float) -> bool:
        timeout = request.timeout(now)
        limit = min(self._settings.max_attempts, request.cls.attempts or math.inf)
        if timeout <= self._settings.tick_ms or len(request.attempts) >= limit:
            return False
        server = self._pick(request, now)
        if server is None:
            return False
        server.last_sent = now
        attempt = Attempt(server, now, timeout)
        request.attempts.append(attempt)
        if not request.body_incomplete:  # a server does no work until it has the whole body
            self._call_tracker.out(attempt, now)
        self._actions.append(interface.Send(request.id, server.member.server, timeout))
        if self._load.mean_service_time and self._settings.may_duplicate and request.can_be_duplicated():
            delay = DUPLICATE_AFTER * self._load.mean_service_time * request.cls.aim_ms
            self._actions.append(interface.SetTimer(now + delay, f"copy:{request.id}"))
        return True

    def _lookup(self, event: interface.AttemptEnded | interface.ResponseStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            raise ValueError(f"attempt {event.attempt} of request {event.request} was never made")
        return request, request.attempts[event.attempt]

    def _attempt_ended(self, event: interface.AttemptEnded, now: float) -> None:
        request, attempt = self._lookup(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in interface.NEVER_RAN
        self._call_tracker.ended(attempt, event.outcome, request.cls, self._median or 1.0, now)
        if event.answered:
            request.unanswered = False
            self._cancel_others(request)
        elif request.unanswered and not request.is_out() and not self._retry(request, now):
            self._refuse_or_fail(request)
        self._drop_if_done(request)

    def _response_started(self, event: interface.ResponseStarted, now: float) -> None:
        """Cancel the other attempts; the server's work is done, unless the class is streamed."""
        request, attempt = self._lookup(event)
        self._cancel_others(request, attempt)
        request.streaming, request.unanswered = True, False
        if not request.cls.streamed:
            self._call_tracker.ended(attempt, Outcome.SERVED, request.cls, self._median or 1.0, now)

    def _body_ended(self, event: interface.BodyEnded, now: float) -> None:
        """The server now has the whole request: the attempt counts as in flight and gets its timeout."""
        request = self._requests.get(event.request)
        if request is None or not request.body_incomplete:
            return
        request.complete_body(now, event.remaining_ms)
        for i, attempt in enumerate(request.attempts):
            if attempt.out:
                timeout = request.timeout(now)
                attempt.times_out_at = now + timeout
                self._call_tracker.out(attempt, now)
                self._actions.append(interface.SetAttemptTimeout(request.id, i, timeout))

    def _retry(self, request: Request, now: float, keep: float = 0.0) -> bool:
        """Make another attempt if the retry budget allows it, with `keep` retries left over for others."""
        if self._retries < keep + 1 or request.streaming or request.one_shot or not self._send(request, now):
            return False
        self._retries -= 1
        return True

    def _refuse_or_fail(self, request: Request) -> None:
        request.unanswered = False
        safe = request.cls.effect is Effect.REPEATABLE or not any(a.ran for a in request.attempts)
        delay = min(RETRY_AFTER_SHARE * request.cls.aim_ms, self._settings.max_retry_after_ms)
        self._actions.append(interface.Refuse(request.id, delay) if safe else interface.Fail(request.id))
        self._drop_if_done(request)

    def _cancel_others(self, request: Request, spared: Attempt | None = None) -> None:
        if self._settings.may_cancel and not request.streaming:
            out = (i for i, a in enumerate(request.attempts) if a.out and a is not spared)
            self._actions.extend(interface.Cancel(request.id, i) for i in out)

    def _client_disconnected(self, request_id: int) -> None:
        if (request := self._requests.get(request_id)) is not None:
            request.unanswered = False
            self._cancel_others(request)
            self._drop_if_done(request)

    def _drop_if_done(self, request: Request) -> None:
        if not request.unanswered and not request.is_out():
            self._requests.pop(request.id, None)

    def _candidates(self, request: Request, now: float) -> tuple[int, Callable[[Server], bool] | None]:
        """How many servers, by rank, the next attempt may choose from, and what condition it must meet."""
        cls, fleet = request.cls, self._fleet
        group = repeat_group(cls, request.attempts)
        if request.is_out() and not self._settings.may_duplicate:
            return 0, None
        if group is None or cls.effect is Effect.REPEATABLE:
            return fleet.subset_size, None
        if cls.effect is Effect.ONCE or not group.is_open(now + self._settings.tick_ms):
            return 0, None
        return len(fleet.ready), group.drops_repeat

    def _pick(self, request: Request, now: float) -> Server | None:
        """Sample servers by capacity and take the one with the lowest load after this call."""
        median = self._refresh_median(now)
        count, drops_repeats = self._candidates(request, now)
        cold, tried = now < self._slow_start.cold_until, [a.server for a in request.attempts]
        pick = ServerPicker(self._random, now, median, cold, self._sparse)
        # Concurrency limits don't apply to a repeat of a keyed request, as few servers may get it.
        limited = self._counts_usable and self._limits.enabled and drops_repeats is None

        accepts: Callable[[Server], bool] | None = None
        if cold or limited or drops_repeats is not None:

            def accepts(server: Server) -> bool:
                return (
                    (drops_repeats is None or drops_repeats(server))
                    and (not cold or self._slow_start.admits(server, now))
                    and (not limited or (self._limits.admits(server, now) and server.rests_until <= now))
                )

        accepts_new = accepts
        if tried:

            def accepts_new(server: Server) -> bool:
                return server not in tried and (accepts is None or accepts(server))

        if self._reattached and not tried and (due := self._due_reattached(now)) is not None:
            return due
        if drops_repeats is None and count > MAX_FULL_PICK and len(self._fleet.ready) > MAX_FULL_PICK:
            found = pick.pick_sampled(self._fleet.in_subset, accepts_new)
            if found is not None:
                return found
        untried = self._walk(count, accepts_new, request) if tried else []
        return pick.pick_from(untried or self._walk(count, accepts, request))

    def _due_reattached(self, now: float) -> Server | None:
        """A server that was attached again and has served no call since, if its next call is due.

        Being cold, it would not be picked while others are idle, and nobody would see that it works again.
        It gets at most one call in a window, within the cold budget, as many balancers may be told at once.
        """
        self._reattached = [
            s
            for s in self._reattached
            if s.last_served_at <= s.reattached_at and s.member.server not in self._detached
        ]
        window = self._settings.cold_window_ms
        due = (s for s in self._reattached if s.eligible and now - s.last_sent >= window)
        return next((s for s in due if self._slow_start.admits(s, now)), None)

    def _walk(self, count: int, accepts: Callable[[Server], bool] | None, request: Request) -> list[Server]:
        """The acceptable servers among the first `count` by rank, or among `MAX_WALK` of these."""
        walked = self._fleet.ready[:count]
        if len(walked) > MAX_WALK and request.cls.dedup_scope is DedupScope.ALL:
            start = self._random.randrange(len(walked))
            walked = (walked[start:] + walked[:start])[:MAX_WALK]
        return [s for s in walked if accepts(s)] if accepts is not None else walked

    def _refresh_median(self, now: float) -> float:
        """The median capacity of the servers; it and other measures of the fleet are updated periodically."""
        if now - self._median_at >= RATE_DECAY_MS / 4:
            self._median_at = now
            self._resize_subset()
            sample = self._fleet.ready[:MAX_WALK]
            if self._counts_usable and self._limits.enabled:
                text = self._recovery.update(sample, now < self._refusing_until, self._limits.min_limit, now)
                self._actions += [interface.Log(text)] if text else []
            if self._kinds.update(sample, now):
                self._change_ready(self._kinds.set_size)
            rates = sorted(s.served / s.busy_ms / s.size for s in sample if s.served > 0.5 and s.busy_ms > 0)
            if rates:
                self._median = rates[len(rates) // 2]
                self._fleet.median_changed(self._median)
        return self._median or 1.0
