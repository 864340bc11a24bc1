"""The list of upstreams: reads it, watches it, and tells of what changed."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from passpost.host import HOST
from passpost.http1 import Address, Answer, AnswerReader, BadAnswerError
from passpost.listing import Listing, parse_listing
from umberworks.interface import ListKind, ListUpdate, Member, Readiness

log = logging.getLogger(__name__)

POLL_S = 0.05  # a pushed list is looked at this often: its agent is on this machine and answers at no cost
WATCH_MS = 10_000  # how long a watch may wait: a silent discovery is noticed this late, plus the time-out
# Until when an answer is worth waiting for. What it brings counts as told 6 s after the call at the latest, and where
# the call may wait 2 s after that wait (PROTOCOL, "Figures"). To give up sooner may be to be told unheard: of many that
# ask at once discovery answers the last just as its own patience ends, and an answer that is on its way counts as told.
ANSWER_S, AFTER_WAIT_S = 6.0, 2.0
# So long after the moment when its answer was due another call is made beside one that is still out: it may have fallen
# silent, which nothing else tells, and by the time when it is given up what it missed counts as told already.
OVERDUE_S = 0.5
SPARE_S = 0.5  # more than discovery's own bound on a call that waits its turn, if `ask_within` leaves little
CONNECT_S = 2.0  # for the connection, and for an agent on this machine
MAX_LIST = 4 * 1024 * 1024
LONG_LIST = 16 * 1024  # bytes of a list from which it is read in slices, some 100 members

MANY = 100  # members, of the list that comes or the one that stands, from which it is applied in slices

_PATH = "/registry/instances"


class Line:
    """A connection to discovery, kept for call after call."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str, within: float, sent: Callable[[], None]) -> Answer:
        """The answer to one call, so many seconds after it went out; `sent` is told when that is."""
        if self._stream is None or self._stream[0].at_eof():
            self.hang_up()
            async with asyncio.timeout(CONNECT_S):
                self._stream = await asyncio.open_connection(*self.address)
        sent()
        async with asyncio.timeout(within):
            return await self._ask(*self._stream, target)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str) -> Answer:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n".encode())
        parser = AnswerReader(MAX_LIST)
        while (data := await reader.read(65536)) != b"":
            if (answer := parser.feed(data)) is not None:
                if not answer.reusable:
                    self.hang_up()
                return answer
        if (answer := parser.ended()) is not None:  # close-delimited; one that a reset cut short is no JSON
            self.hang_up()
            return answer
        raise EOFError("the connection ended before the answer did")

    def hang_up(self) -> None:
        """End the connection, if there is one."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


Tell = Callable[[ListUpdate, dict[str, Address]], None]


class _Place:
    """Where the list is followed, and the version of it that is held from there (None: the whole list is wanted)."""

    def __init__(self, address: Address, revision: int | None, is_second: bool = False) -> None:
        self.address, self.revision = address, revision
        self.is_second = is_second  # followed beside a call that is overdue
        # Another call or place has answered since: it is asked no more, and what its last call brings is still heard.
        self.retired = False
        self.task: asyncio.Task[None] | None = None

    def is_followed(self) -> bool:
        """Whether a call is out, or the next one is about to be."""
        return self.task is not None and not self.task.done()

    def leave(self) -> None:
        """Ask no more there."""
        if self.task is not None:
            self.task.cancel()


class Discovery:
    """Keeps the list as discovery tells it; `subscribe` asks for it, once for each time the module does.

    A list that is pushed lies with an agent on this machine, which answers at once: nobody asks for it, and what
    lies there counts as told, so that it is looked at again and again.
    """

    def __init__(
        self,
        address: Address,
        known: Listing | None,
        pushed: bool = False,
        ask_within: float = 10.0,
        monotonic: Callable[[], float] = HOST.monotonic,
    ) -> None:
        """`ask_within`: seconds after which a balancer that neither watched nor asked counts as told."""
        self._pushed, self._monotonic = pushed, monotonic
        # Another call is due within `ask_within` of this one, so that the answer has to come well before that.
        self._patience = max(min(ANSWER_S, 0.6 * ask_within), AFTER_WAIT_S + SPARE_S)
        self._counted = monotonic()  # when we last watched or asked in a way that surely counts
        self._stopped = False
        self._silent = False  # the agent has not answered lately; said once
        self._known = known or Listing(0, False, (), {})
        self._place = _Place(address, known.revision if known is not None else None)
        self._old: _Place | None = None  # followed on until the new place, or the call beside, has answered
        self._retired: set[_Place] = set()
        self._applying = asyncio.Lock()  # two places may answer at once, and a long list takes some turns
        self._addresses: dict[str, Address] = {}
        self.members: dict[str, Member] = {}  # the list as it stands
        self._tell: Tell = lambda update, addresses: None
        self._tell_part: Tell | None = None

    def start(self, tell: Tell, tell_part: Tell | None = None) -> None:
        """Tell the saved list; what comes later goes to the same place, with the addresses of all.

        A slice of a long list goes to `tell_part`, if there is one, with the addresses of its own members only.
        """
        self._tell, self._tell_part = tell, tell_part
        self._apply(self._known, ListKind.SAVED)
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Follow the list from now on, until a call fails; the failure is told."""
        place = self._place
        if not place.is_followed():
            place.task = asyncio.get_running_loop().create_task(self._follow(place))

    def move(self, address: Address) -> bool:
        """Follow the list at another address, and say whether it is another; what is known stays meanwhile.

        A list that is asked for is asked for there once `subscribe` is called, and until the answer comes a watch at
        the old address goes on: of hundreds that move together many wait, and what was written to them counts as told.
        """
        if address == self._place.address:
            return False
        if self._place.is_followed():  # else it was never asked, and the one before it goes on
            self._retire_old()
            self._old = self._place
        self._place = _Place(address, None)  # it may count its versions anew
        self._stopped, self._silent = False, False
        if self._pushed:
            self._retire_old()
            self.subscribe()
        return True

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True
        self._retire_old()
        for place in (self._place, *self._retired):
            place.leave()

    def _counts(self) -> None:
        self._counted = self._monotonic()

    def _overdue(self, wait_ms: int) -> float:
        """How long after a call an answer is overdue, in seconds; a busy discovery works off a call in AFTER_WAIT_S."""
        waits = wait_ms / 1000 if wait_ms or self._pushed else AFTER_WAIT_S
        return waits + OVERDUE_S

    def _ask_beside(self, place: _Place, wait_ms: int) -> None:
        """A call is overdue and may have fallen silent: follow the same place by another, and hear both.

        Of calls for the whole list, which cost discovery most, there is one beside the first: the module paces more.
        """
        if self._stopped or place is not self._place:
            return
        if wait_ms or self._pushed or not place.is_second:
            self._retire_old()
            self._old, self._place = place, _Place(place.address, place.revision, is_second=True)
            self.subscribe()

    def _retire_old(self) -> None:
        """Call no more at the place before; a call that is out there stays, as what it is answered counts as told."""
        old, self._old = self._old, None
        if old is None:
            return
        if self._pushed and old.address != self._place.address:
            old.leave()
        elif old.is_followed():
            old.retired = True
            self._retired.add(old)

    async def _follow(self, place: _Place) -> None:
        line, loop = Line(place.address), asyncio.get_running_loop()
        wait, heard = 0, self._pushed
        try:
            while True:
                if place.revision is not None and not self._pushed:
                    wait = WATCH_MS  # the first call too: two cost discovery two turns, and either may be refused
                overdue = loop.call_later(self._overdue(wait), self._ask_beside, place, wait)
                try:
                    listing = await self._call(line, place.revision, wait)
                finally:
                    overdue.cancel()
                async with self._applying:
                    beside = place is not self._place and place.address == self._place.address
                    if place.retired:
                        if not beside or listing.revision > (self._place.revision or 0):
                            self._take_away(listing)
                        break
                    if place is self._place:
                        self._retire_old()
                    if listing.complete or listing.members or not heard:
                        await self._take(listing)  # the first in any case: the list is back
                        heard = True
                place.revision, self._silent = listing.revision, False
                if beside:
                    break  # late, and no longer the call that is followed
                if self._pushed:
                    await asyncio.sleep(POLL_S)
        except (OSError, TimeoutError, EOFError, BadAnswerError) as error:
            # An agent is asked many times a second: one line until it is back. Of a place that we left there is none.
            if not (self._silent or (place.retired and place.address != self._place.address)):
                log.warning("discovery: %s: %s", type(error).__name__, error)
            self._silent = self._pushed
        except Exception as error:
            # A bad answer must not empty or half change the list: the old one stands, asked for whole next.
            log.warning("discovery: bad answer: %s: %s", type(error).__name__, error)
            place.revision = None
        finally:
            line.hang_up()
            self._retired.discard(place)
        place.task = None
        if place is not self._place:
            pass  # its successor is asked already, or about to be
        elif self._pushed:
            loop.call_later(POLL_S, self._again)
        else:
            unheard = (self._monotonic() - self._counted) * 1000
            self._tell(ListUpdate(ListKind.FAILED, since_contact_ms=unheard), self._addresses)

    def _again(self) -> None:
        """Look at the agent again, unless it was stopped or moved meanwhile."""
        if not self._stopped:
            self.subscribe()

    async def _take(self, listing: Listing) -> None:
        """Take over an answer."""
        if self._tell_part is not None and max(len(listing.members), len(self.members)) >= MANY:
            await self._apply_in_slices(listing, self._tell_part)
        else:
            self._apply(listing, ListKind.WHOLE if listing.complete else ListKind.CHANGES)

    def _take_away(self, listing: Listing) -> None:
        """Of a place that is asked no more: servers that leave; the new place knows better what is there."""
        away = []
        for member in listing.members:
            known = self.members.get(member.server)
            if known is None or member.readiness is Readiness.READY or known.readiness is not Readiness.READY:
                continue
            if member.up_since_ms >= known.up_since_ms:  # else it has started again since
                away.append(member)
        if away:
            addresses = {
                m.server: self._addresses[m.server] for m in away if m.readiness is not Readiness.GONE
            }
            self._apply(Listing(listing.revision, False, tuple(away), addresses), ListKind.CHANGES)

    def _apply(self, listing: Listing, kind: ListKind) -> None:
        kept = {} if listing.complete else self._addresses
        left = {m.server for m in listing.members if m.readiness is Readiness.GONE}
        self._addresses = {k: a for k, a in (kept | listing.addresses).items() if k not in left}
        kept_members = {} if listing.complete else self.members
        told = {m.server: m for m in listing.members}
        self.members = {k: m for k, m in (kept_members | told).items() if k not in left}
        self._tell(ListUpdate(kind, listing.members), self._addresses)

    async def _apply_in_slices(self, listing: Listing, tell: Tell) -> None:
        """Apply a long list as what it changes; whoever asks meanwhile has the part that is applied."""
        from passpost import lists

        whole, told = listing.complete, False
        slices = lists.changes(self.members, self._addresses, listing) if whole else lists.cut(listing)
        for members, addresses in slices:
            for member in members:
                if member.readiness is Readiness.GONE:
                    self.members.pop(member.server, None)
                    self._addresses.pop(member.server, None)
                else:
                    self.members[member.server] = member
                    self._addresses[member.server] = addresses[member.server]
            if members or not told:
                tell(ListUpdate(ListKind.CHANGES, members), addresses)
                told = True
            await asyncio.sleep(0)

    async def _read(self, body: bytes) -> Listing:
        """The answer's listing; a long one in slices."""
        if len(body) < LONG_LIST:
            return parse_listing(json.loads(body))
        from passpost import lists

        reading = lists.Reading()
        for _ in lists.read(body.decode(), reading):
            await asyncio.sleep(0)
        assert reading.listing is not None
        return reading.listing

    async def _call(self, line: Line, revision: int | None, wait_ms: int) -> Listing:
        target = _PATH if revision is None else f"{_PATH}?after={revision}&wait_ms={wait_ms}"
        within = wait_ms / 1000 + AFTER_WAIT_S if wait_ms else CONNECT_S if self._pushed else self._patience
        try:
            answer = await line.get(target, within, self._counts)
        except (ConnectionResetError, EOFError):
            self._counts()  # a call that is cut off has failed, and was made; a watch went on until now
            raise
        self._counts()
        if answer.status != 200:
            raise BadAnswerError(f"status {answer.status}")
        listing = await self._read(answer.body)
        if not listing.complete and (revision is None or listing.revision < revision):
            raise ValueError(f"changes up to {listing.revision} do not follow on {revision}")
        return listing
