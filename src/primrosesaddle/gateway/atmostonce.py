"""Idempotency keys that run at most once.

The owner of a key is the one server that may run it: the server named in the key
when that is a ticket, else the first by rendezvous hashing. The owner keeps a ledger
of the keys that it ran; every entry keeps a log of the keys that it forwarded.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Iterable

from primrosesaddle.core import futures, rendezvous, verdict

__all__ = ('ForwardLog', 'KeyLedger', 'ServiceAnswer', 'Ticket', 'key_owner_of')

TICKET_PREFIX = 'tkt1'
MAX_KEYS = 200_000
MAX_KEPT_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A complete answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A key that only one incarnation of one server may run."""

    owner: str
    incarnation: str
    nonce: str

    def __str__(self) -> str:
        """Return the ticket as callers send it."""
        return f'{TICKET_PREFIX}~{self.owner}~{self.incarnation}~{self.nonce}'


def parse_ticket(key: str) -> Ticket | None:
    """Return the ticket in a key, or None when the key is not one."""
    prefix, *rest = key.split('~')
    if prefix != TICKET_PREFIX or len(rest) != 3:
        return None
    return Ticket(*rest)


def key_owner_of(key: str, servers: Iterable[str]) -> str | None:
    """Return the name of the server that alone may run a key."""
    ticket = parse_ticket(key.rpartition('/')[2])
    if ticket is not None:
        return ticket.owner
    return rendezvous.select_owner(key, servers)


@dataclasses.dataclass
class _Record:
    """A claimed key: the digest of its request and the future of its answer."""

    request_digest: str
    claimed_at: float
    answer: 'asyncio.Future[ServiceAnswer]'


class KeyLedger:
    """The keys that a server ran or runs, kept for a retention time in seconds.

    A key that is not in the ledger runs only when it cannot have run at an earlier
    owner: when it is a ticket of this incarnation, or when every entry that may have
    forwarded it elsewhere has reported its forwarded keys, without this one.
    """

    def __init__(self, incarnation: str, retention_s: float) -> None:
        """Create the ledger of one incarnation."""
        self._incarnation = incarnation
        self._retention_s = retention_s
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._keys_sent_elsewhere: set[str] = set()
        self._owners_by_entry: dict[str, str] = {}
        self._owners = ''
        self._kept_bodies: collections.deque[tuple[str, int]] = collections.deque()
        self._kept_bodies_bytes = 0

    def set_owners(self, owners: str) -> None:
        """Set the digest of the owners in force; a change discards entries' reports."""
        if owners != self._owners:
            self._owners = owners
            self._owners_by_entry.clear()

    @property
    def owners(self) -> str:
        """Return the digest of the owners that the entries' reports refer to."""
        return self._owners

    def add_forwarded_keys(
        self, incarnation: str, owners: str, keys: Iterable[str]
    ) -> None:
        """Record the report of an entry: the keys that it forwarded to other owners.

        `incarnation` is the entry's; `owners` is the digest of the owners that the
        report refers to. A report about other owners than those in force is ignored.
        """
        if owners == self._owners:
            self._keys_sent_elsewhere.update(
                key for key in keys if key not in self._records
            )
            self._owners_by_entry[incarnation] = owners

    def has_reported(self, incarnation: str) -> bool:
        """Tell whether the entry of an incarnation has reported its forwarded keys."""
        return incarnation in self._owners_by_entry

    def is_history_complete(
        self, entries: Iterable[str], departed: Iterable[str]
    ) -> bool:
        """Tell whether every entry has reported its forwarded keys.

        Both arguments are incarnations, of connected and of departed entries.
        """
        return all(name in self._owners_by_entry for name in (*entries, *departed))

    def needs_no_history(self, key: str) -> bool:
        """Tell whether a key can be decided without the reports of entries."""
        return key in self._records or parse_ticket(key.rpartition('/')[2]) is not None

    def claim_key(
        self,
        key: str,
        request_digest: str,
        now: float,
        *,
        history_complete: bool,
    ) -> 'asyncio.Future[ServiceAnswer] | None':
        """Claim a key; return None when the calling code has to run it.

        Return the future of its answer when it is running or ran. `request_digest`
        identifies the request, `history_complete` tells whether all entries have
        reported. Raises `Refusal` when the key must not run.
        """
        self._remove_expired(now)
        record = self._records.get(key)
        if record is not None:
            if record.request_digest != request_digest:
                raise verdict.not_run('key_reused_for_another_request', 422)
            return record.answer
        self._check_unclaimed(key, history_complete=history_complete)
        if len(self._records) >= MAX_KEYS:
            raise verdict.not_run('key_table_full', 503, 1)
        fut = asyncio.get_running_loop().create_future()
        fut.add_done_callback(futures.retrieve_exception)
        self._records[key] = _Record(request_digest, now, fut)
        return None

    def answer_future(self, key: str) -> 'asyncio.Future[ServiceAnswer]':
        """Return the future of the answer of a claimed key."""
        return self._records[key].answer

    def store_answer(self, key: str, answer: ServiceAnswer) -> None:
        """Store the answer of a key that ran.

        Beyond `MAX_KEPT_BYTES` the oldest bodies are dropped.
        """
        self._records[key].answer.set_result(answer)
        self._kept_bodies.append((key, len(answer.body)))
        self._kept_bodies_bytes += len(answer.body)
        while self._kept_bodies_bytes > MAX_KEPT_BYTES:
            self._drop_oldest_body()

    def record_refusal(self, key: str, refusal: verdict.Refusal) -> None:
        """Record that a key has no answer; it is released if it did not run."""
        record = self._records[key]
        record.answer.set_exception(refusal)
        if refusal.verdict is verdict.Verdict.NOT_RUN:
            self._records.pop(key)

    def _drop_oldest_body(self) -> None:
        """Replace the oldest answer by a refusal that says that its key ran."""
        key, size = self._kept_bodies.popleft()
        self._kept_bodies_bytes -= size
        record = self._records.get(key)
        if record is not None:
            fut = asyncio.get_running_loop().create_future()
            fut.add_done_callback(futures.retrieve_exception)
            ran = verdict.Verdict.RAN
            fut.set_exception(verdict.Refusal(ran, 'answer_not_kept', 409))
            record.answer = fut

    def _check_unclaimed(self, key: str, *, history_complete: bool) -> None:
        """Raise `Refusal` if an unclaimed key may have run at an earlier owner."""
        ticket = parse_ticket(key.rpartition('/')[2])
        if ticket is not None:
            if ticket.incarnation != self._incarnation:
                raise verdict.may_have_run('home_was_replaced', 409)
            return
        if key in self._keys_sent_elsewhere:
            raise verdict.may_have_run('key_went_to_an_earlier_home', 409)
        if not history_complete:
            raise verdict.may_have_run('key_history_unknown', 409)

    def _remove_expired(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if now - record.claimed_at < self._retention_s or not record.answer.done():
                return
            self._records.pop(key)


@dataclasses.dataclass
class _Forward:
    """The owner that a key was sent to; `attempts` counts what may have run."""

    owner: str
    incarnation: str
    recorded_at: float
    attempts: int = 1


class ForwardLog:
    """The keys that an entry forwarded, with the owner that each was sent to.

    They are kept for a retention time in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        """Create an empty log."""
        self._retention_s = retention_s
        self._forwards: collections.OrderedDict[str, _Forward] = (
            collections.OrderedDict()
        )

    def record_forward(
        self, key: str, owner: str, incarnation: str, now: float
    ) -> None:
        """Record a forward.

        Raises `Refusal` if the key was sent to another owner before.
        """
        self._remove_expired(now)
        forward = self._forwards.get(key)
        if forward is None:
            self._forwards[key] = _Forward(owner, incarnation, now)
            return
        if forward.owner != owner or forward.incarnation != incarnation:
            raise verdict.may_have_run('key_went_to_an_earlier_home', 409)
        forward.attempts += 1

    def undo_forward(self, key: str) -> None:
        """Remove one forward whose owner confirmed that it did not run."""
        forward = self._forwards.get(key)
        if forward is None:
            return
        forward.attempts -= 1
        if not forward.attempts:
            self._forwards.pop(key)

    def was_forwarded(self, key: str) -> bool:
        """Tell whether a key was forwarded."""
        return key in self._forwards

    def keys_sent_elsewhere(
        self, prefix: str, owner: str, incarnation: str
    ) -> tuple[str, ...]:
        """Return the keys that contain `prefix` and were sent to another owner.

        Another incarnation of the same owner counts as another owner.
        """
        return tuple(
            key
            for key, forward in self._forwards.items()
            if prefix in key
            and (forward.owner, forward.incarnation) != (owner, incarnation)
        )

    def _remove_expired(self, now: float) -> None:
        while self._forwards:
            key, forward = next(iter(self._forwards.items()))
            if now - forward.recorded_at < self._retention_s:
                return
            self._forwards.pop(key)
