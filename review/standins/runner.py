"""Runs the play of a case: exit status, time limit, and the end of all processes."""

import asyncio
import os
import pathlib
import signal
import sys
import typing
from collections.abc import Awaitable, Callable

from standins import http, site

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0  # a script may run for 120 s

Play = Callable[[site.Site, bool], Awaitable[int]]


def main(case_file: str, play: Play, **options: typing.Any) -> typing.NoReturn:
    """Play a case in a new deployment, and exit with its status.

    `play` is told whether to make trouble; `options` are those of the deployment.
    """
    sys.exit(asyncio.run(_run(pathlib.Path(case_file).parent, play, options)))


async def _run(folder: pathlib.Path, play: Play, options: dict[str, typing.Any]) -> int:
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    deployment = site.Site(folder, **options)
    status = NOT_RUN
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        status = await asyncio.wait_for(play(deployment, is_troubled), LIMIT_S)
    except http.FAILED as exc:
        deployment.log('could not run', error=repr(exc))
    finally:
        deployment.end()
    deployment.log('exit', status=status, trouble=is_troubled)
    return status
