"""One balancer that operators call and whose versions take over from each other."""

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
from passpost.ops import handover, heritage, rules
from passpost.ops.counting import CountingEngine
from passpost.ops.endpoint import Endpoint
from passpost.ops.model import AskFigures, AskReady, Bans, Reply, Request, SetBan, SetDrain
from passpost.ops.store import Store
from umberworks.interface import Attached, Detached, Readiness
from umberworks.rules import Balancer

log = logging.getLogger("passpost.ops")

LOOK_S = 0.1  # how often the bans are looked at while two versions run; a ban is owed within 1 s
WHILE_TWO = 0.5  # the part of the descriptors that each of two versions may hold


class OperatedNode(Node):
    """A node with a listener for operators at `config.ops`, and its state under `folder` (None: in memory only).

    `taken`: what `take_over` got from a version that runs. Raises OSError if an address can't be had.
    """

    engine: CountingEngine

    def __init__(
        self,
        config: Config,
        folder: Path | None,
        taken: handover.Taken | None = None,
        module: type[Balancer] = Balancer,
        engine: type[CountingEngine] = CountingEngine,
        discovery: type[Discovery] = Discovery,
    ) -> None:
        assert config.ops is not None
        stem = None if folder is None else _stem(config, folder)
        if stem is None:
            log.warning("no $TMPDIR: bans end with this process, and no later version can take over from it")
        host = handover.Shared(taken[0] if taken else None)
        endpoint = Endpoint(config.ops, self.answer, HOST)  # first: what can't be had must not cost a caller
        try:
            super().__init__(config, host, module, engine, discovery)
        except BaseException:
            endpoint.close()
            raise
        self.endpoint = endpoint
        self._links: list[handover.Link] = []
        self._successors = 0
        self._looker: asyncio.TimerHandle | None = None
        self._offer: handover.Offer | None = None
        self._told = Bans()
        self._store = Store(stem.with_suffix(".bans") if stem is not None else None)
        self._tell_bans()
        if taken:
            log.info("took over the listening socket from the version that runs")
            self._link(taken[1], successor=False)
        if stem is not None:
            self._make_offer(stem.with_suffix(".sock"))

    def _make_offer(self, path: Path) -> None:
        try:
            listener = cast("socket.socket", self.server.listener)
            self._offer = handover.Offer(path, listener, lambda c: self._link(c, successor=True))
        except OSError as error:
            log.warning("no later version can take over from this one: %s", error)

    # ---- two versions

    def _link(self, connection: socket.socket, successor: bool) -> None:
        """Another version runs from now on, until its end of the connection closes."""

        def ended() -> None:
            self._links.remove(link)
            self._successors -= successor
            log.info("the %s version has ended", "new" if successor else "old")
            self._share()
            if successor and self._offer is not None:  # it had put its own offer in place of ours
                self._offer.close()
                self._make_offer(self._offer.path)

        link = handover.Link(connection, ended, self._hear)
        if successor:
            link.say(heritage.write(self.engine.learned()))
        self._links.append(link)
        self._successors += successor
        self._share()
        if self._looker is None:
            self._look()

    def _hear(self, line: bytes) -> None:
        """What the version before has learned; one that can't be read is no harm."""
        try:
            learned = heritage.read(line)
        except ValueError as error:
            log.warning("what the other version has learned can't be read: %s", error)
        else:
            self.engine.forward_event(learned)

    def _share(self) -> None:
        """Two versions are one balancer to the platform: its descriptors are divided."""
        self.limit(WHILE_TWO if self._links else 1.0)

    def _look(self) -> None:
        self._looker = None
        if self._store.look():
            self._tell_bans()
        if self._links:
            self._looker = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    async def stop(self) -> None:
        """Finish what was taken, the quick way if a new version takes what comes; then close everything."""
        if self._offer is not None:
            self._offer.close()
            self._offer = None  # whoever comes now has nothing to take over
        try:
            if self._successors:
                await self.server.hand_over(self.drain_time_s())
            else:
                await self.server.drain(self.drain_time_s())
        finally:
            self.close()
            self.endpoint.close()
            if self._looker is not None:
                self._looker.cancel()
            for link in self._links:
                link.close()

    # ---- calls

    def answer(self, call: Request) -> Reply:
        """What an operator's call comes to."""
        match rules.read(call):
            case Reply() as no:
                return no
            case AskReady():
                ready = self.server.is_ready()
                return Reply(200 if ready else 503, "ready" if ready else "not ready")
            case AskFigures():
                return Reply(200, self.engine.tally.write(len(self.discovery.members), self._excluded()))
            case SetBan() as change:
                return self._ban(change)
            case SetDrain(on=False) if self.server.is_stopping():
                return Reply(409, "about to end: this process does not go back to work")
            case SetDrain(on):
                log.info("called to %s", "empty" if on else "go back to work")
                if on:
                    self.server.empty()
                else:
                    self.server.refill()
                return Reply(200, "emptying" if on else "at work")

    def _ban(self, change: SetBan) -> Reply:
        reply = Reply(500, "nothing was done")

        def by(bans: Bans) -> Bans:
            nonlocal reply
            now, memory = time.time() * 1000, self._config.settings.cold_ms
            bans, reply = rules.ban(bans, change, self.discovery.members, now, memory)
            return bans

        self._store.change(by)
        self._tell_bans()
        log.info("%s: %s", "detach" if change.out else "attach", reply.text)
        return reply

    def _tell_bans(self) -> None:
        """Tell the module what has changed since it was last told."""
        out, back = rules.difference(self._told, self._store.bans)
        self._told = self._store.bans
        for server in out:
            self.engine.forward_event(Detached(server))
            self.upstreams.let_go(server)
        for server, at in back:
            self.upstreams.let_go(server)  # what was kept to it may lead to a process that is no more
            self.engine.forward_event(Attached(server, at))

    def _excluded(self) -> int:
        members = self.discovery.members
        return len(
            members.keys() & self._told.out
            | {n for n, m in members.items() if m.readiness is not Readiness.READY}
        )

    def reload(self, config: Config) -> None:
        """As a node's; counted."""
        super().reload(config)
        self.engine.tally.reloads_ok += 1

    def reload_failed(self) -> None:
        """Count a configuration that could not be used."""
        self.engine.tally.reloads_failed += 1


def _stem(config: Config, folder: Path) -> Path:
    return folder / f"passpost-{re.sub(r'[^A-Za-z0-9_-]', '_', config.name)}"


def take_over(config: Config, folder: Path | None) -> handover.Taken | None:
    """The listening socket of the version that runs, if one does; waits for its answer."""
    return handover.take(_stem(config, folder).with_suffix(".sock")) if folder is not None else None


def folder() -> Path | None:
    """Where state may lie that a later version finds: `$TMPDIR`, if it is a folder."""
    path = os.environ.get("TMPDIR", "")
    return Path(path) if path and os.path.isdir(path) else None
