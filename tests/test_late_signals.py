"""Signals that arrive while a process is ending: it has completed its work and must exit with status 0.

An event loop that closes restores the default effect of each signal, and the interpreter then takes another 20 ms or
so to exit. A SIGTERM or SIGINT that arrived in that time ended the process with -15 or -2, which a supervisor takes
for a crash: 3 of 115 and 2 of 25 restarts under a series of signals, and every run with a signal each 0.5 ms. SIGHUP
was ignored after the loop's handler was removed, but had its default effect for a moment (-1 in one run of two).
"""

from __future__ import annotations

import json
import signal
import subprocess
import time
from pathlib import Path
from threading import Thread

import pytest

from passpost.workers.plan import Exit, Plan, SendSignal
from tests.cli.test_operator import free_port, run_process
from tests.loopback import TIMEOUT_S, config_data, member
from tests.workers.test_run import CONFIG_TEXT

SIGNAL_INTERVAL_S = 0.0005  # the interpreter takes about 20 ms to exit


def exit_status(process: subprocess.Popen[str], ready_text: str, numbers: list[signal.Signals]) -> int:
    """Stop a process once it has logged `ready_text`, and send these signals in turn until it has exited."""
    assert process.stderr is not None
    while ready_text not in (line := process.stderr.readline()):
        assert line, "the process did not start"
    Thread(target=process.stderr.read, daemon=True).start()  # a full pipe would block its logging
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + TIMEOUT_S
    while process.poll() is None:
        assert time.monotonic() < deadline, "the process does not exit"
        for number in numbers:
            process.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
    return process.wait()


SIGNAL_SERIES = [
    [signal.SIGTERM],
    [signal.SIGINT],
    [signal.SIGHUP],
    [signal.SIGTERM, signal.SIGHUP, signal.SIGINT],
]


@pytest.mark.parametrize("numbers", SIGNAL_SERIES, ids=["TERM", "INT", "HUP", "all"])
def test_platform_balancer_exits_with_0(tmp_path: Path, numbers: list[signal.Signals]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with run_process(path, "-m", "passpost", EDGE_CONFIG=str(path)) as process:
        assert exit_status(process, "serves on", numbers) == 0


@pytest.mark.parametrize("arguments", [(), ("--workers", "2")], ids=["one", "workers"])
@pytest.mark.parametrize("numbers", SIGNAL_SERIES, ids=["TERM", "INT", "HUP", "all"])
def test_sidecar_and_parent_of_workers_exit_with_0(
    tmp_path: Path, numbers: list[signal.Signals], arguments: tuple[str, ...]
) -> None:
    path = tmp_path / "passpost.toml"
    path.write_text(CONFIG_TEXT.format(port=free_port(), server=9))
    with run_process(path, "-m", "passpost.cli", "run", str(path), *arguments) as process:
        assert exit_status(process, "serves", numbers) == 0


def test_many_reload_signals_are_combined(tmp_path: Path) -> None:
    # The parent of workers read its file again for each of 2,000 signals a second, and had not exited after 20 minutes.
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    with run_process(path, "-m", "passpost", EDGE_CONFIG=str(path)) as process:
        assert process.stderr is not None
        while "serves on" not in process.stderr.readline():
            assert process.poll() is None
        begun = time.monotonic()
        for _ in range(400):
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
        process.send_signal(signal.SIGTERM)
        log = process.stderr.read()
        took = time.monotonic() - begun
        assert process.wait() == 0
    assert 1 <= log.count("configuration read again") <= took / 0.1 + 2


def test_worker_stopped_during_its_start_is_not_a_failure() -> None:
    # The parent exited with 1 if SIGTERM arrived during the start of its workers, 0.4 to 0.7 s after its own start.
    plan = Plan(2, 10.0, 1.0)
    plan.start_all(0.0)
    plan.worker_ready(0, 0.4)
    assert SendSignal(1, signal.SIGTERM) in plan.stop(0.5)
    assert plan.worker_ended(1, -signal.SIGTERM, 0.6) == []
    assert plan.worker_ended(0, 0, 0.7) == [Exit(0)]


def test_worker_killed_by_a_signal_after_serving_is_a_failure() -> None:
    plan = Plan(1, 10.0, 1.0)
    plan.start_all(0.0)
    plan.worker_ready(0, 0.4)
    plan.stop(0.5)
    assert plan.worker_ended(0, -signal.SIGTERM, 0.6) == [Exit(1)]
