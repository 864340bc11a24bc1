"""`passpost run FILE --workers N` with real processes on loopback."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Thread

import pytest

from passpost.operator.model import File
from passpost.operator.reader import parse
from passpost.workers.supervisor import worker_share
from tests.cli.test_clients import run_server
from tests.cli.test_operator import TIMEOUT_S, free_port, get, run_process, wait_until_ready
from tests.operator.files import GOOD

CONFIG_TEXT = """\
version = 1
[limits]
descriptors = 512
[drain]
serve_s = 0.2
[[applications]]
name = "stills"
listen = "127.0.0.1:{port}"
upstreams = {{ kind = "static", addresses = ["127.0.0.1:{server}"] }}
[[applications.classes]]
name = "view"
path = "/views/**"
deadline_ms = 8000
"""


class SupervisorLog:
    """Collects the supervisor's log output as it is written."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self.text, self._process = "", process
        Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self._process.stderr is not None
        for line in self._process.stderr:
            self.text += line

    def until(self, condition: Callable[[str], bool]) -> None:
        for _ in range(int(TIMEOUT_S / 0.02)):
            if condition(self.text):
                return
            time.sleep(0.02)
        raise AssertionError(self.text)

    def serves(self, worker: int) -> list[int]:
        """The ids of the processes that have served as this worker, in order."""
        return [int(p) for p in re.findall(rf"worker {worker} serves, process (\d+)", self.text)]


@contextmanager
def two_workers(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[str], SupervisorLog, Path, int]]:
    with run_server() as server:
        path, port = tmp_path / "f.toml", free_port()
        path.write_text(CONFIG_TEXT.format(port=port, server=server))
        with run_process(path, "-m", "passpost.cli", "run", str(path), "--workers", "2") as process:
            log = SupervisorLog(process)
            log.until(lambda _: bool(log.serves(1) and log.serves(2)))
            wait_until_ready(port, process)
            yield process, log, path, port


def ask(port: int) -> int:
    return get(port, "/views/1")[0]


def test_crashed_worker_is_replaced_while_the_other_serves(tmp_path: Path) -> None:
    with two_workers(tmp_path) as (process, log, _, port):
        assert {ask(port) for _ in range(10)} == {200}
        os.kill(log.serves(1)[0], signal.SIGKILL)
        assert {ask(port) for _ in range(10)} == {200}
        log.until(lambda _: len(log.serves(1)) == 2)
        assert "worker 1 ended with status -9" in log.text and len(log.serves(2)) == 1
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


def test_changed_classes_are_reloaded_and_changed_limits_renew_workers(tmp_path: Path) -> None:
    with two_workers(tmp_path) as (process, log, path, port):
        before = path.read_text()
        path.write_text(before.replace("/views/**", "/stills/**"))
        process.send_signal(signal.SIGHUP)
        log.until(lambda text: "workers read it in turn" in text and text.count("1 changes") >= 3)
        assert {get(port, "/stills/1")[0] for _ in range(20)} == {200} and ask(port) == 404
        path.write_text(before.replace("descriptors = 512", "descriptors = 600"))
        process.send_signal(signal.SIGHUP)
        answers, give_up_at = [], time.monotonic() + TIMEOUT_S
        while len(log.serves(1)) < 2 or len(log.serves(2)) < 2:
            answers.append(get(port, "/health/ready")[0])
            assert process.poll() is None and time.monotonic() < give_up_at
        assert "workers are renewed in turn" in log.text
        assert set(answers) <= {200, 503}  # a draining worker answers 503; no connection is cut
        assert {ask(port) for _ in range(20)} == {200}
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


def test_invalid_file_changes_nothing(tmp_path: Path) -> None:
    with two_workers(tmp_path) as (process, log, path, port):
        path.write_text(path.read_text().replace("descriptors = 512", "descriptors = 90"))
        process.send_signal(signal.SIGHUP)
        log.until(lambda text: "the old configuration stays: limits.descriptors: 90 are too few" in text)
        assert ask(port) == 200 and len(log.serves(1)) == 1
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


def test_workers_end_when_the_supervisor_is_killed(tmp_path: Path) -> None:
    with two_workers(tmp_path) as (process, log, _, _port):
        workers = [log.serves(1)[0], log.serves(2)[0]]
        process.kill()
        process.wait(TIMEOUT_S)
        for _ in range(int(TIMEOUT_S / 0.02)):
            if not any(Path(f"/proc/{w}").exists() for w in workers):
                return
            time.sleep(0.02)
        raise AssertionError("a worker is still running")


def test_port_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    with two_workers(tmp_path) as (_process, _log, path, _port):
        with run_process(path, "-m", "passpost.cli", "run", str(path), "--workers", "2") as second:
            _, text = second.communicate(timeout=TIMEOUT_S)
        assert second.returncode == 1 and "Address already in use" in text and "Traceback" not in text


def file() -> File:
    found = parse(GOOD, "f.toml").file
    assert found is not None
    return found


@pytest.mark.parametrize("count", [2, 4])
def test_worker_share_of_a_file(count: int) -> None:
    whole, part = file(), worker_share(file(), count)
    assert part.limits.descriptors * count <= whole.limits.descriptors
    assert part.limits.connections * count <= 0.55 * whole.limits.descriptors
    assert part.limits.upstream_connections * count <= 0.35 * whole.limits.descriptors
    assert [a.balancers for a in part.applications] == [count * a.balancers for a in whole.applications]
    assert [a.classes for a in part.applications] == [a.classes for a in whole.applications]


def test_limits_too_small_to_divide_are_refused() -> None:
    with pytest.raises(ValueError, match="1024 are too few for 64 workers"):
        worker_share(file(), 64)
