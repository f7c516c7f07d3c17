"""Stand-in of the platform's store: items, ranges, watches, and a drill."""

import asyncio
import base64
import contextlib
import copy
import json
import time
import typing
from collections.abc import Callable

import httpwire

__all__ = ('Door', 'Store')

BASE = '/primrosesaddle'
FIRST_REVISION = 100
READS_PER_S = 2000  # beyond that the platform's store answers 429

Item = dict[str, typing.Any]


class Door:
    """A further address of the store, for a machine that may be cut off from it.

    `on_answer` is called after each call that was answered.
    """

    def __init__(self, handle: httpwire.Handle) -> None:
        """Create a door to what `handle` serves."""
        self.on_answer: Callable[[], None] = _do_nothing
        self._handle = handle
        self._http = httpwire.HttpServer(self._handle_here)

    @property
    def address(self) -> str:
        """Return where the store is reached."""
        return self._http.address

    async def open(self) -> None:
        """Let calls through."""
        await self._http.start()

    def cut(self) -> None:
        """Refuse connections, and close those that are open."""
        self._http.stop()

    async def _handle_here(self, request: httpwire.Request) -> None:
        await self._handle(request)
        self.on_answer()


def _do_nothing() -> None:
    """Do nothing: the default hook of a door."""


class Store:
    """The store; the operator and the servers write to it by `put` and `remove`.

    `era` is sent in all answers. While it is away, all connections are reset.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = FIRST_REVISION
        self.era = 1
        self.calls = 0
        self._second = 0
        self._calls_of_second = 0
        self._items: dict[str, Item] = {}
        self._events: list[Item] = []
        self._is_away = False
        self._changed = asyncio.Event()
        self._http = httpwire.HttpServer(self._handle)

    @property
    def address(self) -> str:
        """Return where the store listens."""
        return self._http.address

    async def start(self) -> None:
        """Listen."""
        await self._http.start()

    def stop(self) -> None:
        """Stop to listen."""
        self._http.stop()

    async def open_door(self) -> Door:
        """Return a further address of the store, which listens."""
        door = Door(self._handle)
        await door.open()
        return door

    def put(self, key: str, record: typing.Any) -> int:
        """Write a record, and return the revision of the acknowledged change."""
        text = base64.b64encode(json.dumps(record).encode()).decode()
        self.revision += 1
        known = self._items.get(key)
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': self.revision if known is None else known['created'],
            'lease': 0,
        }
        self._items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Remove an item, and return the revision of the acknowledged change."""
        self.revision += 1
        self._items.pop(key)
        self._add_event({'key': key, 'revision': self.revision, 'tombstone': True})
        return self.revision

    def take_copy(self) -> tuple[int, dict[str, Item], list[Item]]:
        """Return a copy of all that the store holds."""
        return self.revision, copy.deepcopy(self._items), list(self._events)

    def go_away(self) -> None:
        """Answer nothing from now on; waiting watches are cut."""
        self._is_away = True
        self._wake()

    def come_back(self, kept: tuple[int, dict[str, Item], list[Item]]) -> None:
        """Answer again, with the content of a copy, in the next era."""
        self.revision, items, events = kept
        self._items = dict(items)
        self._events = list(events)
        self.era += 1
        self._is_away = False

    def _add_event(self, event: Item) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: httpwire.Request) -> None:
        self.calls += 1
        if self._is_away:
            raise ConnectionResetError
        if self._is_beyond_rate():
            await self._send(request, {}, 429)
        elif request.path == f'{BASE}/kv-range':
            await self._send_range(request)
        elif request.path == f'{BASE}/kv-watch':
            await self._send_events(request)
        else:
            await self._send(request, {}, 404)

    def _is_beyond_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._calls_of_second = second, 0
        self._calls_of_second += 1
        return self._calls_of_second > READS_PER_S

    async def _send_range(self, request: httpwire.Request) -> None:
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        await self._send(
            request,
            {'items': found, 'truncated': False, 'storeRevision': self.revision},
        )

    async def _send_events(self, request: httpwire.Request) -> None:
        after = int(request.query['after'])
        wait_s = int(request.query['waitMs']) / 1000
        if after <= self.revision and not self._list_events(after):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        if self._is_away:
            raise ConnectionResetError
        if after > self.revision:
            await self._send(request, {}, 410)
            return
        await self._send(
            request,
            {'events': self._list_events(after), 'storeRevision': self.revision},
        )

    def _list_events(self, after: int) -> list[Item]:
        return [event for event in self._events if event['revision'] > after]

    async def _send(
        self, request: httpwire.Request, body: typing.Any, status: int = 200
    ) -> None:
        await httpwire.send_json(request, body, status, {'Store-Era': str(self.era)})
