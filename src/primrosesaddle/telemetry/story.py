"""The log lines of one call, with the state that its process acted on."""

import dataclasses
import re
from collections.abc import Iterable

__all__ = ('Line', 'parse_lines', 'select_call_lines')

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r'\d{4}-\d\d-\d\dT[\d:.]+Z')
# Events that change the state that a process acts on for all calls.
_STATE_EVENTS = frozenset(
    (
        'configuration.adopted',
        'version.named',
        'version.age',
        'version.required',
        'servers.cold',
        'store.lost',
        'store.regained',
        'store.era',
        'store.behind',
        'process.started',
        'process.woke',
        'entry.leaving',
        'evacuation.in_force',
        'evacuation.requested',
        'evacuation.ended',
        'room.contended',
        'room.free',
    )
)


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    `process` is the word before the time, '' when there is none; `text` is the line
    from its time on.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> Line | None:
    """Parse a line of a log; returns None when it has no time or event."""
    time_match = _TIME.search(text)
    if time_match is None:
        return None
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    if 'event' not in fields:
        return None
    before = text[: time_match.start()].split()
    process = before[-1] if before else ''
    message = text[time_match.start() :].strip()
    return Line(time_match.group(), process, fields['event'], fields, message)


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Parse lines of logs, and return them in the order of their times."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def select_call_lines(lines: Iterable[Line], call_id: str) -> list[Line]:
    """Return a call's lines and the last state of its process before the call's end.

    State means the last line of each event that concerns all calls, and of each event
    of a server that the call was sent to. The lines are in the order of their times.
    Returns an empty list when no line has the id.
    """
    ordered = list(lines)
    call_lines = [line for line in ordered if line.fields.get('id') == call_id]
    if not call_lines:
        return []
    last = call_lines[-1]
    servers = {line.fields['server'] for line in call_lines if 'server' in line.fields}
    servers.update(name for name in last.fields.get('tried', '').split(',') if name)
    state_lines: dict[tuple[str, str], Line] = {}
    for line in ordered:
        if line.time > last.time or line.process != last.process:
            continue
        if line.event in _STATE_EVENTS:
            state_lines[line.event, ''] = line
        elif line.fields.get('server') in servers and 'id' not in line.fields:
            state_lines[line.event, line.fields['server']] = line
    return sorted([*state_lines.values(), *call_lines], key=lambda line: line.time)
