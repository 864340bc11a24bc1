"""Faults that change how a simulated node works or responds for a time, while its process runs on. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from passpost.rehearsal import model
from passpost.rehearsal.nodes import Node

Toggle = Callable[[Node, bool], None]


@dataclass(frozen=True, slots=True)
class NodeBehaviour:
    """A fault of a node: a description that follows its name in the log, and how to turn it on or off."""

    description: str
    toggle: Toggle


def slowdown(factor: float) -> Toggle:
    """Make a node `factor` times slower, and undo that."""
    return lambda node, on: node.slow_down(factor if on else 1 / factor)


def behaviour(event: model.NodeFault) -> NodeBehaviour | None:
    """The fault that an event stands for; None if it concerns the node's process or its network."""
    match event:
        case model.Slow(factor=factor):
            return NodeBehaviour(f"{factor:g} times slower", slowdown(factor))
        case model.Silent():
            return NodeBehaviour("sends no responses", _set_silent)
        case model.Hang():
            return NodeBehaviour("hangs", lambda node, on: node.set_hanging(on))
        case model.Reset(share=share):
            return NodeBehaviour(
                f"resets the connection for {share:.0%} of its responses",
                lambda node, on: _add_or_remove(node.reset_shares, share, on),
            )
        case model.Spoil(share=share):
            return NodeBehaviour(
                f"sends malformed bytes for {share:.0%} of its responses",
                lambda node, on: _add_or_remove(node.malformed_shares, share, on),
            )
    return None


def _set_silent(node: Node, on: bool) -> None:
    node.silent_count += 1 if on else -1


def _add_or_remove(values: list[float], value: float, on: bool) -> None:
    if on:
        values.append(value)
    else:
        values.remove(value)
