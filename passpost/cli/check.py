"""`passpost check FILE...`: every mistake at once, one sentence each."""

from __future__ import annotations

import json
import os
from dataclasses import asdict

import click

from passpost.operator import probe
from passpost.operator.checks import check as judge
from passpost.operator.reader import Problem, UnreadableError, load


@click.command(name="check")
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@click.option("--resolve", is_flag=True, help="Also look whether names resolve and variables are set here.")
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
def command(files: tuple[str, ...], resolve: bool, as_json: bool) -> int:
    """Check operators' files: form, meaning, and whether their ports are free here.

    Each finding has file, line, key, what is wrong and what would be right. Exit status: 0 fine (warnings may
    have been printed), 2 a file that is refused.
    """
    refused = False
    told: list[dict[str, object]] = []
    for path in files:
        try:
            found = examine(path, resolve)
        except UnreadableError as error:
            refused = True
            told.append({"file": path, "error": str(error)})
            if not as_json:
                click.echo(str(error))
            continue
        errors = [p for p in found if not p.warning]
        refused = refused or bool(errors)
        told += [{"file": path, **asdict(p)} for p in found]
        if not as_json:
            for problem in found:
                click.echo(format_problem(path, problem))
            if not errors:
                more = f", {len(found)} warnings" if found else ""
                click.echo(f"{path}: fine{more}")
    if as_json:
        click.echo(json.dumps({"fine": not refused, "findings": told}, indent=2))
    return 2 if refused else 0


def examine(path: str, resolve: bool) -> list[Problem]:
    """All findings about a file, in the order of its lines; raises UnreadableError."""
    reading = load(path)
    further: list[Problem] = []
    if reading.file is not None:
        further = (
            judge(reading.file) + probe.check_ports(reading.file) + probe.check_watched_files(reading.file)
        )
        if resolve:
            further += probe.check_name_resolution(reading.file) + probe.check_environment(
                reading.file, os.environ
            )
    return sorted(dict.fromkeys(reading.all_problems(further)), key=lambda p: p.line)


def format_problem(path: str, problem: Problem) -> str:
    """A finding as one line."""
    kind = "warning: " if problem.warning else ""
    fix = f"; {problem.fix}" if problem.fix else ""
    key = f"{problem.key}: " if problem.key else ""
    return f"{path}:{problem.line}: {kind}{key}{problem.text}{fix}"
