"""A connection that arrives while the last worker ends is refused, or its request is answered.

A listening socket lives as long as any descriptor of it. Workers accept on a copy of the descriptor that the supervisor
passed; they kept the passed one until their end, and the supervisor kept its own. Connections that came up after the
last worker had emptied the queue and closed its copy were therefore reset when the supervisor ended. Seed 3012 of the
soak (`python benchmarks/restarts.py --seeds 1 --first 3012`, two workers) showed it: request t340 was sent on a new
connection at 6.830 s, at the end of a drain, and was "closed with no whole answer" at 6.907 s.
"""

from __future__ import annotations

import signal
import socket
import subprocess
import time
from pathlib import Path

import pytest

from tests.cli.test_clients import run_server
from tests.cli.test_operator import TIMEOUT_S, free_port, run_process, wait_until_ready
from tests.workers.test_run import CONFIG_TEXT

REQUEST = b"GET /views/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
CONNECT_INTERVAL_S = 0.005


def count_unanswered(port: int, process: subprocess.Popen[str]) -> int:
    """The number of connections that came up and got no complete answer, until the process has ended."""
    ends, count = time.monotonic() + TIMEOUT_S, 0
    while process.poll() is None:
        assert time.monotonic() < ends, "it does not end"
        try:
            client = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        except OSError:
            continue  # refused, so no request was accepted
        with client:
            try:
                client.sendall(REQUEST)
                count += not client.recv(65536).startswith(b"HTTP/1.1 ")
            except OSError:
                count += 1
        time.sleep(CONNECT_INTERVAL_S)
    return count


@pytest.mark.parametrize("workers", ["1", "2", "3"])
def test_connection_during_end_of_last_worker_is_answered_or_refused(tmp_path: Path, workers: str) -> None:
    with run_server() as server:
        path, port = tmp_path / "passpost.toml", free_port()
        path.write_text(CONFIG_TEXT.format(port=port, server=server).replace("8000", "300"))
        with run_process(path, "-m", "passpost.cli", "run", str(path), "--workers", workers) as process:
            wait_until_ready(port, process)
            process.send_signal(signal.SIGTERM)
            lost = count_unanswered(port, process)
            assert process.wait() == 0
    assert lost == 0
