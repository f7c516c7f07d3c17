"""A caller that asks which entry to use, retries truthfully, and keeps a book."""

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
    """What a caller saw of its own calls."""

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
    """One caller of a workspace."""

    def __init__(self, workspace: str, first: list[str], seed: int) -> None:
        """Create a caller that knows some entries to begin with."""
        self._token = layout.TOKENS[workspace]
        self._known = list(first)
        self._first = list(first)
        self._until = 0.0
        self._rand = random.Random(seed)
        self._serial = 0
        self.name = f'{workspace}-{seed}'
        self.book = Book()

    async def run(self, until: float, pause_s: float = 0.02) -> None:
        """Make calls of all kinds until a time of the monotonic clock."""
        while time.monotonic() < until:
            self._serial += 1
            if self._serial % 5 == 0:
                await self.make_booking()
            else:
                await self.ask(stream=self._rand.choice((True, False)))
            await asyncio.sleep(self._rand.uniform(0, pause_s))

    async def ask(self, *, stream: bool) -> None:
        """Make a chat completion, and check its text."""
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
            if answer is not None and self._judge_chat(answer, prompt, stream=stream):
                return
            await asyncio.sleep(self._rand.uniform(0.05, 0.1 * (attempt + 1)))
        self._lose(f'chat {prompt}')

    async def make_booking(self) -> None:
        """Book a slot under a key of its own, retried with the same key."""
        key = f'{self.name}-{self._serial}'
        body = msgspec.json.encode({'slot': self._serial})
        path = f'v1/services/{layout.SERVICE}/book'
        self.book.requests += 1
        said = ''
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
            said = self._verdict(answer) or said
            if answer is not None and said == 'may_have_run':
                break
            await asyncio.sleep(self._rand.uniform(0.05, 0.1 * (attempt + 1)))
        if not said:
            self._lose(f'booking {key}')
            return
        self.book.refused += 1
        self.book.reasons[f'booking {said}'] += 1
        if said == 'not_run':
            self.book.denied.add(key)

    def _lose(self, note: str) -> None:
        self.book.lost += 1
        self.book.notes.append(f'lost {note}')

    def _judge_chat(self, answer: typing.Any, prompt: str, *, stream: bool) -> bool:
        """Return whether the call is over, answered or refused for good."""
        if answer.code >= 300:
            if answer.code in TRANSIENT:
                return False
            self.book.refused += 1
            self.book.reasons[f'chat {answer.code}'] += 1
            return True
        text, whole = self._text_of(answer.body, stream=stream)
        if not whole:
            return False
        served = answer.headers.get('Served-Version', '')[:8]
        wanted = hashlib.sha256(str([prompt]).encode()).hexdigest()[:6]
        tokens = TOKEN.findall(text)
        right = [(served, wanted, str(index)) for index in range(len(tokens))]
        self.book.answered += 1
        if not tokens or tokens != right:
            self.book.mixed += 1
            self.book.notes.append(f'mixed {prompt}: {text[:80]}')
        return True

    def _text_of(self, body: bytes, *, stream: bool) -> tuple[str, bool]:
        if not stream:
            whole = msgspec.json.decode(body)
            return whole['choices'][0]['message']['content'], True
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

    def _verdict(self, answer: typing.Any) -> str:
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
        await self._learn()
        entry = self._known[0]
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
            self._known = [*self._known[1:], entry]
            return None
        return answer

    async def _learn(self) -> None:
        if time.monotonic() < self._until:
            return
        sent = {'Authorization': f'Bearer {self._token}'}
        for entry in [*self._known, *self._first]:
            url = f'http://{entry}/v1/entries'
            try:
                answer = await httpio.fetch(url, timeout_s=2, headers=sent)
            except httpio.HttpFailure:
                continue
            if answer.code != 200:
                continue
            found = msgspec.json.decode(answer.body)
            self._known = [*found['entries'], *found['alternates']]
            self._until = time.monotonic() + found['ttl_s']
            return
