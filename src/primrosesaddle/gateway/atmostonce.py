"""At most once: the home's ledger of keys, and the entry's book of forwards."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterable

from primrosesaddle.core import futures, rendezvous, verdict

__all__ = ('ServiceAnswer', 'ForwardLog', 'KeyLedger', 'Ticket', 'key_owner_of')

TICKET_MARK = 'tkt1'
MAX_KEYS = 200_000
MAX_KEPT_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A kept answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A key that names the one incarnation that may run it."""

    home: str
    incarnation: str
    nonce: str

    def __str__(self) -> str:
        """Return the ticket as callers send it."""
        return f'{TICKET_MARK}~{self.home}~{self.incarnation}~{self.nonce}'


def parse_ticket(key: str) -> Ticket | None:
    """Return the ticket in a key, or None when the key is not one."""
    mark, *rest = key.split('~')
    if mark != TICKET_MARK or len(rest) != 3:
        return None
    return Ticket(*rest)


def key_owner_of(key: str, servers: Iterable[str]) -> str | None:
    """Return the name of the server that alone may run a key."""
    ticket = parse_ticket(key.rpartition('/')[2])
    if ticket is not None:
        return ticket.home
    return rendezvous.select_owner(key, servers)


@dataclasses.dataclass
class _Record:
    """One key: its request's digest, and its answer once there is one."""

    fingerprint: str
    at: float
    done: 'asyncio.Future[ServiceAnswer]'


class KeyLedger:
    """What the home of a key knows of it; kept for a retention time in seconds.

    A key that the ledger does not hold runs only when it cannot have run under
    an earlier home: when it is a ticket of this incarnation, or when every entry
    that may have forwarded it elsewhere has told what it forwarded.
    """

    def __init__(self, incarnation: str, retention_s: float) -> None:
        """Create the ledger of one incarnation."""
        self._incarnation = incarnation
        self._retention_s = retention_s
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._doubted: set[str] = set()
        self._cleared: dict[str, str] = {}
        self._homes = ''
        self._kept: collections.deque[tuple[str, int]] = collections.deque()
        self._kept_bytes = 0

    def set_owners(self, homes: str) -> None:
        """Take the homes in force; a change of them voids what entries told."""
        if homes != self._homes:
            self._homes = homes
            self._cleared.clear()

    @property
    def homes(self) -> str:
        """Return the homes that the entries' words are about."""
        return self._homes

    def add_forwarded_keys(
        self, incarnation: str, homes: str, keys: Iterable[str]
    ) -> None:
        """Take an entry's list of keys that it forwarded to other homes."""
        if homes == self._homes:
            self._doubted.update(key for key in keys if key not in self._records)
            self._cleared[incarnation] = homes

    def has_reported(self, incarnation: str) -> bool:
        """Tell whether an entry has told what it forwarded."""
        return incarnation in self._cleared

    def is_history_complete(
        self, entries: Iterable[str], departed: Iterable[str]
    ) -> bool:
        """Tell whether every entry, living or gone, has told what it forwarded."""
        return all(name in self._cleared for name in (*entries, *departed))

    def needs_no_history(self, key: str) -> bool:
        """Tell whether a key is decided without the entries' word."""
        return key in self._records or parse_ticket(key.rpartition('/')[2]) is not None

    def claim_key(
        self,
        key: str,
        fingerprint: str,
        now: float,
        *,
        settled: bool,
    ) -> 'asyncio.Future[ServiceAnswer] | None':
        """Claim a key; return None when the caller is to run it.

        Return the future of its answer when it runs or ran. Raises `Refusal`
        when it must not run.
        """
        self._forget(now)
        record = self._records.get(key)
        if record is not None:
            if record.fingerprint != fingerprint:
                raise verdict.not_run('key_reused_for_another_request', 422)
            return record.done
        self._check(key, settled=settled)
        if len(self._records) >= MAX_KEYS:
            raise verdict.not_run('key_table_full', 503, 1)
        fut = asyncio.get_running_loop().create_future()
        fut.add_done_callback(futures.retrieve_exception)
        self._records[key] = _Record(fingerprint, now, fut)
        return None

    def answer_future(self, key: str) -> 'asyncio.Future[ServiceAnswer]':
        """Return the future of the answer of a key that was begun."""
        return self._records[key].done

    def store_answer(self, key: str, answer: ServiceAnswer) -> None:
        """Keep the answer of a key that ran."""
        self._records[key].done.set_result(answer)
        self._kept.append((key, len(answer.body)))
        self._kept_bytes += len(answer.body)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop_body()

    def record_refusal(self, key: str, refusal: verdict.Refusal) -> None:
        """Record that a key has no answer; it may run again only if it did not."""
        record = self._records[key]
        record.done.set_exception(refusal)
        if refusal.verdict is verdict.Verdict.NOT_RUN:
            self._records.pop(key)

    def _drop_body(self) -> None:
        """Keep of the oldest answer only that its key ran."""
        key, size = self._kept.popleft()
        self._kept_bytes -= size
        record = self._records.get(key)
        if record is not None:
            fut = asyncio.get_running_loop().create_future()
            fut.add_done_callback(futures.retrieve_exception)
            ran = verdict.Verdict.RAN
            fut.set_exception(verdict.Refusal(ran, 'answer_not_kept', 409))
            record.done = fut

    def _check(self, key: str, *, settled: bool) -> None:
        ticket = parse_ticket(key.rpartition('/')[2])
        if ticket is not None:
            if ticket.incarnation != self._incarnation:
                raise verdict.may_have_run('home_was_replaced', 409)
            return
        if key in self._doubted:
            raise verdict.may_have_run('key_went_to_an_earlier_home', 409)
        if not settled:
            raise verdict.may_have_run('key_history_unknown', 409)

    def _forget(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if now - record.at < self._retention_s or not record.done.done():
                return
            self._records.pop(key)


@dataclasses.dataclass
class _Forward:
    home: str
    incarnation: str
    at: float
    attempts: int = 1


class ForwardLog:
    """The keys that one entry forwarded, and where; kept for the retention."""

    def __init__(self, retention_s: float) -> None:
        """Create an empty book."""
        self._retention_s = retention_s
        self._forwards: collections.OrderedDict[str, _Forward] = (
            collections.OrderedDict()
        )

    def record_forward(self, key: str, home: str, incarnation: str, now: float) -> None:
        """Record a forward; raise `Refusal` when the key went elsewhere before."""
        self._forget(now)
        known = self._forwards.get(key)
        if known is None:
            self._forwards[key] = _Forward(home, incarnation, now)
            return
        if known.home != home or known.incarnation != incarnation:
            raise verdict.may_have_run('key_went_to_an_earlier_home', 409)
        known.attempts += 1

    def undo_forward(self, key: str) -> None:
        """Take back one forward whose home confirmed that it did not run."""
        known = self._forwards.get(key)
        if known is None:
            return
        known.attempts -= 1
        if not known.attempts:
            self._forwards.pop(key)

    def was_forwarded(self, key: str) -> bool:
        """Tell whether a key was forwarded."""
        return key in self._forwards

    def keys_sent_elsewhere(
        self, prefix: str, home: str, incarnation: str
    ) -> tuple[str, ...]:
        """Return the keys under a prefix that went to another home incarnation."""
        return tuple(
            key
            for key, forward in self._forwards.items()
            if prefix in key
            and (forward.home, forward.incarnation) != (home, incarnation)
        )

    def _forget(self, now: float) -> None:
        while self._forwards:
            key, forward = next(iter(self._forwards.items()))
            if now - forward.at < self._retention_s:
                return
            self._forwards.pop(key)
