"""Shutdowns that are requested twice, and operators' orders during a shutdown, do not move its end.

`Server.drain` used to start anew on each call, so that connections were kept and requests taken past the kill. Only the
simulator called it twice, as the program's signal handlers stop once: `passpost explore
rehearsals/balancer-restarts.toml --seeds 60 --first 5000 --faults 6`, seed 5024, sends b1 SIGTERM at 0.81 s and at
3.0 s; "b1 did not end in time: killed", and a request is "closed with no whole answer". A second stop now waits for the
first. An operator's order to empty the balancer moved the end of a drain in the same way, and the order back to work
removed it, so that the process served until it was killed. During a drain an order to empty now has no effect.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from passpost.rehearsal.explore import try_seed
from passpost.rehearsal.script import load
from tests.loopback import ROOT, FakeServer, balancer, run
from tests.ops.test_node import operated_node, operator_call

RESTARTS = ROOT / "rehearsals" / "balancer-restarts.toml"
MOST_FAULTS = 6


@pytest.mark.parametrize("seed", [5024, 10051, 20051, 30034])
def test_two_sigterms_lose_no_request_in_simulation(seed: int) -> None:
    assert try_seed(load(str(RESTARTS)), seed, MOST_FAULTS) == ""


def test_second_stop_does_not_move_the_end_of_the_first() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as one:
            client = await one.connect()
            await client.fetch()
            first = asyncio.create_task(one.node.stop())
            await asyncio.sleep(0.5)
            left = one.node.server.time_left()
            second = asyncio.create_task(one.node.stop())
            await asyncio.sleep(0.05)
            assert one.node.server.time_left() < left
            client.writer.close()
            await asyncio.gather(first, second)

    run(test())


@pytest.mark.parametrize("orders", [["on"], ["on", "off"], ["off"]], ids=["empty", "empty, work", "work"])
def test_operator_orders_do_not_move_the_end_of_a_drain(tmp_path: Path, orders: list[str]) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (one, node):
            client = await one.connect()
            await client.fetch()
            stopped = asyncio.create_task(node.stop())
            await asyncio.sleep(0.1)
            left = node.server.time_left()
            for order in orders:
                await operator_call(node, "PUT", f"/_lameduck/{order}")
                assert node.server.time_left() < left
                assert not node.server.is_ready()
            client.writer.close()
            await stopped

    run(test())


def test_order_back_to_work_is_refused_during_shutdown(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (_, node):
            stopped = asyncio.create_task(node.stop())
            await asyncio.sleep(0.1)
            assert (await operator_call(node, "PUT", "/_lameduck/off"))[0] == 409
            assert (await operator_call(node, "PUT", "/_lameduck/on"))[0] == 200
            await stopped

    run(test())
