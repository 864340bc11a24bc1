"""The engine's clock, and the settings that reach the decision module."""

from __future__ import annotations

import time

import pytest

from passpost import config
from passpost.engine import Engine
from passpost.host import Host
from passpost.upstreams.pool import Upstreams
from tests.loopback import config_data
from umberworks.interface import Member


def test_clock_is_unix_time_and_never_goes_back() -> None:
    # With another base, an upstream that started a second ago would seem to have been up for a long time.
    host = Host()
    loaded = config.read(config_data([]))
    engine = Engine(loaded.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016, host)
    first = engine.now()
    assert first == pytest.approx(time.time() * 1000, abs=600_000)
    host.unix = lambda: 5.0  # the system's clock is set back
    assert engine.now() >= first
    engine = Engine(loaded.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016, host)
    assert engine.now() == pytest.approx(5_000, abs=600_000)


def test_recently_started_upstream_is_cold_to_the_module() -> None:
    data = config_data([])
    data["settings"]["contract"] |= {"cold": 24_000.0, "coldFrom": 0.25, "tipAfter": 1_500.0}
    loaded = config.read(data)
    engine = Engine(loaded.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016)
    now = engine.now()
    balancer = engine._balancer
    for age, expected in ((0.0, 0.25), (12_000.0, 0.625), (24_000.0, 1.0)):
        server = type("Server", (), {"member": Member("a", up_since_ms=now - age), "reattached_at": 0.0})
        assert balancer._slow_start.warmth(server, now) == pytest.approx(expected)  # type: ignore[arg-type]


def test_settings_are_read_under_the_names_of_the_simulator() -> None:
    loaded = config.read(config_data([]))
    assert [c.name for c in loaded.settings.classes] == ["read", "order", "pay"]
    assert (loaded.settings.may_cancel, loaded.settings.may_duplicate) == (True, False)
    assert loaded.settings.max_retry_after_ms == 1_500.0
    assert (loaded.connect_timeout, loaded.idle_timeout, loaded.answer_grace) == (5.0, 30.0, 0.016)
    assert loaded.seed == 0x8C1F30D2


def test_lists_and_flags_are_flattened_in_the_form_of_the_simulator() -> None:
    assert config.flatten({"a": {"b": [{"c": True}, {"c": None}], "d": ["x", "y"]}, "e": 1.5, "f": []}) == {
        "a.b.count": "2",
        "a.b.0.c": "1",
        "a.d": "x,y",
        "e": "1.5",
        "f": "",
    }
