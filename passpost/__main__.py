"""Runs one balancer: `python -m passpost`, with the path of its configuration in `$EDGE_CONFIG`."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from typing import Protocol

import uvloop

from passpost.config import Config, ConfigError, load
from passpost.node import Node
from passpost.signals import Signals
from umberworks.rules import Balancer

log = logging.getLogger("passpost")


class Sidecar(Protocol):
    """The applications of an operator's file, run in the same process as the platform's balancer."""

    def reload(self) -> None:
        """Read the file again."""

    async def stop(self) -> None:
        """Answer all accepted requests, then close everything."""


def start_sidecar(path: str) -> Sidecar:
    """Run the applications of an operator's file in this process too.

    The modules for that are imported only here, because the platform itself has no such file.
    """
    try:
        from passpost.operator import sidecar
        from passpost.operator.reader import UnreadableError
    except ImportError as error:
        raise ConfigError(f"--operator needs {error.name}: pip install 'passpost[cli]'") from None
    try:
        return sidecar.EmbeddedSidecar(path)
    except (UnreadableError, sidecar.InvalidFileError, ValueError) as error:
        raise ConfigError(str(error)) from None


def start_node(config: Config, module: type[Balancer]) -> Node:
    """Create and start the node that the configuration and `$PASSPOST_TRACE` ask for.

    With an address for operators' calls it accepts them, with `$PASSPOST_TRACE` it logs traces. The modules for these
    are imported only here: older platforms have no operators' calls, and normal service needs no traces.
    """
    traced = bool(os.environ.get("PASSPOST_TRACE"))
    if config.ops is None:
        if not traced:
            return Node(config, module=module)
        from passpost.trace.discovery import TracedDiscovery
        from passpost.trace.engine import TracedEngine

        return Node(config, module=module, engine=TracedEngine, discovery=TracedDiscovery)
    from passpost.ops import node

    folder = node.state_folder()
    taken = node.take_over(config, folder)
    if not traced:
        return node.OperatedNode(config, folder, taken, module)
    from passpost.trace.discovery import TracedDiscovery
    from passpost.trace.engine import TracedCountingEngine

    return node.OperatedNode(config, folder, taken, module, TracedCountingEngine, TracedDiscovery)


def balancer_class() -> type[Balancer]:
    """The class of the decision module; with `$PASSPOST_FIGURES` one that also logs its figures."""
    if not os.environ.get("PASSPOST_FIGURES"):
        return Balancer
    from passpost.recorder import RecordingBalancer

    return RecordingBalancer


async def serve(path: str, operator: str | None = None) -> None:
    """Run a balancer with the configuration at `path` until SIGTERM or SIGINT; SIGHUP reads the file again."""
    node: Node | None = None
    sidecar: Sidecar | None = None

    def reload() -> None:
        if node is None:
            return  # still starting: the file has yet to be read
        try:
            config = load(path)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
            node.reload_failed()
        else:
            log.info("configuration read again; discovery at %s:%d", *config.discovery)
            node.reload(config)
        if sidecar is not None:
            sidecar.reload()

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    signals = Signals(loop, reload, stop.set)
    config = load(path)
    node = start_node(config, balancer_class())
    log.info("%s serves on %s:%d", config.name, config.listen[0], node.server.port)
    if operator is not None:
        sidecar = start_sidecar(operator)
    await stop.wait()
    log.info("stopping: finishing what was taken")
    await asyncio.gather(node.stop(), *([sidecar.stop()] if sidecar is not None else []))
    signals.ignore()


def main() -> int:
    """Run the program; return its exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    match sys.argv[1:]:
        case []:
            operator = None
        case ["--operator", operator]:
            pass
        case _:
            print("passpost: usage: python -m passpost [--operator FILE]", file=sys.stderr)
            return 2
    try:
        uvloop.run(serve(os.environ.get("EDGE_CONFIG", ""), operator))
    except ConfigError as error:
        print(f"passpost: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # most likely the address to listen on is not available
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
