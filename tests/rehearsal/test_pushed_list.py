"""A pushed list whose agent stops responding right after it has received a drain; the drain is not kept yet.

Found by `passpost explore rehearsals/pushed-list.toml --seeds 60 --first 7000 --faults 6` at seed 7007: "drains are
kept" breaks with "b1 sent t394 to render-plain-1 1.051 s after it was told of its drain". By the trace, the
balancers poll the agent at 4.0066 s and get an answer; the agent receives the drain at 4.0216 s and stops responding
at 4.0500 s; the next polls, at 4.0574 s, get no answer. The drain counts as notified at 4.0216 s, as "what the agent
has counts as told".

An agent answers at once and does not support long polls, so a polling balancer can't know of the drain; polling more
often than every 0.05 s only makes the case rarer. Elsewhere the simulator counts a balancer as notified of a pushed
change only after the agent has had it for 0.25 s. Which of the two rules the operators want is open.
"""

from __future__ import annotations

from passpost.rehearsal.explore import try_seed
from passpost.rehearsal.script import load
from tests.loopback import ROOT

SCENARIO = ROOT / "rehearsals" / "pushed-list.toml"


def test_a_drain_pushed_just_before_the_agent_stops_responding_is_kept() -> None:
    assert try_seed(load(str(SCENARIO)), 7007, 6) == ""
