"""`passpost check FILE...`: reports all mistakes in operators' files, one sentence each."""

from __future__ import annotations

import json
import os
from dataclasses import asdict

import click

from passpost.operator import probe
from passpost.operator.checks import check as check_values
from passpost.operator.reader import Problem, UnreadableError, load


@click.command(name="check")
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@click.option(
    "--resolve", is_flag=True, help="Also check that names resolve and environment variables are set here."
)
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
def command(files: tuple[str, ...], resolve: bool, as_json: bool) -> int:
    """Check operators' files: form, values, and whether their ports are free on this machine.

    Each finding has file, line, key, what is wrong and what would be right. Exit status: 0 no errors (warnings may
    have been printed), 2 a file has errors.
    """
    has_errors = False
    findings: list[dict[str, object]] = []
    for path in files:
        try:
            problems = examine(path, resolve)
        except UnreadableError as error:
            has_errors = True
            findings.append({"file": path, "error": str(error)})
            if not as_json:
                click.echo(str(error))
            continue
        errors = [p for p in problems if not p.warning]
        has_errors = has_errors or bool(errors)
        findings += [{"file": path, **asdict(p)} for p in problems]
        if not as_json:
            for problem in problems:
                click.echo(format_problem(path, problem))
            if not errors:
                warnings = f", {len(problems)} warnings" if problems else ""
                click.echo(f"{path}: fine{warnings}")
    if as_json:
        click.echo(json.dumps({"fine": not has_errors, "findings": findings}, indent=2))
    return 2 if has_errors else 0


def examine(path: str, resolve: bool) -> list[Problem]:
    """All findings about a file, sorted by line; raises UnreadableError."""
    reading = load(path)
    value_problems: list[Problem] = []
    if reading.file is not None:
        value_problems = (
            check_values(reading.file)
            + probe.check_ports(reading.file)
            + probe.check_watched_files(reading.file)
        )
        if resolve:
            value_problems += probe.check_name_resolution(reading.file) + probe.check_environment(
                reading.file, os.environ
            )
    return sorted(dict.fromkeys(reading.all_problems(value_problems)), key=lambda p: p.line)


def format_problem(path: str, problem: Problem) -> str:
    """Formats a finding as one line."""
    kind = "warning: " if problem.warning else ""
    fix = f"; {problem.fix}" if problem.fix else ""
    key = f"{problem.key}: " if problem.key else ""
    return f"{path}:{problem.line}: {kind}{key}{problem.text}{fix}"
