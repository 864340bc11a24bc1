"""The command's verbs, and how errors and exit statuses look."""

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
    """Input that can't be used: one line, status 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """The line."""
        click.echo(f"passpost: {self.message}", err=True)


class _Verbs(click.Group):
    """Loads a verb when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(VERBS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in VERBS:
            return None
        command = importlib.import_module(VERBS[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.command(cls=_Verbs, context_settings={"help_option_names": ["-h", "--help"]})
def passpost() -> None:
    """passpost: a load balancer for services that call services."""


def run(arguments: list[str]) -> int:
    """Run the command; the result is its exit status."""
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
