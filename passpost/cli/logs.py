"""`passpost logs FOLDER`: totals of the balancers' traces, or the trace of one request or server."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from passpost.cli.command import UnusableInputError
from passpost.trace.folder import NoTraceError, read_records
from passpost.trace.tables import RequestRecord, Row, find_request, server_timeline, summarize

MAX_ROWS = 20  # of upstreams, without --all


@click.command(name="logs")
@click.argument("folder", type=click.Path(path_type=Path), metavar="FOLDER")
@click.option("--follow", "txn", metavar="ID", help="Show only the request with this X-Txn, by balancer.")
@click.option(
    "--server",
    metavar="ID",
    help="Show what balancers heard of this server's leaving, and what they sent to it.",
)
@click.option(
    "--balancer",
    metavar="NAME",
    help="With --server: only what this balancer sent, and its calls for the list.",
)
@click.option(
    "--all",
    "show_all",
    is_flag=True,
    help=f"Show all upstreams, not only the {MAX_ROWS} with the most failures.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    folder: Path, txn: str | None, server: str | None, balancer: str | None, show_all: bool, as_json: bool
) -> int:
    """Summarize the trace lines that balancers with PASSPOST_TRACE=1 wrote into FOLDER/*.log.

    Prints requests by second, requests not served by reason, and attempts by upstream. Exit status: 0 success, 1 no
    balancer has traced the request or server, 2 the folder doesn't exist or has no trace lines.
    """
    if balancer is not None and server is None:
        raise UnusableInputError("--balancer needs --server")
    if txn is not None and server is not None:
        raise UnusableInputError("--follow and --server can't be combined")
    try:
        if server is not None:
            return _print_server(folder, server, balancer, as_json)
        return (
            _print_request(folder, txn, as_json)
            if txn is not None
            else _print_totals(folder, show_all, as_json)
        )
    except NoTraceError as error:
        raise UnusableInputError(str(error)) from None


def _print_totals(folder: Path, show_all: bool, as_json: bool) -> int:
    tables = summarize(read_records(folder))
    if as_json:
        named = {n: [{"name": r[0], **r[1]} for r in rows] for n, rows in asdict(tables).items()}
        click.echo(json.dumps(named, indent=1))
        return 0
    console = Console(highlight=False)
    console.print(_table("second", tables.seconds))
    console.print(_table("not served", tables.reasons))
    shown = tables.upstreams if show_all else tables.upstreams[:MAX_ROWS]
    console.print(_table("upstream", shown))
    if len(shown) < len(tables.upstreams):
        console.print(f"{len(tables.upstreams) - len(shown)} more upstreams: --all")
    return 0


def _table(title: str, rows: tuple[Row, ...]) -> Table:
    names = list(dict.fromkeys(name for _, counts in rows for name in counts))
    table = Table(title, *names)
    for name, counts in rows:
        table.add_row(name, *(str(counts.get(n, 0)) for n in names))
    return table


def _print_request(folder: Path, txn: str, as_json: bool) -> int:
    records = find_request(read_records(folder), txn)
    if as_json:
        click.echo(json.dumps([_record_as_json(record) for record in records], indent=1))
    elif not records:
        click.echo(f"no balancer has traced {txn}")
    else:
        for record in records:
            _print_record(record)
    return 0 if records else 1


def _print_server(folder: Path, server: str, balancer: str | None, as_json: bool) -> int:
    events = server_timeline(read_records(folder), server, balancer)
    if as_json:
        click.echo(json.dumps([asdict(event) for event in events], indent=1))
    elif not events:
        click.echo(f"no balancer has traced {server}")
    else:
        for event in events:
            late = f" [{event.late_ms} ms after the first notice]" if event.late_ms else ""
            click.echo(f"{event.at_ms} ms {event.balancer}: {event.text}{late}")
    return 0 if events else 1


def _record_as_json(record: RequestRecord) -> dict[str, object]:
    entry = record.entry
    return {"balancer": record.balancer, **asdict(entry), "end": entry.end.value}


def _print_record(record: RequestRecord) -> None:
    entry = record.entry
    click.echo(
        f"{record.balancer}: {entry.txn} {entry.class_name} at {entry.at_ms} ms:"
        f" {entry.end.value} after {entry.took_ms} ms"
    )
    for one in entry.tries:
        click.echo(f"  {one.server}: {one.outcome} after {one.took_ms} ms, sent at {one.after_ms} ms")
