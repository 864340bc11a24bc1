"""The parts of one balancer, wired together: started, told of a new configuration, and stopped."""

from __future__ import annotations

import logging
from dataclasses import fields

from passpost.callers.listener import Server
from passpost.config import Config
from passpost.discovery import Discovery
from passpost.engine import Engine
from passpost.host import HOST, Host
from passpost.upstreams.pool import Upstreams
from umberworks.interface import DiscoveryMoved
from umberworks.rules import Balancer

log = logging.getLogger("passpost")

# Callers and upstreams get a part of the descriptors each; the rest is for the listening socket, discovery,
# the loop, files, and sockets that are closed but not gone yet. Callers get more: a request that waits in
# the listening socket's queue is taken and not seen, while an attempt without a connection ends at once.
CALLERS_SHARE, UPSTREAMS_SHARE = 0.55, 0.35
OWN = 24  # the least of that rest: a process holds 15 at rest, and discovery may have four lines

# A planned restart kills no sooner than the longest deadline, of which LONGEST_S count at most, and so much later;
# the spare is for ending. To plan for more than that is to be killed with callers that were never let go.
LONGEST_S, KILL_AFTER_S, SPARE_S = 3.0, 0.7, 0.3


def shares(sockets: int) -> tuple[int, int]:
    """How many connections callers and upstreams may have, of so many descriptors."""
    given = CALLERS_SHARE + UPSTREAMS_SHARE
    free = min(sockets * given, sockets - OWN)
    return int(free * CALLERS_SHARE / given), int(free * UPSTREAMS_SHARE / given)


class Node:
    """The parts of one balancer, wired together and started."""

    def __init__(
        self,
        config: Config,
        host: Host = HOST,
        module: type[Balancer] = Balancer,
        engine: type[Engine] = Engine,
        discovery: type[Discovery] = Discovery,
    ) -> None:
        self._config = config
        callers, upstreams = shares(config.sockets)
        self.upstreams = Upstreams(config.connect_timeout, config.idle_timeout, upstreams, host)
        settings = config.settings
        self.discovery = discovery(
            config.discovery,
            config.known,
            not settings.pulls_list,
            settings.ask_within_ms / 1000,
            host.monotonic,
        )
        self.engine = engine(
            config.settings,
            config.seed,
            self.upstreams,
            self.discovery.subscribe,
            config.answer_grace,
            host,
            module,
        )
        self.server = Server(self.engine, config.listen, callers, host)
        self.upstreams.start()
        self.discovery.start(self.engine.listed, self.engine.listed_part)
        self.server.start()

    def reload(self, config: Config) -> None:
        """Take over a changed address of discovery; all else needs a restart, which the log says."""
        changed = [f.name for f in fields(Config) if getattr(config, f.name) != getattr(self._config, f.name)]
        if later := [name for name in changed if name not in ("discovery", "known", "seed")]:
            log.warning("configuration: a change of %s waits for a restart", ", ".join(later))
        self._config = config
        if self.discovery.move(config.discovery):
            self.engine.told(DiscoveryMoved())

    def reload_failed(self) -> None:
        """A configuration could not be used; for nodes that count."""

    def limit(self, share: float) -> None:
        """Hold so large a part of the descriptors at most."""
        callers, upstreams = shares(self._config.sockets)
        self.server.set_max_open(int(callers * share))
        self.upstreams.set_max_open(int(upstreams * share))

    def within(self) -> float:
        """How long a planned restart leaves us after SIGTERM, in seconds."""
        longest = max(c.deadline_ms for c in self._config.settings.classes) / 1000
        return min(longest, LONGEST_S) + KILL_AFTER_S - SPARE_S

    async def stop(self) -> None:
        """Finish what was taken, then close everything."""
        await self.server.drain(self.within())
        self.close()

    def close(self) -> None:
        """Follow the list and keep connections no more."""
        self.discovery.stop()
        self.upstreams.stop()
