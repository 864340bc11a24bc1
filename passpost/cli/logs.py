"""`passpost logs FOLDER`: the balancers' traces added up, or one request followed."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from passpost.cli.command import UnusableError
from passpost.trace.folder import NoTraceError, read_records
from passpost.trace.tables import RequestRecord, Row, find_request, server_timeline, summarize

MOST_ROWS = 20  # of upstreams, unless all are asked for


@click.command(name="logs")
@click.argument("folder", type=click.Path(path_type=Path), metavar="FOLDER")
@click.option("--follow", "txn", metavar="ID", help="Only the request with this X-Txn, balancer by balancer.")
@click.option(
    "--server", metavar="ID", help="What was heard of this server's leaving, and what went out to it."
)
@click.option(
    "--balancer", metavar="NAME", help="With --server: only this one's sends, and its calls for the list."
)
@click.option(
    "--all", "whole", is_flag=True, help=f"All upstreams, not only the {MOST_ROWS} that failed most."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    folder: Path, txn: str | None, server: str | None, balancer: str | None, whole: bool, as_json: bool
) -> int:
    """Add up what PASSPOST_TRACE=1 made the balancers write into FOLDER/*.log.

    Prints requests by second, by the reason for which they were not served, and attempts by upstream. Exit status: 0
    fine, 1 if no balancer has written of the request or the server, 2 if there is no folder or no such lines in it.
    """
    if balancer is not None and server is None:
        raise UnusableError("--balancer goes with --server")
    if txn is not None and server is not None:
        raise UnusableError("--follow and --server don't go together")
    try:
        if server is not None:
            return _around(folder, server, balancer, as_json)
        return _follow(folder, txn, as_json) if txn is not None else _add_up(folder, whole, as_json)
    except NoTraceError as error:
        raise UnusableError(str(error)) from None


def _add_up(folder: Path, whole: bool, as_json: bool) -> int:
    tables = summarize(read_records(folder))
    if as_json:
        named = {n: [{"name": r[0], **r[1]} for r in rows] for n, rows in asdict(tables).items()}
        click.echo(json.dumps(named, indent=1))
        return 0
    console = Console(highlight=False)
    console.print(_table("second", tables.seconds))
    console.print(_table("not served", tables.reasons))
    shown = tables.upstreams if whole else tables.upstreams[:MOST_ROWS]
    console.print(_table("upstream", shown))
    if len(shown) < len(tables.upstreams):
        console.print(f"{len(tables.upstreams) - len(shown)} upstreams more: --all")
    return 0


def _table(title: str, rows: tuple[Row, ...]) -> Table:
    names = list(dict.fromkeys(name for _, counts in rows for name in counts))
    table = Table(title, *names)
    for name, counts in rows:
        table.add_row(name, *(str(counts.get(n, 0)) for n in names))
    return table


def _follow(folder: Path, txn: str, as_json: bool) -> int:
    parts = find_request(read_records(folder), txn)
    if as_json:
        click.echo(json.dumps([_told(part) for part in parts], indent=1))
    elif not parts:
        click.echo(f"no balancer has written of {txn}")
    else:
        for part in parts:
            _say(part)
    return 0 if parts else 1


def _around(folder: Path, server: str, balancer: str | None, as_json: bool) -> int:
    moments = server_timeline(read_records(folder), server, balancer)
    if as_json:
        click.echo(json.dumps([asdict(moment) for moment in moments], indent=1))
    elif not moments:
        click.echo(f"no balancer has written of {server}")
    else:
        for one in moments:
            late = f" [{one.late_ms} ms after it was first heard]" if one.late_ms else ""
            click.echo(f"{one.at_ms} ms {one.balancer}: {one.text}{late}")
    return 0 if moments else 1


def _told(step: RequestRecord) -> dict[str, object]:
    entry = step.entry
    return {"balancer": step.balancer, **asdict(entry), "end": entry.end.value}


def _say(step: RequestRecord) -> None:
    entry = step.entry
    click.echo(
        f"{step.balancer}: {entry.txn} {entry.class_name} at {entry.at_ms} ms:"
        f" {entry.end.value} after {entry.took_ms} ms"
    )
    for one in entry.tries:
        click.echo(f"  {one.server}: {one.outcome} after {one.took_ms} ms, sent at {one.after_ms} ms")
