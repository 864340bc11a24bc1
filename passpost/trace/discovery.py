"""Logs one line when a call to discovery ends. Imported only with PASSPOST_TRACE=1."""

from __future__ import annotations

import logging

from passpost.discovery import Discovery, DiscoveryConnection
from passpost.host import HOST
from passpost.http1 import BadAnswerError
from passpost.listing import Listing
from passpost.trace.model import ListCallEntry, format_list_call
from umberworks.interface import Readiness

log = logging.getLogger(__name__)

_PHASES = {Readiness.DRAINING: "leaving", Readiness.GONE: "left"}


class TracedDiscovery(Discovery):
    """Follows the server list as `Discovery` does, and logs how each call ended."""

    async def _call(self, connection: DiscoveryConnection, revision: int | None, wait_ms: int) -> Listing:
        start = HOST.unix()
        end = "dropped"
        away: tuple[tuple[str, str], ...] = ()
        try:
            listing = await super()._call(connection, revision, wait_ms)
            end = "answered"
            away = tuple((m.server, _PHASES[m.readiness]) for m in listing.members if m.readiness in _PHASES)
            return listing
        except TimeoutError:
            end = "timed_out"
            raise
        except (EOFError, ConnectionResetError):
            end = "cut_off"
            raise
        except BadAnswerError as error:
            end = str(error).replace(" ", "_").lower()[:40]
            raise
        except OSError:
            end = "unreached"
            raise
        finally:
            # A local agent is called many times a second: its calls are logged only if they fail or tell of a
            # server that leaves.
            if not (self._pushed and end == "answered" and not away):
                place = f"{connection.address[0]}:{connection.address[1]}"
                took_ms = round((HOST.unix() - start) * 1000)
                log.info(
                    "%s",
                    format_list_call(
                        ListCallEntry(place, revision, wait_ms, round(start * 1000), took_ms, end, away)
                    ),
                )
