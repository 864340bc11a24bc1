"""`passpost run FILE`: runs the sidecar."""

from __future__ import annotations

import asyncio
import logging
import os
from contextlib import ExitStack

import click
import uvloop

from passpost.cli.check import format_problem
from passpost.cli.command import UnusableInputError
from passpost.operator import sidecar
from passpost.operator.reader import UnreadableError
from passpost.signals import Signals


@click.command(name="run")
@click.argument("file")
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=1,
    show_default=True,
    help="Number of processes that share the listeners, limits and shares, for machines with as many cores.",
)
def command(file: str, workers: int) -> int:
    """Serve the applications of an operator's FILE until SIGTERM; accepted requests are answered before the exit.

    SIGHUP reads FILE again: what can change at once is applied, the rest is logged as waiting for a restart, and a
    file with a mistake changes nothing.

    With several workers, one that exits unexpectedly is started again, SIGTERM drains them one after the other as far
    as `drain.kill_after_s` allows, and SIGHUP replaces them one by one if a change needs a restart.

    Exit status: 0 stopped by a signal, 1 failed (such as a port in use), 2 a file that can't be used.
    """
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        if workers > 1:
            from passpost.workers.supervisor import Supervisor

            return asyncio.run(Supervisor(file, workers).run())
        uvloop.run(serve(file))
    except UnreadableError as error:
        raise UnusableInputError(str(error)) from None
    except sidecar.InvalidFileError as error:
        for problem in error.problems:
            click.echo(format_problem(file, problem), err=True)
        raise UnusableInputError(str(error)) from None
    except (OSError, ValueError) as error:
        click.echo(f"passpost: {file}: {error}", err=True)
        return 1
    return 0


async def serve(path: str) -> None:
    """Runs the sidecar until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    sidecars: list[sidecar.Sidecar] = []
    before_stop = ExitStack()

    def reload() -> None:
        for running_sidecar in sidecars:
            sidecar.reload(running_sidecar, path)

    signals = Signals(loop, reload, stop.set)
    if "PASSPOST_WORKERS" in os.environ:
        from passpost.workers.supervisor import Worker, worker_share

        worker = Worker(os.environ)
        worker.follow_parent(stop)
        sidecars.append(sidecar.start(path, worker.host, lambda file: worker_share(file, worker.count)))
        worker.report_ready()
        before_stop.callback(worker.host.release)
    else:
        sidecars.append(sidecar.start(path))
    await stop.wait()
    logging.getLogger("passpost").info("stopping: finishing what was taken")
    before_stop.close()
    await sidecars[0].stop()
    signals.ignore()
