"""An asyncio event loop on a simulated clock.

Its rules, and all of them are kept here:

1. Time moves only when nothing is left to do at this moment, and then straight to the next moment at which
   something is. A night of minutes takes as long as its work takes.
2. Callbacks run in the order in which `call_soon` was told of them, as asyncio promises. What asyncio leaves
   open, namely the order of timers and bytes that are due at the very same moment, is drawn from the seed.
   Nothing else is: no hash, no object id, no real clock. The same seed gives the same night.
3. Every callback belongs to the process that asked for it. A process that is killed runs none of its
   callbacks any more; one that is paused runs them when it goes on, late, as after SIGSTOP.

Tasks, futures, streams and time-outs are asyncio's own, unchanged.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from heapq import heappop, heappush
from typing import Any, Protocol, TypeVar

T = TypeVar("T")

MOST_AT_ONCE = 2_000_000  # callbacks at one moment; past it the night stands still: something spins


class StuckError(Exception):
    """The night does not go on: callbacks follow on callbacks and the clock never moves."""


class Process:
    """One simulated process: what its callbacks share is that they live, pause and die together.

    `wall_offset`, in seconds, is what its wall clock shows beyond the night's own.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive, self.paused = True, False
        self.wall_offset = 0.0
        self.held: list[asyncio.Handle] = []  # callbacks that came due while it was paused
        self.tasks: list[asyncio.Task[Any]] = []  # kept, so that no collection of garbage runs their ends

    def __repr__(self) -> str:
        return f"<process {self.name}>"


class _Handle(asyncio.Handle):
    __slots__ = ("process",)
    process: Process


class _Timer(asyncio.TimerHandle):
    __slots__ = ("process",)
    process: Process


class NetworkLayer(Protocol):
    """The network that the loop's connections run on (network.py)."""

    def connect(self, factory: Callable[[], Any], host: str, port: int) -> Coroutine[Any, Any, Any]:
        """As the loop's `create_connection`."""

    def connect_accepted(self, factory: Callable[[], Any], socket: Any) -> Coroutine[Any, Any, Any]:
        """As the loop's `connect_accepted_socket`."""

    def watch(self, listener: Any, callback: Callable[[], object] | None) -> bool:
        """As the loop's `add_reader`; with None `remove_reader`."""


class SimLoop(asyncio.AbstractEventLoop):
    """The loop; `current` is the process whose callback runs."""

    def __init__(self, seed: int) -> None:
        self._now = 0.0
        self._ready: deque[_Handle | _Timer] = deque()
        self._timers: list[tuple[float, float, int, _Timer]] = []
        self._count = 0
        self._random = random.Random(f"order {seed}")
        self._stopping, self._closed = False, False
        self.world = self.current = Process("world")
        self.processes: list[Process] = []
        self.network_layer: NetworkLayer | None = None
        self.steps = 0
        self.faults: list[str] = []  # what no handler caught, in plain words

    # ---- time

    def time(self) -> float:
        """Seconds since the night began."""
        return self._now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Run at this moment, after what is in line already."""
        handle = _Handle(callback, args, self, context)
        handle.process = self.current
        self._ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Run at a moment; of those at the very same one the seed says which is first."""
        timer = _Timer(when, callback, args, self, context)
        timer.process = self.current
        self._count += 1
        heappush(self._timers, (max(when, self._now), self._random.random(), self._count, timer))
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Run after so many seconds."""
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """There are no threads in a night."""
        return self.call_soon(callback, *args, context=context)

    # ---- processes

    def spawn(self, name: str, start: Callable[[], T]) -> tuple[Process, T]:
        """Run `start` as the first callback of a new process."""
        process = Process(name)
        self.processes.append(process)
        return process, self.run_as(process, start)

    def run_as(self, process: Process, call: Callable[[], T]) -> T:
        """Call something in another process's name."""
        before, self.current = self.current, process
        try:
            return call()
        finally:
            self.current = before

    def kill(self, process: Process) -> None:
        """As SIGKILL; the network resets its connections."""
        process.alive = False
        process.held.clear()

    def pause(self, process: Process) -> None:
        """As SIGSTOP."""
        process.paused = True

    def resume(self, process: Process) -> None:
        """As SIGCONT: what came due meanwhile runs now."""
        process.paused = False
        held, process.held = process.held, []
        self._ready.extend(held)  # type: ignore[arg-type]

    # ---- running

    def run(self, main: Coroutine[Any, Any, T]) -> T:
        """Run a night to the end of `main`."""
        try:
            result: T = self.run_until_complete(main)
            return result
        finally:
            self.close()

    def run_until_complete(self, future: Any) -> Any:
        """Run until this one is done, whatever else is still due."""
        task: asyncio.Future[Any] = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(lambda _: self.stop())
        self.run_forever()
        if not task.done():
            raise StuckError(f"nothing is due any more at {self._now:.3f} s, and the night is not over")
        return task.result()

    def run_forever(self) -> None:
        """Run until stopped, or until nothing will ever be due."""
        events._set_running_loop(self)
        self._stopping = False
        ready, timers = self._ready, self._timers
        at_once = 0
        try:
            while not self._stopping:
                if not ready:
                    if not timers:
                        return
                    when = timers[0][0]
                    if when > self._now:
                        self._now, at_once = when, 0
                    # One at a time: bytes due at the same moment may cancel a timer that is due then.
                    ready.append(heappop(timers)[3])
                handle = ready.popleft()
                if handle._cancelled:
                    continue
                process = handle.process
                if not process.alive:
                    continue
                if process.paused:
                    process.held.append(handle)
                    continue
                self.current = process
                handle._run()
                self.steps += 1
                at_once += 1
                if at_once > MOST_AT_ONCE:
                    raise StuckError(f"the night stands still at {self._now:.3f} s; last ran {handle!r}")
        finally:
            self.current = self.world
            events._set_running_loop(None)

    def stop(self) -> None:
        """End after the callback that runs."""
        self._stopping = True

    def is_running(self) -> bool:
        """Whether callbacks run."""
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        """Whether the night is over."""
        return self._closed

    def close(self) -> None:
        """End the night: every process dies, and what its tasks leave behind has no effect."""
        self._closed = True
        self._ready.clear()
        self._timers.clear()
        for process in [self.world, *self.processes]:
            process.alive = False
            for task in process.tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]
            process.tasks.clear()

    # ---- tasks

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        """A task of the process that asks for it."""
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        tasks = self.current.tasks
        tasks.append(task)
        if len(tasks) > 64 and len(tasks) & (len(tasks) - 1) == 0:  # now and then, by doubling
            tasks[:] = [t for t in tasks if not t.done()]
        return task

    def get_debug(self) -> bool:
        """Never: a debugged loop would look at the real clock."""
        return False

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """A cancelled timer is passed over when it comes due."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Note what nobody caught: the host prints it, and a night with faults has failed."""
        if not self._closed and self.current.alive:
            error = context.get("exception")
            self.faults.append(f"{self.current.name}: {context.get('message')}: {error!r}")

    async def shutdown_asyncgens(self) -> None:
        """There are none."""

    # ---- connections

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        """Connect on the simulated network."""
        assert self.network_layer is not None
        return await self.network_layer.connect(protocol_factory, host, port)

    async def connect_accepted_socket(self, protocol_factory: Callable[[], Any], sock: Any, **_: Any) -> Any:
        """Give an accepted connection its protocol."""
        assert self.network_layer is not None
        return await self.network_layer.connect_accepted(protocol_factory, sock)

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Call whenever a listener has a connection that waits."""
        assert self.network_layer is not None
        self.network_layer.watch(fd, lambda: callback(*args))

    def remove_reader(self, fd: Any) -> bool:
        """Call no more."""
        assert self.network_layer is not None
        return self.network_layer.watch(fd, None)
