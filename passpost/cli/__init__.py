"""The `passpost` command. Each subcommand has its own module, which is imported when the subcommand is used."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the command with the process's arguments; exit status 0: success, 1: failure, 2: unusable input."""
    try:
        import click  # noqa: F401
        import msgspec  # noqa: F401
        import rich  # noqa: F401
    except ImportError as error:
        print(
            f"passpost: {error.name} is not installed; the command needs: pip install 'passpost[cli]'",
            file=sys.stderr,
        )
        return 1
    from passpost.cli.command import run

    return run(sys.argv[1:])
