"""A caller of the demonstration.

It asks the entries for their addresses, retries calls, and counts their outcomes.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random
import re
import time
import typing

import msgspec

from demo import layout
from primrosesaddle.core import httpio

__all__ = ('Book', 'Caller')

CALL_TIMEOUT_S = 20.0
MAX_TRIES = 12
TRANSIENT = frozenset((408, 429, 502, 503, 504, 599))
TOKEN = re.compile(r'(\w{8})\.(\w{6})\.(\d+) ')
WORKS = ('confirmation', 'plan', 'reminder')


@dataclasses.dataclass
class Book:
    """The outcomes of a caller's calls.

    `mixed` counts answers with tokens of another version or prompt, `lost` calls
    without any outcome. `booked` holds the keys of bookings that were answered,
    `denied` those that were refused as not run.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    mixed: int = 0
    lost: int = 0
    notes: list[str] = dataclasses.field(default_factory=list)
    booked: set[str] = dataclasses.field(default_factory=set)
    denied: set[str] = dataclasses.field(default_factory=set)
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )


class Caller:
    """A caller of a workspace."""

    def __init__(self, workspace: str, first: list[str], seed: int) -> None:
        """Create a caller; `first` are the addresses of some entries."""
        self._token = layout.TOKENS[workspace]
        self._entries = list(first)
        self._first_entries = list(first)
        self._entries_expire_at = 0.0
        self._rand = random.Random(seed)
        self._serial = 0
        self.name = f'{workspace}-{seed}'
        self.book = Book()

    async def run(self, until: float, pause_s: float = 0.02) -> None:
        """Make calls of all kinds until a time of the monotonic clock, in seconds."""
        while time.monotonic() < until:
            self._serial += 1
            if self._serial % 5 == 0:
                await self.make_booking()
            else:
                await self.ask(stream=self._rand.choice((True, False)))
            await asyncio.sleep(self._rand.uniform(0, pause_s))

    async def ask(self, *, stream: bool) -> None:
        """Make a chat completion with retries, and check the answer's tokens."""
        prompt = f'{self.name} asks number {self._serial}'
        body = msgspec.json.encode(
            {
                'model': layout.MODEL,
                'stream': stream,
                'max_tokens': self._rand.randint(3, 24),
                'messages': [{'role': 'user', 'content': prompt}],
            }
        )
        work = self._rand.choice(WORKS)
        self.book.requests += 1
        for attempt in range(MAX_TRIES):
            answer = await self._send('v1/chat/completions', body, {'Work-Kind': work})
            if answer is not None and self._count_chat_outcome(
                answer, prompt, stream=stream
            ):
                return
            await asyncio.sleep(self._rand.uniform(0.05, 0.1 * (attempt + 1)))
        self._count_lost(f'chat {prompt}')

    async def make_booking(self) -> None:
        """Book a slot under a new key; retries use the same key."""
        key = f'{self.name}-{self._serial}'
        body = msgspec.json.encode({'slot': self._serial})
        path = f'v1/services/{layout.SERVICE}/book'
        self.book.requests += 1
        verdict = ''
        for attempt in range(MAX_TRIES):
            answer = await self._send(
                path,
                body,
                {'Idempotency-Key': key, 'Work-Kind': 'confirmation'},
            )
            if answer is not None and answer.code < 300:
                self.book.answered += 1
                self.book.booked.add(key)
                return
            verdict = self._read_verdict(answer) or verdict
            if answer is not None and verdict == 'may_have_run':
                break
            await asyncio.sleep(self._rand.uniform(0.05, 0.1 * (attempt + 1)))
        if not verdict:
            self._count_lost(f'booking {key}')
            return
        self.book.refused += 1
        self.book.reasons[f'booking {verdict}'] += 1
        if verdict == 'not_run':
            self.book.denied.add(key)

    def _count_lost(self, note: str) -> None:
        self.book.lost += 1
        self.book.notes.append(f'lost {note}')

    def _count_chat_outcome(
        self, answer: typing.Any, prompt: str, *, stream: bool
    ) -> bool:
        """Count the outcome of a chat; return whether there was one that is final."""
        if answer.code >= 300:
            if answer.code in TRANSIENT:
                return False
            self.book.refused += 1
            self.book.reasons[f'chat {answer.code}'] += 1
            return True
        text, is_complete = self._read_text(answer.body, stream=stream)
        if not is_complete:
            return False
        served = answer.headers.get('Served-Version', '')[:8]
        wanted = hashlib.sha256(str([prompt]).encode()).hexdigest()[:6]
        tokens = TOKEN.findall(text)
        expected_tokens = [(served, wanted, str(index)) for index in range(len(tokens))]
        self.book.answered += 1
        if not tokens or tokens != expected_tokens:
            self.book.mixed += 1
            self.book.notes.append(f'mixed {prompt}: {text[:80]}')
        return True

    def _read_text(self, body: bytes, *, stream: bool) -> tuple[str, bool]:
        """Return the text of an answer, and whether it is complete."""
        if not stream:
            answer = msgspec.json.decode(body)
            return answer['choices'][0]['message']['content'], True
        events = [
            line[6:] for line in body.split(b'\n\n') if line.startswith(b'data: ')
        ]
        if not events or events[-1] != b'[DONE]':
            return '', False
        found = [msgspec.json.decode(event) for event in events[:-1]]
        parts = [
            choice['delta'].get('content', '')
            for event in found
            for choice in event.get('choices', ())
        ]
        return ''.join(parts), True

    def _read_verdict(self, answer: typing.Any) -> str:
        """Return the verdict of a refusal, empty when there is none."""
        if answer is None:
            return ''
        try:
            return typing.cast(str, msgspec.json.decode(answer.body)['verdict'])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ''

    async def _send(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> typing.Any:
        """Send a call to an entry; return the answer, or None when there is none."""
        await self._refresh_entries()
        entry = self._entries[0]
        try:
            answer = await httpio.fetch(
                f'http://{entry}/{path}',
                'POST',
                body,
                CALL_TIMEOUT_S,
                headers={'Authorization': f'Bearer {self._token}', **headers},
            )
        except httpio.HttpFailure:
            answer = None
        if answer is None or answer.code == httpio.NO_ANSWER:
            self._entries = [*self._entries[1:], entry]
            return None
        return answer

    async def _refresh_entries(self) -> None:
        """Ask the entries for their addresses when those known have expired."""
        if time.monotonic() < self._entries_expire_at:
            return
        sent = {'Authorization': f'Bearer {self._token}'}
        for entry in [*self._entries, *self._first_entries]:
            url = f'http://{entry}/v1/entries'
            try:
                answer = await httpio.fetch(url, timeout_s=2, headers=sent)
            except httpio.HttpFailure:
                continue
            if answer.code != 200:
                continue
            found = msgspec.json.decode(answer.body)
            self._entries = [*found['entries'], *found['alternates']]
            self._entries_expire_at = time.monotonic() + found['ttl_s']
            return
