"""Logs: one line of key=value pairs for each event."""

import os
import sys
import time
import typing

import logbook

__all__ = (
    'BoundedHandler',
    'configure',
    'configure_bounded',
    'debug',
    'error',
    'format_line',
    'info',
    'warning',
)

_LOG = logbook.Logger('primrosesaddle')
_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}'
)
# A call takes one line, or a few when it is repeated; an entry serves about 30 of
# them a second, and a burst ten times as many.
LINES_PER_S = 300.0
BURST_LINES = 600.0
_QUOTED = frozenset(' "=\n\r\t\\')


def format_line(event: str, fields: typing.Mapping[str, object]) -> str:
    """Return the event and its fields as key=value pairs on one line."""
    pairs = [f'event={event}']
    pairs.extend(f'{key}={quote(value)}' for key, value in fields.items())
    return ' '.join(pairs)


def quote(value: object) -> str:
    """Return a value as text, quoted where it would break the line apart."""
    text = str(value)
    if text and not _QUOTED.intersection(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'


def debug(event: str, **fields: object) -> None:
    """Log an event of use to developers."""
    _LOG.debug('{}', format_line(event, fields))


def info(event: str, **fields: object) -> None:
    """Log an ordinary event."""
    _LOG.info('{}', format_line(event, fields))


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    _LOG.warning('{}', format_line(event, fields))


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must look at."""
    _LOG.error('{}', format_line(event, fields))


def configure(level: str = 'INFO', stream: typing.TextIO | None = None) -> None:
    """Send the log of this process to a stream, standard error by default."""
    out = stream or sys.stderr
    handler = logbook.StreamHandler(out, level=level)
    handler.format_string = _FORMAT
    handler.push_application()


def configure_bounded(level: str, descriptor: int) -> None:
    """Send the log to a descriptor that is never waited for, a bounded rate of it."""
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor, level, time.monotonic)
    handler.push_application()


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Write lines without waiting; what is over the rate is counted, not written."""

    def __init__(
        self, descriptor: int, level: str, clock: typing.Callable[[], float]
    ) -> None:
        """Write to a descriptor that does not block."""
        logbook.Handler.__init__(self, logbook.lookup_level(level))
        logbook.StringFormatterHandlerMixin.__init__(self, _FORMAT)
        self._descriptor = descriptor
        self._clock = clock
        self._allowed: float = BURST_LINES
        self._seen_at = clock()
        self._dropped = 0

    def emit(self, record: typing.Any) -> None:
        """Write a record, or count it as dropped."""
        now = self._clock()
        earned = (now - self._seen_at) * LINES_PER_S
        self._allowed = min(BURST_LINES, self._allowed + earned)
        self._seen_at = now
        if self._allowed < 1 and record.level < logbook.ERROR:
            self._dropped += 1
            return
        self._allowed -= 1
        lines = self.format(record)
        if self._dropped:
            lines = f'{lines}\nlevel=WARNING event=log.dropped lines={self._dropped}'
        if self._write(f'{lines}\n'.encode()):
            self._dropped = 0
        else:
            self._dropped += 1

    def _write(self, line: bytes) -> bool:
        """Write bytes at once, and return whether any were taken."""
        try:
            os.write(self._descriptor, line)
        except OSError:
            # A reader that is slow or gone; the count of dropped lines tells.
            return False
        return True
