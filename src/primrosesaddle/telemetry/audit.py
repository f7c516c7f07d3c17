"""Audit records, chained by hash per incarnation, and their verification."""

import collections
import dataclasses
import hashlib
import itertools
import shlex
from collections.abc import Callable, Iterable, Iterator

from primrosesaddle.telemetry import journal

__all__ = ('Chain', 'Finding', 'Record', 'read_records', 'verify_chains')

EVENT = 'audit'
_EVENT_PREFIX = f'event={EVENT} '
MAX_RECENT_RECORDS = 1000
FIRST_PREV_HASH = '0' * 64


@dataclasses.dataclass(frozen=True)
class Record:
    """One audit record as read from a log.

    `fields` are in the order of the log, `text` is the part of the line that is
    hashed, and `where` is its FILE:LINE. A malformed record has the `seq` 0.
    """

    incarnation: str
    seq: int
    prev: str
    digest: str
    fields: dict[str, str]
    text: str
    where: str


@dataclasses.dataclass(frozen=True)
class Finding:
    """One break of a chain, at a FILE:LINE."""

    incarnation: str
    where: str
    problem: str


class Chain:
    """The chain of audit records of one process incarnation, written to its log."""

    def __init__(self, process: str, incarnation: str) -> None:
        """Start an empty chain."""
        self._process = process
        self._incarnation = incarnation
        self._seqs = itertools.count(1)
        self._prev = FIRST_PREV_HASH
        self._write: Callable[..., None] = journal.info
        self.recent: collections.deque[dict[str, object]] = collections.deque(
            maxlen=MAX_RECENT_RECORDS,
        )

    def record(self, kind: str, **fields: object) -> None:
        """Append a record of a kind of event, with its details as fields."""
        seq = next(self._seqs)
        full_record: dict[str, object] = {
            'process': self._process,
            'incarnation': self._incarnation,
            'seq': seq,
            'kind': kind,
            **fields,
        }
        digest = _digest(self._prev, journal.format_line(EVENT, full_record))
        self._write(EVENT, **full_record, prev=self._prev, hash=digest)
        self._prev = digest
        self.recent.append(full_record)

    def close(self) -> None:
        """Append the record that ends the chain; called on a graceful stop."""
        self.record('closed')


def read_records(paths: Iterable[str]) -> Iterator[Record]:
    """Yield the audit records in log files, in the order of files and lines.

    Raises `OSError` when a file cannot be read.
    """
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as stream:
            for number, line in enumerate(stream, 1):
                start = line.find(_EVENT_PREFIX)
                if start >= 0:
                    yield _parse(line[start:].rstrip('\n'), f'{path}:{number}')


def verify_chains(records: Iterable[Record]) -> tuple[list[Finding], dict[str, int]]:
    """Check the sequence numbers and hashes of every chain.

    Returns the breaks, and the number of records of each incarnation.
    """
    chains: dict[str, list[Record]] = collections.defaultdict(list)
    findings: list[Finding] = []
    for record in records:
        if record.seq:
            chains[record.incarnation].append(record)
        else:
            findings.append(Finding('unknown', record.where, 'malformed record'))
    for incarnation, chain in chains.items():
        findings.extend(_verify_chain(incarnation, chain))
    return findings, {name: len(chain) for name, chain in chains.items()}


def find_closed_chains(records: Iterable[Record]) -> dict[str, bool]:
    """Return by incarnation whether its chain ends with the record of a stop."""
    last: dict[str, str] = {}
    for record in records:
        last[record.incarnation] = record.fields.get('kind', '')
    return {name: kind == 'closed' for name, kind in last.items()}


def _verify_chain(incarnation: str, chain: list[Record]) -> Iterator[Finding]:
    prev = FIRST_PREV_HASH
    expected = 1
    for record in chain:
        if record.seq > expected:
            gap = f'records {expected} to {record.seq - 1} are missing'
            yield Finding(incarnation, record.where, gap)
        elif record.seq < expected:
            yield Finding(
                incarnation,
                record.where,
                f'record {record.seq} is out of place',
            )
            continue
        elif record.prev != prev:
            yield Finding(
                incarnation,
                record.where,
                f'record {record.seq} does not follow its predecessor',
            )
        if _digest(record.prev, record.text) != record.digest:
            yield Finding(
                incarnation,
                record.where,
                f'record {record.seq} was altered',
            )
        prev = record.digest
        expected = record.seq + 1


def _digest(prev: str, text: str) -> str:
    """Return the SHA-256 of a record's text, chained to the hash before it."""
    return hashlib.sha256(f'{prev} {text}'.encode()).hexdigest()


def _parse(line: str, where: str) -> Record:
    """Parse a line; a malformed one gives a record with `seq` 0."""
    text, _, tail = line.rpartition(' prev=')
    prev, _, digest = tail.partition(' hash=')
    try:
        pairs = [pair.partition('=') for pair in shlex.split(text)]
        fields = {key: value for key, _, value in pairs}
        return Record(
            fields['incarnation'],
            int(fields['seq']),
            prev,
            digest,
            fields,
            text,
            where,
        )
    except (KeyError, ValueError):
        return Record('unknown', 0, prev, digest, {}, text, where)
