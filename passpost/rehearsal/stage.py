"""What a night is played on: a clock, machines that can be paused, cut off and killed, and balancers.

Two of them play the same script: `virtual.py` in simulated time within one process, `live.py` with real
balancer processes on loopback. All that the world (world.py) does goes through this class or asyncio's loop.
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

Config = dict[str, Any] | File  # a balancer of the platform's, or a sidecar


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """How a connection ended under a request."""

    balancer: str  # at the other end
    known: bool  # the other side knew it by a request before, or by half of this one
    was_reset: bool
    written_at: float  # the request's last byte
    ended_at: float


class BalancerHandle(ABC):
    """A balancer that has been started. What `launch` is given as `ended` hears its exit status once."""

    alive = True

    @abstractmethod
    def terminate(self) -> None:
        """SIGTERM."""

    @abstractmethod
    def interrupt(self) -> None:
        """SIGINT."""

    @abstractmethod
    def reload(self, config: Config) -> None:
        """Replace its file and send SIGHUP."""

    @abstractmethod
    def reload_invalid(self) -> None:
        """Replace its file by one that can't be used and send SIGHUP."""

    @abstractmethod
    def kill(self) -> None:
        """SIGKILL."""


class Backend(ABC):
    """One way to play a night. Times are seconds since `begin`."""

    simulated: bool  # whether bytes carry the moment at which they were written
    host: Host

    @abstractmethod
    def now(self) -> float:
        """The night's time."""

    @abstractmethod
    def run_as(self, machine: str, call: Callable[[], T]) -> T:
        """Call something on a machine; its timers and connections belong to it."""

    @abstractmethod
    def launch(self, name: str, config: Config, ended: Callable[[int | None], None]) -> BalancerHandle:
        """Start a balancer on a machine of this name."""

    @abstractmethod
    def free_address(self) -> Address:
        """An address on which nobody listens yet, for a balancer."""

    @abstractmethod
    def kill(self, machine: str) -> None:
        """The process dies: its connections are reset and its listeners gone. A next `run_as` starts anew."""

    @abstractmethod
    def pause(self, machine: str, on: bool) -> None:
        """Stop it, or let it go on."""

    @abstractmethod
    def partition(self, a: str, b: str, on: bool) -> None:
        """Nothing passes between two machines, or again all does."""

    @abstractmethod
    def delay(self, machine: str, seconds: float) -> None:
        """All to and from it takes so much longer (negative: no longer), each way."""

    @abstractmethod
    def set_clock(self, machine: str, by: float) -> None:
        """Set its wall clock forward or back."""

    @abstractmethod
    def unix_ms(self) -> float:
        """What the wall clock of all shows, in milliseconds."""

    @abstractmethod
    def written_at(self, transport: asyncio.BaseTransport) -> float:
        """When the bytes that are being read were written; now, where that can't be seen."""

    @abstractmethod
    def closed_before_read(self, transport: asyncio.BaseTransport, ending: ConnectionEnd) -> bool:
        """Whether the other side closed without having read all that we sent."""


def listen(
    host: Host, address: Address, factory: Callable[[], asyncio.Protocol], backlog: int = 1024
) -> tuple[Address, Callable[[], None]]:
    """Accept connections from now on; the address that was got, and what ends it."""
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

    def end() -> None:
        if listener.fileno() >= 0:
            loop.remove_reader(listener)
            listener.close()

    name = listener.getsockname()
    return (str(name[0]), int(name[1])), end
