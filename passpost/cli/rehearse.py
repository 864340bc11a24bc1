"""`passpost rehearse SCRIPT`: runs a scenario and prints its figures."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import TextIO

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from passpost.cli.command import UnusableInputError
from passpost.rehearsal import report
from passpost.rehearsal.script import ScenarioError, load
from passpost.rehearsal.summary import COLUMN_TITLES, Summary, summarize
from passpost.rehearsal.watch import RULES
from passpost.rehearsal.world import Run

MAX_SHOWN_FINDINGS = 3


@click.command(name="rehearse")
@click.argument("script")
@click.option("--seed", type=int, help="Seed of the random draws; by default that of the script.")
@click.option("--live", is_flag=True, help="Run real balancer processes on loopback, in real time.")
@click.option("--decisions", metavar="FILE", help="Write one line for each routing decision.")
@click.option("--report", "page", metavar="FILE.html", help="Write a report with plots over time.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
def command(
    script: str, seed: int | None, live: bool, decisions: str | None, page: str | None, as_json: bool
) -> int:
    """Run the scenario that SCRIPT describes, and check the rules from outside the balancers.

    Without --live it runs in simulated time: minutes take seconds, and the same script and seed give byte-identical
    decisions. Exit status: 0 all rules kept, 1 a rule broken or a crash, 2 a script that can't be used.
    """
    try:
        night_script = load(script)
    except ScenarioError as error:
        raise UnusableInputError(str(error)) from None
    chosen = night_script.seed if seed is None else seed
    with ExitStack() as stack:
        sink = _open_output(decisions, stack)
        console = Console(stderr=True)
        bar = Progress(
            TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:3.0f}%"),
            TimeElapsedColumn(), console=console, transient=True, disable=not console.is_terminal,
        )  # fmt: skip
        stack.enter_context(bar)
        task = bar.add_task(night_script.title, total=1.0)

        def progress(share: float) -> None:
            bar.update(task, completed=share)

        write: Callable[[str], None] | None = None
        if sink is not None:

            def write(line: str) -> None:
                sink.write(line + "\n")

        if live:
            from passpost.rehearsal.live import UnsupportedScenarioError
            from passpost.rehearsal.live import play as play_live

            try:
                night = play_live(night_script, chosen, write, progress)
            except UnsupportedScenarioError as error:
                raise UnusableInputError(f"{script}: {error}") from None
        else:
            from passpost.rehearsal.virtual import play

            night = play(night_script, chosen, write, progress)
    figures = summarize(night)
    if page is not None:
        try:
            Path(page).write_text(report.render_html(night), encoding="utf-8")
        except OSError as error:
            raise UnusableInputError(f"{page}: {error.strerror}") from None
    if as_json:
        more = {
            "good": night.is_good(),
            "first_break": night.violations[0].text if night.violations else None,
        }
        click.echo(json.dumps(figures.as_json() | more, indent=2))
    else:
        show(night, figures)
    return 0 if night.is_good() else 1


def _open_output(path: str | None, stack: ExitStack) -> TextIO | None:
    if path is None:
        return None
    try:
        return stack.enter_context(open(path, "w", encoding="utf-8"))
    except OSError as error:
        raise UnusableInputError(f"{path}: {error.strerror}") from None


def show(night: Run, figures: Summary) -> None:
    """Prints the table of figures, the first faults, and the first broken rules with the events that led to them."""
    console = Console(highlight=False, width=None if sys.stdout.isatty() else 100)
    table = Table(title=f"{figures.title} (seed {figures.seed})", title_justify="left")
    table.add_column("")
    for head in COLUMN_TITLES[1:]:
        table.add_column(head, justify="right")
    for line in (figures.total, *figures.by_class, *figures.by_tenant):
        table.add_row(*line.cells())
    console.print(table)
    console.print(
        f"{figures.attempts_each:.2f} attempts and {figures.tries_each:.2f} tries per request; "
        f"{figures.seconds:.0f} s of the scenario in {figures.wall_s:.1f} s"
    )
    if figures.left_waiting:
        console.print(
            f"{figures.left_waiting} clients disconnected while they waited; "
            f"{figures.sent_after} of their requests were sent to servers 0.3 s later or after that"
        )
    for rule, text in RULES.items():
        broken = figures.violations[rule]
        console.print(f"  {text}: " + (f"[bold red]broken {broken} times[/]" if broken else "[green]kept[/]"))
    for fault in night.faults[:MAX_SHOWN_FINDINGS]:
        console.print(f"[bold red]fault:[/] {fault}", markup=True)
    for found in night.violations[:MAX_SHOWN_FINDINGS]:
        console.print(f"\n[bold red]{RULES[found.rule]}:[/] {found.text}")
        for row in found.timeline:
            console.print(f"  {row}", markup=False)
