"""Memory and start of one balancer by the servers that it is told of and the balancers in its settings.

    python benchmarks/footprint.py [--runs N] [--json FILE]

Starts `python -m passpost` with a saved list of so many servers, on loopback, with the list pushed by an agent that is
not there, waits until it is ready and reads its peak memory from /proc. Each figure is the median of the runs, which go
round the sizes.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

SERVERS, BALANCERS = (20, 200, 1_024), (5, 230, 1_024)
ROOT = Path(__file__).parent.parent


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def config(servers: int, balancers: int, port: int) -> dict[str, Any]:
    """The platform's file."""
    members = [
        {"id": f"s-{i:08x}", "host_port": f"127.0.{i // 250}.{i % 250 + 1}:7070", "locality": "a"}
        | {"flavor": "m", "cell": i // 4, "phase": "active", "size": 1.0, "up_since_ms": 0}
        for i in range(servers)
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "5b",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "balancers": balancers,
            "discovery": "push",
            "classes": [{"name": "frame", "target": 500.0, "deadline": 2_000.0, "effect": "retryable"}],
            "contract": {"drainGrace": 1_000.0, "askWithin": 10_000.0},
        },
    }


def measure(servers: int, balancers: int, folder: Path) -> tuple[float, float]:
    """Peak memory in MB and seconds to ready."""
    port, file = free_port(), folder / "config.json"
    file.write_text(json.dumps(config(servers, balancers, port)))
    begun = time.perf_counter()
    with subprocess.Popen(
        [sys.executable, "-m", "passpost"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(file)},
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            while not is_ready(port):
                if process.poll() is not None or time.perf_counter() > begun + 20:
                    raise SystemExit("the balancer did not start")
                time.sleep(0.002)
            ready = time.perf_counter() - begun
            status = Path(f"/proc/{process.pid}/status").read_text()
            peak = int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")))
        finally:
            process.terminate()
    return peak / 1024, ready


def is_ready(port: int) -> bool:
    """Whether it says that it can serve."""
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/health/ready", timeout=2) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, OSError):
        return False


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    found: dict[tuple[int, int], list[tuple[float, float]]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(options.runs):
            for servers in SERVERS:
                for balancers in BALANCERS:
                    found.setdefault((servers, balancers), []).append(
                        measure(servers, balancers, Path(folder))
                    )
    rows = []
    for (servers, balancers), runs in found.items():
        peak, ready = (statistics.median(column) for column in zip(*runs, strict=True))
        rows.append(
            {
                "servers": servers,
                "balancers": balancers,
                "peak_mb": round(peak, 2),
                "ready_s": round(ready, 3),
            }
        )
        print(f"{servers:6,} servers {balancers:6,} balancers: {peak:6.2f} MB, ready after {ready:.3f} s")
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
