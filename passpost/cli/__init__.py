"""The `passpost` command; each verb has a file of its own, loaded when it is used."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command as the arguments say; exit status 0 fine, 1 failed, 2 unusable input."""
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
