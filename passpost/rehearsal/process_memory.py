"""The memory of a process, as the kernel counts it."""

from __future__ import annotations

import contextlib
from enum import StrEnum
from pathlib import Path


class Memory(StrEnum):
    """A figure of /proc/PID/status."""

    RESIDENT = "VmRSS"
    PEAK = "VmHWM"  # the most that has been resident


def memory_mb(pid: int, figure: Memory) -> float:
    """A process's memory in MB; 0 once it has ended."""
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{figure}:"):
                return int(line.split()[1]) / 1024
    return 0.0
