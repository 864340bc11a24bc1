"""Size limits of the decision module's files."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_policy_files_stay_within_their_size_limits() -> None:
    for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]:
        lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 400
        assert max(map(len, lines)) <= 110
        assert "umberworks/interface.py" in lines[0]
