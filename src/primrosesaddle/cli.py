"""The command-line tool of operators; its commands read and check only."""

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
POLL_INTERVAL_S = 0.5
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


class CommandError(Exception):
    """The command cannot run with its input, or an address does not answer."""


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _print_result(payload: typing.Any, lines: list[str], *, as_json: bool) -> None:
    """Print a payload as JSON, or else the lines."""
    if as_json:
        _print_line(json.dumps(payload))
    else:
        for line in lines:
            _print_line(line)


@cappa.command(name='settings', help='Check a settings file.')
@dataclasses.dataclass
class CheckSettings:
    """Check a settings file: `check settings FILE`."""

    file: _File
    as_json: _Json = False

    def __call__(self) -> int:
        """Check, and return the exit status."""
        return _check_file(
            self.file, self.as_json, lambda: settings.read_settings(self.file)
        )


@cappa.command(name='catalogue', help='Check a catalogue file.')
@dataclasses.dataclass
class CheckCatalogue:
    """Check a catalogue file: `check catalogue FILE`."""

    file: _File
    as_json: _Json = False

    def __call__(self) -> int:
        """Check, and return the exit status."""
        return _check_file(self.file, self.as_json, self._read_catalogue)

    def _read_catalogue(self) -> object:
        text = _read_bytes(self.file)
        with contextlib.suppress(ValueError):
            raw = json.loads(text)
            if isinstance(raw, dict) and 'revision' not in raw:
                text = json.dumps({'revision': 1, **raw}).encode()
        return catalogue.parse(text, self.file)


@cappa.command(name='schema', help="Print the catalogue's JSON schema.")
@dataclasses.dataclass
class Schema:
    """Print the schema of the catalogue: `check schema`."""

    def __call__(self) -> int:
        """Print the schema, and return the exit status."""
        _print_line(json.dumps(catalogue.schema(), indent=2))
        return EXIT_OK


@cappa.command(name='check', help='Check files before they are used.')
@dataclasses.dataclass
class Check:
    """The group of commands under `check`."""

    what: cappa.Subcommands[CheckSettings | CheckCatalogue | Schema]


@cappa.command(name='entries', help='Show the addresses of entries that callers get.')
@dataclasses.dataclass
class Entries:
    """Show the addresses that callers get: `entries`."""

    entry: typing.Annotated[
        str,
        cappa.Arg(long='--entry', help="An entry's callers' address, IP:PORT."),
    ] = ''
    as_json: _Json = False

    async def __call__(self) -> int:
        """Print an entry's list of entries, and return the exit status."""
        address = self.entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
        results = await _fetch_json(address, 'v1/entries')
        lines = [f'entry {name}' for name in results['entries']]
        lines.extend(f'alternate {name}' for name in results['alternates'])
        lines.append('ttl_s {0}'.format(results['ttl_s']))
        _print_result(results, lines, as_json=self.as_json)
        return EXIT_OK


@cappa.command(name='status', help='Show the state of processes.')
@dataclasses.dataclass
class Status:
    """Show the state of processes: `status`."""

    admin: _Admin = ''
    as_json: _Json = False

    async def __call__(self) -> int:
        """Print the states, and return the exit status.

        Fails when a process does not answer or is not ready.
        """
        reads = [_try_fetch_status(address) for address in _parse_addresses(self.admin)]
        results = await asyncio.gather(*reads)
        _print_result(
            results, [_format_status(state) for state in results], as_json=self.as_json
        )
        fine = all(not state.get('error') and not state['missing'] for state in results)
        return EXIT_OK if fine else EXIT_FAILED


@cappa.command(name='rollout', help='Follow the rollout of a version.')
@dataclasses.dataclass
class Rollout:
    """Follow the rollout of a version: `rollout VERSION`."""

    version: typing.Annotated[str, cappa.Arg(help="The version's name.")]
    admin: _Admin = ''
    timeout_s: typing.Annotated[float, cappa.Arg(long='--timeout-s')] = 600.0
    as_json: _Json = False

    async def __call__(self) -> int:
        """Print progress until the version is live on every agent or has failed.

        Returns the exit status; fails also when `timeout_s` has passed.
        """
        deadline = time.monotonic() + self.timeout_s
        shown = ''
        while True:
            state = await self._fetch_rollout_state()
            line = _format_rollout(self.version, state)
            if line != shown:
                _print_result(state, [line], as_json=self.as_json)
                shown = line
            if state['failed']:
                return EXIT_FAILED
            if state['agents'] and state['live'] == state['agents']:
                return EXIT_OK
            if time.monotonic() > deadline:
                return EXIT_FAILED
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fetch_rollout_state(self) -> dict[str, typing.Any]:
        """Return the progress as the first process that knows the version reports it.

        Raises the last error when no process does.
        """
        last: Exception = CommandError('no admin address')
        for address in _parse_addresses(self.admin):
            try:
                versions = await _fetch_json(address, 'admin/v1/versions')
            except CommandError as exc:
                last = exc
                continue
            matching = [entry for entry in versions if entry['version'] == self.version]
            if matching:
                return {
                    'version': self.version,
                    'agents': sum(entry['agents'] for entry in matching),
                    'live': sum(len(entry['live']) for entry in matching),
                    'failed': [name for entry in matching for name in entry['failed']],
                }
            known = ', '.join(entry['version'] for entry in versions)
            last = CommandError(
                f'version {self.version!r} is not in force; in force: {known}',
            )
        raise last


@cappa.command(name='show', help='Show the records of a request, from logs.')
@dataclasses.dataclass
class AuditShow:
    """Show the audit records of a request: `audit show ID LOGS...`."""

    wanted: typing.Annotated[str, cappa.Arg(help='A call id or a trace id.')]
    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Print the records, and return the exit status; fails when there is none."""
        results = [
            record.fields
            for record in _read_records(self.logs)
            if record.fields.get('trace') == self.wanted
            or record.fields.get('call', '').partition('.')[0] == self.wanted
        ]
        lines = [
            ' '.join(f'{key}={value}' for key, value in fields.items())
            for fields in results
        ]
        _print_result(results, lines, as_json=self.as_json)
        return EXIT_OK if results else EXIT_FAILED


@cappa.command(name='verify', help='Verify the chains of audit records in logs.')
@dataclasses.dataclass
class AuditVerify:
    """Verify the chains of audit records: `audit verify LOGS...`."""

    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Print breaks and chains, and return the exit status.

        Fails on a break, or when there are no records.
        """
        records = list(_read_records(self.logs))
        findings, counts = audit.verify_chains(records)
        closed = audit.find_closed_chains(records)
        lines = [
            f'broken incarnation={finding.incarnation} at={finding.where} '
            f'problem={finding.problem}'
            for finding in findings
        ]
        lines.extend(
            f'chain incarnation={name} records={count} closed={closed[name]}'
            for name, count in counts.items()
        )
        lines.append('audit verdict={0}'.format('broken' if findings else 'whole'))
        payload = {
            'whole': not findings,
            'findings': [dataclasses.asdict(finding) for finding in findings],
            'chains': [
                {'incarnation': name, 'records': count, 'closed': closed[name]}
                for name, count in counts.items()
            ],
        }
        _print_result(payload, lines, as_json=self.as_json)
        return EXIT_FAILED if findings or not records else EXIT_OK


@cappa.command(name='audit', help='Read audit records.')
@dataclasses.dataclass
class Audit:
    """The group of commands under `audit`."""

    what: cappa.Subcommands[AuditShow | AuditVerify]


@cappa.command(name='story', help='Show the log lines of a call.')
@dataclasses.dataclass
class Story:
    """Show the log lines of a call: `story ID LOGS...`."""

    wanted: typing.Annotated[str, cappa.Arg(help='A call id.')]
    logs: _Logs
    as_json: _Json = False

    def __call__(self) -> int:
        """Print the lines, and return the exit status; fails when there is none."""
        log_lines = [
            text
            for path in self.logs
            for text in _read_bytes(path).decode('utf-8', 'replace').splitlines()
        ]
        results = story.select_call_lines(story.parse_lines(log_lines), self.wanted)
        lines = [f'{line.process} {line.text}'.strip() for line in results]
        _print_result([line.fields for line in results], lines, as_json=self.as_json)
        return EXIT_OK if results else EXIT_FAILED


@cappa.command(name='primrosesaddle', help='Check, watch and audit a fleet.')
@dataclasses.dataclass
class Tool:
    """The commands of the tool."""

    what: cappa.Subcommands[Check | Entries | Status | Rollout | Audit | Story]


def _check_file(file: str, as_json: bool, read: typing.Callable[[], object]) -> int:
    """Run a function that reads a file, print its faults, return the exit status."""
    try:
        read()
    except errors.FaultGroup as exc:
        payload = {'file': file, 'fine': False, 'faults': errors.to_rows(exc)}
        if as_json:
            _print_line(json.dumps(payload))
        else:
            sys.stderr.write(f'{errors.describe(exc)}\n')
        return EXIT_USAGE
    _print_result({'file': file, 'fine': True}, [f'{file}: fine'], as_json=as_json)
    return EXIT_OK


def _read_bytes(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise CommandError(f'{path}: {exc.strerror}') from None


def _read_records(paths: list[str]) -> list[audit.Record]:
    try:
        return list(audit.read_records(paths))
    except OSError as exc:
        raise CommandError(f'{exc.filename}: {exc.strerror}') from None


def _parse_addresses(option: str) -> list[str]:
    """Split comma-separated addresses; empty text means ADMIN_VARIABLE's."""
    text = option or os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN)
    return [address for address in text.split(',') if address]


async def _fetch_json(address: str, path: str) -> typing.Any:
    try:
        return await httpio.fetch_json(f'http://{address}/{path}')
    except httpio.HttpFailure as exc:
        raise CommandError(f'{address} did not answer: {exc}') from None


async def _try_fetch_status(address: str) -> dict[str, typing.Any]:
    """Return the status of a process; its `error` tells why there is none."""
    try:
        state = await _fetch_json(address, 'admin/v1/status')
    except CommandError as exc:
        return {'address': address, 'error': str(exc)}
    return {'address': address, **state}


def _format_status(state: dict[str, typing.Any]) -> str:
    if state.get('error'):
        return '{address} error={error}'.format(**state)
    line = '{address} {role} {name} leaving={leaving}'.format(**state)
    line = f'{line} revision={state["config"]["revision"]}'
    missing = ','.join(state['missing']) or 'nothing'
    refused = state['config']['refused']
    return f'{line} missing={missing}{" refused=yes" if refused else ""}'


def _format_rollout(version: str, state: dict[str, typing.Any]) -> str:
    failed = ','.join(state['failed']) or 'none'
    live = f'{state["live"]}/{state["agents"]}'
    return f'rollout version={version} live={live} failed={failed}'


def main() -> None:
    """Run the tool, and exit with its status."""
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    try:
        status = asyncio.run(cappa.invoke_async(Tool))
    except (CommandError, errors.FaultGroup) as exc:
        text = errors.describe(exc) if isinstance(exc, errors.FaultGroup) else str(exc)
        sys.stderr.write(f'primrosesaddle: {text}\n')
        status = EXIT_USAGE
    except BrokenPipeError:
        status = EXIT_OK
    sys.exit(status)
