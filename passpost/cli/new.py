"""`passpost new`: generates an operator's file from a short description or from answers in the terminal."""

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
@click.option("-o", "--output", metavar="FILE", help="Output file  [default: standard output]")
@click.option("--ask", is_flag=True, help="Ask questions in the terminal instead of reading a description.")
@click.option("--force", is_flag=True, help="Overwrite FILE and lose your edits to it.")
def command(description: str | None, output: str | None, ask: bool, force: bool) -> int:
    """Generate a complete operator's file with comments from a DESCRIPTION, and check it.

    If FILE was generated before, your edits to it are kept. The generated text is stored next to it, in
    .FILE.base, to find these edits the next time.

    Exit status: 0 written, 1 your edits and the new text change the same lines (nothing is
    written), 2 a description that can't be used.
    """
    if (description is None) == (not ask):
        raise UnusableInputError("give either a DESCRIPTION or --ask")
    if ask:
        parsed, source = ask_description(), "questions"
    else:
        assert description is not None
        parsed, source = read(description), os.path.basename(description)
    text = writer.render(writer.build(parsed), source)
    found = findings(text, output or "the file")
    if errors := [p for p in found if not p.warning]:
        for problem in errors:
            click.echo(f"passpost: {source}: {problem.text}; {problem.fix}", err=True)
        raise UnusableInputError(f"{source}: the description gives an invalid file")
    if output is None:
        click.echo(text, nl=False)
        return 0
    return write_merged(Path(output), text, force)


def read(path: str) -> Description:
    """Reads the description in a file; raises UnusableInputError, after printing each mistake on standard error."""
    problems: list[Problem] = []
    try:
        text = reader.read_bytes(path).decode("utf-8")
        data = tomllib.loads(text)
    except UnreadableError as error:
        raise UnusableInputError(str(error)) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise UnusableInputError(f"{path}: invalid TOML: {' '.join(str(error).split())}") from None
    parsed = reader.read_part(Description, data, problems)
    lines = reader.line_numbers(text)
    for problem in problems:
        click.echo(format_problem(path, reader.with_line(problem, lines)), err=True)
    if problems or parsed is None:
        raise UnusableInputError(f"{path}: {len(problems)} mistake{'s' if len(problems) != 1 else ''}")
    assert isinstance(parsed, Description)
    return parsed


def findings(text: str, path: str) -> list[Problem]:
    """The findings of `check` about a text."""
    return checks.findings(reader.parse(text, path))


def write_merged(path: Path, text: str, force: bool) -> int:
    """Writes the file, merged with the operator's edits unless `force` is set; returns the exit status."""
    base_path = path.with_name(f".{path.name}.base")
    result = text
    if path.exists() and not force:
        current_text = _read_text(path)
        if base_path.exists():
            merged = writer.merge(_read_text(base_path), current_text, text)
            for conflict in merged.conflicts:
                current, new = (
                    " / ".join(x.splitlines()) or "nothing" for x in (conflict.current, conflict.new)
                )
                click.echo(
                    f"{path}:{conflict.line}: conflict: your edit is {current!r}, the new text is {new!r}",
                    err=True,
                )
            if merged.conflicts:
                click.echo(
                    f"passpost: {path}: not written; resolve the conflicts by hand, or use --force", err=True
                )
                return 1
            result = merged.text
        elif current_text != text:
            click.echo(
                f"passpost: {path}: already exists and was not written by `passpost new`; use --force to overwrite it",
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
        replace_file(base_path, text)
    except OSError as error:
        raise UnusableInputError(f"{path}: {error.strerror}") from None
    click.echo(f"{path}: written and checked; start it with: passpost run {path}")
    return 0


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UnusableInputError(f"{path}: {error}") from None


def replace_file(path: Path, text: str) -> None:
    """Replaces a file atomically: a reader gets either the old or the new content, complete."""
    descriptor, temporary_path = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary_path, (path.stat().st_mode & 0o777) if path.exists() else 0o644)
        os.replace(temporary_path, path)
    except BaseException:
        os.unlink(temporary_path)
        raise


def ask_description() -> Description:
    """Asks for a description in the terminal; most questions have a default that Enter accepts."""
    data: dict[str, Any] = {"application": click.prompt("Name of your software", default="my-software")}
    data["calls"] = []
    while True:
        service: dict[str, Any] = {
            "service": click.prompt("Name of a service that it calls", default="service"),
            "at": click.prompt("Its servers (host names or IP addresses with ports, separated by commas)")
            .replace(" ", "")
            .split(","),
            "waits_ms": click.prompt(
                "How many milliseconds to wait for an answer", default=2000.0, type=float
            ),
            "rate_per_s": click.prompt("Requests per second (0: not known)", default=0.0, type=float),
            "requests": [],
        }
        while click.confirm(
            "Describe a kind of request (otherwise every GET may be repeated)", default=False
        ):
            request: dict[str, Any] = {
                "name": click.prompt("  Its name"),
                "path": click.prompt("  Its paths (* one segment, ** at the end any number)", default="/**"),
                "methods": click.prompt("  Its methods, separated by commas", default="GET")
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
                request["key_header"] = click.prompt("  Header with its key", default="Idempotency-Key")
                request["key_kept_ms"] = click.prompt(
                    "  For how many milliseconds servers remember the key", type=float
                )
            service["requests"].append(request)
        data["calls"].append(service)
        if not click.confirm("Another service", default=False):
            break
    try:
        return msgspec.convert(data, Description)
    except msgspec.ValidationError as error:
        raise UnusableInputError(str(error)) from None
