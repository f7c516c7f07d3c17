"""The frame of a case: its folder, its record, its processes and its exit status."""

import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import time
import typing
from collections.abc import Awaitable, Callable

import callers
import desks
import processes

__all__ = ('Case', 'note_calls', 'run')

HELD = 0
BROKEN = 1
NOT_RUN = 2
LONGEST_S = 110.0


class Case:
    """One run: the machines that it started, and its record.

    `is_troubled` is false if the run leaves the disruption out.
    """

    def __init__(self, folder: pathlib.Path, files: pathlib.Path) -> None:
        """Create a run that writes its record to a folder, and its files to another."""
        self.files = files
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'
        self.machines: list[processes.Machine] = []
        self._began_at = time.monotonic()
        self._record = (folder / 'record.txt').open('w')

    def note(self, text: str) -> None:
        """Write a line to the record."""
        since_s = time.monotonic() - self._began_at
        self._record.write(f'{since_s:8.3f} {text}\n')
        self._record.flush()

    def note_call(self, answer: callers.Answer, runs: typing.Iterable[str]) -> None:
        """Write a request to the record: when it was sent, its answer, who ran it."""
        sent_s = answer.sent_at - self._began_at
        ran = ', '.join(runs) or 'nobody'
        outcome = answer.status or answer.note
        self.note(f'{answer.attempt_id} sent at {sent_s:.3f}: {outcome}, run by {ran}')

    def add(self, *machines: processes.Machine) -> None:
        """Start machines, which are ended with the run."""
        self.machines.extend(machines)
        for machine in machines:
            machine.start()

    def end(self) -> None:
        """End all processes, and keep their logs if that is asked for."""
        for machine in self.machines:
            machine.end()
            if os.environ.get('KEEP_LOGS'):
                sys.stderr.write(machine.read_log())
        self._record.close()


def note_calls(
    made: Case,
    answers: typing.Iterable[callers.Answer],
    runs: typing.Iterable[desks.Run],
) -> None:
    """Write requests to the record, each with the servers that ran it."""
    by_attempt = collections.defaultdict(list)
    for each in runs:
        by_attempt[each.attempt_id].append(each.server)
    for answer in answers:
        made.note_call(answer, by_attempt[answer.attempt_id])


def run(play: Callable[[Case], Awaitable[typing.Any]]) -> None:
    """Play a case, and exit with its status.

    `play` returns whether the rule was broken. Anything else that goes wrong means that
    the case could not run.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as files:
        made = Case(folder, pathlib.Path(files))
        try:
            status = BROKEN if asyncio.run(_play(play, made)) else HELD
        except Exception as exc:
            made.note(f'the case could not run: {exc!r}')
            status = NOT_RUN
        made.note(f'exit status {status}')
        made.end()
    sys.exit(status)


async def _play(play: Callable[[Case], Awaitable[typing.Any]], made: Case) -> bool:
    # Tasks of stand-ins that still wait as the case ends are of no interest.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    async with asyncio.timeout(LONGEST_S):
        return bool(await play(made))
