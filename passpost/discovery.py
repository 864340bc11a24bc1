"""Client of the discovery service: fetches the server list, watches it and reports its changes.

Discovery counts a change as announced to a balancer after a bounded time, even if the balancer has not received it.
The time-outs here are chosen so that no answer that may carry such a change is abandoned early.
"""

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

AGENT_POLL_S = 0.05  # interval of polling a pushed list; cheap, as its agent runs on this machine
WATCH_MS = 10_000  # how long a watch may wait; a silent discovery is noticed after this and the time-out
# How long to wait for an answer. The changes in it count as announced 6 s after the call at the latest, and those of a
# watch 2 s after the end of its wait (PROTOCOL, "Figures"). Giving up earlier can lose an announced change: if many
# balancers call at once, discovery answers the last of them just before its own limit, and an answer in transit counts.
ANSWER_TIMEOUT_S, AFTER_WAIT_S = 6.0, 2.0
# How long after its answer was due a pending call gets a parallel one. Its connection may have fallen silent, which
# nothing else reveals, and by the time the call is given up, whatever it missed already counts as announced.
OVERDUE_S = 0.5
# A time-out exceeds discovery's own limit on a queued call by at least this, even if `ask_within` leaves little time.
QUEUE_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 2.0  # for connecting, and for an answer of the agent on this machine
MAX_LIST_BYTES = 4 * 1024 * 1024
SLICED_LIST_BYTES = 16 * 1024  # a list of this size or more, about 100 members, is parsed in slices

SLICED_LIST_MEMBERS = 100  # a new or current list of this many members or more is applied in slices

_PATH = "/registry/instances"


class DiscoveryConnection:
    """A connection to discovery, reused for successive calls."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str, timeout_s: float, on_sent: Callable[[], None]) -> Answer:
        """Make one call and return its answer, or raise TimeoutError `timeout_s` seconds after it was sent.

        `on_sent` is called when the request is sent.
        """
        if self._stream is None or self._stream[0].at_eof():
            self.disconnect()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._stream = await asyncio.open_connection(*self.address)
        on_sent()
        async with asyncio.timeout(timeout_s):
            return await self._exchange(*self._stream, target)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str
    ) -> Answer:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n".encode())
        parser = AnswerReader(MAX_LIST_BYTES)
        while (data := await reader.read(65536)) != b"":
            if (answer := parser.feed(data)) is not None:
                if not answer.reusable:
                    self.disconnect()
                return answer
        if (answer := parser.completed_by_close()) is not None:
            # The close delimits it; if it was a reset, the truncated body is not valid JSON.
            self.disconnect()
            return answer
        raise EOFError("discovery closed the connection before the end of its answer")

    def disconnect(self) -> None:
        """Close the connection if it is open."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


OnUpdate = Callable[[ListUpdate, dict[str, Address]], None]


class _Subscription:
    """An address at which the list is followed, and its last revision from there (None: request the whole list)."""

    def __init__(self, address: Address, revision: int | None, is_parallel: bool = False) -> None:
        self.address, self.revision = address, revision
        self.is_parallel = is_parallel  # made in parallel with an overdue call
        # Another subscription has answered since: no further calls are made, but the pending answer is still used.
        self.retired = False
        self.task: asyncio.Task[None] | None = None

    def is_active(self) -> bool:
        """Whether a call is pending or about to be made."""
        return self.task is not None and not self.task.done()

    def abort(self) -> None:
        """Abort the pending call and make no further ones."""
        if self.task is not None:
            self.task.cancel()


class Discovery:
    """Keeps the server list up to date; `subscribe` is called once for each `Subscribe` action of the module.

    A pushed list is held by an agent on this machine, which answers at once. The module doesn't subscribe to it, and
    whatever the agent holds counts as announced, so it is polled continuously.
    """

    def __init__(
        self,
        address: Address,
        known: Listing | None,
        pushed: bool = False,
        ask_within: float = 10.0,
        monotonic: Callable[[], float] = HOST.monotonic,
    ) -> None:
        """`ask_within`: seconds without a watch or a call after which all changes count as announced to a balancer."""
        self._pushed, self._monotonic = pushed, monotonic
        # The next call is due within `ask_within` of this one, so this one has to be given up well before.
        self._answer_timeout_s = max(min(ANSWER_TIMEOUT_S, 0.6 * ask_within), AFTER_WAIT_S + QUEUE_MARGIN_S)
        self._last_contact = monotonic()  # when a watch or call last counted for certain
        self._stopped = False
        self._failure_logged = False  # the agent's failure is logged already
        self._saved = known or Listing(0, False, (), {})
        self._current = _Subscription(address, known.revision if known is not None else None)
        self._previous: _Subscription | None = None  # followed until the current one has answered
        self._retired: set[_Subscription] = set()
        # Two subscriptions may answer at once, and applying a long list yields to the event loop.
        self._apply_lock = asyncio.Lock()
        self._addresses: dict[str, Address] = {}
        self.members: dict[str, Member] = {}  # the current list
        self._on_update: OnUpdate = lambda update, addresses: None
        self._on_slice: OnUpdate | None = None

    def start(self, on_update: OnUpdate, on_slice: OnUpdate | None = None) -> None:
        """Report the saved list to `on_update`, and later updates too, with the addresses of all members.

        Slices of a long list go to `on_slice`, if given, with the addresses of the slice's members only.
        """
        self._on_update, self._on_slice = on_update, on_slice
        self._apply(self._saved, ListKind.SAVED)
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Follow the list until a call fails, which is reported as an update of kind FAILED."""
        subscription = self._current
        if not subscription.is_active():
            subscription.task = asyncio.get_running_loop().create_task(self._follow(subscription))

    def move(self, address: Address) -> bool:
        """Follow the list at `address` and return whether the address has changed; the current list is kept.

        In ask mode the list is requested there when `subscribe` is called. Until the answer arrives, a watch at the
        former address continues: when hundreds of balancers move at once, many of them wait for their turn, and what
        the former address sends them meanwhile counts as announced.
        """
        if address == self._current.address:
            return False
        if self._current.is_active():  # otherwise it was never called, and the previous one continues
            self._retire_previous()
            self._previous = self._current
        self._current = _Subscription(address, None)  # the new address may number its revisions anew
        self._stopped, self._failure_logged = False, False
        if self._pushed:
            self._retire_previous()
            self.subscribe()
        return True

    def stop(self) -> None:
        """Stop following the list."""
        self._stopped = True
        self._retire_previous()
        for subscription in (self._current, *self._retired):
            subscription.abort()

    def _note_contact(self) -> None:
        self._last_contact = self._monotonic()

    def _overdue_after_s(self, wait_ms: int) -> float:
        """Seconds after a call when its answer is overdue; a busy discovery handles a call within AFTER_WAIT_S."""
        expected_s = wait_ms / 1000 if wait_ms or self._pushed else AFTER_WAIT_S
        return expected_s + OVERDUE_S

    def _start_parallel_call(self, subscription: _Subscription, wait_ms: int) -> None:
        """Make a second call in parallel with an overdue one, whose connection may be silent; both are awaited.

        Calls for the whole list cost discovery the most, so only one of them is made in parallel with the first; the
        module decides when to make further ones.
        """
        if self._stopped or subscription is not self._current:
            return
        if wait_ms or self._pushed or not subscription.is_parallel:
            self._retire_previous()
            self._previous, self._current = (
                subscription,
                _Subscription(subscription.address, subscription.revision, is_parallel=True),
            )
            self.subscribe()

    def _retire_previous(self) -> None:
        """Make no more calls for the previous subscription; a pending one goes on: its answer counts as announced."""
        previous, self._previous = self._previous, None
        if previous is None:
            return
        if self._pushed and previous.address != self._current.address:
            previous.abort()
        elif previous.is_active():
            previous.retired = True
            self._retired.add(previous)

    async def _follow(self, subscription: _Subscription) -> None:
        connection, loop = DiscoveryConnection(subscription.address), asyncio.get_running_loop()
        wait_ms, has_answered = 0, self._pushed
        try:
            while True:
                if subscription.revision is not None and not self._pushed:
                    # The first call is a watch too: two calls would take two turns at discovery, and either may fail.
                    wait_ms = WATCH_MS
                overdue = loop.call_later(
                    self._overdue_after_s(wait_ms), self._start_parallel_call, subscription, wait_ms
                )
                try:
                    listing = await self._call(connection, subscription.revision, wait_ms)
                finally:
                    overdue.cancel()
                async with self._apply_lock:
                    superseded = (
                        subscription is not self._current and subscription.address == self._current.address
                    )
                    if subscription.retired:
                        if not superseded or listing.revision > (self._current.revision or 0):
                            self._apply_departures(listing)
                        break
                    if subscription is self._current:
                        self._retire_previous()
                    if listing.complete or listing.members or not has_answered:
                        # Even an empty first answer is applied: it says that the list is available again.
                        await self._apply_answer(listing)
                        has_answered = True
                subscription.revision, self._failure_logged = listing.revision, False
                if superseded:
                    break  # the parallel call has taken over
                if self._pushed:
                    await asyncio.sleep(AGENT_POLL_S)
        except (OSError, TimeoutError, EOFError, BadAnswerError) as error:
            # An agent is polled many times a second, so its failure is logged once. A failure at an address that is no
            # longer used is not logged.
            if not (
                self._failure_logged
                or (subscription.retired and subscription.address != self._current.address)
            ):
                log.warning("discovery: %s: %s", type(error).__name__, error)
            self._failure_logged = self._pushed
        except Exception as error:
            # A bad answer must not clear or partly change the list: keep it, and request the whole list next.
            log.warning("discovery: bad answer: %s: %s", type(error).__name__, error)
            subscription.revision = None
        finally:
            connection.disconnect()
            self._retired.discard(subscription)
        subscription.task = None
        if subscription is not self._current:
            pass  # the current subscription is active or about to be
        elif self._pushed:
            loop.call_later(AGENT_POLL_S, self._poll_again)
        else:
            contact_age_ms = (self._monotonic() - self._last_contact) * 1000
            self._on_update(ListUpdate(ListKind.FAILED, since_contact_ms=contact_age_ms), self._addresses)

    def _poll_again(self) -> None:
        """Poll the agent again, unless it was stopped or moved meanwhile."""
        if not self._stopped:
            self.subscribe()

    async def _apply_answer(self, listing: Listing) -> None:
        """Apply an answer to the list."""
        if self._on_slice is not None and max(len(listing.members), len(self.members)) >= SLICED_LIST_MEMBERS:
            await self._apply_in_slices(listing, self._on_slice)
        else:
            self._apply(listing, ListKind.WHOLE if listing.complete else ListKind.CHANGES)

    def _apply_departures(self, listing: Listing) -> None:
        """Apply only the departures that a retired subscription reports; for the rest the current one is newer."""
        departing = []
        for member in listing.members:
            known = self.members.get(member.server)
            if known is None or member.readiness is Readiness.READY or known.readiness is not Readiness.READY:
                continue
            if member.up_since_ms >= known.up_since_ms:  # otherwise it has restarted since
                departing.append(member)
        if departing:
            addresses = {
                m.server: self._addresses[m.server] for m in departing if m.readiness is not Readiness.GONE
            }
            self._apply(Listing(listing.revision, False, tuple(departing), addresses), ListKind.CHANGES)

    def _apply(self, listing: Listing, kind: ListKind) -> None:
        kept = {} if listing.complete else self._addresses
        gone = {m.server for m in listing.members if m.readiness is Readiness.GONE}
        self._addresses = {k: a for k, a in (kept | listing.addresses).items() if k not in gone}
        kept_members = {} if listing.complete else self.members
        updated = {m.server: m for m in listing.members}
        self.members = {k: m for k, m in (kept_members | updated).items() if k not in gone}
        self._on_update(ListUpdate(kind, listing.members), self._addresses)

    async def _apply_in_slices(self, listing: Listing, on_slice: OnUpdate) -> None:
        """Apply the changes of a long list in slices; `members` shows the applied part in between."""
        from passpost import long_lists

        whole, reported = listing.complete, False
        slices = (
            long_lists.changes(self.members, self._addresses, listing) if whole else long_lists.split(listing)
        )
        for members, addresses in slices:
            for member in members:
                if member.readiness is Readiness.GONE:
                    self.members.pop(member.server, None)
                    self._addresses.pop(member.server, None)
                else:
                    self.members[member.server] = member
                    self._addresses[member.server] = addresses[member.server]
            if members or not reported:
                on_slice(ListUpdate(ListKind.CHANGES, members), addresses)
                reported = True
            await asyncio.sleep(0)

    async def _read(self, body: bytes) -> Listing:
        """Parse the body of an answer; a long one in slices, so that other tasks can run."""
        if len(body) < SLICED_LIST_BYTES:
            return parse_listing(json.loads(body))
        from passpost import long_lists

        partial = long_lists.PartialListing()
        for _ in long_lists.read(body.decode(), partial):
            await asyncio.sleep(0)
        assert partial.listing is not None
        return partial.listing

    async def _call(self, connection: DiscoveryConnection, revision: int | None, wait_ms: int) -> Listing:
        target = _PATH if revision is None else f"{_PATH}?after={revision}&wait_ms={wait_ms}"
        timeout_s = (
            wait_ms / 1000 + AFTER_WAIT_S
            if wait_ms
            else CONNECT_TIMEOUT_S
            if self._pushed
            else self._answer_timeout_s
        )
        try:
            answer = await connection.get(target, timeout_s, self._note_contact)
        except (ConnectionResetError, EOFError):
            self._note_contact()  # a call that was cut off did reach discovery, and a watch lasted until now
            raise
        self._note_contact()
        if answer.status != 200:
            raise BadAnswerError(f"status {answer.status}")
        listing = await self._read(answer.body)
        if not listing.complete and (revision is None or listing.revision < revision):
            raise ValueError(f"received changes up to revision {listing.revision} after revision {revision}")
        return listing
