"""Checks the simulator's invariants from outside the balancers under test. No I/O.

The checker is notified of what clients send and receive, what nodes receive and answer, and what the server
list has announced. It never reads a balancer's own state. `RULES` names the five invariants:

1. lost: a request that a running balancer has accepted gets one whole response in time, produced for it by a
   node, and nothing is sent for it afterwards.
2. twice: an unsafe request runs at most once, and is not refused once it may have run; a keyed request is not
   sent again after its key's window, nor outside of the cell that drops its repeats.
3. drain: a node gets nothing new later than the grace period after the balancer was notified of its drain.
4. cold: no cold node is overloaded mainly by balancers that were notified of its start.
5. left: of the requests whose clients left while no attempt was out for them, at most a quarter are sent to a
   node `ABANDONED_SEND_DELAY_S` later or after that.

Times are seconds of the run. A send counts from when it was written, so that a slow network violates no
invariant.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from passpost.rehearsal.model import Class, Contract

SLACK_S = 0.05  # added to every time limit, because clocks and event loops are coarse
RETENTION_S = 20.0  # how long a finished request is kept, for its timeline and to recognise late sends
INFORMED_SHARE = (
    2 / 3
)  # least share of the load on an overloaded cold node from balancers that knew of its start

# The share is not checked for up to ABANDONED_IGNORED_CASES requests: it means nothing in so few.
ABANDONED_SEND_DELAY_S, MAX_ABANDONED_SEND_SHARE, ABANDONED_IGNORED_CASES = 0.3, 0.25, 4

RULES = {
    "lost": "no request is lost",
    "twice": "no effect happens twice",
    "drain": "drains are kept",
    "cold": "no cold node is pushed over",
    "left": "nothing is sent for who has left",
}


@dataclass(slots=True)
class Violation:
    """A violated invariant; `rule` is a key of RULES, `timeline` all recorded events of the request."""

    rule: str
    at: float
    text: str
    timeline: list[str]


@dataclass(slots=True)
class _RequestRecord:
    """What is known of one request id."""

    request_class: Class
    balancer: str
    parent: str  # id of the request that this one is a call of; empty for a client's request
    timeline: list[tuple[float, str]]
    sent_at: float = 0.0
    due_at: float = 0.0
    responded_at: float | None = None
    excused: bool = False  # no response is owed any more; the balancer may learn of the reason late
    left_at: float | None = None  # when the client left, if no attempt was out then
    # When the attempts that may have run were written, by their number.
    possible_runs: dict[int, float] = field(default_factory=dict)
    cell: int = 0  # of the first attempt that may have run
    attempts: int = 0
    response_bodies: set[bytes] = field(default_factory=set)


class InvariantChecker:
    """Collects a violation in `violations` whenever a reported event violates an invariant."""

    def __init__(self, contract: Contract) -> None:
        self._contract = contract
        self.violations: list[Violation] = []
        self.attempts = 0
        # Gets a line for each attempt and refusal, as observed from outside.
        self.sink: Callable[[str], None] | None = None
        # Clients that left while no attempt was out, and how many of their requests were sent later.
        self.left_waiting, self.sent_after = 0, 0
        self._records: dict[str, _RequestRecord] = {}  # by request id
        self._finished: deque[tuple[float, str]] = deque()  # (time, request id), oldest first
        self._drain_notified_at: dict[tuple[str, str], float] = {}  # by (balancer, node)
        self._start_notified: set[tuple[str, str, float]] = set()  # (balancer, node, time of its start)

    # ---- events at clients

    def request_sent(
        self, now: float, txn: str, request_class: Class, balancer: str, due_at: float, parent: str = ""
    ) -> None:
        """A request's last byte was written to a balancer, which owes the response by `due_at`."""
        record = self._records.get(txn)
        if record is None:
            record = self._records[txn] = _RequestRecord(request_class, balancer, parent, [])
        record.sent_at, record.due_at = now, due_at
        record.timeline.append(
            (
                now,
                f"{txn} ({request_class.name}, {request_class.effect}) sent to {balancer}, due {due_at:.3f}",
            )
        )
        self._expire_finished(now)

    def response_served(self, now: float, txn: str, body: bytes) -> None:
        """A whole response with status 200 arrived."""
        record = self._record_response(now, txn, "served")
        if record is not None and body not in record.response_bodies:
            self._add_violation("lost", now, f"{txn} was served with an answer that no node made for it", txn)

    def response_refused(self, now: float, txn: str) -> None:
        """A response with status 429 or 503 arrived, which promises that a retry is harmless."""
        record = self._record_response(now, txn, "refused")
        if self.sink is not None and record is not None:
            self.sink(f"{now:.6f} {record.balancer} {txn} refuse -")
        if record is not None and record.request_class.effect == "unsafe" and record.possible_runs:
            self._add_violation("twice", now, f"{txn} is unsafe, may have run, and was refused", txn)

    def response_failed(self, now: float, txn: str, status: int) -> None:
        """A response with any other status arrived."""
        self._record_response(now, txn, f"failed with {status}")

    def response_lost(self, now: float, txn: str, why: str) -> None:
        """The request ended without a response although its balancer runs, so nothing excuses it."""
        if self._record_response(now, txn, why) is not None:
            self._add_violation("lost", now, f"{txn}: {why}", txn)

    def response_excused(self, now: float, txn: str, why: str) -> None:
        """The request ended without a response for a reason outside the balancer, which may not know of it."""
        record = self._records.get(txn)
        if record is not None:
            record.timeline.append((now, f"{txn} {why}"))
            record.excused = True
            self._finished.append((now, txn))

    def client_left(self, now: float, txn: str) -> None:
        """The client closed its connection before its time limit."""
        self.response_excused(now, txn, "left by its client")
        record = self._records.get(txn)
        if record is not None and not record.possible_runs:
            record.left_at = now
            self.left_waiting += 1

    def run_ended(self, now: float) -> None:
        """The run has ended: checks the invariant that needs the counts of the whole run."""
        if (
            self.left_waiting > ABANDONED_IGNORED_CASES
            and self.sent_after > MAX_ABANDONED_SEND_SHARE * self.left_waiting
        ):
            text = (
                f"of {self.left_waiting} clients that left while they waited {self.sent_after} were sent for"
            )
            self._add_violation("left", now, f"{text} {ABANDONED_SEND_DELAY_S} s later or after that", "")

    def _record_response(self, now: float, txn: str, what: str) -> _RequestRecord | None:
        record = self._records.get(txn)
        if record is None:
            return None
        record.timeline.append((now, f"{txn} {what}"))
        if record.responded_at is not None:
            self._add_violation("lost", now, f"{txn} got a second answer", txn)
        record.responded_at = now
        self._finished.append((now, txn))
        return record

    # ---- events at nodes

    def attempt_received(
        self,
        begun_at: float,
        written_at: float,
        now: float,
        txn: str,
        node: str,
        balancer: str,
        cell: int = 0,
    ) -> int:
        """An attempt's last byte arrived at a node of this cell.

        The balancer wrote the first byte at `begun_at` and the last at `written_at`. Returns the attempt's
        number for `attempt_turned_away`.
        """
        self.attempts += 1
        if self.sink is not None:
            self.sink(f"{now:.6f} {balancer} {txn} send {node}")
        record = self._records.get(txn)
        if record is not None:
            record.attempts += 1
            record.timeline.append(
                (now, f"{txn} attempt {record.attempts} at {node}, written {begun_at:.3f}")
            )
        notified_at = self._drain_notified_at.get((balancer, node))
        if (
            notified_at is not None
            and begun_at > notified_at + self._contract.drain_grace_ms / 1000 + SLACK_S
        ):
            text = f"{balancer} sent {txn} to {node} {begun_at - notified_at:.3f} s after it was told of its drain"
            self._add_violation("drain", now, text, txn)
        if record is None:
            self._add_violation("lost", now, f"{node} got {txn}, which no client has sent lately", txn)
            return 0
        if record.responded_at is not None and begun_at > record.responded_at + SLACK_S:
            self._add_violation("lost", now, f"{txn} was sent to {node} after its final answer", txn)
        if record.left_at is not None and begun_at >= record.left_at + ABANDONED_SEND_DELAY_S:
            self.sent_after += 1
            record.left_at = None  # so that the request counts once
        if record.possible_runs and record.request_class.effect == "unsafe":
            self._add_violation(
                "twice", now, f"{txn} is unsafe and was sent again to {node} though it may have run", txn
            )
        if record.possible_runs and record.request_class.effect == "keyed":
            late_s = begun_at - min(record.possible_runs.values())
            if late_s > record.request_class.window_ms / 1000 + SLACK_S:
                text = f"{txn} was sent again {late_s:.3f} s after its first send, past its key's window"
                self._add_violation("twice", now, text, txn)
            if record.request_class.scope == "cell" and cell != record.cell:
                text = f"{txn} may have run in cell {record.cell} and was sent again to {node} of cell {cell}"
                self._add_violation("twice", now, text, txn)
        if not record.possible_runs:
            record.cell = cell
        record.possible_runs[record.attempts] = written_at
        return record.attempts

    def attempt_turned_away(self, now: float, txn: str, node: str, number: int) -> None:
        """A node turned an attempt away, so that it never ran."""
        record = self._records.get(txn)
        if record is not None:
            record.timeline.append((now, f"{txn} turned away by {node}"))
            record.possible_runs.pop(number, None)

    def node_responded(self, now: float, txn: str, node: str, body: bytes) -> None:
        """A node responded with status 200 and this body."""
        record = self._records.get(txn)
        if record is not None:
            record.response_bodies.add(body)
            record.timeline.append((now, f"{txn} answered by {node}"))

    def add_note(self, now: float, txn: str, text: str) -> None:
        """Adds a line to the request's timeline."""
        record = self._records.get(txn)
        if record is not None:
            record.timeline.append((now, f"{txn} {text}"))

    def node_overloaded(
        self, now: float, node: str, started_at: float, work_by_balancer: dict[str, float]
    ) -> None:
        """A cold node was overloaded by `work_by_balancer`.

        This is a violation if `INFORMED_SHARE` of the work or more came from balancers that had been notified of
        this start of the node.
        """
        total = sum(work_by_balancer.values())
        informed = sum(
            v for k, v in work_by_balancer.items() if (k, node, started_at) in self._start_notified
        )
        text = f"{node}, started {now - started_at:.1f} s before, fell over; {informed / max(total, 1e-9):.0%} of it"
        if informed >= INFORMED_SHARE * total:
            self._add_violation(
                "cold", now, f"{text} sent by balancers that knew: {_format_shares(work_by_balancer)}", ""
            )

    # ---- notifications by the server list

    def list_notified(self, now: float, balancer: str, node: str, serves: bool, started_at: float) -> None:
        """The server list notified a balancer that a node serves since `started_at`, or is draining or gone."""
        if serves:
            self._drain_notified_at.pop((balancer, node), None)
            self._start_notified.add((balancer, node, started_at))
        else:
            self._drain_notified_at.setdefault((balancer, node), now)

    def balancer_resumed(self, now: float, balancer: str, paused_at: float) -> None:
        """A paused balancer runs again: notifications sent during the pause count from now on."""
        for pair, notified_at in self._drain_notified_at.items():
            if pair[0] == balancer and notified_at > paused_at - SLACK_S:
                self._drain_notified_at[pair] = now

    def forget_balancer(self, balancer: str) -> None:
        """The balancer's process has died; a new one of the same name starts without any notification."""
        self._drain_notified_at = {k: v for k, v in self._drain_notified_at.items() if k[0] != balancer}
        self._start_notified = {k for k in self._start_notified if k[0] != balancer}

    # ---- results

    def unanswered_requests(self) -> list[str]:
        """The ids of requests without a response whose end is not excused."""
        return [
            txn for txn, record in self._records.items() if record.responded_at is None and not record.excused
        ]

    def _expire_finished(self, now: float) -> None:
        while self._finished and self._finished[0][0] < now - RETENTION_S:
            self._records.pop(self._finished.popleft()[1], None)

    def _add_violation(self, rule: str, now: float, text: str, txn: str) -> None:
        self.violations.append(Violation(rule, now, text, self.timeline(txn)))

    def timeline(self, txn: str) -> list[str]:
        """All recorded events of a request and of the requests that it is a call of, in order of time."""
        lines: list[tuple[float, str]] = []
        record = self._records.get(txn)
        while record is not None:
            lines += record.timeline
            record = self._records.get(record.parent)
        return [f"{at:9.3f}  {text}" for at, text in sorted(lines, key=lambda line: line[0])]


def _format_shares(work_by_balancer: dict[str, float]) -> str:
    """The four largest shares of the work, with the names of their balancers."""
    total = sum(work_by_balancer.values()) or 1.0
    ranked = sorted(work_by_balancer.items(), key=lambda item: -item[1])[:4]
    return ", ".join(f"{name} {work / total:.0%}" for name, work in ranked)
