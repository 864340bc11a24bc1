"""The `passpost` command group: its subcommands, error messages and exit statuses."""

from __future__ import annotations

import importlib
import sys

import click

VERBS = {
    "new": "passpost.cli.new",
    "check": "passpost.cli.check",
    "run": "passpost.cli.run",
    "diff": "passpost.cli.diff",
    "schema": "passpost.cli.schema",
    "rehearse": "passpost.cli.rehearse",
    "explore": "passpost.cli.explore",
    "logs": "passpost.cli.logs",
}


class UnusableInputError(click.ClickException):
    """Input that can't be used: reported as one line, with exit status 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Prints the error as one line on standard error."""
        click.echo(f"passpost: {self.message}", err=True)


class _LazyGroup(click.Group):
    """Imports the module of a subcommand when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(VERBS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in VERBS:
            return None
        command = importlib.import_module(VERBS[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.command(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def passpost() -> None:
    """passpost: a load balancer for services that call services."""


def run(arguments: list[str]) -> int:
    """Runs the command and returns its exit status."""
    try:
        result = passpost.main(args=arguments, prog_name="passpost", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message(), err=True)
        return 2
    except click.ClickException as error:
        if isinstance(error, click.UsageError):
            click.echo(f"passpost: {error.format_message()}", err=True)
        else:
            error.show()
        return error.exit_code
    except (click.Abort, KeyboardInterrupt):
        click.echo("passpost: interrupted", err=True)
        return 1
    except BrokenPipeError:
        sys.stderr.close()
        return 1
    return int(result or 0)
