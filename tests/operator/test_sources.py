"""Sources of upstream addresses: changes are reported, and a failing source keeps its last addresses."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passpost.host import Address, Host
from passpost.operator import model
from passpost.operator.membership import Membership, format_address, parse_address_list
from passpost.operator.sources import FileSource, NamesSource, StaticSource
from passpost.rehearsal.loop import SimLoop
from passpost.rehearsal.network import Network, SimHost
from umberworks.interface import ListKind, ListUpdate


class RecordedUpdates:
    def __init__(self) -> None:
        self.lists: list[list[str]] = []
        self.updates: list[ListUpdate] = []

    def __call__(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        assert update.kind is ListKind.WHOLE
        assert [m.server for m in update.members] == list(addresses)
        assert all(format_address(a) == name for name, a in addresses.items())
        self.lists.append(list(addresses))
        self.updates.append(update)


def run_simulated(test: Coroutine[Any, Any, None]) -> None:
    loop = SimLoop(1)  # type: ignore[abstract]
    loop.run(test)
    assert loop.faults == []


def sim_host() -> Host:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimLoop)
    return SimHost(Network(loop, 1, 0.001, 0.0, 0.0))


def test_fixed_addresses_are_reported_once() -> None:
    recorded = RecordedUpdates()
    StaticSource(model.Static(addresses=("10.0.0.2:80", "[::1]:80", "10.0.0.1:80"))).start(recorded)
    assert recorded.lists == [["10.0.0.1:80", "10.0.0.2:80", "[::1]:80"]]
    assert all(m.up_since_ms == 0 for m in recorded.updates[0].members)


class ScriptedResolver:
    """A scripted resolver: for each name its addresses, an error to raise, or a delay in seconds."""

    def __init__(self) -> None:
        self.answers: dict[str, list[str] | OSError | float] = {}
        self.call_count = 0

    async def __call__(self, name: str, port: int) -> list[str]:
        self.call_count += 1
        answer = self.answers[name]
        if isinstance(answer, OSError):
            raise answer
        if isinstance(answer, float):
            await asyncio.sleep(answer)
            return ["10.9.9.9"]
        return answer


def test_names_are_resolved_again_and_changes_are_reported() -> None:
    async def test() -> None:
        recorded, resolver = RecordedUpdates(), ScriptedResolver()
        source = NamesSource(model.Names(names=("a:80",), expires_s=10), sim_host(), resolver)
        resolver.answers["a"] = ["10.0.0.1", "10.0.0.2"]
        source.start(recorded)
        await asyncio.sleep(25)
        # The list is reported only when it changes.
        assert resolver.call_count == 3 and recorded.lists == [["10.0.0.1:80", "10.0.0.2:80"]]
        resolver.answers["a"] = ["10.0.0.2", "10.0.0.3"]
        await asyncio.sleep(10)
        assert recorded.lists[1:] == [["10.0.0.2:80", "10.0.0.3:80"]]
        old, new = recorded.updates[1].members
        assert old.up_since_ms == 0 and new.up_since_ms > 0  # a new address counts as just started
        source.stop()
        await asyncio.sleep(30)
        assert resolver.call_count == 4

    run_simulated(test())


@pytest.mark.parametrize(
    "fault", [OSError(-2, "Name or service not known"), [], 60.0], ids=["unknown", "nothing", "slow"]
)
def test_failing_name_keeps_its_addresses_and_does_not_delay_others(
    fault: Any, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        recorded, resolver = RecordedUpdates(), ScriptedResolver()
        resolver.answers = {"a": ["10.0.0.1"], "b": ["10.0.0.2"]}
        source = NamesSource(
            model.Names(names=("a:80", "b:80"), expires_s=10, timeout_s=5), sim_host(), resolver
        )
        source.start(recorded)
        await asyncio.sleep(1)
        resolver.answers = {"a": fault, "b": ["10.0.0.3"]}
        await asyncio.sleep(10)
        assert recorded.lists[-1] == ["10.0.0.1:80", "10.0.0.3:80"]
        await asyncio.sleep(40)
        assert recorded.lists[-1] == ["10.0.0.1:80", "10.0.0.3:80"]
        resolver.answers["a"] = ["10.0.0.4"]
        await asyncio.sleep(20)
        assert recorded.lists[-1] == ["10.0.0.3:80", "10.0.0.4:80"]

    run_simulated(test())
    warned = [r.getMessage() for r in caplog.records if r.levelname == "WARNING"]
    assert len(warned) == 1 and warned[0].startswith("a:80: ")  # logged once, not at every poll


def test_name_that_never_resolved_reports_no_list() -> None:
    async def test() -> None:
        recorded, resolver = RecordedUpdates(), ScriptedResolver()
        resolver.answers["a"] = OSError(-2, "unknown")
        NamesSource(model.Names(names=("a:80",)), sim_host(), resolver).start(recorded)
        await asyncio.sleep(100)
        assert recorded.lists == []

    run_simulated(test())


def test_watched_file_is_followed_and_an_invalid_one_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "list"

    def replace(text: str) -> None:
        (tmp_path / "new").write_text(text)
        os.replace(tmp_path / "new", path)

    async def test() -> None:
        recorded = RecordedUpdates()
        source = FileSource(model.Watched(path=str(path), every_s=1), sim_host())
        source.start(recorded)
        await asyncio.sleep(2)
        assert recorded.lists == []  # the file does not exist yet
        replace("10.0.0.1:80  # the first\n\n10.0.0.2:80\n10.0.0.1:80\n")
        await asyncio.sleep(2)
        assert recorded.lists == [["10.0.0.1:80", "10.0.0.2:80"]]
        for bad in (
            "10.0.0.1:80\nrender:80\n",
            "",
            "# nothing\n",
            "\ud800".encode("utf-8", "surrogatepass").decode("latin-1"),
        ):
            replace(bad)
            await asyncio.sleep(2)
        path.unlink()
        await asyncio.sleep(2)
        assert len(recorded.lists) == 1
        replace("10.0.0.3:80\n")
        await asyncio.sleep(2)
        assert recorded.lists[1:] == [["10.0.0.3:80"]]

    run_simulated(test())
    assert "line 2: 'render:80' is not an IP address and port" in caplog.text


def test_error_names_the_invalid_line() -> None:
    with pytest.raises(ValueError, match="line 3: 'x' is not an IP address and port"):
        parse_address_list("10.0.0.1:80\n#\nx")


addresses = st.tuples(st.sampled_from(["10.0.0.1", "10.0.0.2", "::1"]), st.integers(1, 3))


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.lists(addresses, max_size=4)), max_size=12))
def test_list_is_the_union_of_the_last_addresses_of_each_source(
    steps: list[tuple[str, list[Address]]],
) -> None:
    membership, expected, last = Membership(), dict[str, set[Address]](), None
    for now, (source, found) in enumerate(steps, 1):
        membership.set_addresses(source, found)
        if found:
            expected[source] = set(found)
        union = sorted(set().union(*expected.values()))
        assert membership.addresses() == union
        update = membership.update(float(now))
        assert (update is not None) == (union != (last or []))
        last = union
        assert membership.update(float(now)) is None
