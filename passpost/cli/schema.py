"""`passpost schema`: prints the JSON Schema of the operator's file, for editors."""

from __future__ import annotations

import json

import click
import msgspec

from passpost.operator.description import Description
from passpost.operator.model import File


@click.command(name="schema")
@click.option(
    "--description",
    is_flag=True,
    help="Print the schema of the description that `passpost new` reads instead.",
)
def command(description: bool) -> int:
    """Print the JSON Schema (2020-12) of the operator's file.

    Exit status: 0.
    """
    schema = msgspec.json.schema(Description if description else File)
    schema = {"$schema": "https://json-schema.org/draft/2020-12/schema", **schema}
    click.echo(json.dumps(schema, indent=2))
    return 0
