"""`passpost diff A B`: describes the differences between two operator's files as behaviour."""

from __future__ import annotations

import json
from dataclasses import asdict

import click

from passpost.cli.command import UnusableInputError
from passpost.operator.diff import difference
from passpost.operator.reader import UnreadableError
from passpost.operator.sidecar import InvalidFileError as Refused
from passpost.operator.sidecar import load_valid_file


@click.command(name="diff")
@click.argument("a")
@click.argument("b")
@click.option("--json", "as_json", is_flag=True, help="Print the changes as JSON.")
def command(a: str, b: str, as_json: bool) -> int:
    """Describe how a sidecar behaves differently with file B than with file A, and what needs a restart.

    Exit status: 0 compared (even if nothing differs), 2 a file can't be used.
    """
    try:
        changes = difference(load_valid_file(a), load_valid_file(b))
    except (UnreadableError, Refused) as error:
        raise UnusableInputError(str(error)) from None
    if as_json:
        click.echo(json.dumps([asdict(c) for c in changes], indent=2))
        return 0
    for change in changes:
        click.echo(f"{change.key}: {change.text}{'  [after a restart]' if change.restart else ''}")
    if not changes:
        click.echo("no difference in behaviour")
    return 0
