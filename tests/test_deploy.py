"""The deploy file's build step."""

from __future__ import annotations

import os
import subprocess
import tomllib
from pathlib import Path

# A stub for `python3 -m venv --clear .venv`: creating a real environment is slow and needs pip.
PYTHON_STUB = """#!/bin/sh
test "$*" = "-m venv --clear .venv" || exit 1
rm -rf .venv && mkdir -p .venv/bin && printf '#!/bin/sh\\n' > .venv/bin/pip && chmod +x .venv/bin/pip
printf '#!/bin/sh\\necho "$*" >> compiled\\n' > .venv/bin/python && chmod +x .venv/bin/python
"""
DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "balancer.toml"


def test_changed_requirements_rebuild_an_existing_environment(tmp_path: Path) -> None:
    build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    python = tmp_path / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(PYTHON_STUB)
    python.chmod(0o755)
    env = os.environ | {"PATH": f"{python.parent}:{os.environ['PATH']}"}

    def run_build() -> None:
        subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, env=env, check=True)

    requirements, leftover = tmp_path / "requirements.txt", tmp_path / ".venv" / "leftover"
    requirements.write_text("# nothing yet\n")
    run_build()
    leftover.touch()
    run_build()
    assert leftover.exists()  # unchanged requirements: the environment is kept
    requirements.write_text("# nothing still, in other words\n")
    run_build()
    assert not leftover.exists()
    # `run` may have no write access, and then each process would compile the program at each start.
    assert (tmp_path / "compiled").read_text() == 3 * "-m compileall -q passpost umberworks\n"
