"""Stand-in for the weight store and the origin, with a limited rate."""

import asyncio
import random
import time
import typing

from tornado import web

from demo.standins import common
from primrosesaddle.weights import manifest

__all__ = ('WeightStore', 'make_weights', 'routes')

SLICE_BYTES = 64 * 1024


def make_weights(name: str, size: int, chunk_bytes: int) -> typing.Any:
    """Return the manifest and the chunks of random weights, seeded with the name."""
    body = random.Random(name).randbytes(size)
    return manifest.split_into_chunks(name, body, chunk_bytes)


class WeightStore:
    """The published manifests and chunks, sent over one link of limited rate."""

    def __init__(self, bytes_per_s: float) -> None:
        """Create an empty store."""
        self.faults = common.Faults(
            down=False,
            corrupt_share=0.0,
            delay_s=0.0,
            bytes_per_s=bytes_per_s,
        )
        self.manifests: dict[str, bytes] = {}
        self.chunks: dict[str, bytes] = {}
        self.sent = 0
        self.requests = 0
        self.sent_by: dict[str, int] = {}
        self._free_at = 0.0
        self._rand = random.Random(7)

    def add(self, name: str, size: int, chunk_bytes: int) -> str:
        """Publish a version of random weights; return its manifest's digest."""
        new_manifest, chunks = make_weights(name, size, chunk_bytes)
        text = manifest.to_bytes(new_manifest)
        digest = manifest.compute_digest(text)
        self.manifests[digest] = text
        self.chunks.update(zip(new_manifest.chunks, chunks, strict=True))
        return digest

    async def send(self, body: bytes, key: str) -> bytes:
        """Wait for the time that bytes take on the link, and return them.

        `key` is their digest, by which sends are counted.
        """
        if self.faults.down:
            raise web.HTTPError(503)
        await asyncio.sleep(self.faults.delay_s)
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + len(body) / self.faults.bytes_per_s
        await asyncio.sleep(self._free_at - now)
        self.sent += len(body)
        self.requests += 1
        self.sent_by[key] = self.sent_by.get(key, 0) + 1
        if self._rand.random() < self.faults.corrupt_share:
            return bytes([body[0] ^ 1]) + body[1:]
        return body

    def tally(self) -> dict[str, typing.Any]:
        """Return the bytes and requests sent, and the count of the item sent most."""
        most = max(self.sent_by.values(), default=0)
        return {'bytes': self.sent, 'requests': self.requests, 'most_of_one': most}


class _ItemHandler(common.Handler):
    def initialize(self, store: WeightStore, items: dict[str, bytes]) -> None:
        self.store = store
        self.items = items

    async def get(self, digest: str) -> None:
        body = self.items.get(digest)
        if body is None:
            raise web.HTTPError(404)
        sent = await self.store.send(body, digest)
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(sent)


class _VersionsHandler(common.Handler):
    def initialize(self, store: WeightStore) -> None:
        self.store = store

    def get(self) -> None:
        self.reply(sorted(self.store.manifests))

    def put(self) -> None:
        body = self.json()
        chunk_bytes = body.get('chunk_bytes', SLICE_BYTES)
        digest = self.store.add(body['name'], body['size'], chunk_bytes)
        self.reply({'manifest': digest})


def routes(store: WeightStore) -> list[typing.Any]:
    """Return the routes of the stand-in."""
    return [
        (r'/manifests/(\w+)', _ItemHandler, {'store': store, 'items': store.manifests}),
        (r'/chunks/(\w+)', _ItemHandler, {'store': store, 'items': store.chunks}),
        (r'/standin/versions', _VersionsHandler, {'store': store}),
        (r'/standin/bytes', common.JsonRead, {'read': store.tally}),
        *common.fault_routes(store.faults),
    ]


def main() -> None:
    """Run the stand-in."""
    args = common.arguments('weight store', bytes_per_s=4_000_000.0)
    common.run(lambda: routes(WeightStore(args.bytes_per_s)), args.listen)


if __name__ == '__main__':
    main()
