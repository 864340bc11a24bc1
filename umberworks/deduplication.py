"""Which servers drop a repeat of a keyed request, and until when (interface: umberworks/interface.py).

All of it follows from the first attempt that may have run, as it was sent. What the server list says later of
that attempt's server changes nothing: not a new process, not another cell, not that it is gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from umberworks.interface import DedupScope, Effect, Member, RequestClass
from umberworks.requests import Attempt, Request
from umberworks.servers import Server


@dataclass(frozen=True, slots=True)
class RepeatGroup:
    """The servers that drop a repeat: those of `scope` around `member`.

    `member` is the entry, as of the send, of the server that may have run the request. Times are in ms.
    """

    scope: DedupScope
    member: Member
    sent: float
    window_ms: float

    def is_open(self, now: float) -> bool:
        """Whether the servers still recognize a repeat that is sent now."""
        return now < self.sent + self.window_ms

    def drops_repeat(self, server: Server) -> bool:
        """Whether the server drops the repeat: it has been of the group since before the first attempt.

        A server that restarted or joined the group since then may have no record of the request.
        """
        member = server.member
        if max(member.up_since_ms, server.reattached_at) > self.sent:
            return False
        if self.scope is DedupScope.ALL:
            return True
        if server.in_group_since > self.sent:
            return False
        if self.scope is DedupScope.ZONE:
            return member.zone == self.member.zone
        return member.cell == self.member.cell


def may_still_send(request: Request, attempt: int, now: float) -> bool:
    """Whether an attempt of this number that has waited since it was chosen may be sent now.

    A repeat of a keyed request may not if the window is over, or if its server has been replaced meanwhile.
    """
    if request.cls.effect is not Effect.KEYED:
        return True
    group = repeat_group(request.cls, request.attempts[:attempt])
    return group is None or (group.is_open(now) and group.drops_repeat(request.attempts[attempt].server))


def repeat_group(cls: RequestClass, attempts: Iterable[Attempt]) -> RepeatGroup | None:
    """The group of a request with these attempts; None if none of them can have run."""
    ran = next((a for a in attempts if a.ran), None)
    return None if ran is None else RepeatGroup(cls.dedup_scope, ran.member, ran.sent, cls.dedup_window_ms)
