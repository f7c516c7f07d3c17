"""Client of the origin, which holds the digests and pieces of every version."""

import msgspec

from primrosesaddle.net import call
from primrosesaddle.platform import jsonbody, names
from primrosesaddle.staging import pieces

__all__ = ('OriginClient',)

DIGESTS_TIMEOUT_S = 2.0
# Several agents may read the same piece at once over a link of a few Mbit/s.
PIECE_TIMEOUT_S = 4.0


class _Manifest(msgspec.Struct):
    digests: list[str]
    layers: int = 0
    model: str | None = None
    version: int | None = None


_MANIFEST = msgspec.json.Decoder(_Manifest)


class OriginClient:
    """Calls to the origin of weights."""

    def __init__(self, address: str) -> None:
        """Create a client of the origin at an IP:PORT address."""
        self.address = address
        self._client = call.Client(address)

    async def read_digests(self, version: pieces.Version) -> pieces.Digests:
        """Return the digests of a version's pieces.

        Raises `call.CallFailed` when the read fails or the answer is malformed.
        """
        target = f'{names.MANIFEST_PATH}/{version.model}?version={version.number}'
        answer = await self._client.call('GET', target, DIGESTS_TIMEOUT_S)
        _check_status(answer, target)
        manifest = jsonbody.decode_answer(answer.body, _MANIFEST, target)
        is_of_model = manifest.model in {None, version.model}
        if not is_of_model or manifest.version not in {None, version.number}:
            raise call.CallFailed(
                f'{target}: manifest of {manifest.model}@{manifest.version}'
            )
        return pieces.Digests(version, tuple(manifest.digests), manifest.layers)

    async def read_piece(self, version: pieces.Version, index: int) -> bytes:
        """Return a piece, which may be corrupt: the caller checks its digest.

        Raises `call.CallFailed` when the read fails.
        """
        query = f'{names.PIECE_INDEX_PARAMETER}={index}&version={version.number}'
        target = f'{names.PIECE_PATH}/{version.model}?{query}'
        answer = await self._client.call('GET', target, PIECE_TIMEOUT_S)
        _check_status(answer, target)
        return answer.body


def _check_status(answer: call.Answer, target: str) -> None:
    """Raise `call.CallFailed` unless the answer's status is 200."""
    if answer.status != 200:
        raise call.CallFailed(f'{target}: status {answer.status}')
