"""A balancer that is told to stop more than once, or given orders while it stops.

What happens. A second stop during a drain begins the drain anew: callers are kept, and requests taken, past the
moment of the kill. In the simulator, `passpost explore rehearsals/balancer-restarts.toml --seeds 60 --first 5000
--faults 6`, seed 5024: b1 gets SIGTERM at 0.81 s and at 3.0 s, "b1 did not end in time: killed", and a request
is "closed with no whole answer". An operator's call to empty the balancer moves the end of a drain in the same way, and
the call back to work takes it away: the process then serves until it is killed.

Why. `Server.drain` took each call for a first one and counted its time anew. The program's own handlers set an event
and stop once, so that only the simulator reached the second stop; a stop that has begun is now waited for. An order to
empty set the end of the drain without asking whether one had begun; it is now one that is carried out already.
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
def test_a_simulated_balancer_that_gets_sigterm_twice_loses_no_request(seed: int) -> None:
    assert try_seed(load(str(RESTARTS)), seed, MOST_FAULTS) == ""


def test_a_second_stop_does_not_move_the_end_of_the_first() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as one:
            client = await one.connect()
            await client.ask()
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
def test_operators_orders_do_not_move_the_end_of_a_drain(tmp_path: Path, orders: list[str]) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (one, node):
            client = await one.connect()
            await client.ask()
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


def test_a_call_back_to_work_is_refused_while_the_balancer_ends(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated_node(tmp_path, FakeServer()) as (_, node):
            stopped = asyncio.create_task(node.stop())
            await asyncio.sleep(0.1)
            assert (await operator_call(node, "PUT", "/_lameduck/off"))[0] == 409
            assert (await operator_call(node, "PUT", "/_lameduck/on"))[0] == 200
            await stopped

    run(test())
