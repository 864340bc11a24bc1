"""The simulated loop: its clock, its order, its processes."""

from __future__ import annotations

import asyncio

import pytest

from passpost.rehearsal import loop as module
from passpost.rehearsal.loop import SimLoop, StuckError


def new(seed: int = 1) -> SimLoop:
    return SimLoop(seed)  # type: ignore[abstract]


def test_time_jumps_to_what_is_due_next() -> None:
    loop = new()
    seen: list[float] = []

    async def main() -> None:
        for wait in (0.5, 3600.0, 0.0):
            await asyncio.sleep(wait)
            seen.append(loop.time())

    loop.run(main())
    assert seen == [0.5, 3600.5, 3600.5]


def test_what_is_called_soon_runs_in_order_and_timers_of_one_moment_by_the_seed() -> None:
    def order(seed: int) -> tuple[list[int], list[int]]:
        loop = new(seed)
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
    assert len({tuple(timed) for _, timed in orders.values()}) > 1  # the seed decides ...
    assert all(order(seed) == found for seed, found in orders.items())  # ... and nothing else


def test_a_cancelled_timer_does_not_run() -> None:
    loop = new()
    seen: list[str] = []

    async def main() -> None:
        loop.call_later(1, seen.append, "kept")
        loop.call_later(1, seen.append, "cancelled").cancel()
        await asyncio.sleep(2)

    loop.run(main())
    assert seen == ["kept"]


def test_time_outs_of_asyncio_work_on_the_simulated_clock() -> None:
    loop = new()

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(7.5):
                await loop.create_future()

    loop.run(main())
    assert loop.time() == 7.5


def test_a_paused_process_runs_late_and_a_killed_one_never() -> None:
    loop = new()
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


def test_tasks_belong_to_the_process_that_starts_them() -> None:
    loop = new()
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


def test_a_night_that_stands_still_ends_with_the_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_AT_ONCE", 1_000)
    loop = new()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(StuckError, match=r"stands still at 0\.000 s"):
        loop.run(spin())


def test_a_night_in_which_nothing_is_due_any_more_ends_with_the_reason() -> None:
    loop = new()

    async def wait_for_nothing() -> None:
        await loop.create_future()

    with pytest.raises(StuckError, match="nothing is due"):
        loop.run(wait_for_nothing())


def test_what_nobody_catches_is_noted() -> None:
    loop = new()

    def fail() -> None:
        raise ZeroDivisionError("on purpose")

    async def main() -> None:
        loop.call_soon(fail)
        await asyncio.sleep(1)

    loop.run(main())
    assert len(loop.faults) == 1 and "on purpose" in loop.faults[0]
