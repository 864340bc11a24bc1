"""The list of tests that are known to fail: passed over, printed, and never a way to a pass."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRedError, read
from tests.loopback import ROOT

RED = "tests/test_a.py::test_red[1] | a stand of over a second | issue 43"
TESTS = """
import pytest

@pytest.mark.parametrize("n", [1])
def test_red(n):
    assert n == 2

def test_green():
    pass
"""


def ran(tmp_path: Path, lines: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """A run of two tests, one of which fails, with such a list and this repository's conftest."""
    folder = tmp_path / "tests"
    folder.mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        (folder / name).write_text((ROOT / "tests" / name).read_text())
    (folder / "test_a.py").write_text(TESTS)
    (tmp_path / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q -n 2 -p no:cacheprovider"\n'
    )
    (tmp_path / "KNOWN-RED.txt").write_text(lines)
    environment = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST")}
    return subprocess.run(
        [sys.executable, "-m", "pytest", *arguments],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_a_listed_test_that_fails_is_passed_over_and_printed(tmp_path: Path) -> None:
    run = ran(tmp_path, RED + "\n")
    assert run.returncode == 0, run.stdout
    assert "known red: tests/test_a.py::test_red[1]: a stand of over a second (issue 43)" in run.stdout


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ("", "1 failed"),
        (RED + "\ntests/test_a.py::test_green | it passes | issue 43", "1 failed"),
        (RED + "\ntests/test_a.py::test_gone | it is not there | issue 43", "no such test"),
        (RED.replace("[1]", "[7]"), "no such test"),
        ("\n".join(RED.replace("red", f"red{i}") for i in range(4)), "3 at most"),
        (RED + "\n" + RED, "listed twice"),
        ("tests/test_a.py::test_red[1]", "not 'test | cause | issue'"),
    ],
)
def test_a_list_is_no_way_to_a_pass(tmp_path: Path, lines: str, said: str) -> None:
    run = ran(tmp_path, lines)
    assert run.returncode != 0 and said in run.stdout + run.stderr


def test_a_part_of_the_tests_can_be_run_by_itself(tmp_path: Path) -> None:
    assert ran(tmp_path, RED, "tests/test_a.py::test_green").returncode == 0


def test_a_line_says_test_cause_and_issue() -> None:
    (entry,) = read(RED + "\n\n")
    assert (entry.test, entry.issue) == ("tests/test_a.py::test_red[1]", "issue 43")
    with pytest.raises(KnownRedError):
        read("a | | c")
