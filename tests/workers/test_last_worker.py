"""New connections while the last worker ends: each is refused, or its request is answered.

What happens. Seed 3012 of the soak (`python benchmarks/restarts.py --seeds 1 --first 3012`, two workers): request
t340 goes out on a new connection at 6.830 s, in the end of a drain, and is "closed with no whole answer" at 6.907 s.

Why. A listening socket lives as long as one descriptor of it. Workers accept by a copy of the descriptor that their
parent passed, and kept the passed one until they had gone; the parent kept its own until then too. So connections
came up after the last worker had emptied the queue and closed its copy, and were reset with the parent's end.
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
from tests.workers.test_run import TEXT

REQUEST = b"GET /views/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
BETWEEN_S = 0.005


def unanswered(port: int, process: subprocess.Popen[str]) -> int:
    """How many connections came up and got no whole answer, until the process has gone."""
    ends, count = time.monotonic() + TIMEOUT_S, 0
    while process.poll() is None:
        assert time.monotonic() < ends, "it does not end"
        try:
            client = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        except OSError:
            continue  # refused: nothing was taken
        with client:
            try:
                client.sendall(REQUEST)
                count += not client.recv(65536).startswith(b"HTTP/1.1 ")
            except OSError:
                count += 1
        time.sleep(BETWEEN_S)
    return count


@pytest.mark.parametrize("workers", ["1", "2", "3"])
def test_what_comes_while_the_last_worker_ends_is_answered_or_refused(tmp_path: Path, workers: str) -> None:
    with run_server() as server:
        path, port = tmp_path / "passpost.toml", free_port()
        path.write_text(TEXT.format(port=port, server=server).replace("8000", "300"))
        with run_process(path, "-m", "passpost.cli", "run", str(path), "--workers", workers) as process:
            wait_until_ready(port, process)
            process.send_signal(signal.SIGTERM)
            lost = unanswered(port, process)
            assert process.wait() == 0
    assert lost == 0
