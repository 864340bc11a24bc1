"""The size limits of the decision module."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_stays_readable() -> None:
    for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]:
        lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 400
        assert max(map(len, lines)) <= 110
        assert "umberworks/interface.py" in lines[0]
