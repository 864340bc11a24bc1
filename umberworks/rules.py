"""Every decision of the balancer; its types, events and actions are in umberworks/interface.py.

A request's path: `_arrived` puts it in the waiting line, `_pump` lets it out while there is room (room.py),
`_try_send` picks its server (`_pick`: the ordinary path), `_ended` books each outcome and may try again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from heapq import heapify, heappop, heappush

from umberworks import interface as face
from umberworks.admission import RATE_DECAY_MS, AdmissionControl
from umberworks.books import Books
from umberworks.concurrency import ConcurrencyLimits
from umberworks.handover import Handover, export_state
from umberworks.interface import Effect, ListKind, Outcome, RepeatGroup
from umberworks.kinds import KindSpeeds
from umberworks.list_backoff import ListBackoff
from umberworks.quotas import TenantQuotas
from umberworks.recovery import Recovery
from umberworks.requests import Attempt, Request, Tries
from umberworks.servers import MEMORY_MS, Fleet, Pick, Server
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

    def __init__(self, settings: face.Settings, seed: int) -> None:
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
        self._books = Books(self._room, self._fleet, self._crowd)
        self._tries = {c.name: Tries() for c in settings.classes}
        self._median, self._median_at, self._slow_start = 0.0, -math.inf, SlowStart(settings, self._random)
        self._shares = TenantQuotas(settings.tenants, settings.balancers)
        self._asking = ListBackoff(settings, self._random)
        self._asked, self._counted, self._sliver = False, False, False
        self._refusing_until = -math.inf
        self._actions: list[face.Action] = []

    def handle(self, event: face.Event, now: float) -> list[face.Action]:
        """Take one event at time `now` and return what to do, in order."""
        self._actions = []
        if self._settings.list_is_asked and (isinstance(event, face.ListMoved) or not self._asked):
            self._asked = True
            wait = self._asking.initial_delay()
            self._actions.append(face.SetTimer(now + wait, "list") if wait else face.Subscribe())
        self._books.release(now)
        self._room.catch_up(now)
        self._now = max(self._now, now)
        match event:
            case face.AttemptEnded():
                self._ended(event, now)
            case face.RequestArrived():
                self._arrived(event, now)
            case face.TimerDue():
                self._due(event.token, now)
            case face.ListUpdate():
                self._listed(event, now)
            case face.ClientLeft():
                self._left(event.request)
            case face.Detached():
                self._detached.add(event.server)
                if (server := self._servers.get(event.server)) is not None:
                    self._is_fit(server, False)
            case face.Attached():
                self._attached(event, now)
            case face.AnswerStarted():
                self._answer_started(event, now)
            case face.BodyEnded():
                self._body_ended(event, now)
            case face.Inherited():
                self._heritage.load(event, self._room)
                self._draw_anew(self._heritage.apply)
            case face.BodySpent():
                if (request := self._requests.get(event.request)) is not None:
                    request.spent = True
        self._pump(now)
        return self._actions

    def _listed(self, event: face.ListUpdate, now: float) -> None:
        if event.kind is ListKind.FAILED:
            if not self._asking.failures:
                self._actions.append(face.Log("server list out of reach; keeping the last one"))
            self._actions.append(face.SetTimer(now + self._asking.retry_delay(event.unheard_ms), "list"))
            return
        if self._asking.failures and event.kind is not ListKind.SAVED:
            self._asking.failures = 0
            self._actions.append(face.Log("server list is back"))
        if event.kind is not ListKind.CHANGES:
            named = {m.server for m in event.members}
            for known in [s for n, s in self._servers.items() if s.listed and n not in named]:
                known.listed = False  # missing from a whole list means gone
                self._is_fit(known, False)
        for member in event.members:
            server = self._servers.get(member.server)
            if server is None:
                server = Server(member, now, self._random.random(), self._slow_start.warmth)
                self._servers[member.server] = server
                self._heritage.apply(server)
            size = self._kinds.estimated_size(member)
            if member.up_since_ms > server.member.up_since_ms or size != server.size:
                self._is_fit(server, False)  # what it is drawn by changes
            if member.up_since_ms > server.member.up_since_ms:
                server.forget(now)  # the same name, a new process
            server.member, server.size = member, size
            server.listed = member.readiness is face.Readiness.READY
            self._is_fit(server, server.listed and member.server not in self._detached)
            self._slow_start.note_start(member.up_since_ms)
        for name, server in list(self._leaving.items()):
            if server.listed or not server.in_flight:
                del self._leaving[name]
                if not server.listed:
                    del self._servers[name]
        self._choose()
        self._median_at = -math.inf

    def _attached(self, event: face.Attached, now: float) -> None:
        """Take a server back as one that has just started: until the list tells, nobody knows better."""
        server = self._servers.get(event.server)
        was_out = event.server in self._detached
        self._detached.discard(event.server)
        self._slow_start.note_start(event.at_ms)
        if server is not None and (was_out or server.back_at < event.at_ms):
            server.back_at = max(server.back_at, event.at_ms)
            self._is_fit(server, False)
            server.forget(now)
            self._is_fit(server, server.listed)
            self._back.append(server)

    def learned(self, now: float) -> face.Inherited:
        """What a version that takes over from this one should know."""
        return export_state(self._room, self._fleet.ready, now)

    def _draw_anew(self, change: Callable[[Server], None]) -> None:
        """Change what the ready servers are drawn by."""
        for server in list(self._fleet.ready):
            self._is_fit(server, False)
            change(server)
            self._is_fit(server, True)

    def _is_fit(self, server: Server, fit: bool) -> None:
        if fit and not server.fit:
            self._fleet.enter(server, self._median or 1.0, self._now)
        elif server.fit and not fit:
            self._fleet.leave(server, self._median or 1.0, self._now)
        if not fit:
            self._leaving[server.member.server] = server

    def _choose(self) -> None:
        """Keep to as many servers as our calls can tell of, by ranks of our own: more we know by scraps."""
        calls = self._fleet.calls(self._now)
        self._fleet.keep(max(LEAST_KEPT, round(calls / CALLS_EACH)), self._median or 1.0, self._now)
        ready = len(self._fleet.ready)
        self._counted = ready >= self._settings.balancers  # else a count of calls out is chance
        self._sliver = self._settings.sizes_exact and calls < CALLS_EACH * ready
        self._slow_start.update(
            self._fleet.ready[: min(self._fleet.keeps, WALK)], self._now
        )  # ranks are drawn

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: face.RequestArrived, now: float) -> None:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        request.over_share = self._shares.exceeds_quota(event.tenant, now)
        if self._settings.calling_tier == 0:
            self._tries[request.cls.name].note(request, event.remaining_ms)
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
                self._actions.append(face.SetTimer(now + wait, f"wait:{request.id}"))
            else:
                self._give_up(request)

    def _due(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        request = self._requests.get(int(number or -1))
        if kind == "list":
            self._actions.append(face.Subscribe())
        elif request is None or not request.owed:
            return
        elif kind == "copy":
            self._copy(request, now)
        elif not request.attempts:
            self._refuse_for_room(request, now)

    def _refuse_for_room(self, request: Request, now: float) -> None:
        if now > self._refusing_until:
            self._actions.append(face.Log(f"no room: refusing; {self._room.in_flight} calls out"))
        self._refusing_until = now + MEMORY_MS
        self._give_up(request)

    def _copy(self, request: Request, now: float) -> None:
        """Send a copy of what is overdue at a server that has served nothing since: it may hang."""
        silent = request.is_out() and all(a.server.heard <= a.sent for a in request.attempts if a.out)
        if silent and self._has_room():
            self._try_again(request, now, RETRY_BURST / 2)

    def _pump(self, now: float) -> None:
        """Let waiting requests out while there is room: within their share first, the newest first."""
        while self._waiting and self._has_room():
            request = self._requests.get(self._waiting[0][2])
            if request is not None and request.owed and not self._try_send(request, now):
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
        if not request.is_coming:  # else its server has nothing to do yet
            self._books.out(attempt, now)
        self._actions.append(face.Send(request.id, server.member.server, timeout))
        if self._room.mean_service_time and self._settings.may_duplicate and request.may_repeat():
            patience = PATIENCE * self._room.mean_service_time * request.cls.aim_ms
            self._actions.append(face.SetTimer(now + patience, f"copy:{request.id}"))
        return True

    def _made(self, event: face.AttemptEnded | face.AnswerStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            raise ValueError(f"attempt {event.attempt} of request {event.request} was never made")
        return request, request.attempts[event.attempt]

    def _ended(self, event: face.AttemptEnded, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in face.NEVER_RAN
        self._books.ended(attempt, event.outcome, request.cls, self._median or 1.0, now)
        if event.answered:
            request.owed = False
            self._cancel_rest(request)
        elif request.owed and not request.is_out() and not self._try_again(request, now):
            self._give_up(request)
        self._drop_if_over(request)

    def _answer_started(self, event: face.AnswerStarted, now: float) -> None:
        """Its server has done its work, unless the class is a stream; other answers are of no use."""
        request, attempt = self._made(event)
        self._cancel_rest(request, attempt)
        request.streaming, request.owed = True, False
        if not request.cls.streamed:
            self._books.ended(attempt, Outcome.SERVED, request.cls, self._median or 1.0, now)

    def _body_ended(self, event: face.BodyEnded, now: float) -> None:
        """The request is whole: its time runs, and its server has work."""
        request = self._requests.get(event.request)
        if request is None or not request.is_coming:
            return
        request.whole(now, event.remaining_ms)
        for i, attempt in enumerate(request.attempts):
            if attempt.out:
                timeout = request.timeout(now)
                attempt.ends = now + timeout
                self._books.out(attempt, now)
                self._actions.append(face.Limit(request.id, i, timeout))

    def _try_again(self, request: Request, now: float, keep: float = 0.0) -> bool:
        """Make a further attempt out of the savings, of which `keep` stay for others."""
        if self._retries < keep + 1 or request.streaming or request.spent or not self._try_send(request, now):
            return False
        self._retries -= 1
        return True

    def _give_up(self, request: Request) -> None:
        request.owed = False
        harmless = request.cls.effect is Effect.REPEATABLE or not any(a.ran for a in request.attempts)
        away = min(AWAY_SHARE * request.cls.aim_ms, self._settings.max_retry_after_ms)
        self._actions.append(face.Refuse(request.id, away) if harmless else face.Fail(request.id))
        self._drop_if_over(request)

    def _cancel_rest(self, request: Request, but: Attempt | None = None) -> None:
        if self._settings.may_cancel and not request.streaming:
            out = (i for i, a in enumerate(request.attempts) if a.out and a is not but)
            self._actions.extend(face.Cancel(request.id, i) for i in out)

    def _left(self, request_id: int) -> None:
        if (request := self._requests.get(request_id)) is not None:
            request.owed = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.owed and not request.is_out():
            self._requests.pop(request.id, None)

    def _able(self, request: Request, now: float) -> tuple[int, Callable[[Server], bool] | None]:
        """Of how many ready servers, by rank, the next attempt may have one, and what it must be besides."""
        cls, fleet = request.cls, self._fleet
        ran = next((a for a in request.attempts if a.ran), None)
        if request.is_out() and not self._settings.may_duplicate:
            return 0, None
        if ran is None or cls.effect is Effect.REPEATABLE:
            return fleet.keeps, None
        if cls.effect is Effect.ONCE or now >= ran.sent + cls.repeat_window_ms - self._settings.tick_ms:
            return 0, None
        sent, first, group = ran.sent, ran.server.member, cls.repeat_group

        def drops_repeats(server: Server) -> bool:
            # A server that restarted since may have forgotten what it saw: not asked again.
            member = server.member
            if max(member.up_since_ms, server.back_at) > sent:
                return False
            if group is RepeatGroup.ALL:
                return True
            return member.zone == first.zone if group is RepeatGroup.ZONE else member.cell == first.cell

        return len(fleet.ready), drops_repeats

    # ---- the ordinary path ----------------------------------------------------------------------

    def _pick(self, request: Request, now: float) -> Server | None:
        """Draw servers by capacity and take the one least loaded after this call."""
        median = self._known_median(now)
        count, harmless = self._able(request, now)
        cold, tried = now < self._slow_start.cold_until, [a.server for a in request.attempts]
        pick = Pick(self._random, now, median, cold, self._sliver)
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
            found = pick.among(self._fleet.kept, fresh)
            if found is not None:
                return found
        few = self._look(count, fresh, request) if tried else []
        return pick.of(few or self._look(count, test, request))

    def _put_back(self, now: float) -> Server | None:
        """A server that was put back by hand and has served nothing since: it gets a call a window at most.

        A cold one wins no comparison while others are idle, and nobody would learn that it is well again.
        """
        self._back = [s for s in self._back if s.heard <= s.back_at and s.member.server not in self._detached]
        window = self._settings.cold_window_ms
        due = (s for s in self._back if s.fit and now - s.last_sent >= window)
        # Many balancers may be told at one moment: the budget of all holds here too.
        return next((s for s in due if self._slow_start.admits(s, now)), None)

    def _look(self, count: int, test: Callable[[Server], bool] | None, request: Request) -> list[Server]:
        """The first ready servers that pass a test, of so many that a walk over them is short."""
        walked = self._fleet.ready[:count]
        if len(walked) > WALK and request.cls.repeat_group is RepeatGroup.ALL:
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
                self._actions += [face.Log(said)] if said else []
            if self._kinds.update(some, now):
                self._draw_anew(self._kinds.set_size)
            known = sorted(s.served / s.busy / s.size for s in some if s.served > 0.5 and s.busy > 0)
            if known:
                self._median = known[len(known) // 2]
                self._fleet.is_usual(self._median)
        return self._median or 1.0
