"""One balancer: `python -m passpost`, told by the environment where its configuration lies."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import fields

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

# A planned restart kills no sooner than the longest deadline and so much later; the spare is for ending.
KILL_AFTER_S, SPARE_S = 0.7, 0.3


class Node:
    """The parts of one balancer, wired together and started."""

    def __init__(self, config: Config) -> None:
        self._config = config
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

    def reload(self, config: Config) -> None:
        """Take over a changed address of discovery; all else needs a restart, which the log says."""
        changed = [f.name for f in fields(Config) if getattr(config, f.name) != getattr(self._config, f.name)]
        if later := [name for name in changed if name not in ("discovery", "known", "seed")]:
            log.warning("configuration: a change of %s waits for a restart", ", ".join(later))
        self._config = config
        self.discovery.move(config.discovery)

    async def stop(self) -> None:
        """Finish what was taken, then close everything."""
        longest = max(c.deadline_ms for c in self._config.settings.classes) / 1000
        await self.server.drain(longest + KILL_AFTER_S - SPARE_S)
        self.discovery.stop()
        self.upstreams.stop()


async def serve(path: str) -> None:
    """Run until SIGTERM, by the configuration at `path`; SIGHUP reads it again."""
    node: Node | None = None

    def reload() -> None:
        if node is None:
            return  # the file is still to be read
        try:
            config = load(path)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
        else:
            log.info("configuration read again; discovery at %s:%d", *config.discovery)
            node.reload(config)

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload)  # first of all: unhandled, it ends the process
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config = load(path)
    node = Node(config)
    log.info("%s serves on %s:%d", config.name, config.listen[0], node.server.port)
    await stop.wait()
    log.info("stopping: finishing what was taken")
    await node.stop()
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the loop is about to give up its handlers


def main() -> int:
    """Start as the environment says; the result is the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        uvloop.run(serve(os.environ.get("EDGE_CONFIG", "")))
    except ConfigError as error:
        print(f"passpost: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # most likely the address to listen on
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
