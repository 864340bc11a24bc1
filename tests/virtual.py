"""Runs a test on a simulated clock and network."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network


def run_simulated(main: Callable[[SimLoop, Network], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine on a simulated clock and network, and assert that no exception was left unhandled."""
    loop = SimLoop(1)  # type: ignore[abstract]  # the tests use none of the methods that it lacks
    loop.run(main(loop, Network(loop, 1, 0.001, 0.0005, 0.0)))
    assert loop.faults == []
