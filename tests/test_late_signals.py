"""Signals that come until the process has gone: it has done its work, and ends with 0.

What happens. The program gives up its handlers before it ends, and a signal that comes then has its default effect. Of
115 restarts under a series of SIGTERM, SIGHUP and SIGINT three ended by SIGTERM (-15) and not with 0, which a
supervisor reads as a crash; of 25 more, two by SIGINT (-2).

Why. A loop that closes gives each signal its default effect back, and the interpreter needs some 20 ms more: with a
signal each 0.5 ms the status is -15 or -2 each time. SIGHUP was ignored there, but between the loop's handler and
that stood its default effect for a moment (-1 in one run of two).
"""

from __future__ import annotations

import json
import signal
import subprocess
import time
from pathlib import Path
from threading import Thread

import pytest

from passpost.workers.plan import End, Plan, Tell
from tests.cli.test_operator import free_port, run_process
from tests.loopback import PATIENCE, config_data, member
from tests.workers.test_run import TEXT

BETWEEN_S = 0.0005  # the interpreter takes some 20 ms for its own end


def exit_status(process: subprocess.Popen[str], says: str, numbers: list[signal.Signals]) -> int:
    """Stop a process that has said that it serves, and send these signals in turn until it is gone."""
    assert process.stderr is not None
    while says not in (line := process.stderr.readline()):
        assert line, "it did not start"
    Thread(target=process.stderr.read, daemon=True).start()  # a full pipe would hold up what it logs
    process.send_signal(signal.SIGTERM)
    ends = time.monotonic() + PATIENCE
    while process.poll() is None:
        assert time.monotonic() < ends, "it does not end"
        for number in numbers:
            process.send_signal(number)
            time.sleep(BETWEEN_S)
    return process.wait()


SERIES = [
    [signal.SIGTERM],
    [signal.SIGINT],
    [signal.SIGHUP],
    [signal.SIGTERM, signal.SIGHUP, signal.SIGINT],
]


@pytest.mark.parametrize("numbers", SERIES, ids=["TERM", "INT", "HUP", "all"])
def test_the_platforms_balancer_ends_with_0(tmp_path: Path, numbers: list[signal.Signals]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with run_process(path, "-m", "passpost", EDGE_CONFIG=str(path)) as process:
        assert exit_status(process, "serves on", numbers) == 0


@pytest.mark.parametrize("arguments", [(), ("--workers", "2")], ids=["one", "workers"])
@pytest.mark.parametrize("numbers", SERIES, ids=["TERM", "INT", "HUP", "all"])
def test_a_sidecar_and_the_parent_of_workers_end_with_0(
    tmp_path: Path, numbers: list[signal.Signals], arguments: tuple[str, ...]
) -> None:
    path = tmp_path / "passpost.toml"
    path.write_text(TEXT.format(port=free_port(), server=9))
    with run_process(path, "-m", "passpost.cli", "run", str(path), *arguments) as process:
        assert exit_status(process, "serves", numbers) == 0


def test_many_signals_to_read_the_file_again_are_one_task(tmp_path: Path) -> None:
    # The parent of workers read its file for each of 2,000 signals a second: it had not ended after 20 minutes.
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with run_process(path, "-m", "passpost", EDGE_CONFIG=str(path)) as process:
        assert process.stderr is not None
        while "serves on" not in process.stderr.readline():
            assert process.poll() is None
        begun = time.monotonic()
        for _ in range(400):
            process.send_signal(signal.SIGHUP)
            time.sleep(BETWEEN_S)
        process.send_signal(signal.SIGTERM)
        log = process.stderr.read()
        took = time.monotonic() - begun
        assert process.wait() == 0
    assert 1 <= log.count("configuration read again") <= took / 0.1 + 2


def test_a_worker_that_is_ended_in_its_start_is_no_failure() -> None:
    # The parent ended with 1 where SIGTERM met it within its workers' start, 0.4 to 0.7 s after its own.
    plan = Plan(2, 10.0, 1.0)
    plan.begin(0.0)
    plan.ready(0, 0.4)
    assert Tell(1, signal.SIGTERM) in plan.stop(0.5)
    assert plan.ended(1, -signal.SIGTERM, 0.6) == []
    assert plan.ended(0, 0, 0.7) == [End(0)]


def test_a_worker_that_served_and_died_by_a_signal_is_a_failure() -> None:
    plan = Plan(1, 10.0, 1.0)
    plan.begin(0.0)
    plan.ready(0, 0.4)
    plan.stop(0.5)
    assert plan.ended(0, -signal.SIGTERM, 0.6) == [End(1)]
