"""`passpost run FILE`: the sidecar."""

from __future__ import annotations

import asyncio
import logging
import os
from contextlib import ExitStack

import click
import uvloop

from passpost.cli.check import sentence
from passpost.cli.command import UnusableError
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
    help="So many processes share the listeners, limits and shares, for machines with as many cores.",
)
def command(file: str, workers: int) -> int:
    """Serve the applications of an operator's FILE until SIGTERM, which answers what was taken first.

    SIGHUP reads FILE again: what can change at once does, the rest is logged as waiting for a restart, and a
    file with a mistake changes nothing.

    With several workers one that ends unasked is started again, SIGTERM drains them one after the other as far as
    `drain.kill_after_s` allows, and SIGHUP renews them in turn where a change needs a restart.

    Exit status: 0 ended as told, 1 failed (a port is taken), 2 a file that can't be used.
    """
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        if workers > 1:
            from passpost.workers.supervisor import Supervisor

            return asyncio.run(Supervisor(file, workers).run())
        uvloop.run(serve(file))
    except UnreadableError as error:
        raise UnusableError(str(error)) from None
    except sidecar.UnusableError as error:
        for problem in error.problems:
            click.echo(sentence(file, problem), err=True)
        raise UnusableError(str(error)) from None
    except (OSError, ValueError) as error:
        click.echo(f"passpost: {file}: {error}", err=True)
        return 1
    return 0


async def serve(path: str) -> None:
    """Run until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    running: list[sidecar.Sidecar] = []
    before_stop = ExitStack()

    def reload() -> None:
        for one in running:
            sidecar.reload(one, path)

    signals = Signals(loop, reload, stop.set)
    if "PASSPOST_WORKERS" in os.environ:
        from passpost.workers.supervisor import Worker, worker_share

        worker = Worker(os.environ)
        worker.follow_parent(stop)
        running.append(sidecar.start(path, worker.host, lambda file: worker_share(file, worker.count)))
        worker.report_ready()
        before_stop.callback(worker.host.release)
    else:
        running.append(sidecar.start(path))
    await stop.wait()
    logging.getLogger("passpost").info("stopping: finishing what was taken")
    before_stop.close()
    await running[0].stop()
    signals.ignore()
