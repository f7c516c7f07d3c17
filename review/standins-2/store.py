"""The platform's store, which answers ranges and watches, and a run's record."""

import asyncio
import base64
import contextlib
import json
import pathlib
import time
import urllib.parse

import http1

__all__ = ('Record', 'Store')

PAGE_ITEMS = 500
_Item = dict[str, object]


class Record:
    """The record of a run: a line for each thing that is sent, answered or run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record in a file."""
        self._file = path.open('w')
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, what: str) -> None:
        """Add a line."""
        self._file.write(f'{self.now():8.3f} {what}\n')
        self._file.flush()


class Store:
    """The items of the store, and its history."""

    def __init__(self, record: Record, address: str) -> None:
        """Create an empty store at an address."""
        self.address = address
        self.record = record
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._events: list[_Item] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Answer from now on."""
        host, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve, host, int(port))

    def put(self, key: str, what: object) -> None:
        """Write an item, as the operator and the servers do."""
        self._revision += 1
        known = self._items.get(key, {})
        body = base64.b64encode(json.dumps(what).encode())
        self._items[key] = {
            'key': key,
            'value': body.decode(),
            'revision': self._revision,
            'created': known.get('created', self._revision),
            'lease': 0,
        }
        self._publish(self._items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._publish({'key': key, 'revision': self._revision, 'tombstone': True})

    def _publish(self, event: _Item) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*http1.BROKEN_OFF), contextlib.closing(writer):
            while True:
                await self._answer(await http1.read_request(reader), writer)

    async def _answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        target = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path.endswith('/kv-range'):
            found = self._list_page(query)
        else:
            found = await self._watch(query)
        body = json.dumps({**found, 'storeRevision': self._revision}).encode()
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
        ]
        writer.write(http1.format_head(lines) + body)
        await writer.drain()

    def _list_page(self, query: dict[str, str]) -> _Item:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return {'items': page, 'truncated': len(keys) > PAGE_ITEMS}

    async def _watch(self, query: dict[str, str]) -> _Item:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            found = [event for event in self._events if _is_after(event, after)]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return {'events': found}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


def _is_after(event: _Item, revision: int) -> bool:
    return int(str(event['revision'])) > revision
