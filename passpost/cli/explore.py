"""`passpost explore SCRIPT`: runs a scenario with many seeds and random failures; shrinks one that breaks a rule."""

from __future__ import annotations

import json
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from passpost.cli.command import UnusableInputError
from passpost.rehearsal.explore import explore
from passpost.rehearsal.script import ScenarioError, dump, load


@click.command(name="explore")
@click.argument("script")
@click.option(
    "--seeds",
    type=click.IntRange(1, 10_000_000),
    default=100,
    show_default=True,
    help="How many runs, each with its own seed.",
)
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Number of parallel processes."
)
@click.option(
    "--faults",
    type=click.IntRange(0, 50),
    default=4,
    show_default=True,
    help="Maximum number of added failures.",
)
@click.option(
    "--out", metavar="FILE.toml", help="Output file for the shrunk scenario  [default: found-SEED.toml]"
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def command(
    script: str, seeds: int, first: int, jobs: int, faults: int, out: str | None, as_json: bool
) -> int:
    """Run SCRIPT's scenario with many seeds, each with its own random failures, which may overlap.

    Stops at the first broken rule or crash, removes every failure that isn't needed to reproduce it, and writes
    the rest as a script that replays it. Exit status: 0 nothing found, 1 found, 2 a script that can't be used.
    """
    try:
        base = load(script)
    except ScenarioError as error:
        raise UnusableInputError(str(error)) from None
    console = Console(stderr=True)
    with Progress(
        TextColumn("exploring"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(),
        console=console, transient=True, disable=not console.is_terminal,
    ) as bar:  # fmt: skip
        task = bar.add_task("", total=seeds)
        found, played = explore(
            base, range(first, first + seeds), jobs, faults, lambda: bar.update(task, advance=1)
        )
    if found is None:
        click.echo(
            json.dumps({"played": played, "found": None}) if as_json else f"{played} runs, no rule broken"
        )
        return 0
    path = Path(out or f"found-{found.seed}.toml")
    try:
        path.write_text(dump(found.scenario), encoding="utf-8")
    except OSError as error:
        raise UnusableInputError(f"{path}: {error.strerror}") from None
    if as_json:
        result = {"played": played, "found": {"seed": found.seed, "what": found.problem, "script": str(path)}}
        click.echo(json.dumps(result))
    else:
        click.echo(f"seed {found.seed}, after {played} runs: {found.problem}")
        click.echo(
            f"shrunk to {len(found.scenario.events)} failures (of {found.drawn_events}); replay it with:"
        )
        click.echo(f"  passpost rehearse {path}")
    return 1
