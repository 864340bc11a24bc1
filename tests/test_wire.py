"""The simulator's protocol: parsing, formatting, and the process that runs balancers for the simulator."""

from __future__ import annotations

import io
import os
import subprocess
import sys

import pytest

from umberworks.interface import Cancel, Fail, Log, Refuse, Send, SetTimer, Subscribe
from umberworks.simhost import SimulatorHost
from umberworks.wire import read_fields, read_settings, write_action

FACTS = (
    "azs=a balancers=2 classes.count=1 classes.0.name=read classes.0.target=900.0 "
    "classes.0.deadline=2000.0 classes.0.effect=retryable limits.attemptsCap=3 discovery=push tick=5.0"
)
LEDGER = (
    "ledger list=3 membersList=2\nm upstream=u1 readiness=1 cell=0 rackZone=a\n"
    "m upstream=u2 readiness=1 cell=1 rackZone=a upSince=40.5\n"
)


def up(who: int, seed: int = 11) -> str:
    return f"up who={who} prng={seed} {FACTS}\n"


def first_batch(who: int = 1) -> str:
    return f"sync time=100.0 batch=1\n{up(who)}{LEDGER}membership who={who} generation=1 mode=0 list=3\neob\n"


def run_host(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    status = SimulatorHost(err).run(io.StringIO(text), out)
    return status, out.getvalue(), err.getvalue()


def test_actions_are_formatted_as_lines() -> None:
    assert [
        write_action("4", a)
        for a in (
            Send(7, "u1", 80),
            SetTimer(12.5, "wait"),
            Refuse(7),
            Fail(7),
            Cancel(7, 1),
            Subscribe(),
            Log("two\nlines"),
        )
    ] == [
        "send who=4 corr=7 upstream=u1 timeout=80.000",
        "remind who=4 moment=12.500 ctx=wait",
        "reject who=4 corr=7",
        "abort who=4 corr=7",
        "cancel who=4 corr=7 shot=1",
        "follow who=4 enable=1",
        "say_log who=4 bodyText=two lines",
    ]


def test_a_request_is_sent_and_every_batch_gets_a_reply() -> None:
    status, out, _ = run_host(
        first_batch() + "\nsync time=105.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=read\neob\n"
    )
    assert status == 0
    lines = out.split("\n")
    assert lines[0] == "yield batch=1"
    assert any(line.startswith("send who=1 corr=9 upstream=u") for line in lines)
    assert lines[-2] == "yield batch=2"


def test_unknown_settings_and_events_are_reported_once_and_ignored() -> None:
    text = first_batch().replace("tick=5.0", "tick=5.0 moon.phase=3")
    text += "sync time=110.0 batch=2\nfrobnicate who=1\nfrobnicate who=1\neob\n"
    status, out, err = run_host(text)
    assert status == 0 and out.endswith("yield batch=2\n")
    assert err.count("frobnicate") == 1 and err.count("moon.phase") == 1


@pytest.mark.parametrize(
    ("bad", "reason"),
    [
        ("knock who=1 corr=9 grade=read", "'remaining' is missing"),
        ("knock who=1 corr=x remaining=9 grade=read", "not a whole number"),
        ("knock who=1 corr=9 remaining=soon grade=read", "not a number"),
        ("knock who=5 corr=9 remaining=9.0 grade=read", "instance '5' is unknown"),
        ("membership who=1 generation=2 mode=2 list=9", "ledger 9 was never sent"),
        ("knock who=1 corr=9 remaining=nan grade=read", "not a finite number"),
        ("ledger list=1 membersList=2\nm upstream=u1 readiness=1", "cut short"),
        ("ledger list=1 membersList=1\nm upstream=u1 readiness=1 nominal=0", "not a size above 0"),
        ("ledger list=1 membersList=1\nm upstream=u1 readiness=9", "'readiness' holds '9'"),
        ("knock who=1 corr", "not name=value"),
        (up(2).strip().replace("classes.0.target=900.0", "classes.0.target=-1"), "aim_ms"),
    ],
)
def test_a_bad_line_is_reported_in_one_message(bad: str, reason: str) -> None:
    status, _, err = run_host(first_batch() + f"sync time=110.0 batch=2\n{bad}\neob\n")
    assert status == 1
    assert reason in err and "batch 2" in err and err.count("\n") == 1


def test_input_may_end_between_batches_but_not_inside() -> None:
    assert run_host(first_batch())[0] == 0
    status, _, err = run_host(first_batch() + "sync time=110.0 batch=2\n")
    assert status == 1 and "inside a batch" in err


def test_an_exception_is_reported_for_its_instance_only() -> None:
    text = "sync time=90.0 batch=0\n" + up(2) + "eob\n" + first_batch(1)
    text += "sync time=110.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=nosuch\n"
    text += "knock who=2 corr=9 remaining=900.0 grade=read\neob\n"
    status, out, err = run_host(text)
    assert status == 0 and "give_in who=1 bodyText=ValueError" in out and "give_in who=2" not in out
    assert "Traceback" in err


def run_process(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run `python -m umberworks.simhost` with this input."""
    return subprocess.run(
        [sys.executable, "-m", "umberworks.simhost"],
        input=text,
        text=True,
        capture_output=True,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def replies_of(instances: list[int], hash_seed: str) -> str:
    """The output of a process that runs these instances."""
    text = "".join(["sync time=100.0 batch=1\n", LEDGER, *(up(i, 11 + i) for i in instances)])
    text += "".join(f"membership who={i} generation=1 mode=0 list=3\n" for i in instances) + "eob\n"
    for n in range(40):
        text += f"sync time={110.0 + 7 * n} batch={n + 2}\n"
        text += "".join(f"knock who={i} corr={n} remaining=900.0 grade=read\n" for i in instances) + "eob\n"
    done = run_process(text, hash_seed)
    assert done.returncode == 0
    return done.stdout


def test_actions_do_not_depend_on_the_hash_seed_or_the_process() -> None:
    together = replies_of([1, 2], "1")
    assert together == replies_of([1, 2], "2")
    for who in (1, 2):
        shared = [line for line in together.split("\n") if f"who={who} " in line]
        alone = [line for line in replies_of([who], "3").split("\n") if f"who={who} " in line]
        assert shared == alone and shared


@pytest.mark.parametrize(
    ("bad", "reason"),
    [
        ("knock who=1 corr=9 grade=read", "field 'remaining' is missing"),
        ("membership who=1 generation=2 mode=7 list=0", "field 'mode' holds '7'"),
        ("ledger list=1 membersList=2\nm upstream=u1 readiness=1", "cut short"),
        ("reminder who=6 ctx=list", "instance '6' is unknown"),
    ],
)
def test_the_process_exits_on_bad_input_with_one_message(bad: str, reason: str) -> None:
    done = run_process(f"{first_batch()}sync time=110.0 batch=2\n{bad}\neob\n")
    assert done.returncode == 1
    assert reason in done.stderr and "batch 2" in done.stderr and done.stderr.count("\n") == 1
    assert bad.split("\n")[-1].split(" ")[0] in done.stderr or "eob" in done.stderr  # the line it stopped at
    assert all(line.split(" ")[0] in ("yield", "follow", "remind") for line in done.stdout.splitlines())


def test_the_process_exits_when_the_input_ends_inside_a_batch() -> None:
    done = run_process(f"{first_batch()}sync time=110.0 batch=2\nreminder who=1 ctx=list\n")
    assert done.returncode == 1 and "ended inside a batch" in done.stderr
    assert "Traceback" not in done.stderr


def test_retry_after_is_formatted_and_is_read_only_if_allowed() -> None:
    assert write_action("4", Refuse(7, 300.0)) == "reject who=4 corr=7 stayAway=300.000"
    for allowed, wanted in (("true", 1_500.0), ("false", 0.0)):
        values = read_fields([*FACTS.split(), f"limits.retryAfter={allowed}", "limits.maxRetryAfter=1500.0"])
        assert read_settings(values, lambda text: None).max_retry_after_ms == wanted
