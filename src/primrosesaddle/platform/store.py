"""Client of the platform's store: reads and long-polling watches of its items."""

import base64
import typing
import urllib.parse

import msgspec

from primrosesaddle.core import positions
from primrosesaddle.fleet import fleetview
from primrosesaddle.net import call
from primrosesaddle.platform import jsonbody, names

__all__ = ('StoreClient',)

READ_TIMEOUT_S = 2.0  # answers take milliseconds, those of a slow store about 0.3 s
WATCH_TIMEOUT_MARGIN_S = 2.0  # beyond the wait time that was requested from the store
# The store's history of 20 s, with one value of 1 MB a second, in base64.
MAX_WATCH_ANSWER_BYTES = 32 * 1024 * 1024
WATCHED_PREFIX = ''  # everything that the operator and the servers publish
STATUS_GONE = 410
MAX_ERA = 2**53  # larger integers are not exact in all decoders
MAX_ERA_DIGITS = 16


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ''
    tombstone: bool = False


class _Range(msgspec.Struct, rename='camel'):
    items: list[_Item]
    # The store's own revision at the time of the answer, not an item's.
    store_revision: int
    truncated: bool = False


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Item]
    store_revision: int


_RANGE = msgspec.json.Decoder(_Range)
_EVENTS = msgspec.json.Decoder(_Events)


class StoreClient:
    """Calls to the store; one that is refused or broken raises `call.CallFailed`."""

    def __init__(self, address: str) -> None:
        """Create a client of the store at an IP:PORT address."""
        self._era = 0  # of the last answer that stated one
        self._reads = call.Client(address)
        self._watches = call.Client(address, MAX_WATCH_ANSWER_BYTES)

    async def read_all(self) -> fleetview.Snapshot:
        """Return every item, page by page, at the revision of the first page.

        Raises `call.CallFailed`, also if the store was restored between two pages.
        """
        found: list[fleetview.Item] = []
        after = ''
        first: positions.Position | None = None
        while True:
            query = urllib.parse.urlencode({'prefix': WATCHED_PREFIX, 'after': after})
            page, era = await self._read_json(
                self._reads, f'{names.RANGE_PATH}?{query}', READ_TIMEOUT_S, _RANGE
            )
            if first is None:
                first = positions.Position(era, page.store_revision)
            if era != first.era:
                raise call.CallFailed(f'era {first.era} ended during a read of all')
            found.extend(_decode_item(item) for item in page.items)
            if not page.truncated or not page.items:
                return fleetview.Snapshot(found, first.revision, era)
            after = page.items[-1].key

    async def wait_changes(self, after: int, wait_s: float) -> fleetview.Changes | None:
        """Wait up to `wait_s` for changes after a revision, and return them.

        Returns None when the store no longer has that history. Raises
        `call.CallFailed`.
        """
        wait_ms = int(wait_s * 1000)
        query = urllib.parse.urlencode(
            {'prefix': WATCHED_PREFIX, 'after': after, 'waitMs': wait_ms}
        )
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        try:
            found, era = await self._read_json(
                self._watches, f'{names.WATCH_PATH}?{query}', timeout_s, _EVENTS
            )
        except _HistoryGone:
            return None
        return fleetview.Changes(
            [_decode_item(item) for item in found.events],
            found.store_revision,
            era=era,
        )

    async def position(self) -> positions.Position:
        """Return the position of the newest change of any item.

        Raises `call.CallFailed`.
        """
        # The answer includes the items under this prefix, which are few and small.
        query = urllib.parse.urlencode({'prefix': names.VERSION_PREFIX})
        target = f'{names.RANGE_PATH}?{query}'
        page, era = await self._read_json(self._reads, target, READ_TIMEOUT_S, _RANGE)
        return positions.Position(era, page.store_revision)

    async def _read_json(
        self,
        client: call.Client,
        target: str,
        timeout_s: float,
        decoder: typing.Any,
    ) -> tuple[typing.Any, int]:
        """Return the decoded answer and the store's era at that time.

        Raises `call.CallFailed` or `_HistoryGone`.
        """
        answer = await client.call('GET', target, timeout_s)
        era = _parse_era(answer.headers.get(names.STORE_ERA_HEADER, ''))
        if era is not None:
            self._era = era
        if answer.status == STATUS_GONE:
            raise _HistoryGone
        if answer.status != 200:
            raise call.CallFailed(f'{target}: status {answer.status}')
        return jsonbody.decode_answer(answer.body, decoder, target), self._era


class _HistoryGone(Exception):
    """The store no longer has the changes after the requested revision."""


def _parse_era(text: str) -> int | None:
    """Return the era that a header states, or None if it states none."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_ERA_DIGITS:
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _decode_item(item: _Item) -> fleetview.Item:
    if item.tombstone:
        return fleetview.Item(item.key, None, item.revision)
    try:
        body = base64.b64decode(item.value, validate=True)
    except ValueError:
        body = item.value.encode()
    return fleetview.Item(item.key, body, item.revision)
