"""The size limits of the decision module."""

from __future__ import annotations

from pathlib import Path

MODULE = Path(__file__).parent.parent / "umberworks" / "rules.py"


def test_the_module_stays_readable() -> None:
    lines = MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 400
    assert max(map(len, lines)) <= 110
    assert "umberworks/interface.py" in lines[0]
