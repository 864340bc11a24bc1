"""A complete balancer: creates its components, applies new configurations, and shuts it down."""

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
from umberworks.memory_budget import MemoryBudget
from umberworks.rules import Balancer

log = logging.getLogger("passpost")

# The parts of the file descriptors that client and upstream connections may use. The rest is for the listening socket,
# discovery, the event loop, files, and sockets that are closed but not yet released. Clients get more: a request in
# the listening socket's queue counts as accepted although it can't be seen, while an attempt without a connection
# ends at once.
CALLERS_SHARE, UPSTREAMS_SHARE = 0.55, 0.35
RESERVED_DESCRIPTORS = 24  # minimum of that rest: an idle process holds 15, discovery up to 4 connections

# In a planned restart SIGKILL follows SIGTERM no sooner than after the longest deadline, capped at DEADLINE_CAP_S, plus
# KILL_AFTER_S. SHUTDOWN_MARGIN_S of that is kept for shutting down. A drain planned to take longer would be killed
# while it still keeps clients' connections open.
DEADLINE_CAP_S, KILL_AFTER_S, SHUTDOWN_MARGIN_S = 3.0, 0.7, 0.3


def connection_limits(sockets: int) -> tuple[int, int]:
    """Numbers of client and of upstream connections that fit into this number of file descriptors."""
    total_share = CALLERS_SHARE + UPSTREAMS_SHARE
    available = min(sockets * total_share, sockets - RESERVED_DESCRIPTORS)
    return int(available * CALLERS_SHARE / total_share), int(available * UPSTREAMS_SHARE / total_share)


class Node:
    """One balancer: its listener, engine, upstream connections and discovery, started on creation."""

    def __init__(
        self,
        config: Config,
        host: Host = HOST,
        module: type[Balancer] = Balancer,
        engine: type[Engine] = Engine,
        discovery: type[Discovery] = Discovery,
    ) -> None:
        self._config = config
        callers, upstreams = connection_limits(config.sockets)
        budget = MemoryBudget.for_process(config.memory_mb, host.resident_bytes())
        self.upstreams = Upstreams(
            config.connect_timeout, config.idle_timeout, upstreams, host, buffer_bytes=budget.buffer_bytes
        )
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
        self.server = Server(self.engine, config.listen, callers, host, budget=budget)
        self.upstreams.start()
        self.discovery.start(self.engine.list_updated, self.engine.list_slice_updated)
        self.server.start()

    def reload(self, config: Config) -> None:
        """Apply a changed address of discovery; log a warning for settings that take effect only after a restart."""
        changed = [f.name for f in fields(Config) if getattr(config, f.name) != getattr(self._config, f.name)]
        if ignored := [name for name in changed if name not in ("discovery", "known", "seed")]:
            log.warning("configuration: a change of %s waits for a restart", ", ".join(ignored))
        self._config = config
        if self.discovery.move(config.discovery):
            self.engine.forward_event(DiscoveryMoved())

    def reload_failed(self) -> None:
        """Record a configuration that could not be used; does nothing here, subclasses count it."""

    def limit(self, share: float) -> None:
        """Use at most this share of the connections that the descriptors allow."""
        callers, upstreams = connection_limits(self._config.sockets)
        self.server.set_max_open(int(callers * share))
        self.upstreams.set_max_open(int(upstreams * share))

    def drain_time_s(self) -> float:
        """Seconds that a planned restart allows for a drain after SIGTERM."""
        longest = max(c.deadline_ms for c in self._config.settings.classes) / 1000
        return min(longest, DEADLINE_CAP_S) + KILL_AFTER_S - SHUTDOWN_MARGIN_S

    async def stop(self) -> None:
        """Answer all accepted requests, then close everything."""
        await self.server.drain(self.drain_time_s())
        self.close()

    def close(self) -> None:
        """Stop following the list and close the upstream connections."""
        self.discovery.stop()
        self.upstreams.stop()
