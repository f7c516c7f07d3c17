"""The platform's store: items with revisions, ranges, and watches that wait."""

import asyncio
import base64
import json
import typing

from standins import http

PAGE_ITEMS = 500


class Store:
    """The items that operator and servers publish; the system only reads them."""

    def __init__(self) -> None:
        """Create an empty store on a free address."""
        self.address = http.free_address()
        self.revision = 1
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Serve the store."""
        await http.serve(self._handle, self.address)

    def put(self, key: str, document: object) -> None:
        """Write an item, as operator or server."""
        self.revision += 1
        encoded = base64.b64encode(json.dumps(document).encode()).decode()
        self._items[key] = {
            'key': key,
            'value': encoded,
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self._add(self._items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key)
        self._add({'key': key, 'revision': self.revision, 'tombstone': True})

    def _add(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: http.Request) -> None:
        if req.path == f'{http.BASE}/kv-range':
            prefix = req.query.get('prefix', '')
            after = req.query.get('after', '')
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            found = [self._items[key] for key in keys[:PAGE_ITEMS]]
            is_cut = len(keys) > PAGE_ITEMS
            req.send_json(
                {
                    'items': found,
                    'truncated': is_cut,
                    'storeRevision': self.revision,
                }
            )
            return
        after_revision = int(req.query['after'])
        wait_s = int(req.query['waitMs']) / 1000
        if not self._list_after(after_revision) and wait_s:
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([waiting], timeout=wait_s)
            waiting.cancel()
        req.send_json(
            {
                'events': self._list_after(after_revision),
                'storeRevision': self.revision,
            }
        )

    def _list_after(self, revision: int) -> list[dict[str, typing.Any]]:
        return [event for event in self._events if event['revision'] > revision]
