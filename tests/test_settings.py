"""Settings come from the configuration only: missing ones are reported by name, and arbitrary ones are applied."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpost import config
from passpost.config import ConfigError
from passpost.node import Node
from tests.loopback import OK, FakeServer, balancer, config_data, run


@pytest.mark.parametrize(
    ("part", "name"),
    [
        ("limits", "connectTimeout"),
        ("limits", "connIdle"),
        ("contract", "graceToAnswer"),
        ("contract", "askWithin"),
        ("contract", "tipAfter"),
    ],
)
def test_missing_mandatory_setting_is_reported_by_name(part: str, name: str, tmp_path: Path) -> None:
    data = config_data([])
    data["settings"]["discovery"] = "ask"
    data["settings"]["contract"] |= {"cold": 9_000.0, "tipAfter": 700.0}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(data))
    assert config.load(str(path)).settings.cold_window_ms == 700.0
    del data["settings"][part][name]
    path.write_text(json.dumps(data))
    with pytest.raises(ConfigError, match=f"'{part}.{name}' is missing"):
        config.load(str(path))


NAMES = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
SPANS = st.floats(50, 20_000)


@given(
    classes=st.dictionaries(
        NAMES, st.tuples(SPANS, st.sampled_from(["retryable", "dedup", "fragile"])), min_size=1
    ),
    tenants=st.dictionaries(NAMES, st.floats(0.1, 500), max_size=6),
    connect=SPANS,
    idle=SPANS,
    attempts=st.integers(1, 9),
)
def test_arbitrary_settings_are_applied(
    classes: dict[str, tuple[float, str]],
    tenants: dict[str, float],
    connect: float,
    idle: float,
    attempts: int,
) -> None:
    data: dict[str, Any] = config_data([])
    data["settings"] |= {
        "classes": [
            {"name": name, "target": span / 2, "deadline": span, "effect": effect, "repeatWindow": 1.0}
            for name, (span, effect) in classes.items()
        ],
        "orgs": [{"name": name, "quotaPerS": quota, "portion": 0.1} for name, quota in tenants.items()],
    }
    data["settings"]["limits"] |= {"connectTimeout": connect, "connIdle": idle, "attemptsCap": attempts}
    read = config.read(data)
    assert {c.name: c.deadline_ms for c in read.settings.classes} == {n: s for n, (s, _) in classes.items()}
    assert {t.name for t in read.settings.tenants} == set(tenants)
    assert (read.connect_timeout, read.idle_timeout) == (connect / 1000, idle / 1000)
    assert read.settings.max_attempts == attempts


def test_two_nodes_in_one_process_use_their_own_settings() -> None:
    def short_deadlines(data: dict[str, Any]) -> None:
        for cls in data["settings"]["classes"]:
            cls |= {"target": 100.0, "deadline": 200.0}
        data["settings"]["classes"][0]["name"] = "glance"
        data["settings"]["limits"]["connectTimeout"] = 50.0

    async def test() -> None:
        async with balancer(FakeServer(OK), change=short_deadlines) as one, balancer(FakeServer(OK)) as other:
            for b, own_path, foreign_path in ((one, "/glance", "/read"), (other, "/read", "/glance")):
                client = await b.connect()
                answer = await client.fetch(own_path)
                assert answer is not None and answer.status == 200
                answer = await client.fetch(foreign_path)
                assert answer is not None and answer.status == 404
            nodes: tuple[Node, Node] = (one.node, other.node)
            assert [round(n.drain_time_s(), 3) for n in nodes] == [0.6, 3.4]
            assert [n.upstreams._connect_timeout for n in nodes] == [0.05, 5.0]

    run(test())
