"""The story of one call: its lines in the logs, and what its process believed."""

import dataclasses
import re
from collections.abc import Iterable

__all__ = ('Line', 'parse_lines', 'select_call_lines')

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r'\d{4}-\d\d-\d\dT[\d:.]+Z')
# Events that change what a process believes about all calls.
_BELIEFS = frozenset(
    (
        'configuration.adopted',
        'version.named',
        'version.age',
        'version.required',
        'store.lost',
        'store.regained',
        'process.started',
        'process.woke',
        'entry.leaving',
    )
)


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log; `process` is what stands before its time."""

    time: str
    process: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> Line | None:
    """Return a line of a log, or None when it is none of ours."""
    found = _TIME.search(text)
    if found is None:
        return None
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    if 'event' not in fields:
        return None
    before = text[: found.start()].split()
    process = before[-1] if before else ''
    shown = text[found.start() :].strip()
    return Line(found.group(), process, fields['event'], fields, shown)


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Return the lines of logs in the order of their times."""
    found = [line for line in map(parse_line, texts) if line is not None]
    return sorted(found, key=lambda line: line.time)


def select_call_lines(lines: Iterable[Line], call_id: str) -> list[Line]:
    """Return a call's lines, and the last beliefs of its process before each.

    Of the servers that the call was sent to, the lines before its end count as
    beliefs too. Returns nothing when no line bears the id.
    """
    ordered = list(lines)
    own = [line for line in ordered if line.fields.get('id') == call_id]
    if not own:
        return []
    last = own[-1]
    servers = {line.fields['server'] for line in own if 'server' in line.fields}
    servers.update(name for name in last.fields.get('tried', '').split(',') if name)
    beliefs: dict[tuple[str, str], Line] = {}
    for line in ordered:
        if line.time > last.time or line.process != last.process:
            continue
        if line.event in _BELIEFS:
            beliefs[line.event, ''] = line
        elif line.fields.get('server') in servers and 'id' not in line.fields:
            beliefs[line.event, line.fields['server']] = line
    return sorted([*beliefs.values(), *own], key=lambda line: line.time)
