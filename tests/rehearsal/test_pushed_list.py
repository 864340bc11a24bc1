"""A pushed list whose agent falls silent right after it has learned of a drain.

What happens. `passpost explore rehearsals/pushed-list.toml --seeds 60 --first 7000 --faults 6` breaks
"drains are kept" at seed 7007: "b1 sent t394 to render-plain-1 1.051 s after it was told of its drain".

Why, by the trace of calls and news: the balancers ask the agent at 4.0066 s and are answered; the agent
learns of the drain at 4.0216 and falls silent at 4.0500; the next calls come at 4.0574 and are never
answered. The drain counts as told at 4.0216 all the same, as the page has it ("what the agent has counts as
told"). An agent answers at once and can't be waited at, so that no balancer that asks now and then can
know; asking more often than each 0.05 s only makes it rarer. Elsewhere the simulator counts such news only
once the agent has had it for 0.25 s. Which of the two the operators mean is open.
"""

from __future__ import annotations

from passpost.rehearsal.explore import try_seed
from passpost.rehearsal.script import load
from tests.loopback import ROOT

SCENARIO = ROOT / "rehearsals" / "pushed-list.toml"


def test_news_that_an_agent_learns_in_its_last_moment_is_kept() -> None:
    assert try_seed(load(str(SCENARIO)), 7007, 6) == ""
