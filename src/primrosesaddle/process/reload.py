"""Settings that change while a process runs: with a signal, or without one."""

import asyncio
import os
from collections.abc import Callable

from primrosesaddle.core import errors
from primrosesaddle.fleet import node
from primrosesaddle.telemetry import journal

__all__ = ('SettingsReloader',)

LOOK_S = 1.0  # between looks at the file, which may change without a signal


class SettingsReloader:
    """Read the settings again when their file has changed."""

    def __init__(
        self,
        path: str,
        read: Callable[[str], node.Node],
        apply: Callable[[node.Node], None],
    ) -> None:
        """Watch a file, and apply what a function reads from it."""
        self._path = path
        self._read = read
        self._apply = apply
        self._stamp = self._look()

    def reload(self) -> None:
        """Read and apply the settings; refused ones leave the last in force."""
        self._stamp = self._look()
        try:
            cfg = self._read(self._path)
        except errors.FaultGroup as exc:
            journal.error('settings.refused', faults=errors.describe(exc))
            return
        self._apply(cfg)
        journal.info('process.reloaded', name=cfg.name, seeds=','.join(cfg.seeds))

    async def run(self) -> None:
        """Look at the file now and then, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self._look() != self._stamp:
                self.reload()

    def _look(self) -> tuple[int, int]:
        """Return what changes with the file's content."""
        try:
            found = os.stat(self._path)
        except OSError as exc:
            journal.warning('settings.unseen', error=str(exc))
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
