"""Settings, the command-line tool, audit records, log lines and the kernel."""

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle import settings
from primrosesaddle.core import errors, kernel
from primrosesaddle.telemetry import audit, journal

VALID_SETTINGS = """
[process]
role = entry
name = entry-1
region = norte
data_centre = quito-a
[listen]
peers = 127.0.0.1:9001
admin = 127.0.0.1:9002
callers = 127.0.0.1:9003
[platform]
catalogue = http://127.0.0.1:9100/v1/catalogue
instances = http://127.0.0.1:9101/v1/instances
"""


def run_tool(*args):
    """Run the command-line tool; return its status, output and error output."""
    tool = pathlib.Path(sys.executable).with_name('primrosesaddle')
    finished = subprocess.run(
        [tool, *args], capture_output=True, text=True, check=False
    )
    return finished.returncode, finished.stdout, finished.stderr


def write_file(path, text):
    """Write a file, and return its path as text."""
    path.write_text(text, encoding='utf-8')
    return str(path)


def test_settings_report_every_fault_at_once():
    """All faults are named in the error, so that none hides another."""
    text = VALID_SETTINGS.replace('role = entry', 'role = queen').replace(
        'admin = 127.0.0.1:9002', 'admin = here'
    )
    text += '[limits]\nmax_body_bytes = none\nbogus = 1\n[extra]\n'
    with pytest.raises(errors.FaultGroup) as caught:
        settings.parse_settings(text, 'a.ini')
    error_text = errors.describe(caught.value)
    for part in (
        "[process].role: got 'queen'",
        '[listen].admin',
        '[limits].max_body_bytes',
        '[limits].bogus',
        'allowed sections: process',
    ):
        assertions.assert_that(error_text, matchers.Contains(part))


@pytest.mark.parametrize(
    'text', ['', 'nonsense', '[process]\nrole', VALID_SETTINGS * 2]
)
def test_malformed_settings_file_is_refused(text):
    """Empty, unparsable, incomplete and repeated sections raise a fault."""
    with pytest.raises(errors.FaultGroup):
        settings.parse_settings(text, 'a.ini')


def test_tool_checks_files_and_sets_its_exit_status(tmp_path):
    """A file with faults gives status 2 and no traceback, here and as JSON.

    So does a rollout without a reachable process; a failed status gives 1.
    """
    good = write_file(tmp_path / 'good.ini', VALID_SETTINGS)
    bad = write_file(
        tmp_path / 'bad.ini', VALID_SETTINGS.replace('role = entry', 'role = x')
    )
    assertions.assert_that(run_tool('check', 'settings', good)[0], matchers.Equals(0))
    status, _, error_text = run_tool('check', 'settings', bad)
    assertions.assert_that(status, matchers.Equals(2))
    assertions.assert_that(error_text, matchers.Contains('[process].role'))
    assertions.assert_that(error_text, matchers.Not(matchers.Contains('Traceback')))
    broken = write_file(tmp_path / 'c.json', '{"entries": [{"kind": "model"}]}')
    status, out, _ = run_tool('check', 'catalogue', broken, '--json')
    assertions.assert_that(status, matchers.Equals(2))
    faults = json.loads(out)['faults']
    assertions.assert_that(faults[0]['path'], matchers.Contains('$.entries[0]'))
    status, _, error_text = run_tool('status', '--admin', '127.0.0.1:1')
    assertions.assert_that(status, matchers.Equals(1))
    status, _, error_text = run_tool('rollout', 'v1', '--admin', '127.0.0.1:1')
    assertions.assert_that(status, matchers.Equals(2))
    assertions.assert_that(error_text, matchers.Contains('127.0.0.1:1'))


def make_log(path, count):
    """Write a log with `count` audit records and an end, and return its lines."""
    lines = []
    chain = audit.Chain('entry-1', 'i1')
    chain._write = lambda event, **fields: lines.append(
        '2026-01-01T00:00:00Z level=INFO ' + journal.format_line(event, fields)
    )
    for number in range(count):
        chain.record('answered', call=f'c{number}', trace=f't{number}', note='a "b" c')
    chain.close()
    path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
    return lines


@given(
    st.integers(2, 12),
    st.sampled_from(['none', 'remove', 'alter', 'swap', 'repeat']),
    st.data(),
)
def test_any_break_of_an_audit_chain_is_found(tmp_path_factory, count, change, data):
    """A record that is removed, altered, swapped or repeated breaks the chain."""
    path = tmp_path_factory.mktemp('log') / 'a.log'
    lines = make_log(path, count)
    index = data.draw(st.integers(0, count - 1))
    if change == 'remove':
        lines.pop(index)
    elif change == 'alter':
        lines[index] = lines[index].replace(f'call=c{index}', 'call=c99')
    elif change == 'swap':
        lines[index], lines[index + 1] = lines[index + 1], lines[index]
    elif change == 'repeat':
        lines.insert(index, lines[index])
    path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
    findings, _ = audit.verify_chains(audit.read_records([str(path)]))
    assertions.assert_that(bool(findings), matchers.Is(change != 'none'))


def test_tool_verifies_and_shows_audit_records_from_logs_alone(tmp_path):
    """No process is asked; a removed record is named and fails the command."""
    path = tmp_path / 'a.log'
    lines = make_log(path, 4)
    status, out, _ = run_tool('audit', 'verify', str(path))
    assertions.assert_that(status, matchers.Equals(0))
    assertions.assert_that(out, matchers.Contains('closed=True'))
    status, out, _ = run_tool('audit', 'show', 't2', str(path), '--json')
    assertions.assert_that(json.loads(out)[0]['call'], matchers.Equals('c2'))
    path.write_text('\n'.join([*lines[:1], *lines[2:]]), encoding='utf-8')
    status, out, _ = run_tool('audit', 'verify', str(path))
    assertions.assert_that(status, matchers.Equals(1))
    assertions.assert_that(out, matchers.Contains('records 2 to 2 are missing'))


@given(st.text(max_size=40))
def test_a_log_line_stays_one_line(text):
    """A value with line breaks or quotes must not split a line."""
    line = journal.format_line('e', {'key': text})
    assertions.assert_that(line, matchers.Not(matchers.Contains('\n')))
    assertions.assert_that(line, matchers.StartsWith('event=e key='))


def test_services_stop_in_reverse_order_and_all_failures_are_raised():
    """A service that fails to stop must not keep the others from stopping.

    The group of errors holds each failure; unknown and repeated names are refused.
    """
    finished = []

    def service(name, *, fails=False):
        async def start():
            finished.append(f'start {name}')

        async def stop():
            finished.append(f'stop {name}')
            if fails:
                raise ValueError(name)

        return kernel.Service(name, name, start, stop)

    async def body():
        services = kernel.Kernel()
        for provided in (
            service('a'),
            service('b', fails=True),
            service('c', fails=True),
        ):
            services.provide(provided)
        await services.start()
        services.spawn(asyncio.sleep(100), 'forever')
        await asyncio.sleep(0)
        with pytest.raises(ExceptionGroup) as caught:
            await services.stop()
        assertions.assert_that(caught.value.exceptions, matchers.HasLength(2))
        with pytest.raises(LookupError):
            services.find('z')
        with pytest.raises(ValueError, match='twice'):
            services.provide(service('a'))

    asyncio.run(body())
    assertions.assert_that(
        finished,
        matchers.Equals(
            ['start a', 'start b', 'start c', 'stop c', 'stop b', 'stop a']
        ),
    )
