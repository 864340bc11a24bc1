"""Measures memory and start-up time of one balancer by the number of servers in its list and balancers in its settings.

    python benchmarks/footprint.py [--runs N] [--json FILE]

Starts `python -m passpost` on loopback with a saved server list and an unreachable discovery agent (mode "push"), waits
until it is ready and reads its peak memory from /proc. Each figure is the median of the runs; each run measures all
combinations of sizes in turn.
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

from passpost.rehearsal.process_memory import Memory, memory_mb

SERVER_COUNTS, BALANCER_COUNTS = (20, 200, 1_024), (5, 230, 1_024)
ROOT = Path(__file__).parent.parent


def free_port() -> int:
    """Returns a TCP port that was free when this was called."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def platform_config(servers: int, balancers: int, port: int) -> dict[str, Any]:
    """Returns the content of the platform's configuration file."""
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


def measure_startup(servers: int, balancers: int, folder: Path) -> tuple[float, float]:
    """Starts a balancer; returns its peak memory in MB and the seconds until it was ready."""
    port, config_path = free_port(), folder / "config.json"
    config_path.write_text(json.dumps(platform_config(servers, balancers, port)))
    started = time.perf_counter()
    with subprocess.Popen(
        [sys.executable, "-m", "passpost"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(config_path)},
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            while not is_ready(port):
                if process.poll() is not None or time.perf_counter() > started + 20:
                    raise SystemExit("the balancer ended or was not ready within 20 s")
                time.sleep(0.002)
            ready_s = time.perf_counter() - started
            peak_mb = memory_mb(process.pid, Memory.PEAK)
        finally:
            process.terminate()
    return peak_mb, ready_s


def is_ready(port: int) -> bool:
    """Returns whether the readiness endpoint of the balancer answers 200."""
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/health/ready", timeout=2) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, OSError):
        return False


def main() -> None:
    """Measures all combinations and prints the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    results: dict[tuple[int, int], list[tuple[float, float]]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(options.runs):
            for servers in SERVER_COUNTS:
                for balancers in BALANCER_COUNTS:
                    results.setdefault((servers, balancers), []).append(
                        measure_startup(servers, balancers, Path(folder))
                    )
    rows = []
    for (servers, balancers), runs in results.items():
        peak_mb, ready_s = (statistics.median(column) for column in zip(*runs, strict=True))
        rows.append(
            {
                "servers": servers,
                "balancers": balancers,
                "peak_mb": round(peak_mb, 2),
                "ready_s": round(ready_s, 3),
            }
        )
        print(
            f"{servers:6,} servers {balancers:6,} balancers: {peak_mb:6.2f} MB, ready after {ready_s:.3f} s"
        )
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
