"""Runs the `passpost` command as `python -m passpost.cli`."""

import sys

from passpost.cli import main

sys.exit(main())
