"""The README's example runs as it is printed and prints what it promises."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs_as_printed() -> None:
    code = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.S)
    assert len(code) == 1
    done = subprocess.run([sys.executable, "-c", code[0]], text=True, capture_output=True, check=True)
    assert done.stdout == "".join(f"request {n} goes to a server for at most 500 ms\n" for n in (1, 2))
