"""KNOWN-RED.txt: listed tests are expected to fail and are printed; the list can't hide any other failure."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRedError, read
from tests.loopback import ROOT

RED = "tests/test_a.py::test_red[1] | pytest tests/test_a.py | a stand of over a second | issue 43"
PASSES = "tests/test_a.py::test_green | pytest tests/test_a.py | it passes | issue 43"
GONE = PASSES.replace("test_green", "test_gone")
AT_TIMES = " | at times: 3 of 25 runs, 50 wanted"
TESTS = """
import pytest

@pytest.mark.parametrize("n", [1])
def test_red(n):
    assert n == 2

def test_green():
    pass
"""


def run_pytest(tmp_path: Path, lines: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run two tests, one of which fails, with the given list and this repository's conftest."""
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


def test_listed_failing_test_is_expected_and_printed(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, RED + "\n")
    assert result.returncode == 0, result.stdout
    seen = (
        "known red: tests/test_a.py::test_red[1]: a stand of over a second (issue 43): pytest tests/test_a.py"
    )
    assert seen in result.stdout


def test_listed_intermittent_failure_may_pass_and_is_printed(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, RED + "\n" + PASSES + AT_TIMES)
    assert result.returncode == 0, result.stdout
    assert "it passes (issue 43; at times: 3 of 25 runs, 50 wanted)" in result.stdout


def test_soak_seed_is_printed_but_is_not_a_test(tmp_path: Path) -> None:
    soak = "soak 5024 | python benchmarks/restarts.py --first 5024 | two requests are lost | issue 47"
    result = run_pytest(tmp_path, RED + "\n" + soak)
    assert result.returncode == 0, result.stdout
    assert "known red: soak 5024" in result.stdout
    assert [entry.soak_seed for entry in read(RED + "\n" + soak)] == [None, 5024]


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ("", "1 failed"),
        (RED + "\n" + PASSES, "1 failed"),
        (RED + "\n" + GONE, "no such test"),
        (RED + "\n" + GONE + AT_TIMES, "no such test"),
        (RED.replace("[1]", "[7]"), "no such test"),
        (RED + "\n" + RED, "listed twice"),
        (RED + "\n" + RED + AT_TIMES, "listed twice"),
        ("tests/test_a.py::test_red[1]", "not 'test | command and seed"),
        (RED.replace("issue 43", "some day"), "not 'test | command and seed"),
        (RED + " | at times", "not 'at times"),
        (RED + " | at times: 0 of 25 runs, 50 wanted", "not 'at times"),
        (RED + " | at times: 25 of 25 runs, 50 wanted", "not 'at times"),
        (RED + " | at times: 3 of 25 runs, 20 wanted", "not 'at times"),
    ],
)
def test_invalid_or_outdated_list_fails_the_run(tmp_path: Path, lines: str, message: str) -> None:
    result = run_pytest(tmp_path, lines)
    assert result.returncode != 0 and message in result.stdout + result.stderr


def test_single_test_can_be_run_despite_other_entries(tmp_path: Path) -> None:
    assert run_pytest(tmp_path, RED, "tests/test_a.py::test_green").returncode == 0


def test_entry_has_test_command_observation_and_issue() -> None:
    (entry,) = read(RED + "\n\n")
    assert (entry.test, entry.command) == ("tests/test_a.py::test_red[1]", "pytest tests/test_a.py")
    assert (entry.seen, entry.issue) == ("a stand of over a second", "issue 43")
    with pytest.raises(KnownRedError):
        read("a | | c | issue 1")
