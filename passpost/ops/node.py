"""A balancer that serves operators' calls and takes over from, or hands over to, another version."""

from __future__ import annotations

import asyncio
import logging
import os
import re
import socket
import time
from pathlib import Path
from typing import cast

from passpost.config import Config
from passpost.discovery import Discovery
from passpost.host import HOST
from passpost.node import Node
from passpost.ops import handover, learned_state, rules
from passpost.ops.counting import CountingEngine
from passpost.ops.endpoint import Endpoint
from passpost.ops.model import DetachState, GetMetrics, GetReadiness, Reply, Request, SetDetached, SetDrain
from passpost.ops.store import DetachStore
from umberworks.interface import Attached, Detached, Readiness
from umberworks.rules import Balancer

log = logging.getLogger("passpost.ops")

# How often the file of detached upstreams is checked while two versions run: a call to one version must
# take effect in both within 1 s.
FILE_CHECK_S = 0.1
OVERLAP_SHARE = 0.5  # the share of the descriptors that each of two running versions may hold


class OperatedNode(Node):
    """A node with a listener for operators at `config.ops` and state files in `folder`.

    With `folder` None its state is in memory only. `handed_over`: the result of `take_over`. Raises OSError
    if it can't listen on an address.
    """

    engine: CountingEngine

    def __init__(
        self,
        config: Config,
        folder: Path | None,
        handed_over: handover.HandedOver | None = None,
        module: type[Balancer] = Balancer,
        engine: type[CountingEngine] = CountingEngine,
        discovery: type[Discovery] = Discovery,
    ) -> None:
        assert config.ops is not None
        path_stem = None if folder is None else _path_stem(config, folder)
        if path_stem is None:
            log.warning(
                "$TMPDIR is not a folder: bans end with this process, and no later version can take over"
            )
        host = handover.HandoverHost(handed_over[0] if handed_over else None)
        # The operators' listener is opened before callers are accepted: if its address is not available, no
        # caller is affected.
        endpoint = Endpoint(config.ops, self.handle, HOST)
        try:
            super().__init__(config, host, module, engine, discovery)
        except BaseException:
            endpoint.close()
            raise
        self.endpoint = endpoint
        self._links: list[handover.PeerLink] = []
        self._successors = 0
        self._check_timer: asyncio.TimerHandle | None = None
        self._handover_server: handover.HandoverServer | None = None
        self._applied = DetachState()
        self._store = DetachStore(path_stem.with_suffix(".bans") if path_stem is not None else None)
        self._apply_detach_state()
        if handed_over:
            log.info("took over the listening socket from the version that runs")
            self._add_link(handed_over[1], successor=False)
        if path_stem is not None:
            self._start_handover_server(path_stem.with_suffix(".sock"))

    def _start_handover_server(self, path: Path) -> None:
        try:
            listener = cast("socket.socket", self.server.listener)
            self._handover_server = handover.HandoverServer(
                path, listener, lambda c: self._add_link(c, successor=True)
            )
        except OSError as error:
            log.warning("no later version can take over from this one: %s", error)

    # ---- two versions

    def _add_link(self, connection: socket.socket, successor: bool) -> None:
        """Note that another version runs until it closes `connection`; `successor`: whether it is newer."""

        def on_closed() -> None:
            self._links.remove(link)
            self._successors -= successor
            log.info("the %s version has ended", "new" if successor else "old")
            self._share_descriptors()
            if successor and self._handover_server is not None:
                # The new version had bound its own handover socket at the path of this one.
                self._handover_server.close()
                self._start_handover_server(self._handover_server.path)

        link = handover.PeerLink(connection, on_closed, self._receive_learned)
        if successor:
            link.send_line(learned_state.serialize(self.engine.learned()))
        self._links.append(link)
        self._successors += successor
        self._share_descriptors()
        if self._check_timer is None:
            self._check_file()

    def _receive_learned(self, line: bytes) -> None:
        """Pass what the old version has learned to the engine; a malformed line is logged and ignored."""
        try:
            learned = learned_state.deserialize(line)
        except ValueError as error:
            log.warning("what the other version has learned can't be read: %s", error)
        else:
            self.engine.forward_event(learned)

    def _share_descriptors(self) -> None:
        """Divide the descriptors between two running versions, which the platform limits as one balancer."""
        self.limit(OVERLAP_SHARE if self._links else 1.0)

    def _check_file(self) -> None:
        self._check_timer = None
        if self._store.refresh():
            self._apply_detach_state()
        if self._links:
            self._check_timer = asyncio.get_running_loop().call_later(FILE_CHECK_S, self._check_file)

    async def stop(self) -> None:
        """Finish the accepted requests, then close everything.

        It takes less time if a new version accepts connections already.
        """
        if self._handover_server is not None:
            self._handover_server.close()
            self._handover_server = None  # a version that starts from now on has nothing to take over
        try:
            if self._successors:
                await self.server.hand_over(self.drain_time_s())
            else:
                await self.server.drain(self.drain_time_s())
        finally:
            self.close()
            self.endpoint.close()
            if self._check_timer is not None:
                self._check_timer.cancel()
            for link in self._links:
                link.close()

    # ---- calls

    def handle(self, request: Request) -> Reply:
        """Carry out an operator's call."""
        match rules.parse_command(request):
            case Reply() as error_reply:
                return error_reply
            case GetReadiness():
                ready = self.server.is_ready()
                return Reply(200 if ready else 503, "ready" if ready else "not ready")
            case GetMetrics():
                return Reply(
                    200, self.engine.metrics.render(len(self.discovery.members), self._count_excluded())
                )
            case SetDetached() as change:
                return self._set_detached(change)
            case SetDrain(enabled=False) if self.server.is_stopping():
                return Reply(409, "about to end: this process does not go back to work")
            case SetDrain(enabled):
                log.info("operator's call: %s", "drain" if enabled else "resume service")
                if enabled:
                    self.server.start_lame_duck()
                else:
                    self.server.end_lame_duck()
                return Reply(200, "emptying" if enabled else "at work")

    def _set_detached(self, change: SetDetached) -> Reply:
        reply = Reply(500, "nothing was done")

        def update(state: DetachState) -> DetachState:
            nonlocal reply
            now_ms, retention_ms = time.time() * 1000, self._config.settings.cold_ms
            state, reply = rules.apply_change(state, change, self.discovery.members, now_ms, retention_ms)
            return state

        self._store.change(update)
        self._apply_detach_state()
        log.info("%s: %s", "detach" if change.detached else "attach", reply.text)
        return reply

    def _apply_detach_state(self) -> None:
        """Pass the changes since the last call to the engine, and close idle connections to the upstreams."""
        detached, attached_at_ms = rules.diff(self._applied, self._store.state)
        self._applied = self._store.state
        for server in detached:
            self.engine.forward_event(Detached(server))
            self.upstreams.close_idle(server)
        for server, at in attached_at_ms:
            self.upstreams.close_idle(server)  # kept connections may lead to a process that no longer exists
            self.engine.forward_event(Attached(server, at))

    def _count_excluded(self) -> int:
        """How many listed upstreams get no requests: they are detached, draining or gone."""
        members = self.discovery.members
        return len(
            members.keys() & self._applied.detached
            | {n for n, m in members.items() if m.readiness is not Readiness.READY}
        )

    def reload(self, config: Config) -> None:
        """As in `Node`; counts the reload."""
        super().reload(config)
        self.engine.metrics.reloads_ok += 1

    def reload_failed(self) -> None:
        """Count a reload whose configuration was not valid."""
        self.engine.metrics.reloads_failed += 1


def _path_stem(config: Config, folder: Path) -> Path:
    return folder / f"passpost-{re.sub(r'[^A-Za-z0-9_-]', '_', config.name)}"


def take_over(config: Config, folder: Path | None) -> handover.HandedOver | None:
    """The listening socket of a running version and a connection to it, or None.

    Blocks until that version answers.
    """
    return (
        handover.request_handover(_path_stem(config, folder).with_suffix(".sock"))
        if folder is not None
        else None
    )


def state_folder() -> Path | None:
    """The folder for state that a later version finds: `$TMPDIR`, or None if that is not a folder."""
    path = os.environ.get("TMPDIR", "")
    return Path(path) if path and os.path.isdir(path) else None
