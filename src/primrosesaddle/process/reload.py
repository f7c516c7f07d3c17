"""Reload of the settings file while a process runs, on a signal or on a change."""

import asyncio
import os
from collections.abc import Callable

from primrosesaddle.core import errors
from primrosesaddle.fleet import node
from primrosesaddle.telemetry import journal

__all__ = ('SettingsReloader',)

CHECK_INTERVAL_S = 1.0  # the file may change without a signal


class SettingsReloader:
    """Reads the settings file again when it has changed, and applies it."""

    def __init__(
        self,
        path: str,
        read: Callable[[str], node.Node],
        apply: Callable[[node.Node], None],
    ) -> None:
        """Create a reloader of the settings file at `path`.

        `read` parses the file and `apply` receives the settings it returns.
        """
        self._path = path
        self._read = read
        self._apply = apply
        self._file_state = self._read_file_state()

    def reload(self) -> None:
        """Read and apply the settings; if they are refused, the current ones stay."""
        self._file_state = self._read_file_state()
        try:
            cfg = self._read(self._path)
        except errors.FaultGroup as exc:
            journal.error('settings.refused', faults=errors.describe(exc))
            return
        self._apply(cfg)
        journal.info('process.reloaded', name=cfg.name, seeds=','.join(cfg.seeds))

    async def run(self) -> None:
        """Check the file for changes at intervals, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_file_state() != self._file_state:
                self.reload()

    def _read_file_state(self) -> tuple[int, int]:
        """Return the file's modification time in ns and its size in bytes.

        Returns (0, 0) when the file cannot be read.
        """
        try:
            status = os.stat(self._path)
        except OSError as exc:
            journal.warning('settings.unseen', error=str(exc))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
