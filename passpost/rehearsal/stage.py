"""The interface of a simulation backend: the clock, the machines with their failures, and the balancers.

Two backends run the same scenarios: `virtual.py` in simulated time within one process, and `live.py` with
real balancer processes on loopback. world.py, which runs a scenario, uses only this interface and asyncio's
loop.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from passpost.host import Address, Host
from passpost.operator.model import File

T = TypeVar("T")

Config = dict[str, Any] | File  # the configuration of a platform balancer, or a sidecar's file


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """How a connection with an outstanding request ended. Times are seconds of the backend's clock."""

    balancer: str  # the peer
    known_to_peer: bool  # the peer had received an earlier request, or part of this one, on it
    was_reset: bool
    written_at: float  # when the request's last byte was written
    ended_at: float


class BalancerHandle(ABC):
    """A started balancer. When it exits, `on_exit` of `Backend.launch` is called once with its status."""

    alive = True

    @abstractmethod
    def terminate(self) -> None:
        """Send SIGTERM."""

    @abstractmethod
    def interrupt(self) -> None:
        """Send SIGINT."""

    @abstractmethod
    def reload(self, config: Config) -> None:
        """Replace its configuration file and send SIGHUP."""

    @abstractmethod
    def reload_invalid(self) -> None:
        """Replace its configuration file with an invalid one and send SIGHUP."""

    @abstractmethod
    def kill(self) -> None:
        """Send SIGKILL; `on_exit` is not called."""


class Backend(ABC):
    """An environment in which scenarios run. Times are seconds since the backend was created."""

    # Whether time, network and processes are simulated; then the write time of received bytes is known.
    simulated: bool
    host: Host

    @abstractmethod
    def now(self) -> float:
        """The current time in seconds."""

    @abstractmethod
    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        """Call a function on a machine, which then owns the timers and connections that the call creates."""

    @abstractmethod
    def launch(self, name: str, config: Config, on_exit: Callable[[int | None], None]) -> BalancerHandle:
        """Start a balancer on a machine of the given name; `on_exit` gets its exit status."""

    @abstractmethod
    def free_address(self) -> Address:
        """An unused address for a balancer to listen on."""

    @abstractmethod
    def kill(self, machine: str) -> None:
        """Kill a machine's process: resets its connections and closes its listeners.

        The next `run_as` for this machine starts a new process.
        """

    @abstractmethod
    def pause(self, machine: str, on: bool) -> None:
        """Pause a machine, or resume it if `on` is False."""

    @abstractmethod
    def partition(self, a: str, b: str, on: bool) -> None:
        """Partition two machines from each other, or end a partition if `on` is False."""

    @abstractmethod
    def delay(self, machine: str, seconds: float) -> None:
        """Add to the one-way latency to and from a machine, in seconds; a negative value removes a delay."""

    @abstractmethod
    def delay_connections(self, machine: str, seconds: float) -> None:
        """Add to the time until a new connection to a machine comes up; a negative value removes a delay."""

    @abstractmethod
    def set_clock(self, machine: str, offset_s: float) -> None:
        """Move a machine's wall clock by `offset_s` seconds, which may be negative."""

    @abstractmethod
    def unix_ms(self) -> float:
        """The wall clock time of machines without a clock offset, in Unix milliseconds."""

    @abstractmethod
    def written_at(self, transport: asyncio.BaseTransport) -> float:
        """When the bytes that are being read were written; the current time if that is unknown."""

    @abstractmethod
    def closed_before_read(self, transport: asyncio.BaseTransport, connection_end: ConnectionEnd) -> bool:
        """Whether the peer closed the connection before it had read everything sent to it."""


def listen(
    host: Host, address: Address, factory: Callable[[], asyncio.Protocol], backlog: int = 1024
) -> tuple[Address, Callable[[], None]]:
    """Listen and accept connections; returns the bound address and a function that stops listening."""
    loop = asyncio.get_running_loop()
    listener = host.listen(address, backlog)
    tasks: set[asyncio.Task[Any]] = set()

    def accept() -> None:
        try:
            client, _ = listener.accept()
        except (BlockingIOError, ConnectionError):
            return
        client.setblocking(False)
        task = loop.create_task(loop.connect_accepted_socket(factory, client))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    loop.add_reader(listener, accept)

    def stop() -> None:
        if listener.fileno() >= 0:
            loop.remove_reader(listener)
            listener.close()

    bound_address = listener.getsockname()
    return (str(bound_address[0]), int(bound_address[1])), stop
