"""The shipped examples: each file is what its description gives, is accepted, and serves what it says."""

from __future__ import annotations

from pathlib import Path

import pytest

from passpost.cli import new
from passpost.operator.checks import check, split_host_port
from passpost.operator.model import Static
from passpost.operator.reader import load
from passpost.operator.writer import build, render
from tests.operator.rig import Rig, Upstream, play

EXAMPLES = sorted((Path(__file__).parent.parent.parent / "examples").iterdir())


def test_there_are_three() -> None:
    assert len(EXAMPLES) >= 3


@pytest.mark.parametrize("folder", EXAMPLES, ids=lambda p: p.name)
def test_an_example_is_what_its_description_gives_and_serves(folder: Path) -> None:
    reading = load(str(folder / "passpost.toml"))
    file = reading.file
    assert file is not None and [p for p in reading.all_problems(check(file)) if not p.warning] == []
    assert reading.text == render(build(new.read(str(folder / "description.toml"))), "description.toml")

    async def test(rig: Rig) -> None:
        upstreams: dict[str, list[Upstream]] = {}
        for app in file.applications:
            assert isinstance(app.upstreams, Static)
            for address in app.upstreams.addresses:
                pair = split_host_port(address)
                assert pair is not None
                upstreams.setdefault(app.name, []).append(Upstream())
                rig.serve(pair, upstreams[app.name][-1])
        rig.carry(file)
        for app in file.applications:
            pair = split_host_port(app.listen)
            assert pair is not None
            for cls in app.classes:
                for method in cls.methods:
                    target = cls.path.replace("/**", "/x/y").replace("/*", "/x")
                    headers = {cls.key_header.replace("-", "_"): "k1"} if cls.key_header else {}
                    got = await rig.ask(pair, target, method, b"", **headers)
                    assert got is not None and got.status == 200, (app.name, cls.name, method)
            asked = sum(len(u.got) for u in upstreams[app.name])
            assert asked == sum(len(c.methods) for c in app.classes)

    play(test)
