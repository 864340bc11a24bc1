"""The simulated network: listeners, connections and their transports, with a kernel's manners.

What it keeps to, as the balancer's promises rest on it:

- A write is taken as far as the window has room: bytes that the peer has not read fill it. The first byte
  that is not taken calls `pause_writing` before `write` returns; `resume_writing` when the rest is gone.
- Bytes arrive in order, after the latency; a reader gets what lies there, in pieces that the seed may cut.
- `write_eof` ends one direction only. `close` sends what is still unsent and then the end; with bytes unread
  it resets the connection instead, and a reset throws away what the other side has not read.
- A listener has a queue. A connection is up once it stands in the queue, whether or not it is accepted;
  with the queue full the attempt hears nothing and comes up when there is room.
- While two machines are cut off from each other nothing passes; what was sent arrives after the cut.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from passpost.host import Address, Host
from passpost.rehearsal.loop import Process, SimLoop

WINDOW = 128 * 1024  # bytes that a peer may leave unread before our writes are held up
READ_AT_ONCE = 64 * 1024
HIGH_WATER = 64 * 1024  # asyncio's own default


class _End:
    """One end of a connection: what its kernel holds, and the transport once there is a protocol."""

    def __init__(self, net: Network, process: Process, address: Address) -> None:
        self.net, self.process, self.address = net, process, address
        self.peer: _End = self
        self.inbox: deque[tuple[bytes, float]] = deque()  # arrived and unread, each with when it was sent
        self.inbox_size = 0
        self.in_flight = 0  # bytes of ours on their way or unread at the peer
        self.last_arrival = 0.0  # at the peer, of what we sent last: the order is kept
        self.got_eof, self.told_eof, self.reset = False, False, False
        self.ended = False  # our sending is over
        self.closed = False  # our process has let go of it
        self.transport: SimTransport | None = None
        self.sent_at = 0.0  # when the bytes that are being read were sent

    # ---- sending

    def room(self) -> int:
        """How many bytes would be taken now."""
        return max(self.net.window - self.in_flight, 0)

    def send(self, data: bytes) -> None:
        """Hand bytes to the network."""
        self.in_flight += len(data)
        sent = self.net.loop.time()
        self._pass(lambda: self.peer._arrived(data, sent))

    def send_eof(self) -> None:
        """End our direction behind what was sent."""
        if not self.ended:
            self.ended = True
            self._pass(self.peer._eof_arrived)

    def send_reset(self) -> None:
        """End both directions at once."""
        self.ended = True
        self._pass(self.peer._reset_arrived)

    def _pass(self, arrive: Callable[[], None]) -> None:
        net, now = self.net, self.net.loop.time()
        # Never at the same moment as what went before: the seed would be free to swap them.
        at = max(now + net.latency(self.process.name, self.peer.process.name), self.last_arrival + 1e-9)
        self.last_arrival = at

        def come() -> None:
            if net.is_cut(self.process.name, self.peer.process.name):
                net.held.append((self.process.name, self.peer.process.name, come))
            else:
                arrive()

        net.loop.run_as(net.loop.world, lambda: net.loop.call_at(at, come))

    # ---- arriving; the kernel works on while the process is paused

    def _arrived(self, data: bytes, sent: float) -> None:
        if self.closed or self.reset:
            self.send_reset()
            return
        self.inbox.append((data, sent))
        self.inbox_size += len(data)
        self._wake()

    def _eof_arrived(self) -> None:
        self.got_eof = True
        self._wake()

    def _reset_arrived(self) -> None:
        if not self.closed:
            self.reset = True
            self.inbox.clear()
            self.inbox_size = 0
            self._wake()

    def _wake(self) -> None:
        if self.transport is not None:
            self.transport._readable()

    def take(self, most: int) -> bytes:
        """Read what has arrived, and let the peer send on."""
        parts, size = [], 0
        while self.inbox and size < most:
            data, sent = self.inbox.popleft()
            if size == 0:
                self.sent_at = sent
            if len(data) > most - size:
                self.inbox.appendleft((data[most - size :], sent))
                data = data[: most - size]
            parts.append(data)
            size += len(data)
        self.inbox_size -= size
        self.peer._acknowledged(size)
        return b"".join(parts)

    def _acknowledged(self, size: int) -> None:
        full = self.room() == 0
        self.in_flight -= size
        if full and self.transport is not None and not self.closed:
            transport = self.transport
            self._pass_back(transport._flush)

    def _pass_back(self, call: Callable[[], None]) -> None:
        loop = self.net.loop
        delay = self.net.latency(self.peer.process.name, self.process.name)
        loop.run_as(self.process, lambda: loop.call_later(delay, call))

    def let_go(self, reset: bool = False) -> None:
        """The process closes its descriptor: an end if all was read, else a reset."""
        if self.closed:
            return
        self.closed = True
        self.net.forget(self)
        if self.reset:
            return
        if reset or self.inbox:
            self.send_reset()
        else:
            self.send_eof()
        self.inbox.clear()
        self.inbox_size = 0


class SimSocket:
    """An accepted connection before it has a transport."""

    def __init__(self, end: _End) -> None:
        self.end = end

    def setblocking(self, flag: bool) -> None:
        """Nothing blocks here."""

    def close(self) -> None:
        """Let go of it."""
        self.end.let_go()


class SimListener:
    """A listening socket; it satisfies `passpost.host.Listener`."""

    def __init__(self, net: Network, address: Address, backlog: int) -> None:
        self._net, self._address, self._backlog = net, address, backlog
        self.process = net.loop.current
        self._waiting: deque[_End] = deque()
        self._refused_room: deque[Callable[[], None]] = deque()  # attempts that the full queue does not hear
        self._callback: Callable[[], object] | None = None
        self._called = False
        self.open = True

    def fileno(self) -> int:
        """Something that is not -1 while it is open."""
        return 3 if self.open else -1

    def getsockname(self) -> Address:
        """Host and port."""
        return self._address

    def accept(self) -> tuple[SimSocket, Address]:
        """The connection that has waited longest."""
        if not self.open:
            raise OSError("the listener is closed")
        if not self._waiting:
            raise BlockingIOError
        end = self._waiting.popleft()
        if self._refused_room:
            self._refused_room.popleft()()
        return SimSocket(end), end.peer.address

    def close(self) -> None:
        """Listen no more: what waits unaccepted is reset."""
        if not self.open:
            return
        self.open = False
        self._callback = None
        del self._net.listeners[self._address]
        for end in self._waiting:
            end.let_go(reset=True)
        self._waiting.clear()

    def has_room(self) -> bool:
        """Whether the queue takes another connection."""
        return len(self._waiting) < self._backlog

    def when_room(self, knock: Callable[[], None]) -> None:
        """Knock again once there is room."""
        self._refused_room.append(knock)

    def come(self, end: _End) -> None:
        """A connection is up and waits to be accepted."""
        self._waiting.append(end)
        self._poll()

    def watch(self, callback: Callable[[], object] | None) -> bool:
        """Level-triggered: called again and again while something waits."""
        had, self._callback = self._callback is not None, callback
        self._poll()
        return had

    def _poll(self) -> None:
        if self._callback is not None and self._waiting and not self._called and self.process.alive:
            self._called = True
            loop = self._net.loop
            loop.run_as(self.process, lambda: loop.call_at(loop.time(), self._call))

    def _call(self) -> None:
        self._called = False
        if self._callback is not None and self._waiting:
            self._callback()
            self._poll()


class SimTransport(asyncio.Transport):
    """A connection as a protocol sees it."""

    def __init__(self, net: Network, end: _End, protocol: Any) -> None:
        super().__init__()
        self._net, self._loop, self.end = net, net.loop, end
        self._protocol = protocol
        self._buffer = bytearray()
        self._high, self._low = HIGH_WATER, HIGH_WATER // 4
        self._protocol_paused, self._reading, self._scheduled = False, True, False
        self._closing, self._lost, self._eof_due = False, False, False
        end.transport = self

    # ---- asyncio's side

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """`peername`, and `process`, the name of the process at the other end."""
        if name == "peername":
            return self.end.peer.address
        if name == "process":
            return self.end.peer.process.name
        return default

    def set_protocol(self, protocol: Any) -> None:
        """Another protocol from now on."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """The protocol."""
        return self._protocol

    def is_closing(self) -> bool:
        """Whether it is closed or about to be."""
        return self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As asyncio's."""
        self._high = HIGH_WATER if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Low and high."""
        return self._low, self._high

    def get_write_buffer_size(self) -> int:
        """Bytes that the network has not taken."""
        return len(self._buffer)

    def can_write_eof(self) -> bool:
        """TCP can."""
        return True

    def is_reading(self) -> bool:
        """Whether bytes are passed on."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Leave bytes where they are."""
        self._reading = False

    def resume_reading(self) -> None:
        """Pass bytes on again."""
        if not self._reading:
            self._reading = True
            self._readable()

    def write(self, data: Any) -> None:
        """Send, as far as there is room at once."""
        if self._lost or self._eof_due or not data or self.end.closed or not self.end.process.alive:
            return
        if self.end.reset:  # the write fails; the loop tells of it next
            self._readable()
            return
        self._buffer += data
        self._push()
        if len(self._buffer) > self._high and not self._protocol_paused:
            self._protocol_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """All in one go."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End our direction when all is sent."""
        if not self._eof_due and not self._closing:
            self._eof_due = True
            self._push()

    def close(self) -> None:
        """Send what is unsent, then end."""
        if self._closing or not self.end.process.alive:
            return
        self._closing = True
        if not self._buffer:
            self._loop.call_soon(self._end, None)

    def abort(self) -> None:
        """End at once, whatever is unsent."""
        if not self.end.process.alive:
            return  # what a dead process's garbage still does has no effect
        self._closing = True
        self._buffer.clear()
        if not self._lost:
            self._loop.call_soon(self._end, None)

    # ---- the network's side

    def _push(self) -> None:
        room = self.end.room()
        if room and self._buffer:
            data = bytes(self._buffer[:room])
            del self._buffer[:room]
            self.end.send(data)
        if self._eof_due and not self._buffer:
            self.end.send_eof()

    def _flush(self) -> None:
        """The peer has read: send on."""
        if self._lost:
            return
        self._push()
        if self._protocol_paused and len(self._buffer) <= self._low:
            self._protocol_paused = False
            self._protocol.resume_writing()
        if self._closing and not self._buffer:
            self._end(None)

    def _readable(self) -> None:
        """Have the loop look at it, in its process's turn; at this moment's other events the seed decides."""
        if not self._scheduled and not self._lost and self.end.process.alive:
            self._scheduled = True
            loop = self._loop
            loop.run_as(self.end.process, lambda: loop.call_at(loop.time(), self._read))

    def _read(self) -> None:
        self._scheduled = False
        end = self.end
        if self._lost:
            return
        if end.reset:
            self._closing = True
            self._buffer.clear()
            self._end(ConnectionResetError("the connection was reset"))
            return
        if self._closing or not self._reading:
            return
        if end.inbox:
            data = end.take(self._net.piece(end.inbox_size))
            self._protocol.data_received(data)
            if end.inbox or end.got_eof:
                self._readable()
        elif end.got_eof and not end.told_eof:
            end.told_eof = True
            if not self._protocol.eof_received():
                self.close()

    def is_told(self) -> bool:
        """Whether bytes, an end or a reset lie there unread."""
        return bool(self.end.inbox) or self.has_ended()

    def has_ended(self) -> bool:
        """Whether the other side sends no more."""
        return self.end.got_eof or self.end.reset

    def _end(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = True
        self.end.let_go()
        self._protocol.connection_lost(error)


class Network:
    """All connections of a night. `latency_s` and `jitter_s` are for one way."""

    def __init__(
        self, loop: SimLoop, seed: int, latency_s: float, jitter_s: float, split: float, window: int = WINDOW
    ) -> None:
        self.loop, self.window = loop, window
        self._latency, self._jitter, self._split = latency_s, jitter_s, split
        self._random = random.Random(f"network {seed}")
        self.listeners: dict[Address, SimListener] = {}
        self.extra: dict[str, float] = {}  # seconds more, one way, to and from a machine
        self._cuts: dict[frozenset[str], int] = {}
        self.held: list[tuple[str, str, Callable[[], None]]] = []
        self._ends: dict[Process, dict[_End, None]] = {}
        self._ports = 40_000
        loop.wire = self

    # ---- faults

    def cut(self, a: str, b: str) -> None:
        """Nothing passes between two machines; cuts may overlap."""
        pair = frozenset((a, b))
        self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def heal(self, a: str, b: str) -> None:
        """One cut is over; after the last of them what was sent arrives."""
        pair = frozenset((a, b))
        self._cuts[pair] = self._cuts.get(pair, 1) - 1
        if self._cuts[pair] <= 0:
            del self._cuts[pair]
            held, self.held = self.held, []
            for src, dst, come in held:
                if frozenset((src, dst)) == pair:
                    self.loop.run_as(self.loop.world, lambda come=come: self.loop.call_soon(come))  # type: ignore[misc]
                else:
                    self.held.append((src, dst, come))

    def is_cut(self, a: str, b: str) -> bool:
        """Whether nothing passes between them."""
        return bool(self._cuts) and frozenset((a, b)) in self._cuts

    def vanish(self, process: Process) -> None:
        """A process has died: its listeners are gone and its connections reset."""
        for listener in [x for x in self.listeners.values() if x.process is process]:
            listener.close()
        for end in self._ends.pop(process, {}):
            end.let_go(reset=True)

    # ---- what ends and the loop ask

    def forget(self, end: _End) -> None:
        """Its process has let go of it: a long night must not grow by what is over."""
        self._ends.get(end.process, {}).pop(end, None)

    def latency(self, src: str, dst: str) -> float:
        """Seconds from one machine to the other."""
        jitter = self._jitter * self._random.random()
        return self._latency + jitter + self.extra.get(src, 0.0) + self.extra.get(dst, 0.0)

    def piece(self, size: int) -> int:
        """How much of what lies there a read gets."""
        if size > 1 and self._split and self._random.random() < self._split:
            return self._random.randint(1, size)
        return READ_AT_ONCE

    def listen(self, address: Address, backlog: int) -> SimListener:
        """A listener of the process that asks; port 0 takes a free one."""
        host, port = address
        while port == 0 or (host, port) in self.listeners:
            if port:
                raise OSError(f"{host}:{port} is taken")
            self._ports += 1
            if (host, self._ports) not in self.listeners:
                port = self._ports
        listener = self.listeners[(host, port)] = SimListener(self, (host, port), backlog)
        return listener

    def watch(self, listener: SimListener, callback: Callable[[], object] | None) -> bool:
        """See `SimListener.watch`."""
        return listener.watch(callback)

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> tuple[SimTransport, Any]:
        """A connection that is up; refused at once where nobody listens."""
        loop, mine = self.loop, self.loop.current
        future: asyncio.Future[_End] = loop.create_future()
        target = self.listeners.get((host, port))
        there = target.process.name if target is not None else mine.name
        self._ports += 1
        local = ("127.0.0.1", self._ports)

        def knock() -> None:
            if self.is_cut(mine.name, there):
                self.held.append((mine.name, there, knock))
                return
            listener = self.listeners.get((host, port))
            if future.done() or not mine.alive:
                return
            if listener is None:
                answer(ConnectionRefusedError(f"nobody listens on {host}:{port}"))
            elif not listener.has_room():
                listener.when_room(knock)
            else:
                far = _End(self, listener.process, (host, port))
                near = _End(self, mine, local)
                near.peer, far.peer = far, near
                for end in (near, far):
                    self._ends.setdefault(end.process, {})[end] = None
                listener.come(far)
                answer(near)

        def answer(result: _End | Exception) -> None:
            def come() -> None:
                if future.done():
                    if isinstance(result, _End):
                        result.let_go()
                elif isinstance(result, _End):
                    future.set_result(result)
                else:
                    future.set_exception(result)

            delay = self.latency(there, mine.name)
            loop.run_as(mine, lambda: loop.call_later(delay, come))

        # The kernel's work goes on while its process is paused: it is the world's.
        loop.run_as(loop.world, lambda: loop.call_later(self.latency(mine.name, there), knock))
        return await self._equip(factory, await future)

    async def adopt(self, factory: Callable[[], Any], socket: SimSocket) -> tuple[SimTransport, Any]:
        """A transport for an accepted connection."""
        return await self._equip(factory, socket.end)

    async def _equip(self, factory: Callable[[], Any], end: _End) -> tuple[SimTransport, Any]:
        protocol = factory()
        transport = SimTransport(self, end, protocol)
        protocol.connection_made(transport)
        transport._readable()
        return transport, protocol


class SimHost(Host):
    """`passpost.host.Host` for the processes of a night."""

    def __init__(self, net: Network, process: Process | None = None, unix_at_start: float = 1.8e9) -> None:
        loop = net.loop
        self._net = net
        self.monotonic = loop.time

        def unix() -> float:
            return unix_at_start + loop.time() + (process or loop.current).wall_offset

        self.unix = unix

    def listen(self, address: Address, backlog: int) -> SimListener:
        """A listener on the simulated network."""
        return self._net.listen(address, backlog)

    def unread_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Whether something lies there unread."""
        assert isinstance(transport, SimTransport)
        return lambda timeout: transport.is_told()

    def end_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """Whether the other side has ended, whatever lies there before that."""
        assert isinstance(transport, SimTransport)
        return lambda timeout: transport.has_ended()

    def was_reset(self, transport: asyncio.BaseTransport) -> bool:
        """Never: here a reset is told as one, also where reading was paused."""
        return False
