"""The shipped examples: each file equals what its description generates, has no errors, and serves its classes."""

from __future__ import annotations

from pathlib import Path

import pytest

from passpost.cli import new
from passpost.operator.checks import check, split_host_port
from passpost.operator.model import Static
from passpost.operator.reader import load
from passpost.operator.writer import build, render
from tests.operator.harness import FakeServer, SidecarHarness, run_simulated

EXAMPLES = sorted((Path(__file__).parent.parent.parent / "examples").iterdir())


def test_at_least_three_examples_exist() -> None:
    assert len(EXAMPLES) >= 3


@pytest.mark.parametrize("folder", EXAMPLES, ids=lambda p: p.name)
def test_example_equals_its_generated_file_and_serves_every_class(folder: Path) -> None:
    reading = load(str(folder / "passpost.toml"))
    file = reading.file
    assert file is not None and [p for p in reading.all_problems(check(file)) if not p.warning] == []
    assert reading.text == render(build(new.read(str(folder / "description.toml"))), "description.toml")

    async def test(harness: SidecarHarness) -> None:
        upstreams: dict[str, list[FakeServer]] = {}
        for app in file.applications:
            assert isinstance(app.upstreams, Static)
            for address in app.upstreams.addresses:
                pair = split_host_port(address)
                assert pair is not None
                upstreams.setdefault(app.name, []).append(FakeServer())
                harness.add_server(pair, upstreams[app.name][-1])
        harness.start_sidecar(file)
        for app in file.applications:
            pair = split_host_port(app.listen)
            assert pair is not None
            for cls in app.classes:
                for method in cls.methods:
                    target = cls.path.replace("/**", "/x/y").replace("/*", "/x")
                    headers = {cls.key_header.replace("-", "_"): "k1"} if cls.key_header else {}
                    got = await harness.request(pair, target, method, b"", **headers)
                    assert got is not None and got.status == 200, (app.name, cls.name, method)
            request_count = sum(len(u.received) for u in upstreams[app.name])
            assert request_count == sum(len(c.methods) for c in app.classes)

    run_simulated(test)
