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

_LOGGER = logbook.Logger('primrosesaddle')
_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}'
)
# A call logs one line, or a few when it is retried. An entry serves about 30 calls a
# second, in a burst ten times as many.
LINES_PER_S = 300.0
BURST_LINES = 600.0
MAX_VALUE_CHARS = 2000  # longer values are cut off
_CHARS_TO_QUOTE = frozenset(' "=\n\r\t\\')


def format_line(event: str, fields: typing.Mapping[str, object]) -> str:
    """Return the event and its fields as key=value pairs on one line."""
    pairs = [f'event={event}']
    pairs.extend(f'{key}={quote_value(value)}' for key, value in fields.items())
    return ' '.join(pairs)


def quote_value(value: object) -> str:
    """Return a value as text, in quotes if it could not be parsed without them."""
    text = str(value)[:MAX_VALUE_CHARS]
    if text and not _CHARS_TO_QUOTE.intersection(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'


def debug(event: str, **fields: object) -> None:
    """Log an event that helps developers."""
    _LOGGER.debug('{}', format_line(event, fields))


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _LOGGER.info('{}', format_line(event, fields))


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should investigate."""
    _LOGGER.warning('{}', format_line(event, fields))


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must act on."""
    _LOGGER.error('{}', format_line(event, fields))


def configure(level: str = 'INFO', stream: typing.TextIO | None = None) -> None:
    """Write the log of this process to a stream, standard error by default."""
    out = stream or sys.stderr
    handler = logbook.StreamHandler(out, level=level)
    handler.format_string = _FORMAT
    handler.push_application()


def configure_bounded(level: str, descriptor: int) -> None:
    """Write the log to a file descriptor without blocking and at a bounded rate."""
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor, level, time.monotonic)
    handler.push_application()


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Writes lines without blocking; drops and counts those over the rate."""

    def __init__(
        self, descriptor: int, level: str, clock: typing.Callable[[], float]
    ) -> None:
        """Create a handler for a non-blocking file descriptor.

        `clock` returns a monotonic time in seconds.
        """
        logbook.Handler.__init__(self, logbook.lookup_level(level))
        logbook.StringFormatterHandlerMixin.__init__(self, _FORMAT)
        self._descriptor = descriptor
        self._clock = clock
        self._lines_allowed: float = BURST_LINES
        self._refilled_at = clock()
        self._dropped_lines = 0

    def emit(self, record: typing.Any) -> None:
        """Write a record, or count it as dropped; errors are exempt from the rate."""
        now = self._clock()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._lines_allowed = min(BURST_LINES, self._lines_allowed + earned)
        self._refilled_at = now
        if self._lines_allowed < 1 and record.level < logbook.ERROR:
            self._dropped_lines += 1
            return
        self._lines_allowed -= 1
        lines = self.format(record)
        if self._dropped_lines:
            lines = (
                f'{lines}\nlevel=WARNING event=log.dropped lines={self._dropped_lines}'
            )
        if self._try_write(f'{lines}\n'.encode()):
            self._dropped_lines = 0
        else:
            self._dropped_lines += 1

    def _try_write(self, line: bytes) -> bool:
        """Write bytes without blocking, and return whether the write succeeded."""
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader is slow or gone; a later line gives the number of dropped ones.
            return False
        return True
