"""Tests of the simulated event loop: clock, callback order and simulated processes."""

from __future__ import annotations

import asyncio

import pytest

from passpost.rehearsal import loop as loop_module
from passpost.rehearsal.loop import SimLoop, StalledError


def new_loop(seed: int = 1) -> SimLoop:
    return SimLoop(seed)  # type: ignore[abstract]


def test_time_advances_directly_to_the_next_timer() -> None:
    loop = new_loop()
    seen: list[float] = []

    async def main() -> None:
        for wait in (0.5, 3600.0, 0.0):
            await asyncio.sleep(wait)
            seen.append(loop.time())

    loop.run(main())
    assert seen == [0.5, 3600.5, 3600.5]


def test_call_soon_keeps_order_and_the_seed_orders_simultaneous_timers() -> None:
    def order(seed: int) -> tuple[list[int], list[int]]:
        loop = new_loop(seed)
        soon: list[int] = []
        timed: list[int] = []

        async def main() -> None:
            for i in range(8):
                loop.call_soon(soon.append, i)
                loop.call_at(1.0, timed.append, i)
            await asyncio.sleep(2)

        loop.run(main())
        return soon, timed

    orders = {seed: order(seed) for seed in range(6)}
    assert all(soon == list(range(8)) for soon, _ in orders.values())
    assert all(sorted(timed) == list(range(8)) for _, timed in orders.values())
    assert len({tuple(timed) for _, timed in orders.values()}) > 1  # the order depends on the seed
    assert all(order(seed) == found for seed, found in orders.items())  # and on nothing else


def test_cancelled_timer_does_not_run() -> None:
    loop = new_loop()
    seen: list[str] = []

    async def main() -> None:
        loop.call_later(1, seen.append, "kept")
        loop.call_later(1, seen.append, "cancelled").cancel()
        await asyncio.sleep(2)

    loop.run(main())
    assert seen == ["kept"]


def test_asyncio_timeouts_use_the_simulated_clock() -> None:
    loop = new_loop()

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(7.5):
                await loop.create_future()

    loop.run(main())
    assert loop.time() == 7.5


def test_paused_process_runs_after_resume_and_killed_process_never_runs() -> None:
    loop = new_loop()
    seen: list[tuple[str, float]] = []

    def tick(name: str) -> None:
        seen.append((name, loop.time()))

    async def main() -> None:
        paused, _ = loop.spawn("paused", lambda: loop.call_later(1, tick, "paused"))
        killed, _ = loop.spawn("killed", lambda: loop.call_later(1, tick, "killed"))
        loop.spawn("other", lambda: loop.call_later(1, tick, "other"))
        loop.pause(paused)
        loop.kill(killed)
        await asyncio.sleep(5)
        loop.resume(paused)
        await asyncio.sleep(1)

    loop.run(main())
    assert seen == [("other", 1.0), ("paused", 5.0)]


def test_tasks_belong_to_the_process_that_created_them() -> None:
    loop = new_loop()
    seen: list[str] = []

    async def work(name: str) -> None:
        await asyncio.sleep(1)
        seen.append(name)

    async def main() -> None:
        dying, _ = loop.spawn("dying", lambda: loop.create_task(work("dying")))
        loop.spawn("living", lambda: loop.create_task(work("living")))
        await asyncio.sleep(0.5)
        loop.kill(dying)
        await asyncio.sleep(2)

    loop.run(main())
    assert seen == ["living"]


def test_busy_loop_raises_stalled_error_with_the_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_module, "MAX_CALLBACKS_PER_INSTANT", 1_000)
    loop = new_loop()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(StalledError, match=r"clock is stuck at 0\.000 s"):
        loop.run(spin())


def test_waiting_with_nothing_scheduled_raises_stalled_error() -> None:
    loop = new_loop()

    async def wait_for_nothing() -> None:
        await loop.create_future()

    with pytest.raises(StalledError, match="no callback is scheduled"):
        loop.run(wait_for_nothing())


def test_uncaught_exception_is_recorded_as_a_fault() -> None:
    loop = new_loop()

    def fail() -> None:
        raise ZeroDivisionError("on purpose")

    async def main() -> None:
        loop.call_soon(fail)
        await asyncio.sleep(1)

    loop.run(main())
    assert len(loop.faults) == 1 and "on purpose" in loop.faults[0]
