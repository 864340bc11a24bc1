"""How much memory clients may make a balancer hold, and which new work is refused when it runs short. No I/O.

One budget for the process, from its memory limit less what it takes when idle. Every connection has an account of what
it holds: bytes that wait to be parsed, parts of requests, and a reservation for each open request. A reservation is the
most that the request can come to hold later, so that no admitted request has to be dropped for want of memory. What is
held at all is counted when it comes in; new work is refused while too little is left for it.

Ordinary requests may use the whole budget, larger ones only LARGE_SHARE of it: clients that hold much leave room for
those that hold little.
"""

from __future__ import annotations

import math

MB = 1024 * 1024
# The rest of the limit is for the list, timers, idle upstream connections, and what the allocator can't give back.
MIN_RESERVE_BYTES, RESERVE_SHARE = 2 * MB, 1 / 16
ALLOCATOR_FACTOR = 1.25  # resident bytes for each byte that is counted
MIN_BUDGET_BYTES = MB  # below it nothing could be served
LARGE_SHARE = 0.75
CONNECTION_BYTES = 4 * 1024  # a client connection with its parser and transport
REQUEST_BYTES = 8 * 1024  # an open request with its attempts and their connections
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 8 * 1024, 64 * 1024
BUFFERS_IN_BUDGET = 512  # with this many buffers full, the budget is used up
ORDINARY_BYTES = 4 * 1024  # of head and body


class MemoryBudget:
    """The account of all connections together."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        """`limit_bytes`: the most that all connections may hold; without one nothing is refused."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        share = limit_bytes / BUFFERS_IN_BUDGET
        # The size of one buffer: what is read at once, and held in front of a peer that does not read.
        self.buffer_bytes = int(min(max(share, MIN_BUFFER_BYTES), MAX_BUFFER_BYTES))

    @classmethod
    def for_process(cls, memory_mb: float | None, idle_bytes: int) -> MemoryBudget:
        """The budget of a process with a limit of `memory_mb` (None: no limit) that takes `idle_bytes` when idle."""
        if memory_mb is None:
            return cls()
        limit = memory_mb * MB
        reserve = max(MIN_RESERVE_BYTES, limit * RESERVE_SHARE)
        return cls(max((limit - idle_bytes - reserve) / ALLOCATOR_FACTOR, MIN_BUDGET_BYTES))

    def admits(self, size: int, is_ordinary: bool = False) -> bool:
        """Whether new work that holds `size` bytes may be taken."""
        share = 1.0 if is_ordinary else LARGE_SHARE
        return self.used_bytes + size <= self.limit_bytes * share

    def reservation(self, head_bytes: int, body_bytes: int, is_streamed: bool) -> int:
        """The most that a request can come to hold until it is answered.

        Its head and body are kept, and once more written to an upstream that does not read. A part of its answer may
        wait for more, and another for the client; so may two parts of a body that is `is_streamed`.
        """
        buffers = 4 if is_streamed else 2
        return REQUEST_BYTES + 2 * (head_bytes + body_bytes) + buffers * self.buffer_bytes


class Account:
    """What one connection holds; setting an amount replaces the one before, so that nothing is counted twice."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.incoming_bytes = 0  # unparsed bytes and parts of a request that is being read
        self.request_bytes = 0  # reserved for the open request
        self.unsent_bytes = 0  # of answers that are complete
        self._base_bytes = CONNECTION_BYTES
        budget.used_bytes += CONNECTION_BYTES

    def set_incoming(self, size: int) -> None:
        """Set what has been received and is not a whole request yet."""
        self.budget.used_bytes += size - self.incoming_bytes
        self.incoming_bytes = size

    def set_request(self, size: int) -> None:
        """Set what is reserved for the open request; 0 once it is answered."""
        self.budget.used_bytes += size - self.request_bytes
        self.request_bytes = size

    def set_unsent(self, size: int) -> None:
        """Set what answered requests have left in the write buffer."""
        self.budget.used_bytes += size - self.unsent_bytes
        self.unsent_bytes = size

    def close(self) -> None:
        """Give everything back; the connection has gone. A second call does nothing."""
        self.set_incoming(0)
        self.set_request(0)
        self.set_unsent(0)
        self.budget.used_bytes -= self._base_bytes
        self._base_bytes = 0
