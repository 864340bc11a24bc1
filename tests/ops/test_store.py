"""The file of detached upstreams: changes by two processes, and files that can't be used."""

from __future__ import annotations

import json
import threading
from pathlib import Path

import pytest

from passpost.ops.model import DetachState
from passpost.ops.store import DetachStore, parse


def detached(*names: str) -> DetachState:
    return DetachState(frozenset(names))


def test_a_change_is_read_by_the_other_process_and_by_one_that_starts_later(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"
    first, second = DetachStore(path), DetachStore(path)
    first.change(lambda state: DetachState(state.detached | {"a"}, {"b": 5.0}))
    assert not first.refresh()  # its own write is not a change to read
    assert second.refresh() and second.state == DetachState(frozenset({"a"}), {"b": 5.0})
    assert not second.refresh()
    assert DetachStore(path).state == second.state


def test_a_change_is_applied_to_what_the_other_process_wrote(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"
    first, second = DetachStore(path), DetachStore(path)
    first.change(lambda state: DetachState(state.detached | {"a"}))
    second.change(lambda state: DetachState(state.detached | {"b"}))
    assert second.state == detached("a", "b")


def test_concurrent_changes_are_all_kept(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"

    def add_ids(worker: int) -> None:
        store = DetachStore(path)
        for i in range(20):
            store.change(lambda state, i=i: DetachState(state.detached | {f"{worker}-{i}"}))  # type: ignore[misc]

    threads = [threading.Thread(target=add_ids, args=(worker,)) for worker in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(DetachStore(path).state.detached) == 80


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"out":["a"]}', '{"out":[1],"back":{}}', '{"out":[],"back":{"a":"x"}}']
)
def test_a_malformed_file_leaves_the_state_unchanged(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "x.bans"
    store = DetachStore(path)
    store.change(lambda state: detached("a"))
    path.write_text(text)
    assert not store.refresh()
    assert store.state == detached("a") and str(path) in caplog.text
    store.change(lambda state: DetachState(state.detached | {"b"}))  # a change replaces the malformed file
    assert DetachStore(path).state == detached("a", "b")


def test_without_a_writable_file_the_state_is_kept_in_memory(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    store = DetachStore(tmp_path / "no" / "x.bans")
    store.change(lambda state: detached("a"))
    assert store.state == detached("a") and "this process only" in caplog.text
    memory = DetachStore(None)
    memory.change(lambda state: detached("a"))
    assert memory.state == detached("a") and not memory.refresh()


def test_a_file_system_without_locks_keeps_the_state_in_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def flock(descriptor: int, operation: int) -> None:
        raise OSError("no locks")

    monkeypatch.setattr("fcntl.flock", flock)
    store = DetachStore(tmp_path / "x.bans")
    store.change(lambda state: detached("a"))
    assert store.state == detached("a")


def test_times_that_are_not_finite_are_rejected() -> None:
    with pytest.raises(ValueError, match="finite"):
        parse(json.loads('{"out": [], "back": {"a": NaN}}'))
