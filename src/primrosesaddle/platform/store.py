"""The platform's store: reads and waiting watches of what is published there."""

import base64
import typing
import urllib.parse

import msgspec

from primrosesaddle.fleet import fleetview
from primrosesaddle.net import call
from primrosesaddle.platform import names

__all__ = ('StoreClient',)

READ_TIMEOUT_S = 2.0  # answers take milliseconds; a slow store about 0.3 s
WATCH_SLACK_S = 2.0  # beyond the wait that the store was asked for
# Changes of 20 s, the store's history, at one value of 1 MB a second in base64.
MAX_CHANGES_BYTES = 32 * 1024 * 1024
PREFIX = ''  # all of what the operator and the servers publish
GONE = 410


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ''
    tombstone: bool = False


class _Range(msgspec.Struct, rename='camel'):
    items: list[_Item]
    # The store's revision when it answered, not that of an item.
    store_revision: int
    truncated: bool = False


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Item]
    store_revision: int


_RANGE = msgspec.json.Decoder(_Range)
_EVENTS = msgspec.json.Decoder(_Events)


class StoreClient:
    """Calls to the store; a refused or broken one raises `call.CallFailed`."""

    def __init__(self, address: str) -> None:
        """Prepare calls to an IP:PORT address."""
        self._reads = call.Client(address)
        self._watches = call.Client(address, MAX_CHANGES_BYTES)

    async def read_all(self) -> fleetview.Snapshot:
        """Return every item, page by page, at the revision of the first page.

        Raises `call.CallFailed`.
        """
        found: list[fleetview.Item] = []
        after = ''
        first_revision: int | None = None
        while True:
            query = urllib.parse.urlencode({'prefix': PREFIX, 'after': after})
            page = await self._get(
                self._reads, f'{names.RANGE_PATH}?{query}', READ_TIMEOUT_S, _RANGE
            )
            if first_revision is None:
                first_revision = page.store_revision
            found.extend(_item(item) for item in page.items)
            if not page.truncated or not page.items:
                return fleetview.Snapshot(found, first_revision)
            after = page.items[-1].key

    async def wait_changes(self, after: int, wait_s: float) -> fleetview.Changes | None:
        """Wait for changes past a revision, and return them.

        Returns None when that history is gone. Raises `call.CallFailed`.
        """
        wait_ms = int(wait_s * 1000)
        query = urllib.parse.urlencode(
            {'prefix': PREFIX, 'after': after, 'waitMs': wait_ms}
        )
        timeout_s = wait_s + WATCH_SLACK_S
        try:
            found = await self._get(
                self._watches, f'{names.WATCH_PATH}?{query}', timeout_s, _EVENTS
            )
        except _HistoryGone:
            return None
        return fleetview.Changes(
            [_item(item) for item in found.events], found.store_revision
        )

    async def revision(self) -> int:
        """Return the revision of the newest change of any item.

        Raises `call.CallFailed`.
        """
        # The few small items under this prefix come along.
        query = urllib.parse.urlencode({'prefix': names.VERSION_PREFIX})
        target = f'{names.RANGE_PATH}?{query}'
        page = await self._get(self._reads, target, READ_TIMEOUT_S, _RANGE)
        return int(page.store_revision)

    async def _get(
        self,
        client: call.Client,
        target: str,
        timeout_s: float,
        decoder: typing.Any,
    ) -> typing.Any:
        answer = await client.call('GET', target, timeout_s)
        if answer.status == GONE:
            raise _HistoryGone
        if answer.status != 200:
            raise call.CallFailed(f'{target}: status {answer.status}')
        try:
            return decoder.decode(answer.body)
        except msgspec.MsgspecError as exc:
            raise call.CallFailed(f'{target}: {exc}') from None


class _HistoryGone(Exception):
    """The store no longer has the changes past a revision."""


def _item(item: _Item) -> fleetview.Item:
    if item.tombstone:
        return fleetview.Item(item.key, None, item.revision)
    try:
        body = base64.b64decode(item.value, validate=True)
    except ValueError:
        body = item.value.encode()
    return fleetview.Item(item.key, body, item.revision)
