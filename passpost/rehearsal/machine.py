"""Model of a simulated node: shared cores, slots, a wait queue, cold starts and overcrowding. No I/O.

Running jobs share the cores evenly: with n jobs on c cores each job gets min(1, c/n) of a core. Work therefore
advances at one common rate, and the job with the least remaining work finishes next. A job that waits for the
next tier keeps its slot but uses no core. A node that started lately (a cold node) has part of its capacity
only. If it is sent more than `overload_factor` times that capacity for `overload_ms`, it collapses and stays down.

Times are in seconds of simulation time. Work is in milliseconds of a core with speed 1.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

from passpost.rehearsal.model import Contract, NodeKind

WARM_UP_STEP_S = 0.05  # step in which the speed of a cold node is taken as constant
CROWDING_WINDOW_S = 2.0  # time constant of the exponential mean of the request count
RECOVERY_BUSY_SHARE, RECOVERY_S = (
    0.3,
    3.0,
)  # an overcrowded node recovers after this long at or below this busy share
OVERLOAD_SLACK_MS = 60.0  # allowance above a cold node's budget for random bursts: a handful of requests


@dataclass(slots=True)
class Job:
    """A request inside the node; `work` is the total work of its current phase, in milliseconds."""

    number: int
    work: float


class Machine:
    """Cores and wait queue of one node.

    Callers call `advance` first; every other method uses the time of the last `advance` as now.
    """

    def __init__(self, kind: NodeKind, contract: Contract, now: float, cold: bool) -> None:
        self.kind, self._contract = kind, contract
        self.now, self.started_at = now, now if cold else -math.inf
        self.slowdown = 1.0  # factor set by injected faults
        self.overcrowded, self.collapsed = False, False
        self.stopped = False  # no work advances
        self._work_per_job_ms = 0.0  # work that a job running all the time has received
        # Heap of (value of `_work_per_job_ms` at which the job finishes, job number).
        self._running: list[tuple[float, int]] = []
        self._connect_work_ms = 0.0  # work for new connections, charged to the next job that starts
        self._waiting: deque[Job] = deque()
        self.request_count = 0  # jobs with a slot and jobs in the wait queue
        self._mean_requests, self._calm_s = 0.0, 0.0
        self._pressure_ms, self._pressure_by_sender_ms = 0.0, dict[str, float]()

    # ---- capacity and load

    def warmth(self) -> float:
        """Share of full capacity that is available, in (0, 1]; it rises linearly during a cold start."""
        age_s, cold_s = self.now - self.started_at, self._contract.cold_ms / 1000
        if age_s >= cold_s:
            return 1.0
        cold_from = self._contract.cold_from
        return cold_from + (1 - cold_from) * max(age_s, 0.0) / cold_s

    def capacity(self) -> float:
        """Current capacity in milliseconds of work per second, without the slowdown from faults."""
        return self.kind.cores * self.kind.speed * self.warmth() * 1000

    def running_count(self) -> int:
        """Number of jobs that use the cores."""
        return len(self._running)

    def queued_count(self) -> int:
        """Number of jobs in the wait queue."""
        return len(self._waiting)

    def _work_rate_ms_per_s(self) -> float:
        """Work that each running job receives per second, in milliseconds."""
        if not self._running or self.stopped or self.collapsed:
            return 0.0
        slowdown = self.slowdown * (self.kind.crowd_factor if self.overcrowded else 1.0)
        return self.capacity() / max(len(self._running), self.kind.cores) / slowdown

    # ---- requests and the passage of time

    def offer(self, job: Job, sender: str) -> bool:
        """Accept a request. Return False if the node has collapsed or its slots and wait queue are full."""
        self._add_pressure(job.work, sender)
        if self.collapsed or self.request_count >= self.kind.slots + self.kind.queue:
            return False
        if self.request_count - len(self._waiting) >= self.kind.slots:
            self._waiting.append(job)
        else:
            self._start(job)
        self.request_count += 1
        return True

    def resume(self, job: Job) -> None:
        """Start the next phase of a job that has a slot and is not running."""
        self._start(job)

    def release_slot(self) -> Job | None:
        """Release the slot of a job that is not running; return the queued job that takes it over, if any.

        The caller either starts the returned job with `resume` or, if it is no longer wanted, calls
        `release_slot` again for it.
        """
        self.request_count -= 1
        return self._waiting.popleft() if self._waiting else None

    def add_connection(self) -> None:
        """Charge the work that a new connection costs."""
        self._connect_work_ms += self.kind.connect_work_ms

    def _start(self, job: Job) -> None:
        heappush(self._running, (self._work_per_job_ms + job.work + self._connect_work_ms, job.number))
        self._connect_work_ms = 0.0

    def advance(self, now: float) -> list[int]:
        """Advance to `now` and return the numbers of the jobs that finished.

        Has to be called no later than `next_event_at`.
        """
        elapsed_s, self.now = now - self.now, now
        if elapsed_s > 0:
            rate = self._work_rate_ms_per_s()
            self._work_per_job_ms += rate * elapsed_s
            self._update_crowding(elapsed_s)
        finished = []
        while self._running and self._running[0][0] <= self._work_per_job_ms + 1e-6:
            finished.append(heappop(self._running)[1])
        if not self._running:
            self._work_per_job_ms = 0.0  # keeps rounding errors from growing in long runs
        return finished

    def next_event_at(self) -> float | None:
        """Time of the next finished job or change of rate; None if no work advances."""
        rate = self._work_rate_ms_per_s()
        if not rate:
            return None
        at = self.now + (self._running[0][0] - self._work_per_job_ms) / rate
        if self.warmth() < 1 or self.kind.crowd:
            at = min(at, self.now + WARM_UP_STEP_S)
        return max(at, self.now + 1e-6)

    # ---- overload

    def _add_pressure(self, work: float, sender: str) -> None:
        """Add offered work to the pressure on a cold node, whether the request is accepted or rejected.

        The pressure drains at the node's budget; above its limit the node collapses.
        """
        if self.warmth() >= 1:
            return
        budget_per_ms = self._contract.overload_factor * self.capacity() / 1000  # work per millisecond
        elapsed_s = self.now - getattr(self, "_pressure_updated_at", self.now)
        self._pressure_updated_at = self.now
        pressure_ms = max(self._pressure_ms - budget_per_ms * elapsed_s * 1000, 0.0)
        remaining_share = pressure_ms / self._pressure_ms if self._pressure_ms else 0.0
        self._pressure_ms = pressure_ms + work
        self._pressure_by_sender_ms = {
            name: pressure * remaining_share
            for name, pressure in self._pressure_by_sender_ms.items()
            if pressure * remaining_share > 1e-9
        }
        self._pressure_by_sender_ms[sender] = self._pressure_by_sender_ms.get(sender, 0.0) + work
        if self._pressure_ms > budget_per_ms * self._contract.overload_ms + OVERLOAD_SLACK_MS:
            self.collapsed = True

    def pressure_by_sender(self) -> dict[str, float]:
        """Current pressure in milliseconds of work, by the balancer that sent it."""
        return dict(self._pressure_by_sender_ms)

    def _update_crowding(self, elapsed_s: float) -> None:
        if not self.kind.crowd:
            return
        cores = self.kind.cores
        requests = self.request_count
        remaining_share = math.exp(-elapsed_s / CROWDING_WINDOW_S)
        self._mean_requests = self._mean_requests * remaining_share + requests * (1 - remaining_share)
        if not self.overcrowded:
            self.overcrowded = self._mean_requests > cores + self.kind.crowd * math.sqrt(cores)
            self._calm_s = 0.0
        else:
            self._calm_s = (
                self._calm_s + elapsed_s if len(self._running) <= RECOVERY_BUSY_SHARE * cores else 0.0
            )
            self.overcrowded = self._calm_s < RECOVERY_S
