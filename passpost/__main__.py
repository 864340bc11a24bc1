"""One balancer: `python -m passpost`, told by the environment where its configuration lies."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import uvloop

from passpost.config import Config, ConfigError, load
from passpost.discovery import Discovery
from passpost.engine import Engine
from passpost.server import Server
from passpost.upstream import Upstreams

log = logging.getLogger("passpost")

# Callers and upstreams get a part of the descriptors each; the rest is for the listening socket, discovery,
# the loop, files, and sockets that are closed but not gone yet. Callers get more: a request that waits in
# the listening socket's queue is taken and not seen, while an attempt without a connection ends at once.
CALLERS_SHARE, UPSTREAMS_SHARE = 0.55, 0.35


class Node:
    """The parts of one balancer, wired together and started."""

    def __init__(self, config: Config) -> None:
        self.upstreams = Upstreams(
            config.connect_timeout, config.idle_timeout, max_open=int(config.sockets * UPSTREAMS_SHARE)
        )
        self.discovery = Discovery(config.discovery, config.known)
        self.engine = Engine(
            config.settings, config.seed, self.upstreams, self.discovery.subscribe, config.answer_grace
        )
        self.server = Server(self.engine, config.listen, max_open=int(config.sockets * CALLERS_SHARE))
        self.upstreams.start()
        self.discovery.start(self.engine.listed)
        self.server.start()

    async def stop(self) -> None:
        """Finish what was taken, then close everything."""
        await self.server.drain()
        self.discovery.stop()
        self.upstreams.stop()


async def serve(config: Config) -> None:
    """Run until SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    node = Node(config)
    log.info("%s serves on %s:%d", config.name, *config.listen)
    await stop.wait()
    log.info("stopping: finishing what was taken")
    await node.stop()


def main() -> int:
    """Start as the environment says; the result is the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ.get("EDGE_CONFIG", ""))
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"passpost: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # most likely the address to listen on
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
