"""`passpost new`: a whole operator's file from a short description, or from questions."""

from __future__ import annotations

import os
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import click
import msgspec

from passpost.cli.check import format_problem
from passpost.cli.command import UnusableInputError
from passpost.operator import checks, reader, writer
from passpost.operator.description import Description
from passpost.operator.reader import Problem, UnreadableError


@click.command(name="new")
@click.argument("description", required=False)
@click.option("-o", "--output", metavar="FILE", help="Where the file goes  [default: standard output]")
@click.option("--ask", is_flag=True, help="Ask in the terminal instead of reading a description.")
@click.option("--force", is_flag=True, help="Write over FILE, edits and all.")
def command(description: str | None, output: str | None, ask: bool, force: bool) -> int:
    """Write an operator's file from a DESCRIPTION: commented, complete, and checked.

    Written again to the same FILE, your own edits to it stay. What was written last is kept beside it, in
    .FILE.base.

    Exit status: 0 written, 1 your edits and the new text change the same lines (nothing is
    written), 2 a description that can't be used.
    """
    if (description is None) == (not ask):
        raise UnusableInputError("name a DESCRIPTION, or give --ask")
    if ask:
        wanted, source = ask_description(), "questions"
    else:
        assert description is not None
        wanted, source = read(description), os.path.basename(description)
    text = writer.render(writer.build(wanted), source)
    found = findings(text, output or "the file")
    if errors := [p for p in found if not p.warning]:
        for problem in errors:
            click.echo(f"passpost: {source}: {problem.text}; {problem.fix}", err=True)
        raise UnusableInputError(f"{source}: what it describes can't be")
    if output is None:
        click.echo(text, nl=False)
        return 0
    return write_merged(Path(output), text, force)


def read(path: str) -> Description:
    """The description in a file."""
    problems: list[Problem] = []
    try:
        text = reader.read_bytes(path).decode("utf-8")
        data = tomllib.loads(text)
    except UnreadableError as error:
        raise UnusableInputError(str(error)) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise UnusableInputError(f"{path}: invalid TOML: {' '.join(str(error).split())}") from None
    wanted = reader.read_part(Description, data, problems)
    lines = reader.line_numbers(text)
    for problem in problems:
        click.echo(format_problem(path, reader.with_line(problem, lines)), err=True)
    if problems or wanted is None:
        raise UnusableInputError(f"{path}: {len(problems)} mistake{'s' if len(problems) != 1 else ''}")
    assert isinstance(wanted, Description)
    return wanted


def findings(text: str, path: str) -> list[Problem]:
    """What `check` would say of a text."""
    return checks.findings(reader.parse(text, path))


def write_merged(path: Path, text: str, force: bool) -> int:
    """Write the file, keeping the operator's edits."""
    base = path.with_name(f".{path.name}.base")
    result = text
    if path.exists() and not force:
        yours = _text(path)
        if base.exists():
            merged = writer.merge(_text(base), yours, text)
            for conflict in merged.conflicts:
                mine, new = (
                    " / ".join(x.splitlines()) or "nothing" for x in (conflict.current, conflict.new)
                )
                click.echo(
                    f"{path}:{conflict.line}: conflict: yours is {mine!r}, the new is {new!r}", err=True
                )
            if merged.conflicts:
                click.echo(f"passpost: {path}: not written; settle these by hand, or --force", err=True)
                return 1
            result = merged.text
        elif yours != text:
            click.echo(
                f"passpost: {path}: is there and was not written by `passpost new`; --force to lose it",
                err=True,
            )
            return 1
    errors = [p for p in findings(result, str(path)) if not p.warning]
    for problem in errors:
        click.echo(f"passpost: {path}: with your edits: {problem.key}: {problem.text}", err=True)
    if errors:
        return 1
    try:
        replace_file(path, result)
        replace_file(base, text)
    except OSError as error:
        raise UnusableInputError(f"{path}: {error.strerror}") from None
    click.echo(f"{path}: written and checked; start it with: passpost run {path}")
    return 0


def _text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UnusableInputError(f"{path}: {error}") from None


def replace_file(path: Path, text: str) -> None:
    """Write in one go: whoever reads the file has the old one or the new, whole."""
    handle, aside = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(aside, (path.stat().st_mode & 0o777) if path.exists() else 0o644)
        os.replace(aside, path)
    except BaseException:
        os.unlink(aside)
        raise


def ask_description() -> Description:
    """Ask for a description; every answer has a default that can be taken by Enter."""
    data: dict[str, Any] = {
        "application": click.prompt("What do you call your software", default="my-software")
    }
    data["calls"] = []
    while True:
        service: dict[str, Any] = {
            "service": click.prompt("A service that it calls", default="service"),
            "at": click.prompt("Where is it (names or addresses with ports, by commas)")
            .replace(" ", "")
            .split(","),
            "waits_ms": click.prompt(
                "How many milliseconds do you wait for an answer", default=2000.0, type=float
            ),
            "rate_per_s": click.prompt("How many requests a second (0: not known)", default=0.0, type=float),
            "requests": [],
        }
        while click.confirm("Describe a kind of request (else all GETs are repeated freely)", default=False):
            request: dict[str, Any] = {
                "name": click.prompt("  What do you call it"),
                "path": click.prompt("  Its paths (* one segment, ** at the end any number)", default="/**"),
                "methods": click.prompt("  Its methods, by commas", default="GET")
                .replace(" ", "")
                .upper()
                .split(","),
                "repeat": click.prompt(
                    "  May it be repeated",
                    type=click.Choice(["freely", "with-key", "never"]),
                    default="freely",
                ),
            }
            if request["repeat"] == "with-key":
                request["key_header"] = click.prompt("  Which header has its key", default="Idempotency-Key")
                request["key_kept_ms"] = click.prompt(
                    "  For how many milliseconds is it remembered", type=float
                )
            service["requests"].append(request)
        data["calls"].append(service)
        if not click.confirm("Another service", default=False):
            break
    try:
        return msgspec.convert(data, Description)
    except msgspec.ValidationError as error:
        raise UnusableInputError(str(error)) from None
