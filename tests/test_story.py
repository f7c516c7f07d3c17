"""The story of a call, told from logs."""

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
not a line of ours
"""


def test_story_holds_the_call_and_what_was_believed():
    """Beliefs of other processes, of other servers and of later are left out."""
    found = story.select_call_lines(story.parse_lines(LOG.splitlines()), 'c1')
    seen = [line.fields.get('version') or line.event for line in found]
    expected = ['4', 'server.suspect', 'attempt.broken', 'call.refused']
    assertions.assert_that(seen, matchers.Equals(expected))


def test_unknown_call_has_no_story():
    """An id that no line bears tells nothing."""
    found = story.select_call_lines(story.parse_lines(LOG.splitlines()), 'c2')
    assertions.assert_that(found, matchers.Equals([]))


def test_log_over_the_rate_is_counted(tmp_path):
    """Lines beyond the burst are dropped, and a later line says how many."""
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
