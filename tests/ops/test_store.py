"""The bans on disk: two processes, and files that can't be used."""

from __future__ import annotations

import json
import threading
from pathlib import Path

import pytest

from passpost.ops.model import Bans
from passpost.ops.store import Store, parse


def out(*names: str) -> Bans:
    return Bans(frozenset(names))


def test_what_one_writes_the_other_sees_and_a_later_one_starts_with(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"
    first, second = Store(path), Store(path)
    first.change(lambda bans: Bans(bans.out | {"a"}, {"b": 5.0}))
    assert not first.look()  # its own change is no news
    assert second.look() and second.bans == Bans(frozenset({"a"}), {"b": 5.0})
    assert not second.look()
    assert Store(path).bans == second.bans


def test_a_change_is_made_on_what_the_other_wrote(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"
    first, second = Store(path), Store(path)
    first.change(lambda bans: Bans(bans.out | {"a"}))
    second.change(lambda bans: Bans(bans.out | {"b"}))
    assert second.bans == out("a", "b")


def test_many_at_once_lose_no_change(tmp_path: Path) -> None:
    path = tmp_path / "x.bans"

    def work(part: int) -> None:
        store = Store(path)
        for i in range(20):
            store.change(lambda bans, i=i: Bans(bans.out | {f"{part}-{i}"}))  # type: ignore[misc]

    threads = [threading.Thread(target=work, args=(part,)) for part in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(Store(path).bans.out) == 80


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"out":["a"]}', '{"out":[1],"back":{}}', '{"out":[],"back":{"a":"x"}}']
)
def test_a_file_that_means_nothing_changes_nothing(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "x.bans"
    store = Store(path)
    store.change(lambda bans: out("a"))
    path.write_text(text)
    assert not store.look()
    assert store.bans == out("a") and str(path) in caplog.text
    store.change(lambda bans: Bans(bans.out | {"b"}))  # and is written over
    assert Store(path).bans == out("a", "b")


def test_without_a_place_to_write_bans_hold_here(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    store = Store(tmp_path / "no" / "x.bans")
    store.change(lambda bans: out("a"))
    assert store.bans == out("a") and "this process only" in caplog.text
    memory = Store(None)
    memory.change(lambda bans: out("a"))
    assert memory.bans == out("a") and not memory.look()


def test_a_place_that_knows_no_locks_still_bans_here(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def no_locks(lock: int, how: int) -> None:
        raise OSError("no locks")

    monkeypatch.setattr("fcntl.flock", no_locks)
    store = Store(tmp_path / "x.bans")
    store.change(lambda bans: out("a"))
    assert store.bans == out("a")


def test_moments_that_are_none_are_refused() -> None:
    with pytest.raises(ValueError, match="finite"):
        parse(json.loads('{"out": [], "back": {"a": NaN}}'))
