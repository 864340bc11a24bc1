"""The engine: the module's clock, and the configuration that reaches it."""

from __future__ import annotations

import time

import pytest

from passpost import config
from passpost.engine import Engine
from passpost.host import Host
from passpost.upstreams.pool import Upstreams
from tests.loopback import config_data
from umberworks.interface import Member


def test_the_clock_is_unix_time_and_never_goes_back() -> None:
    # Against any other base, an upstream that started a second ago would look like one of long ago.
    host = Host()
    read = config.read(config_data([]))
    started = Engine(read.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016, host)
    first = started.now()
    assert first == pytest.approx(time.time() * 1000, abs=600_000)
    host.unix = lambda: 5.0  # the system's clock is set back
    assert started.now() >= first
    started = Engine(read.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016, host)
    assert started.now() == pytest.approx(5_000, abs=600_000)


def test_a_young_upstream_is_cold_to_the_module() -> None:
    data = config_data([])
    data["settings"]["contract"] |= {"cold": 24_000.0, "coldFrom": 0.25, "tipAfter": 1_500.0}
    read = config.read(data)
    started = Engine(read.settings, 1, Upstreams(1.0, 1.0, 10), lambda: None, 0.016)
    now = started.now()
    balancer = started._balancer
    for age, wanted in ((0.0, 0.25), (12_000.0, 0.625), (24_000.0, 1.0)):
        fresh = type("Server", (), {"member": Member("a", up_since_ms=now - age), "reattached_at": 0.0})
        assert balancer._slow_start.warmth(fresh, now) == pytest.approx(wanted)  # type: ignore[arg-type]


def test_settings_are_read_by_the_simulators_names() -> None:
    read = config.read(config_data([]))
    assert [c.name for c in read.settings.classes] == ["read", "order", "pay"]
    assert (read.settings.may_cancel, read.settings.may_duplicate) == (True, False)
    assert read.settings.max_retry_after_ms == 1_500.0
    assert (read.connect_timeout, read.idle_timeout, read.answer_grace) == (5.0, 30.0, 0.016)
    assert read.seed == 0x8C1F30D2


def test_lists_and_flags_are_flattened_as_the_simulator_spells_them() -> None:
    assert config.flatten({"a": {"b": [{"c": True}, {"c": None}], "d": ["x", "y"]}, "e": 1.5, "f": []}) == {
        "a.b.count": "2",
        "a.b.0.c": "1",
        "a.d": "x,y",
        "e": "1.5",
        "f": "",
    }
