"""Every decision of the balancer; its types, events and actions are in umberworks/interface.py.

A request's path: `_arrived` puts it in the waiting line, `_pump` lets it out while there is room (room.py),
`_try_send` picks its server (`_pick`: the ordinary path), `_ended` books each outcome and may try again.
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
from umberworks.handover import Handover, export_state
from umberworks.interface import DedupScope, Effect, ListKind, Outcome
from umberworks.kinds import KindSpeeds
from umberworks.list_backoff import ListBackoff
from umberworks.quotas import TenantQuotas
from umberworks.recovery import Recovery
from umberworks.requests import Attempt, Request, RetryDetector
from umberworks.servers import EVIDENCE_DECAY_MS, Fleet, Server, ServerPicker
from umberworks.slow_start import SlowStart

FEW = 16  # of up to so many servers a pick walks over all, which takes as long as trials
WALK = 512  # servers that are looked at where a walk over all would hold up every request
LEAST_KEPT = 16  # servers that a balancer keeps to at the least: of fewer, a few failing ones weigh too much
CALLS_EACH = 4.0  # calls in memory for each server kept to beyond these; with fewer our view is a sliver
WAITING_SPARE = 64  # entries beyond the open requests from which the waiting line is rid of the answered ones
WAIT_SHARE = 0.1  # share of its aim that a request may wait for room before it is refused
AWAY_SHARE = 0.25  # share of its aim that a refused client is told to stay away: room changes, its aim runs
# Callers that find every connection busy go elsewhere for good, even if nobody is there. One that is refused
# has its connection back at once. Guards any drain under load; it does harm where callers don't share their
# connections, as what is kept free is then of no use to the others: a few callers are therefore let be.
KEPT_FREE, KEPT_FOR = 2, 3  # at most so many connections kept free in a drain, one for each so many requests
RETRY_SHARE = 0.2  # further attempts allowed for each first one, so that a failing fleet is not flooded
RETRY_BURST = 10.0  # further attempts that may be saved up
PATIENCE = 6.0  # mean times in service after which an answer is so late that a second copy is sent


class Balancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random, self._fleet = random.Random(seed), Fleet()
        self._servers: dict[str, Server] = {}
        self._detached: set[str] = set()  # by operators; whatever the list says
        self._back: list[Server] = []  # put back by hand, and nothing served since
        self._leaving: dict[str, Server] = {}  # not ready any more, with calls out
        self._requests: dict[int, Request] = {}
        self._waiting: list[tuple[bool, float, int]] = []
        self._retries, self._now = RETRY_BURST, 0.0
        self._room = AdmissionControl(settings.balancers)
        self._crowd = ConcurrencyLimits(settings.balancers, settings.calling_tier)
        self._rest, self._heritage, self._kinds = Recovery(), Handover(), KindSpeeds(settings.sizes_exact)
        self._call_tracker = CallTracker(self._room, self._fleet, self._crowd)
        self._retry_detectors = {c.name: RetryDetector() for c in settings.classes}
        self._median, self._median_at, self._slow_start = 0.0, -math.inf, SlowStart(settings, self._random)
        self._shares = TenantQuotas(settings.tenants, settings.balancers)
        self._asking = ListBackoff(settings, self._random)
        self._asked, self._counted, self._sparse = False, False, False
        self._refusing_until = -math.inf
        self._actions: list[interface.Action] = []

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Take one event at time `now` and return what to do, in order."""
        self._actions = []
        if self._settings.pulls_list and (isinstance(event, interface.DiscoveryMoved) or not self._asked):
            self._asked = True
            wait = self._asking.initial_delay()
            self._actions.append(interface.SetTimer(now + wait, "list") if wait else interface.Subscribe())
        self._call_tracker.release(now)
        self._room.catch_up(now)
        self._now = max(self._now, now)
        match event:
            case interface.AttemptEnded():
                self._ended(event, now)
            case interface.RequestArrived():
                self._arrived(event, now)
            case interface.TimerDue():
                self._due(event.token, now)
            case interface.ListUpdate():
                self._listed(event, now)
            case interface.ClientDisconnected():
                self._left(event.request)
            case interface.Detached():
                self._detached.add(event.server)
                if (server := self._servers.get(event.server)) is not None:
                    self._set_eligible(server, False)
            case interface.Attached():
                self._attached(event, now)
            case interface.ResponseStarted():
                self._answer_started(event, now)
            case interface.BodyEnded():
                self._body_ended(event, now)
            case interface.LearnedState():
                self._heritage.load(event, self._room)
                self._draw_anew(self._heritage.apply)
            case interface.BodyDiscarded():
                if (request := self._requests.get(event.request)) is not None:
                    request.body_discarded = True
        self._pump(now)
        return self._actions

    def _listed(self, event: interface.ListUpdate, now: float) -> None:
        if event.kind is ListKind.FAILED:
            if not self._asking.failures:
                self._actions.append(interface.Log("server list out of reach; keeping the last one"))
            self._actions.append(
                interface.SetTimer(now + self._asking.retry_delay(event.since_contact_ms), "list")
            )
            return
        if self._asking.failures and event.kind is not ListKind.SAVED:
            self._asking.failures = 0
            self._actions.append(interface.Log("server list is back"))
        if event.kind is not ListKind.CHANGES:
            named = {m.server for m in event.members}
            for known in [s for n, s in self._servers.items() if s.listed_ready and n not in named]:
                known.listed_ready = False  # missing from a whole list means gone
                self._set_eligible(known, False)
        for member in event.members:
            server = self._servers.get(member.server)
            if server is None:
                server = Server(member, now, self._random.random(), self._slow_start.warmth)
                self._servers[member.server] = server
                self._heritage.apply(server)
            size = self._kinds.estimated_size(member)
            if member.up_since_ms > server.member.up_since_ms or size != server.size:
                self._set_eligible(server, False)  # what it is drawn by changes
            if member.up_since_ms > server.member.up_since_ms:
                server.reset_evidence(now)  # the same name, a new process
            server.member, server.size = member, size
            server.listed_ready = member.readiness is interface.Readiness.READY
            self._set_eligible(server, server.listed_ready and member.server not in self._detached)
            self._slow_start.note_start(member.up_since_ms)
        for name, server in list(self._leaving.items()):
            if server.listed_ready or not server.in_flight:
                del self._leaving[name]
                if not server.listed_ready:
                    del self._servers[name]
        self._choose()
        self._median_at = -math.inf

    def _attached(self, event: interface.Attached, now: float) -> None:
        """Take a server back as one that has just started: until the list tells, nobody knows better."""
        server = self._servers.get(event.server)
        was_out = event.server in self._detached
        self._detached.discard(event.server)
        self._slow_start.note_start(event.at_ms)
        if server is not None and (was_out or server.reattached_at < event.at_ms):
            server.reattached_at = max(server.reattached_at, event.at_ms)
            self._set_eligible(server, False)
            server.reset_evidence(now)
            self._set_eligible(server, server.listed_ready)
            self._back.append(server)

    def learned(self, now: float) -> interface.LearnedState:
        """What a version that takes over from this one should know."""
        return export_state(self._room, self._fleet.ready, now)

    def _draw_anew(self, change: Callable[[Server], None]) -> None:
        """Change what the ready servers are drawn by."""
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
            self._leaving[server.member.server] = server

    def _choose(self) -> None:
        """Size the subset by the calls in memory: with fewer calls each, servers can't be estimated."""
        calls = self._fleet.decayed_calls(self._now)
        self._fleet.resize_subset(max(LEAST_KEPT, round(calls / CALLS_EACH)), self._median or 1.0, self._now)
        ready = len(self._fleet.ready)
        self._counted = ready >= self._settings.balancers  # else a count of calls out is chance
        self._sparse = self._settings.sizes_exact and calls < CALLS_EACH * ready
        self._slow_start.update(self._fleet.ready[: min(self._fleet.subset_size, WALK)], self._now)

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: interface.RequestArrived, now: float) -> None:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        request.over_share = self._shares.exceeds_quota(event.tenant, now)
        if self._settings.calling_tier == 0:
            self._retry_detectors[request.cls.name].observe(request, event.remaining_ms)
        self._requests[request.id] = request
        self._retries = min(RETRY_BURST, self._retries + RETRY_SHARE)
        if event.free_connections < min(KEPT_FREE, len(self._requests) // KEPT_FOR):
            self._give_up(request)
            return
        if self._crowded(request):
            self._refuse_for_room(request, now)
            return
        if len(self._waiting) > len(self._requests) + WAITING_SPARE:
            # While room is short the newest go first, and below them what was refused would stay for good.
            self._waiting = [entry for entry in self._waiting if entry[2] in self._requests]
            heapify(self._waiting)
        heappush(self._waiting, (request.over_share, -now, request.id))
        self._pump(now)
        if not request.attempts:
            wait = min(WAIT_SHARE * request.cls.aim_ms, request.useful_until() - now - self._settings.tick_ms)
            if wait > 0:
                self._actions.append(interface.SetTimer(now + wait, f"wait:{request.id}"))
            else:
                self._give_up(request)

    def _due(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        request = self._requests.get(int(number or -1))
        if kind == "list":
            self._actions.append(interface.Subscribe())
        elif request is None or not request.unanswered:
            return
        elif kind == "copy":
            self._copy(request, now)
        elif not request.attempts:
            self._refuse_for_room(request, now)

    def _refuse_for_room(self, request: Request, now: float) -> None:
        if now > self._refusing_until:
            self._actions.append(interface.Log(f"no room: refusing; {self._room.in_flight} calls out"))
        self._refusing_until = now + EVIDENCE_DECAY_MS
        self._give_up(request)

    def _copy(self, request: Request, now: float) -> None:
        """Send a copy of what is overdue at a server that has served nothing since: it may hang."""
        hangs = request.is_out() and all(a.server.last_served_at <= a.sent for a in request.attempts if a.out)
        if hangs and self._has_room():
            self._try_again(request, now, RETRY_BURST / 2)

    def _pump(self, now: float) -> None:
        """Let waiting requests out while there is room: within their share first, the newest first."""
        while self._waiting and self._has_room():
            request = self._requests.get(self._waiting[0][2])
            if request is not None and request.unanswered and not self._try_send(request, now):
                return
            heappop(self._waiting)

    def _crowded(self, request: Request) -> bool:
        """Whether to refuse by the mean time in service; calls still out are in it: a stall shows at once."""
        if self._counted or self._settings.calling_tier > 0:
            return False
        return self._random.random() >= self._room.admit_probability(request.cls.aim_ms, request.over_share)

    def _has_room(self) -> bool:
        if not self._counted or self._settings.calling_tier > 0:
            return True  # inner tiers let all in: a refusal there wastes what the tiers above have done
        return self._room.in_flight < self._room.limit(len(self._fleet.ready))

    def _try_send(self, request: Request, now: float) -> bool:
        timeout = request.timeout(now)
        most = min(self._settings.max_attempts, request.cls.attempts or math.inf)
        if timeout <= self._settings.tick_ms or len(request.attempts) >= most:
            return False
        server = self._pick(request, now)
        if server is None:
            return False
        server.last_sent = now
        attempt = Attempt(server, now, timeout)
        request.attempts.append(attempt)
        if not request.body_incomplete:  # else its server has nothing to do yet
            self._call_tracker.out(attempt, now)
        self._actions.append(interface.Send(request.id, server.member.server, timeout))
        if self._room.mean_service_time and self._settings.may_duplicate and request.can_be_duplicated():
            patience = PATIENCE * self._room.mean_service_time * request.cls.aim_ms
            self._actions.append(interface.SetTimer(now + patience, f"copy:{request.id}"))
        return True

    def _made(self, event: interface.AttemptEnded | interface.ResponseStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            raise ValueError(f"attempt {event.attempt} of request {event.request} was never made")
        return request, request.attempts[event.attempt]

    def _ended(self, event: interface.AttemptEnded, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in interface.NEVER_RAN
        self._call_tracker.ended(attempt, event.outcome, request.cls, self._median or 1.0, now)
        if event.answered:
            request.unanswered = False
            self._cancel_rest(request)
        elif request.unanswered and not request.is_out() and not self._try_again(request, now):
            self._give_up(request)
        self._drop_if_over(request)

    def _answer_started(self, event: interface.ResponseStarted, now: float) -> None:
        """Its server has done its work, unless the class is a stream; other answers are of no use."""
        request, attempt = self._made(event)
        self._cancel_rest(request, attempt)
        request.streaming, request.unanswered = True, False
        if not request.cls.streamed:
            self._call_tracker.ended(attempt, Outcome.SERVED, request.cls, self._median or 1.0, now)

    def _body_ended(self, event: interface.BodyEnded, now: float) -> None:
        """The request is whole: its time runs, and its server has work."""
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

    def _try_again(self, request: Request, now: float, keep: float = 0.0) -> bool:
        """Make a further attempt out of the savings, of which `keep` stay for others."""
        if (
            self._retries < keep + 1
            or request.streaming
            or request.body_discarded
            or not self._try_send(request, now)
        ):
            return False
        self._retries -= 1
        return True

    def _give_up(self, request: Request) -> None:
        request.unanswered = False
        harmless = request.cls.effect is Effect.REPEATABLE or not any(a.ran for a in request.attempts)
        away = min(AWAY_SHARE * request.cls.aim_ms, self._settings.max_retry_after_ms)
        self._actions.append(interface.Refuse(request.id, away) if harmless else interface.Fail(request.id))
        self._drop_if_over(request)

    def _cancel_rest(self, request: Request, but: Attempt | None = None) -> None:
        if self._settings.may_cancel and not request.streaming:
            out = (i for i, a in enumerate(request.attempts) if a.out and a is not but)
            self._actions.extend(interface.Cancel(request.id, i) for i in out)

    def _left(self, request_id: int) -> None:
        if (request := self._requests.get(request_id)) is not None:
            request.unanswered = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.unanswered and not request.is_out():
            self._requests.pop(request.id, None)

    def _able(self, request: Request, now: float) -> tuple[int, Callable[[Server], bool] | None]:
        """Of how many ready servers, by rank, the next attempt may have one, and what it must be besides."""
        cls, fleet = request.cls, self._fleet
        ran = next((a for a in request.attempts if a.ran), None)
        if request.is_out() and not self._settings.may_duplicate:
            return 0, None
        if ran is None or cls.effect is Effect.REPEATABLE:
            return fleet.subset_size, None
        if cls.effect is Effect.ONCE or now >= ran.sent + cls.dedup_window_ms - self._settings.tick_ms:
            return 0, None
        sent, first, group = ran.sent, ran.server.member, cls.dedup_scope

        def drops_repeats(server: Server) -> bool:
            # A server that restarted since may have forgotten what it saw: not asked again.
            member = server.member
            if max(member.up_since_ms, server.reattached_at) > sent:
                return False
            if group is DedupScope.ALL:
                return True
            return member.zone == first.zone if group is DedupScope.ZONE else member.cell == first.cell

        return len(fleet.ready), drops_repeats

    # ---- the ordinary path ----------------------------------------------------------------------

    def _pick(self, request: Request, now: float) -> Server | None:
        """Draw servers by capacity and take the one least loaded after this call."""
        median = self._known_median(now)
        count, harmless = self._able(request, now)
        cold, tried = now < self._slow_start.cold_until, [a.server for a in request.attempts]
        pick = ServerPicker(self._random, now, median, cold, self._sparse)
        crowded = self._counted and self._crowd.enabled and harmless is None  # a repeat has few places to go

        test: Callable[[Server], bool] | None = None
        if cold or crowded or harmless is not None:

            def test(server: Server) -> bool:
                return (
                    (harmless is None or harmless(server))
                    and (not cold or self._slow_start.admits(server, now))
                    and (not crowded or (self._crowd.admits(server, now) and server.rests_until <= now))
                )

        fresh = test
        if tried:

            def fresh(server: Server) -> bool:
                return server not in tried and (test is None or test(server))

        if self._back and not tried and (back := self._put_back(now)) is not None:
            return back
        if harmless is None and count > FEW and len(self._fleet.ready) > FEW:
            found = pick.pick_sampled(self._fleet.in_subset, fresh)
            if found is not None:
                return found
        few = self._look(count, fresh, request) if tried else []
        return pick.pick_from(few or self._look(count, test, request))

    def _put_back(self, now: float) -> Server | None:
        """A server that was put back by hand and has served nothing since: it gets a call a window at most.

        A cold one wins no comparison while others are idle, and nobody would learn that it is well again.
        """
        self._back = [
            s
            for s in self._back
            if s.last_served_at <= s.reattached_at and s.member.server not in self._detached
        ]
        window = self._settings.cold_window_ms
        due = (s for s in self._back if s.eligible and now - s.last_sent >= window)
        # Many balancers may be told at one moment: the budget of all holds here too.
        return next((s for s in due if self._slow_start.admits(s, now)), None)

    def _look(self, count: int, test: Callable[[Server], bool] | None, request: Request) -> list[Server]:
        """The first ready servers that pass a test, of so many that a walk over them is short."""
        walked = self._fleet.ready[:count]
        if len(walked) > WALK and request.cls.dedup_scope is DedupScope.ALL:
            start = self._random.randrange(len(walked))
            walked = (walked[start:] + walked[:start])[:WALK]
        return [s for s in walked if test(s)] if test is not None else walked

    def _known_median(self, now: float) -> float:
        """The median of the known estimates; measures of the whole fleet are taken now and then only."""
        if now - self._median_at >= RATE_DECAY_MS / 4:
            self._median_at = now
            self._choose()
            some = self._fleet.ready[:WALK]
            if self._counted and self._crowd.enabled:
                said = self._rest.update(some, now < self._refusing_until, self._crowd.min_limit, now)
                self._actions += [interface.Log(said)] if said else []
            if self._kinds.update(some, now):
                self._draw_anew(self._kinds.set_size)
            known = sorted(s.served / s.busy_ms / s.size for s in some if s.served > 0.5 and s.busy_ms > 0)
            if known:
                self._median = known[len(known) // 2]
                self._fleet.median_changed(self._median)
        return self._median or 1.0
