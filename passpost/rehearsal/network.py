"""The simulated network: listeners, connections and transports that behave like a kernel's TCP sockets.

The balancer's guarantees depend on the following behaviour:

- A write is accepted as far as the window has room; bytes that the peer has not read fill it. Once the
  bytes that were not accepted exceed the transport's high-water mark, `write` calls `pause_writing` before it
  returns (with a mark of 0, at the first such byte); `resume_writing` follows at the low-water mark.
- Bytes arrive in order, after the latency. A read returns what has arrived; the seed may split it into
  pieces.
- `write_eof` closes one direction only. `close` sends the buffered bytes and then EOF; if received bytes are
  unread, it resets the connection instead. A reset discards the bytes that the other side has not read.
- A listener has an accept queue. A connection is established once it is in the queue, whether or not it has
  been accepted. While the queue is full, a connection attempt gets no answer; it succeeds when there is room.
- Nothing passes between partitioned machines; data sent during a partition arrives after it.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from passpost.host import Address, Host
from passpost.rehearsal.loop import Process, SimLoop

WINDOW_BYTES = 128 * 1024  # unread bytes at the peer that block further sending
MAX_READ_BYTES = 64 * 1024
HIGH_WATER_BYTES = 64 * 1024  # asyncio's default

IDLE_BALANCER_BYTES = 26 * 1024 * 1024


class _Endpoint:
    """One end of a connection: the state in the kernel, and the transport once a protocol is attached."""

    def __init__(self, network: Network, process: Process, address: Address) -> None:
        self.network, self.process, self.address = network, process, address
        self.peer: _Endpoint = self
        self.receive_buffer: deque[tuple[bytes, float]] = deque()  # unread data with its send time
        self.receive_buffer_bytes = 0
        self.in_flight_bytes = 0  # bytes sent from here that are in transit or unread at the peer
        self.last_arrival = 0.0  # arrival time at the peer of the latest send; keeps the order
        self.peer_eof, self.eof_delivered, self.reset = False, False, False
        self.sending_ended = False  # EOF or a reset has been sent from here
        self.closed = False  # the process has closed its descriptor
        self.transport: SimTransport | None = None
        self.sent_at = 0.0  # send time of the first byte of the latest read

    # ---- sending

    def room(self) -> int:
        """Number of bytes that can be sent now."""
        return max(self.network.window_bytes - self.in_flight_bytes, 0)

    def send(self, data: bytes) -> None:
        """Send bytes to the peer."""
        self.in_flight_bytes += len(data)
        send_time = self.network.loop.time()
        self._send_over_network(lambda: self.peer._arrived(data, send_time))

    def send_eof(self) -> None:
        """Close this direction after the data sent so far."""
        if not self.sending_ended:
            self.sending_ended = True
            self._send_over_network(self.peer._eof_arrived)

    def send_reset(self) -> None:
        """Reset the connection, which ends both directions."""
        self.sending_ended = True
        self._send_over_network(self.peer._reset_arrived)

    def _send_over_network(self, on_arrival: Callable[[], None]) -> None:
        network, now = self.network, self.network.loop.time()
        # Always later than the previous arrival: the loop orders simultaneous events by the seed.
        at = max(
            now + network.draw_latency_s(self.process.name, self.peer.process.name), self.last_arrival + 1e-9
        )
        self.last_arrival = at

        def deliver() -> None:
            if network.is_partitioned(self.process.name, self.peer.process.name):
                network.undelivered.append((self.process.name, self.peer.process.name, deliver))
            else:
                on_arrival()

        network.loop.run_as(network.loop.world, lambda: network.loop.call_at(at, deliver))

    # ---- receiving; the kernel goes on receiving while the process is paused

    def _arrived(self, data: bytes, send_time: float) -> None:
        if self.closed or self.reset:
            self.send_reset()
            return
        self.receive_buffer.append((data, send_time))
        self.receive_buffer_bytes += len(data)
        self._notify_transport()

    def _eof_arrived(self) -> None:
        self.peer_eof = True
        self._notify_transport()

    def _reset_arrived(self) -> None:
        if not self.closed:
            self.reset = True
            self.receive_buffer.clear()
            self.receive_buffer_bytes = 0
            self._notify_transport()

    def _notify_transport(self) -> None:
        if self.transport is not None:
            self.transport._schedule_read()

    def consume(self, max_bytes: int) -> bytes:
        """Read up to `max_bytes` of the received data, which frees the peer's window."""
        parts, size = [], 0
        while self.receive_buffer and size < max_bytes:
            data, send_time = self.receive_buffer.popleft()
            if size == 0:
                self.sent_at = send_time
            if len(data) > max_bytes - size:
                self.receive_buffer.appendleft((data[max_bytes - size :], send_time))
                data = data[: max_bytes - size]
            parts.append(data)
            size += len(data)
        self.receive_buffer_bytes -= size
        self.peer._peer_consumed(size)
        return b"".join(parts)

    def _peer_consumed(self, size: int) -> None:
        full = self.room() == 0
        self.in_flight_bytes -= size
        if full and self.transport is not None and not self.closed:
            transport = self.transport
            self._call_after_latency(transport._resume_sending)

    def _call_after_latency(self, call: Callable[[], None]) -> None:
        loop = self.network.loop
        delay = self.network.draw_latency_s(self.peer.process.name, self.process.name)
        loop.run_as(self.process, lambda: loop.call_later(delay, call))

    def close_descriptor(self, reset: bool = False) -> None:
        """Close the process's descriptor: sends EOF if all data was read, otherwise a reset."""
        if self.closed:
            return
        self.closed = True
        self.network.remove_endpoint(self)
        if self.reset:
            return
        if reset or self.receive_buffer:
            self.send_reset()
        else:
            self.send_eof()
        self.receive_buffer.clear()
        self.receive_buffer_bytes = 0


class SimSocket:
    """An accepted connection that has no transport yet."""

    def __init__(self, endpoint: _Endpoint) -> None:
        self.endpoint = endpoint

    def setblocking(self, flag: bool) -> None:
        """Does nothing: simulated sockets never block."""

    def close(self) -> None:
        """Close the descriptor."""
        self.endpoint.close_descriptor()


class SimListener:
    """A listening socket; implements `passpost.host.Listener`."""

    def __init__(self, network: Network, address: Address, backlog: int) -> None:
        self._network, self._address, self._backlog = network, address, backlog
        self.process = network.loop.current
        self._accept_queue: deque[_Endpoint] = deque()
        # Connection attempts that wait for room in the accept queue.
        self._blocked_attempts: deque[Callable[[], None]] = deque()
        self._callback: Callable[[], object] | None = None
        self._callback_scheduled = False
        self.open = True

    def fileno(self) -> int:
        """A constant non-negative number while open, -1 once closed."""
        return 3 if self.open else -1

    def getsockname(self) -> Address:
        """The listener's host and port."""
        return self._address

    def accept(self) -> tuple[SimSocket, Address]:
        """Accept the oldest connection in the queue; raises BlockingIOError if there is none."""
        if not self.open:
            raise OSError("the listener is closed")
        if not self._accept_queue:
            raise BlockingIOError
        endpoint = self._accept_queue.popleft()
        if self._blocked_attempts:
            self._blocked_attempts.popleft()()
        return SimSocket(endpoint), endpoint.peer.address

    def close(self) -> None:
        """Stop listening and reset the connections that were not accepted."""
        if not self.open:
            return
        self.open = False
        self._callback = None
        del self._network.listeners[self._address]
        for endpoint in self._accept_queue:
            endpoint.close_descriptor(reset=True)
        self._accept_queue.clear()

    def has_room(self) -> bool:
        """Whether the accept queue has room for another connection."""
        return len(self._accept_queue) < self._backlog

    def when_room(self, try_connect: Callable[[], None]) -> None:
        """Retry a connection attempt once the accept queue has room."""
        self._blocked_attempts.append(try_connect)

    def enqueue(self, endpoint: _Endpoint) -> None:
        """Add an established connection to the accept queue."""
        self._accept_queue.append(endpoint)
        self._schedule_callback()

    def set_reader(self, callback: Callable[[], object] | None) -> bool:
        """Set the reader, None to remove it; returns whether there was one.

        Level-triggered: the callback is called again while a connection waits to be accepted.
        """
        had_callback, self._callback = self._callback is not None, callback
        self._schedule_callback()
        return had_callback

    def _schedule_callback(self) -> None:
        if (
            self._callback is not None
            and self._accept_queue
            and not self._callback_scheduled
            and self.process.alive
        ):
            self._callback_scheduled = True
            loop = self._network.loop
            loop.run_as(self.process, lambda: loop.call_at(loop.time(), self._run_callback))

    def _run_callback(self) -> None:
        self._callback_scheduled = False
        if self._callback is not None and self._accept_queue:
            self._callback()
            self._schedule_callback()


class SimTransport(asyncio.Transport):
    """The asyncio transport of a simulated connection."""

    def __init__(self, network: Network, endpoint: _Endpoint, protocol: Any) -> None:
        super().__init__()
        self._network, self._loop, self.endpoint = network, network.loop, endpoint
        self._protocol = protocol
        self._buffer = bytearray()
        self._high_water_bytes, self._low_water_bytes = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._protocol_paused, self._is_reading, self._read_scheduled = False, True, False
        self._closing, self._connection_lost, self._eof_pending = False, False, False
        endpoint.transport = self

    # ---- the interface to asyncio protocols

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Supports `peername`, and `process`: the name of the process at the other end."""
        if name == "peername":
            return self.endpoint.peer.address
        if name == "process":
            return self.endpoint.peer.process.name
        return default

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the protocol."""
        return self._protocol

    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits in bytes, with asyncio's defaults."""
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high
        self._low_water_bytes = self._high_water_bytes // 4 if low is None else low

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """The low and high limits in bytes."""
        return self._low_water_bytes, self._high_water_bytes

    def get_write_buffer_size(self) -> int:
        """Number of buffered bytes that have not been sent."""
        return len(self._buffer)

    def can_write_eof(self) -> bool:
        """Always True: TCP supports half-close."""
        return True

    def is_reading(self) -> bool:
        """Whether received bytes are passed to the protocol."""
        return self._is_reading and not self._closing

    def pause_reading(self) -> None:
        """Leave received bytes unread."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass received bytes to the protocol again."""
        if not self._is_reading:
            self._is_reading = True
            self._schedule_read()

    def write(self, data: Any) -> None:
        """Send as much as the window allows and buffer the rest."""
        if (
            self._connection_lost
            or self._eof_pending
            or not data
            or self.endpoint.closed
            or not self.endpoint.process.alive
        ):
            return
        if self.endpoint.reset:  # the write fails; the loop then reports the reset to the protocol
            self._schedule_read()
            return
        self._buffer += data
        self._send_buffered()
        if len(self._buffer) > self._high_water_bytes and not self._protocol_paused:
            self._protocol_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """Write all chunks as one."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Send EOF after the buffered data."""
        if not self._eof_pending and not self._closing:
            self._eof_pending = True
            self._send_buffered()

    def close(self) -> None:
        """Send the buffered data, then close."""
        if self._closing or not self.endpoint.process.alive:
            return
        self._closing = True
        if not self._buffer:
            self._loop.call_soon(self._finish_close, None)

    def abort(self) -> None:
        """Close at once and discard the buffered data."""
        if not self.endpoint.process.alive:
            return  # calls from the cleanup of a dead process's objects have no effect
        self._closing = True
        self._buffer.clear()
        if not self._connection_lost:
            self._loop.call_soon(self._finish_close, None)

    # ---- the interface to the network

    def _send_buffered(self) -> None:
        room = self.endpoint.room()
        if room and self._buffer:
            data = bytes(self._buffer[:room])
            del self._buffer[:room]
            self.endpoint.send(data)
        if self._eof_pending and not self._buffer:
            self.endpoint.send_eof()

    def _resume_sending(self) -> None:
        """The peer has read data, so the window has room: continue sending."""
        if self._connection_lost:
            return
        self._send_buffered()
        if self._protocol_paused and len(self._buffer) <= self._low_water_bytes:
            self._protocol_paused = False
            self._protocol.resume_writing()
        if self._closing and not self._buffer:
            self._finish_close(None)

    def _schedule_read(self) -> None:
        """Schedule a read in the owning process; the seed orders it among other events due at this time."""
        if not self._read_scheduled and not self._connection_lost and self.endpoint.process.alive:
            self._read_scheduled = True
            loop = self._loop
            loop.run_as(self.endpoint.process, lambda: loop.call_at(loop.time(), self._read))

    def _read(self) -> None:
        self._read_scheduled = False
        endpoint = self.endpoint
        if self._connection_lost:
            return
        if endpoint.reset:
            self._closing = True
            self._buffer.clear()
            self._finish_close(ConnectionResetError("the connection was reset"))
            return
        if self._closing or not self._is_reading:
            return
        if endpoint.receive_buffer:
            data = endpoint.consume(self._network.draw_read_size(endpoint.receive_buffer_bytes))
            self._protocol.data_received(data)
            if endpoint.receive_buffer or endpoint.peer_eof:
                self._schedule_read()
        elif endpoint.peer_eof and not endpoint.eof_delivered:
            endpoint.eof_delivered = True
            if not self._protocol.eof_received():
                self.close()

    def has_unread(self) -> bool:
        """Whether there are unread bytes, or the peer has sent EOF or a reset."""
        return bool(self.endpoint.receive_buffer) or self.peer_has_ended()

    def peer_has_ended(self) -> bool:
        """Whether EOF or a reset has arrived from the peer."""
        return self.endpoint.peer_eof or self.endpoint.reset

    def _finish_close(self, error: Exception | None) -> None:
        if self._connection_lost:
            return
        self._connection_lost = True
        self.endpoint.close_descriptor()
        self._protocol.connection_lost(error)


class Network:
    """All connections of a run.

    `latency_s` is the one-way latency in seconds, to which a random share of `jitter_s` is added. With
    `split_probability` a read returns only part of the data that has arrived.
    """

    def __init__(
        self,
        loop: SimLoop,
        seed: int,
        latency_s: float,
        jitter_s: float,
        split_probability: float,
        window_bytes: int = WINDOW_BYTES,
    ) -> None:
        self.loop, self.window_bytes = loop, window_bytes
        self._latency_s, self._jitter_s, self._split_probability = latency_s, jitter_s, split_probability
        self._random = random.Random(f"network {seed}")
        self.listeners: dict[Address, SimListener] = {}
        self.extra_latency_s: dict[str, float] = {}  # additional one-way latency by machine, to and from it
        self.connect_delay_s: dict[str, float] = {}  # by machine: how late connections to it come up
        self._partitions: dict[frozenset[str], int] = {}
        self.undelivered: list[tuple[str, str, Callable[[], None]]] = []
        self._endpoints: dict[Process, dict[_Endpoint, None]] = {}
        self._last_port = 40_000
        loop.network_layer = self

    # ---- faults

    def partition(self, a: str, b: str) -> None:
        """Partition two machines from each other. Partitions of the same pair may overlap in time."""
        pair = frozenset((a, b))
        self._partitions[pair] = self._partitions.get(pair, 0) + 1

    def heal(self, a: str, b: str) -> None:
        """End one partition of a pair; after the last of them the data sent meanwhile is delivered."""
        pair = frozenset((a, b))
        self._partitions[pair] = self._partitions.get(pair, 1) - 1
        if self._partitions[pair] <= 0:
            del self._partitions[pair]
            undelivered, self.undelivered = self.undelivered, []
            for source, destination, call in undelivered:
                if frozenset((source, destination)) == pair:
                    self.loop.run_as(self.loop.world, lambda call=call: self.loop.call_soon(call))  # type: ignore[misc]
                else:
                    self.undelivered.append((source, destination, call))

    def is_partitioned(self, a: str, b: str) -> bool:
        """Whether two machines are partitioned."""
        return bool(self._partitions) and frozenset((a, b)) in self._partitions

    def drop_process(self, process: Process) -> None:
        """Close the listeners of a dead process and reset its connections."""
        for listener in [x for x in self.listeners.values() if x.process is process]:
            listener.close()
        for endpoint in self._endpoints.pop(process, {}):
            endpoint.close_descriptor(reset=True)

    # ---- calls from endpoints and from the loop

    def remove_endpoint(self, endpoint: _Endpoint) -> None:
        """Remove a closed endpoint, so that memory does not grow with every connection of a long run."""
        self._endpoints.get(endpoint.process, {}).pop(endpoint, None)

    def draw_latency_s(self, source: str, destination: str) -> float:
        """Draw the one-way latency from one machine to another, in seconds."""
        jitter = self._jitter_s * self._random.random()
        return (
            self._latency_s
            + jitter
            + self.extra_latency_s.get(source, 0.0)
            + self.extra_latency_s.get(destination, 0.0)
        )

    def draw_read_size(self, size: int) -> int:
        """Draw the maximum number of bytes that a read returns if `size` bytes have arrived."""
        if size > 1 and self._split_probability and self._random.random() < self._split_probability:
            return self._random.randint(1, size)
        return MAX_READ_BYTES

    def listen(self, address: Address, backlog: int) -> SimListener:
        """Create a listener of the current process; port 0 selects a free port.

        Raises OSError if the address is in use.
        """
        host, port = address
        while port == 0 or (host, port) in self.listeners:
            if port:
                raise OSError(f"{host}:{port} is taken")
            self._last_port += 1
            if (host, self._last_port) not in self.listeners:
                port = self._last_port
        listener = self.listeners[(host, port)] = SimListener(self, (host, port), backlog)
        return listener

    def set_reader(self, listener: SimListener, callback: Callable[[], object] | None) -> bool:
        """See `SimListener.set_reader`."""
        return listener.set_reader(callback)

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> tuple[SimTransport, Any]:
        """Establish a connection; raises ConnectionRefusedError if nothing listens on the address."""
        loop, client_process = self.loop, self.loop.current
        future: asyncio.Future[_Endpoint] = loop.create_future()
        target = self.listeners.get((host, port))
        server_name = target.process.name if target is not None else client_process.name
        self._last_port += 1
        local = ("127.0.0.1", self._last_port)

        def try_connect() -> None:
            if self.is_partitioned(client_process.name, server_name):
                self.undelivered.append((client_process.name, server_name, try_connect))
                return
            listener = self.listeners.get((host, port))
            if future.done() or not client_process.alive:
                return
            if listener is None:
                complete_after_latency(ConnectionRefusedError(f"no listener on {host}:{port}"))
            elif not listener.has_room():
                listener.when_room(try_connect)
            else:
                server_endpoint = _Endpoint(self, listener.process, (host, port))
                client_endpoint = _Endpoint(self, client_process, local)
                client_endpoint.peer, server_endpoint.peer = server_endpoint, client_endpoint
                for endpoint in (client_endpoint, server_endpoint):
                    self._endpoints.setdefault(endpoint.process, {})[endpoint] = None
                listener.enqueue(server_endpoint)
                complete_after_latency(client_endpoint)

        def complete_after_latency(result: _Endpoint | Exception) -> None:
            def complete() -> None:
                if future.done():
                    if isinstance(result, _Endpoint):
                        result.close_descriptor()
                elif isinstance(result, _Endpoint):
                    future.set_result(result)
                else:
                    future.set_exception(result)

            delay = self.draw_latency_s(server_name, client_process.name)
            loop.run_as(client_process, lambda: loop.call_later(delay, complete))

        # The kernel goes on connecting while the process is paused, so the world process owns the callback.
        loop.run_as(
            loop.world,
            lambda: loop.call_later(
                self.draw_latency_s(client_process.name, server_name)
                + self.connect_delay_s.get(server_name, 0.0),
                try_connect,
            ),
        )
        return await self._make_transport(factory, await future)

    async def connect_accepted(
        self, factory: Callable[[], Any], socket: SimSocket
    ) -> tuple[SimTransport, Any]:
        """Create a transport for an accepted connection."""
        return await self._make_transport(factory, socket.endpoint)

    async def _make_transport(
        self, factory: Callable[[], Any], endpoint: _Endpoint
    ) -> tuple[SimTransport, Any]:
        protocol = factory()
        transport = SimTransport(self, endpoint, protocol)
        protocol.connection_made(transport)
        transport._schedule_read()
        return transport, protocol


class SimHost(Host):
    """The `passpost.host.Host` of simulated processes. `unix_at_start_s`: Unix time at the loop's time 0."""

    def __init__(
        self, network: Network, process: Process | None = None, unix_at_start_s: float = 1.8e9
    ) -> None:
        loop = network.loop
        self._network = network
        self.monotonic = loop.time

        def unix() -> float:
            return unix_at_start_s + loop.time() + (process or loop.current).wall_offset_s

        self.unix = unix

    def listen(self, address: Address, backlog: int) -> SimListener:
        """Listen on the simulated network."""
        return self._network.listen(address, backlog)

    def resident_bytes(self) -> int:
        """The memory of an idle balancer."""
        return IDLE_BALANCER_BYTES

    def unread_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """A probe for unread bytes, EOF or a reset."""
        assert isinstance(transport, SimTransport)
        return lambda timeout: transport.has_unread()

    def end_probe(self, transport: asyncio.BaseTransport) -> Callable[[int], object]:
        """A probe for EOF or a reset from the peer, also behind unread bytes."""
        assert isinstance(transport, SimTransport)
        return lambda timeout: transport.peer_has_ended()

    def unread_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Number of received bytes that are unread."""
        assert isinstance(transport, SimTransport)
        return transport.endpoint.receive_buffer_bytes

    def unacknowledged_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Number of sent bytes that are in transit or unread at the peer."""
        assert isinstance(transport, SimTransport)
        return transport.endpoint.in_flight_bytes

    def was_reset(self, transport: asyncio.BaseTransport) -> bool:
        """Always False: the simulation reports a reset as an error even while reading is paused."""
        return False
