"""Watches the four rules from outside: it sees what clients send and get, what nodes get and answer, and what
the list has told. No I/O, and nothing of the balancer's own state.

1. No request is lost: what a running balancer has taken gets one whole answer in time, made for it by a node,
   and nothing is sent for it afterwards.
2. No effect twice: an unsafe request runs once at the most, and is not refused once it may have run; a keyed
   one is not sent again past its key's window.
3. Drains are kept: nothing new to a node later than the grace after its drain was told.
4. No cold node is pushed over by balancers that were told that it had started.
5. Nothing is sent for who has left: of the requests whose clients left while nothing was out for them a
   quarter at the most is sent on LEFT_S later.

Times are seconds of the night. A send counts from when it was written, so that a slow network breaks no rule.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from passpost.rehearsal.model import Class, Contract

SLACK_S = 0.05  # every time limit is so much longer, as clocks and loops are coarse
KEEP_S = 20.0  # a request that is over is remembered for so long, for its timeline and for late sends
TOLD_PART = 2 / 3  # of the pressure on a cold node must come from balancers that knew

LEFT_S, LEFT_SHARE, LEFT_FEW = 0.3, 0.25, 4  # of up to so few cases a share tells nothing

RULES = {
    "lost": "no request is lost",
    "twice": "no effect happens twice",
    "drain": "drains are kept",
    "cold": "no cold node is pushed over",
    "left": "nothing is sent for who has left",
}


@dataclass(slots=True)
class Violation:
    """One broken rule with the request's timeline."""

    rule: str
    at: float
    text: str
    timeline: list[str]


@dataclass(slots=True)
class _Seen:
    """What is known of one request id."""

    cls: Class
    balancer: str
    parent: str
    timeline: list[tuple[float, str]]
    taken: float = 0.0
    due: float = 0.0
    answered: float | None = None
    given_up: bool = False  # the client has gone; the balancer may hear of it late
    left: float | None = None  # when it went, if it was waiting for nothing that was out
    ran: dict[int, float] = field(
        default_factory=dict
    )  # attempts that may have run, and when they were written
    attempts: int = 0
    bodies: set[bytes] = field(default_factory=set)


class InvariantChecker:
    """Told of everything; `violations` grows with each broken rule."""

    def __init__(self, contract: Contract) -> None:
        self._contract = contract
        self.violations: list[Violation] = []
        self.attempts = 0
        self.sink: Callable[[str], None] | None = (
            None  # a line for each attempt and refusal, seen from outside
        )
        self.left_waiting, self.sent_after = (
            0,
            0,
        )  # clients that left so, and those of them that were sent for
        self._seen: dict[str, _Seen] = {}
        self._over: deque[tuple[float, str]] = deque()
        self._drained: dict[tuple[str, str], float] = {}  # (balancer, node): when its drain was told
        self._knows: set[tuple[str, str, float]] = set()  # (balancer, node, start): told that it has started

    # ---- the callers' side

    def request_sent(
        self, now: float, txn: str, cls: Class, balancer: str, due: float, parent: str = ""
    ) -> None:
        """A request's last byte is written to a balancer, which owes the answer by `due`."""
        seen = self._seen.get(txn)
        if seen is None:
            seen = self._seen[txn] = _Seen(cls, balancer, parent, [])
        seen.taken, seen.due = now, due
        seen.timeline.append((now, f"{txn} ({cls.name}, {cls.effect}) sent to {balancer}, due {due:.3f}"))
        self._forget(now)

    def response_served(self, now: float, txn: str, body: bytes) -> None:
        """The whole answer 200 is there."""
        seen = self._answer(now, txn, "served")
        if seen is not None and body not in seen.bodies:
            self._break("lost", now, f"{txn} was served with an answer that no node made for it", txn)

    def response_refused(self, now: float, txn: str) -> None:
        """The answer 429 or 503 is there: trying again is harmless."""
        seen = self._answer(now, txn, "refused")
        if self.sink is not None and seen is not None:
            self.sink(f"{now:.6f} {seen.balancer} {txn} refuse -")
        if seen is not None and seen.cls.effect == "unsafe" and seen.ran:
            self._break("twice", now, f"{txn} is unsafe, may have run, and was refused", txn)

    def response_failed(self, now: float, txn: str, status: int) -> None:
        """Any other answer."""
        self._answer(now, txn, f"failed with {status}")

    def response_lost(self, now: float, txn: str, why: str) -> None:
        """It ended without an answer, and its balancer runs: nothing excuses that."""
        if self._answer(now, txn, why) is not None:
            self._break("lost", now, f"{txn}: {why}", txn)

    def response_excused(self, now: float, txn: str, why: str) -> None:
        """It ended without an answer for a reason that is not the balancer's; it may not know that."""
        seen = self._seen.get(txn)
        if seen is not None:
            seen.timeline.append((now, f"{txn} {why}"))
            seen.given_up = True
            self._over.append((now, txn))

    def client_left(self, now: float, txn: str) -> None:
        """The client has hung up before its time was over."""
        self.response_excused(now, txn, "left by its client")
        seen = self._seen.get(txn)
        if seen is not None and not seen.ran:
            seen.left = now
            self.left_waiting += 1

    def run_ended(self, now: float) -> None:
        """The night is over: what only its whole can tell."""
        if self.left_waiting > LEFT_FEW and self.sent_after > LEFT_SHARE * self.left_waiting:
            text = (
                f"of {self.left_waiting} clients that left while they waited {self.sent_after} were sent for"
            )
            self._break("left", now, f"{text} {LEFT_S} s later or after that", "")

    def _answer(self, now: float, txn: str, what: str) -> _Seen | None:
        seen = self._seen.get(txn)
        if seen is None:
            return None
        seen.timeline.append((now, f"{txn} {what}"))
        if seen.answered is not None:
            self._break("lost", now, f"{txn} got a second answer", txn)
        seen.answered = now
        self._over.append((now, txn))
        return seen

    # ---- the nodes' side

    def attempt_received(
        self, begun: float, written: float, now: float, txn: str, node: str, balancer: str
    ) -> int:
        """An attempt's last byte has come to a node; its first was written at `begun`, its last at `written`.

        The result is its number for `turned_away`.
        """
        self.attempts += 1
        if self.sink is not None:
            self.sink(f"{now:.6f} {balancer} {txn} send {node}")
        seen = self._seen.get(txn)
        if seen is not None:
            seen.attempts += 1
            seen.timeline.append((now, f"{txn} attempt {seen.attempts} at {node}, written {begun:.3f}"))
        told = self._drained.get((balancer, node))
        if told is not None and begun > told + self._contract.drain_grace_ms / 1000 + SLACK_S:
            text = f"{balancer} sent {txn} to {node} {begun - told:.3f} s after it was told of its drain"
            self._break("drain", now, text, txn)
        if seen is None:
            self._break("lost", now, f"{node} got {txn}, which no client has sent lately", txn)
            return 0
        if seen.answered is not None and begun > seen.answered + SLACK_S:
            self._break("lost", now, f"{txn} was sent to {node} after its final answer", txn)
        if seen.left is not None and begun >= seen.left + LEFT_S:
            self.sent_after += 1
            seen.left = None  # counted once
        if seen.ran and seen.cls.effect == "unsafe":
            self._break(
                "twice", now, f"{txn} is unsafe and was sent again to {node} though it may have run", txn
            )
        if seen.ran and seen.cls.effect == "keyed":
            late = begun - min(seen.ran.values())
            if late > seen.cls.window_ms / 1000 + SLACK_S:
                text = f"{txn} was sent again {late:.3f} s after its first send, past its key's window"
                self._break("twice", now, text, txn)
        seen.ran[seen.attempts] = written
        return seen.attempts

    def attempt_turned_away(self, now: float, txn: str, node: str, number: int) -> None:
        """An attempt never ran."""
        seen = self._seen.get(txn)
        if seen is not None:
            seen.timeline.append((now, f"{txn} turned away by {node}"))
            seen.ran.pop(number, None)

    def node_responded(self, now: float, txn: str, node: str, body: bytes) -> None:
        """A node answers 200 with this body."""
        seen = self._seen.get(txn)
        if seen is not None:
            seen.bodies.add(body)
            seen.timeline.append((now, f"{txn} answered by {node}"))

    def add_note(self, now: float, txn: str, text: str) -> None:
        """Something that belongs to a request's timeline."""
        seen = self._seen.get(txn)
        if seen is not None:
            seen.timeline.append((now, f"{txn} {text}"))

    def node_overloaded(self, now: float, node: str, started: float, pressure: dict[str, float]) -> None:
        """A cold node fell over; `pressure` is the work that did it, by balancer."""
        whole = sum(pressure.values())
        told = sum(v for k, v in pressure.items() if (k, node, started) in self._knows)
        text = f"{node}, started {now - started:.1f} s before, fell over; {told / max(whole, 1e-9):.0%} of it"
        if told >= TOLD_PART * whole:
            self._break("cold", now, f"{text} sent by balancers that knew: {_shares(pressure)}", "")

    # ---- the list

    def list_notified(self, now: float, balancer: str, node: str, serves: bool, started: float) -> None:
        """The list has told a balancer of a node: that it serves (since `started`), or leaves or is gone."""
        if serves:
            self._drained.pop((balancer, node), None)
            self._knows.add((balancer, node, started))
        else:
            self._drained.setdefault((balancer, node), now)

    def balancer_resumed(self, now: float, balancer: str, slept_from: float) -> None:
        """A balancer that stood still goes on: what it was told meanwhile it can only read now."""
        for pair, told in self._drained.items():
            if pair[0] == balancer and told > slept_from - SLACK_S:
                self._drained[pair] = now

    def forget_balancer(self, balancer: str) -> None:
        """It has died; one of the same name starts from nothing."""
        self._drained = {k: v for k, v in self._drained.items() if k[0] != balancer}
        self._knows = {k for k in self._knows if k[0] != balancer}

    # ---- the end

    def unanswered_requests(self) -> list[str]:
        """Requests that are still open."""
        return [txn for txn, seen in self._seen.items() if seen.answered is None and not seen.given_up]

    def _forget(self, now: float) -> None:
        while self._over and self._over[0][0] < now - KEEP_S:
            self._seen.pop(self._over.popleft()[1], None)

    def _break(self, rule: str, now: float, text: str, txn: str) -> None:
        self.violations.append(Violation(rule, now, text, self.timeline(txn)))

    def timeline(self, txn: str) -> list[str]:
        """All that is known of a request and of those that it is a part of, in order of time."""
        lines: list[tuple[float, str]] = []
        seen = self._seen.get(txn)
        while seen is not None:
            lines += seen.timeline
            seen = self._seen.get(seen.parent)
        return [f"{at:9.3f}  {text}" for at, text in sorted(lines, key=lambda line: line[0])]


def _shares(pressure: dict[str, float]) -> str:
    whole = sum(pressure.values()) or 1.0
    ranked = sorted(pressure.items(), key=lambda item: -item[1])[:4]
    return ", ".join(f"{name} {work / whole:.0%}" for name, work in ranked)
