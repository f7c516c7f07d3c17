"""Weights: the true pieces of each version, and the origin that hands them out."""

import collections
import functools
import hashlib
import random
from collections.abc import Callable

from standins import http

MODEL = 'daka510000'
OTHER_MODEL = 'rofi220000'
LAYERS = 16
PIECES = 64
PIECE_BYTES = 32768


@functools.cache
def make_piece(model: str, version: int, index: int) -> bytes:
    """Return the true bytes of a piece."""
    return random.Random(f'{model} {version} {index}').randbytes(PIECE_BYTES)


@functools.cache
def digest(model: str, version: int, index: int) -> str:
    """Return the true digest of a piece."""
    return hashlib.sha256(make_piece(model, version, index)).hexdigest()


def pieces_of(layer: int) -> range:
    """Return the indexes of the pieces that a layer requires."""
    return range(layer * PIECES // LAYERS, -(-(layer + 1) * PIECES // LAYERS))


class Origin:
    """The service with the origin of weights.

    `newest` holds the newest version of each model; `manifests_sent` and `pieces_sent`
    count answers.
    `garble` may change the bytes of a manifest on their way.
    """

    def __init__(self) -> None:
        """Create an origin on a free address."""
        self.address = http.free_address()
        self.newest = {MODEL: 1, OTHER_MODEL: 1}
        self.manifests_sent: collections.Counter[str] = collections.Counter()
        self.pieces_sent = 0
        self.garble: Callable[[int, bytes], bytes] = _keep

    async def start(self) -> None:
        """Serve manifests and pieces."""
        await http.serve(self._handle, self.address)

    async def _handle(self, req: http.Request) -> None:
        *_, kind, model = req.path.split('/')
        newest = self.newest.get(model, 0)
        version = int(req.query.get('version', newest))
        if version < newest - 1 or version > newest:
            req.send(410)
        elif kind == 'manifest':
            self._send_manifest(req, model, version)
        else:
            self.pieces_sent += 1
            req.send(200, make_piece(model, version, int(req.query['sampleCount'])))

    def _send_manifest(self, req: http.Request, model: str, version: int) -> None:
        digests = ','.join(
            f'"{digest(model, version, index)}"' for index in range(PIECES)
        )
        text = (
            f'{{"model":"{model}","version":{version},"chunkBytes":{PIECE_BYTES},'
            f'"layers":{LAYERS},"digests":[{digests}]}}'
        )
        self.manifests_sent[f'{model}@{version}'] += 1
        body = self.garble(version, text.encode())
        req.send(200, body, [('Content-Type', 'application/json')])


def _keep(version: int, body: bytes) -> bytes:
    return body
