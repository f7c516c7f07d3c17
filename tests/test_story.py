"""The log lines of a call with the state that its process acted on, and log limits."""

from testtools import assertions, matchers

from primrosesaddle.telemetry import journal, story

LOG = """
entry-1 2026-01-18T03:10:01.000000Z level=INFO event=configuration.adopted version=4
entry-2 2026-01-18T03:10:01.500000Z level=INFO event=configuration.adopted version=5
entry-1 2026-01-18T03:10:02.000000Z level=INFO event=server.suspect server=s1 why=reset
entry-1 2026-01-18T03:10:02.500000Z level=INFO event=server.suspect server=s9 why=reset
entry-1 2026-01-18T03:10:03.000000Z level=INFO event=attempt.broken id=c1 server=s1
entry-1 2026-01-18T03:10:04.000000Z level=INFO event=call.refused id=c1 status=502
entry-1 2026-01-18T03:10:05.000000Z level=INFO event=configuration.adopted version=6
not a line of this log format
"""


def test_call_lines_include_the_state_that_was_acted_on():
    """State of other processes, of other servers and of later times is left out."""
    lines = story.select_call_lines(story.parse_lines(LOG.splitlines()), 'c1')
    labels = [line.fields.get('version') or line.event for line in lines]
    expected = ['4', 'server.suspect', 'attempt.broken', 'call.refused']
    assertions.assert_that(labels, matchers.Equals(expected))


def test_unknown_call_has_no_lines():
    """An id that no line has selects no lines."""
    lines = story.select_call_lines(story.parse_lines(LOG.splitlines()), 'c2')
    assertions.assert_that(lines, matchers.Equals([]))


def test_log_lines_over_the_rate_are_dropped_and_counted(tmp_path):
    """Lines beyond the burst are dropped, and a later line gives their number."""
    now = [0.0]
    path = tmp_path / 'log'
    with path.open('wb') as out:
        handler = journal.BoundedHandler(out.fileno(), 'INFO', lambda: now[0])
        extra = 7
        with handler.applicationbound():
            for index in range(int(journal.BURST_LINES) + extra):
                journal.info('test.line', index=index)
            now[0] += 1.0
            journal.info('test.last')
    lines = path.read_text().splitlines()
    assertions.assert_that(len(lines), matchers.Equals(int(journal.BURST_LINES) + 2))
    assert lines[-1].endswith(f'event=log.dropped lines={extra}')
