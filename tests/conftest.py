"""Makes property tests draw the same examples in each run, for reproducible results, and marks known failures."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from tests import known_red

# No time limits: on a busy machine the first draw of a text takes seconds, because its character table is built then.
settings.register_profile(
    "same", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("same")


def listed_entries(config: pytest.Config) -> list[known_red.KnownRed]:
    """The entries of KNOWN-RED.txt at the root; an invalid file stops the run before it begins."""
    try:
        return known_red.read_file(Path(config.rootpath))
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_configure(config: pytest.Config) -> None:
    """Check KNOWN-RED.txt before the run begins."""
    listed_entries(config)


class MissingTest(pytest.Item):
    """Fails in place of a listed test that doesn't exist; an error during collection would hide all other results."""

    def runtest(self) -> None:
        raise known_red.KnownRedError(f"KNOWN-RED.txt: no such test: {self.name}")


def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark listed tests as expected failures, strict ones unless they fail only at times; no other test is marked."""
    entries = listed_entries(config)
    selected = bool(config.option.keyword or config.option.markexpr) or config.args != config.getini(
        "testpaths"
    )
    for name in known_red.missing(entries, (i.nodeid for i in items), selected):
        items.append(MissingTest.from_parent(session, name=name))
    by_test = {entry.test: entry for entry in entries}
    for item in items:
        if (entry := by_test.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(strict=not entry.at_times, reason=str(entry)))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the entries, so that they are not overlooked."""
    for entry in listed_entries(config):
        terminalreporter.write_line(str(entry))
