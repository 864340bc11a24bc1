"""A deterministic asyncio event loop on a simulated clock.

The loop guarantees the following:

1. Simulated time advances only when no callback is ready, and then directly to the next timer. A simulation
   of several minutes therefore takes only as long as its callbacks take to run.
2. Callbacks run in the order of their `call_soon` calls, as asyncio guarantees. asyncio does not define the
   order of timers and arriving bytes that are due at exactly the same time; the seed decides this order.
   It depends on nothing else: on no hash, object id or real clock. The same seed reproduces the same run.
3. Every callback belongs to the simulated process that scheduled it. The callbacks of a killed process never
   run; those of a paused process run when it resumes, late, as after SIGSTOP and SIGCONT.

Tasks, futures, streams and timeouts are asyncio's own, unchanged.
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

MAX_CALLBACKS_PER_INSTANT = 2_000_000  # more callbacks without an advance of the clock indicate a busy loop


class StalledError(Exception):
    """The simulation makes no progress: the clock never advances, or nothing is scheduled any more."""


class Process:
    """A simulated process. All of its callbacks are paused, resumed and killed together.

    `wall_offset_s` is the offset, in seconds, of its wall clock from the simulation's wall clock.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive, self.paused = True, False
        self.wall_offset_s = 0.0
        self.deferred: list[asyncio.Handle] = []  # callbacks that became due while the process was paused
        self.tasks: list[asyncio.Task[Any]] = []  # prevents garbage collection of pending tasks

    def __repr__(self) -> str:
        return f"<process {self.name}>"


class _Handle(asyncio.Handle):
    __slots__ = ("process",)
    process: Process


class _Timer(asyncio.TimerHandle):
    __slots__ = ("process",)
    process: Process


class NetworkLayer(Protocol):
    """The simulated network that carries the loop's connections; implemented in network.py."""

    def connect(self, factory: Callable[[], Any], host: str, port: int) -> Coroutine[Any, Any, Any]:
        """Implements the loop's `create_connection`."""

    def connect_accepted(self, factory: Callable[[], Any], socket: Any) -> Coroutine[Any, Any, Any]:
        """Implements the loop's `connect_accepted_socket`."""

    def set_reader(self, listener: Any, callback: Callable[[], object] | None) -> bool:
        """Implements the loop's `add_reader`, or `remove_reader` if `callback` is None."""


class SimLoop(asyncio.AbstractEventLoop):
    """The simulated event loop. `current` is the process whose callback is running."""

    def __init__(self, seed: int) -> None:
        self._now = 0.0
        self._ready: deque[_Handle | _Timer] = deque()
        self._timers: list[tuple[float, float, int, _Timer]] = []
        self._timer_count = 0
        self._random = random.Random(f"order {seed}")
        self._stopping, self._closed = False, False
        # The owner of everything outside the simulated processes, such as data in transit on the network.
        self.world = self.current = Process("world")
        self.processes: list[Process] = []
        self.network_layer: NetworkLayer | None = None
        self.callbacks_run = 0
        self.faults: list[str] = []  # descriptions of exceptions that nothing caught

    # ---- time

    def time(self) -> float:
        """Simulated seconds since the loop was created."""
        return self._now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback at the current time, after the callbacks that are already ready."""
        handle = _Handle(callback, args, self, context)
        handle.process = self.current
        self._ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time; the seed orders callbacks that are due at exactly the same time."""
        timer = _Timer(when, callback, args, self, context)
        timer.process = self.current
        self._timer_count += 1
        heappush(self._timers, (max(when, self._now), self._random.random(), self._timer_count, timer))
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after `delay` seconds."""
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Same as `call_soon`: a simulation has only one thread."""
        return self.call_soon(callback, *args, context=context)

    # ---- simulated processes

    def spawn(self, name: str, start: Callable[[], T]) -> tuple[Process, T]:
        """Create a process and call `start` on its behalf; returns the process and the call's result."""
        process = Process(name)
        self.processes.append(process)
        return process, self.run_as(process, start)

    def run_as(self, process: Process, call: Callable[[], T]) -> T:
        """Call a function on behalf of another process, which then owns what the call schedules."""
        previous_process, self.current = self.current, process
        try:
            return call()
        finally:
            self.current = previous_process

    def kill(self, process: Process) -> None:
        """Simulate SIGKILL; `Network.drop_process` resets the process's connections."""
        process.alive = False
        process.deferred.clear()

    def pause(self, process: Process) -> None:
        """Simulate SIGSTOP."""
        process.paused = True

    def resume(self, process: Process) -> None:
        """Simulate SIGCONT: callbacks that became due during the pause are ready now."""
        process.paused = False
        deferred, process.deferred = process.deferred, []
        self._ready.extend(deferred)  # type: ignore[arg-type]

    # ---- running

    def run(self, main: Coroutine[Any, Any, T]) -> T:
        """Run `main` to completion, then close the loop."""
        try:
            result: T = self.run_until_complete(main)
            return result
        finally:
            self.close()

    def run_until_complete(self, future: Any) -> Any:
        """Run until `future` is done, even if other callbacks are still scheduled."""
        task: asyncio.Future[Any] = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(lambda _: self.stop())
        self.run_forever()
        if not task.done():
            raise StalledError(f"no callback is scheduled at {self._now:.3f} s, but the run is not complete")
        return task.result()

    def run_forever(self) -> None:
        """Run until stopped, or until no callback is scheduled."""
        events._set_running_loop(self)
        self._stopping = False
        ready, timers = self._ready, self._timers
        callbacks_at_this_time = 0
        try:
            while not self._stopping:
                if not ready:
                    if not timers:
                        return
                    when = timers[0][0]
                    if when > self._now:
                        self._now, callbacks_at_this_time = when, 0
                    # One timer at a time: bytes that arrive now may cancel another timer that is due now.
                    ready.append(heappop(timers)[3])
                handle = ready.popleft()
                if handle._cancelled:
                    continue
                process = handle.process
                if not process.alive:
                    continue
                if process.paused:
                    process.deferred.append(handle)
                    continue
                self.current = process
                handle._run()
                self.callbacks_run += 1
                callbacks_at_this_time += 1
                if callbacks_at_this_time > MAX_CALLBACKS_PER_INSTANT:
                    raise StalledError(f"the clock is stuck at {self._now:.3f} s; last callback: {handle!r}")
        finally:
            self.current = self.world
            events._set_running_loop(None)

    def stop(self) -> None:
        """Stop the loop after the callback that is running."""
        self._stopping = True

    def is_running(self) -> bool:
        """Whether this loop is running."""
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        """Whether the loop is closed."""
        return self._closed

    def close(self) -> None:
        """Close the loop and mark all processes dead, so that the cleanup of pending tasks has no effect."""
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
        """Create a future on this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        """Create a task that belongs to the current process."""
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        tasks = self.current.tasks
        tasks.append(task)
        if len(tasks) > 64 and len(tasks) & (len(tasks) - 1) == 0:  # prune at powers of two
            tasks[:] = [t for t in tasks if not t.done()]
        return task

    def get_debug(self) -> bool:
        """Always False: asyncio's debug mode reads the real clock."""
        return False

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Nothing to do: the run loop skips a cancelled timer when it is due."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an uncaught exception. Faults are reported with the run's results and make the run fail."""
        if not self._closed and self.current.alive:
            error = context.get("exception")
            self.faults.append(f"{self.current.name}: {context.get('message')}: {error!r}")

    async def shutdown_asyncgens(self) -> None:
        """Nothing to do: the simulation uses no asynchronous generators."""

    # ---- connections

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        """Open a connection on the simulated network."""
        assert self.network_layer is not None
        return await self.network_layer.connect(protocol_factory, host, port)

    async def connect_accepted_socket(self, protocol_factory: Callable[[], Any], sock: Any, **_: Any) -> Any:
        """Attach a protocol to an accepted connection."""
        assert self.network_layer is not None
        return await self.network_layer.connect_accepted(protocol_factory, sock)

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Call `callback` whenever the listener has a connection to accept."""
        assert self.network_layer is not None
        self.network_layer.set_reader(fd, lambda: callback(*args))

    def remove_reader(self, fd: Any) -> bool:
        """Stop calling the listener's reader; returns whether there was one."""
        assert self.network_layer is not None
        return self.network_layer.set_reader(fd, None)
