"""The command-line tool of operators: it reads and checks, and changes nothing."""

import asyncio
import contextlib
import dataclasses
import json
import logging
import os
import pathlib
import sys
import time
import typing

import cappa

from primrosesaddle import settings
from primrosesaddle.configuration import catalogue
from primrosesaddle.core import errors, httpio
from primrosesaddle.telemetry import audit, story

__all__ = ('main',)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
POLL_S = 0.5
DEFAULT_ADMIN = '127.0.0.1:8081'
DEFAULT_ENTRY = '127.0.0.1:8080'
ADMIN_VARIABLE = 'PRIMROSESADDLE_ADMIN'
ENTRY_VARIABLE = 'PRIMROSESADDLE_ENTRY'

_Json = typing.Annotated[bool, cappa.Arg(long='--json', help='Print JSON.')]
_Admin = typing.Annotated[
    str,
    cappa.Arg(long='--admin', help='Admin addresses, IP:PORT by commas.'),
]
_File = typing.Annotated[str, cappa.Arg(help='The file.')]
_Logs = typing.Annotated[list[str], cappa.Arg(help='Log files.', num_args=-1)]


class Unusable(Exception):
    """Input or an address that the command cannot work with."""


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _show(payload: typing.Any, lines: list[str], *, as_json: bool) -> None:
    if as_json:
        _write(json.dumps(payload))
    else:
        for line in lines:
            _write(line)


@cappa.command(name='settings', help='Check a settings file.')
@dataclasses.dataclass
class CheckSettings:
    """`check settings FILE`."""

    file: _File
    as_json: _Json = False

    def __call__(self) -> int:
        """Check, and return the exit status."""
        return _check(
            self.file, self.as_json, lambda: settings.read_settings(self.file)
        )


@cappa.command(name='catalogue', help='Check a catalogue file.')
@dataclasses.dataclass
class CheckCatalogue:
    """`check catalogue FILE`."""

    file: _File
    as_json: _Json = False

    def __call__(self) -> int:
        """Check, and return the exit status."""
        return _check(self.file, self.as_json, self._read)

    def _read(self) -> object:
        text = _read_bytes(self.file)
        with contextlib.suppress(ValueError):
            raw = json.loads(text)
            if isinstance(raw, dict) and 'revision' not in raw:
                text = json.dumps({'revision': 1, **raw}).encode()
        return catalogue.parse(text, self.file)


@cappa.command(name='schema', help="Print the catalogue's JSON schema.")
@dataclasses.dataclass
class Schema:
    """`check schema`."""

    def __call__(self) -> int:
        """Print the schema, and return the exit status."""
        _write(json.dumps(catalogue.schema(), indent=2))
        return EXIT_OK


@cappa.command(name='check', help='Check files before they are used.')
@dataclasses.dataclass
class Check:
    """`check ...`."""

    what: cappa.Subcommands[CheckSettings | CheckCatalogue | Schema]


@cappa.command(name='entries', help='Show which entries callers are told to use.')
@dataclasses.dataclass
class Entries:
    """`entries`."""

    entry: typing.Annotated[
        str,
        cappa.Arg(long='--entry', help="An entry's callers' address, IP:PORT."),
    ] = ''
    as_json: _Json = False

    async def __call__(self) -> int:
        """Show the answer, and return the exit status."""
        address = self.entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
        found = await _read(address, 'v1/entries')
        lines = [f'entry {name}' for name in found['entries']]
        lines.extend(f'alternate {name}' for name in found['alternates'])
        lines.append('ttl_s {0}'.format(found['ttl_s']))
        _show(found, lines, as_json=self.as_json)
        return EXIT_OK


@cappa.command(name='status', help='Show the state of processes.')
@dataclasses.dataclass
class Status:
    """`status`."""

    admin: _Admin = ''
    as_json: _Json = False

    async def __call__(self) -> int:
        """Show the states; fail when one does not answer or is not ready."""
        reads = [_try_read(address) for address in _addresses(self.admin)]
        found = await asyncio.gather(*reads)
        _show(found, [_status_line(state) for state in found], as_json=self.as_json)
        fine = all(not state.get('error') and not state['missing'] for state in found)
        return EXIT_OK if fine else EXIT_FAILED


@cappa.command(name='rollout', help='Follow the rollout of a version.')
@dataclasses.dataclass
class Rollout:
    """`rollout VERSION`."""

    version: typing.Annotated[str, cappa.Arg(help="The version's name.")]
    admin: _Admin = ''
    timeout_s: typing.Annotated[float, cappa.Arg(long='--timeout-s')] = 600.0
    as_json: _Json = False

    async def __call__(self) -> int:
        """Show progress until the version is live everywhere or has failed."""
        deadline = time.monotonic() + self.timeout_s
        shown = ''
        while True:
            state = await self._state()
            line = _rollout_line(self.version, state)
            if line != shown:
                _show(state, [line], as_json=self.as_json)
                shown = line
            if state['failed']:
                return EXIT_FAILED
            if state['agents'] and state['live'] == state['agents']:
                return EXIT_OK
            if time.monotonic() > deadline:
                return EXIT_FAILED
            await asyncio.sleep(POLL_S)

    async def _state(self) -> dict[str, typing.Any]:
        last: Exception = Unusable('no admin address')
        for address in _addresses(self.admin):
            try:
                versions = await _read(address, 'admin/v1/versions')
            except Unusable as exc:
                last = exc
                continue
            mine = [entry for entry in versions if entry['version'] == self.version]
            if mine:
                return {
                    'version': self.version,
                    'agents': sum(entry['agents'] for entry in mine),
                    'live': sum(len(entry['live']) for entry in mine),
                    'failed': [name for entry in mine for name in entry['failed']],
                }
            known = ', '.join(entry['version'] for entry in versions)
            last = Unusable(
                f'version {self.version!r} is not in force; in force: {known}',
            )
        raise last


@cappa.command(name='show', help='Show the records of a request, from logs.')
@dataclasses.dataclass
class AuditShow:
    """`audit show`."""

    wanted: typing.Annotated[str, cappa.Arg(help='A call id or a trace id.')]
    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Show the records; fail when there is none."""
        found = [
            record.fields
            for record in _records(self.logs)
            if record.fields.get('trace') == self.wanted
            or record.fields.get('call', '').partition('.')[0] == self.wanted
        ]
        lines = [
            ' '.join(f'{key}={value}' for key, value in fields.items())
            for fields in found
        ]
        _show(found, lines, as_json=self.as_json)
        return EXIT_OK if found else EXIT_FAILED


@cappa.command(name='verify', help='Prove a set of logs whole, or name the gap.')
@dataclasses.dataclass
class AuditVerify:
    """`audit verify`."""

    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Verify; fail on any break."""
        records = list(_records(self.logs))
        findings, counts = audit.verify_chains(records)
        closed = audit.find_closed_chains(records)
        lines = [
            f'broken incarnation={one.incarnation} at={one.where} problem={one.problem}'
            for one in findings
        ]
        lines.extend(
            f'chain incarnation={name} records={count} closed={closed[name]}'
            for name, count in counts.items()
        )
        lines.append('audit verdict={0}'.format('broken' if findings else 'whole'))
        payload = {
            'whole': not findings,
            'findings': [dataclasses.asdict(one) for one in findings],
            'chains': [
                {'incarnation': name, 'records': count, 'closed': closed[name]}
                for name, count in counts.items()
            ],
        }
        _show(payload, lines, as_json=self.as_json)
        return EXIT_FAILED if findings or not records else EXIT_OK


@cappa.command(name='audit', help='Read audit records.')
@dataclasses.dataclass
class Audit:
    """`audit ...`."""

    what: cappa.Subcommands[AuditShow | AuditVerify]


@cappa.command(name='story', help='Tell what became of a call, from logs.')
@dataclasses.dataclass
class Story:
    """`story ID LOGS...`."""

    wanted: typing.Annotated[str, cappa.Arg(help='A call id.')]
    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Show the call's lines with what was believed; fail when there is none."""
        texts = [
            text
            for path in self.logs
            for text in _read_bytes(path).decode('utf-8', 'replace').splitlines()
        ]
        found = story.select_call_lines(story.parse_lines(texts), self.wanted)
        lines = [f'{line.process} {line.text}'.strip() for line in found]
        _show([line.fields for line in found], lines, as_json=self.as_json)
        return EXIT_OK if found else EXIT_FAILED


@cappa.command(name='primrosesaddle', help='Check, watch and audit a fleet.')
@dataclasses.dataclass
class Tool:
    """The command-line tool."""

    what: cappa.Subcommands[Check | Entries | Status | Rollout | Audit | Story]


def _check(file: str, as_json: bool, read: typing.Callable[[], object]) -> int:
    try:
        read()
    except errors.FaultGroup as exc:
        payload = {'file': file, 'fine': False, 'faults': errors.to_rows(exc)}
        if as_json:
            _write(json.dumps(payload))
        else:
            sys.stderr.write(f'{errors.describe(exc)}\n')
        return EXIT_USAGE
    _show({'file': file, 'fine': True}, [f'{file}: fine'], as_json=as_json)
    return EXIT_OK


def _read_bytes(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise Unusable(f'{path}: {exc.strerror}') from None


def _records(paths: list[str]) -> list[audit.Record]:
    try:
        return list(audit.read_records(paths))
    except OSError as exc:
        raise Unusable(f'{exc.filename}: {exc.strerror}') from None


def _addresses(given: str) -> list[str]:
    text = given or os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN)
    return [address for address in text.split(',') if address]


async def _read(address: str, path: str) -> typing.Any:
    try:
        return await httpio.fetch_json(f'http://{address}/{path}')
    except httpio.HttpFailure as exc:
        raise Unusable(f'{address}: no answer: {exc}') from None


async def _try_read(address: str) -> dict[str, typing.Any]:
    try:
        state = await _read(address, 'admin/v1/status')
    except Unusable as exc:
        return {'address': address, 'error': str(exc)}
    return {'address': address, **state}


def _status_line(state: dict[str, typing.Any]) -> str:
    if state.get('error'):
        return '{address} error={error}'.format(**state)
    line = '{address} {role} {name} leaving={leaving}'.format(**state)
    line = f'{line} revision={state["config"]["revision"]}'
    missing = ','.join(state['missing']) or 'nothing'
    refused = state['config']['refused']
    return f'{line} missing={missing}{" refused=yes" if refused else ""}'


def _rollout_line(version: str, state: dict[str, typing.Any]) -> str:
    failed = ','.join(state['failed']) or 'none'
    live = f'{state["live"]}/{state["agents"]}'
    return f'rollout version={version} live={live} failed={failed}'


def main() -> None:
    """Run the tool, and exit with its status."""
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    try:
        status = asyncio.run(cappa.invoke_async(Tool))
    except (Unusable, errors.FaultGroup) as exc:
        text = errors.describe(exc) if isinstance(exc, errors.FaultGroup) else str(exc)
        sys.stderr.write(f'primrosesaddle: {text}\n')
        status = EXIT_USAGE
    except BrokenPipeError:
        status = EXIT_OK
    sys.exit(status)
