"""One balancer: `python -m passpost`, told by the environment where its configuration lies."""

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


class Beside(Protocol):
    """What an operator's file adds to the platform's balancer."""

    def reload(self) -> None:
        """Read the file again."""

    async def stop(self) -> None:
        """Answer what was taken, then close everything."""


def beside(path: str) -> Beside:
    """Carry the applications of an operator's file in this process too. Loaded here, as the platform has none."""
    try:
        from passpost.operator import sidecar
        from passpost.operator.reader import UnreadableError
    except ImportError as error:
        raise ConfigError(f"--operator needs {error.name}: pip install 'passpost[cli]'") from None
    try:
        return sidecar.EmbeddedSidecar(path)
    except (UnreadableError, sidecar.InvalidFileError, ValueError) as error:
        raise ConfigError(str(error)) from None


def started(config: Config, module: type[Balancer]) -> Node:
    """A node; one that operators call where there is an address for it, and a traced one with `$PASSPOST_TRACE`.

    What either needs is loaded here, as the platform's older days have no operators, and a day in service no trace.
    """
    traced = bool(os.environ.get("PASSPOST_TRACE"))
    if config.ops is None:
        if not traced:
            return Node(config, module=module)
        from passpost.trace.discovery import TracedDiscovery
        from passpost.trace.engine import TracedEngine

        return Node(config, module=module, engine=TracedEngine, discovery=TracedDiscovery)
    from passpost.ops import node

    folder = node.folder()
    taken = node.take_over(config, folder)
    if not traced:
        return node.OperatedNode(config, folder, taken, module)
    from passpost.trace.discovery import TracedDiscovery
    from passpost.trace.engine import TracedCountingEngine

    return node.OperatedNode(config, folder, taken, module, TracedCountingEngine, TracedDiscovery)


def chosen_module() -> type[Balancer]:
    """The decision module; with `$PASSPOST_FIGURES` one that also writes its figures to the log."""
    if not os.environ.get("PASSPOST_FIGURES"):
        return Balancer
    from passpost.recorder import Recorded

    return Recorded


async def serve(path: str, operator: str | None = None) -> None:
    """Run until SIGTERM, by the configuration at `path`; SIGHUP reads it again."""
    node: Node | None = None
    carried: Beside | None = None

    def reload() -> None:
        if node is None:
            return  # the file is still to be read
        try:
            config = load(path)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
            node.reload_failed()
        else:
            log.info("configuration read again; discovery at %s:%d", *config.discovery)
            node.reload(config)
        if carried is not None:
            carried.reload()

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    signals = Signals(loop, reload, stop.set)
    config = load(path)
    node = started(config, chosen_module())
    log.info("%s serves on %s:%d", config.name, config.listen[0], node.server.port)
    if operator is not None:
        carried = beside(operator)
    await stop.wait()
    log.info("stopping: finishing what was taken")
    await asyncio.gather(node.stop(), *([carried.stop()] if carried is not None else []))
    signals.ignore()


def main() -> int:
    """Start as the environment says; the result is the exit status."""
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
    except OSError as error:  # most likely the address to listen on
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
