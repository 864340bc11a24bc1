"""Writes a line for each call for the list that is over. Off by default, and not imported then: PASSPOST_TRACE=1."""

from __future__ import annotations

import logging

from passpost.discovery import Discovery, DiscoveryConnection
from passpost.host import HOST
from passpost.http1 import BadAnswerError
from passpost.listing import Listing
from passpost.trace.model import Call, write_call
from umberworks.interface import Readiness

log = logging.getLogger(__name__)

_PHASES = {Readiness.DRAINING: "leaving", Readiness.GONE: "left"}


class TracedDiscovery(Discovery):
    """Follows the list as its base does, and writes what became of each call."""

    async def _call(self, connection: DiscoveryConnection, revision: int | None, wait_ms: int) -> Listing:
        begun = HOST.unix()
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
            if not (self._pushed and end == "answered" and not away):  # an agent is asked many times a second
                place = f"{connection.address[0]}:{connection.address[1]}"
                took = round((HOST.unix() - begun) * 1000)
                log.info(
                    "%s", write_call(Call(place, revision, wait_ms, round(begun * 1000), took, end, away))
                )
