"""The origin of weights: digests and pieces of each version."""

import msgspec

from primrosesaddle.net import call
from primrosesaddle.platform import names
from primrosesaddle.staging import pieces

__all__ = ('OriginClient',)

DIGESTS_TIMEOUT_S = 2.0
# Agents may ask for the same piece at once over a link of a few Mbit/s.
PIECE_TIMEOUT_S = 4.0


class _Manifest(msgspec.Struct):
    digests: list[str]
    layers: int = 0


class OriginClient:
    """Calls to the origin."""

    def __init__(self, address: str) -> None:
        """Prepare calls to an IP:PORT address."""
        self.address = address
        self._client = call.Client(address)

    async def read_digests(self, version: pieces.Version) -> pieces.Digests:
        """Read the digests of a version's pieces.

        Raises `call.CallFailed`.
        """
        target = f'{names.MANIFEST_PATH}/{version.model}?version={version.number}'
        answer = await self._client.call('GET', target, DIGESTS_TIMEOUT_S)
        _expect(answer, target)
        try:
            found = msgspec.json.decode(answer.body, type=_Manifest)
        except msgspec.MsgspecError as exc:
            raise call.CallFailed(f'{target}: {exc}') from None
        return pieces.Digests(version, tuple(found.digests), found.layers)

    async def read_piece(self, version: pieces.Version, index: int) -> bytes:
        """Read a piece; it may come spoilt.

        Raises `call.CallFailed`.
        """
        query = f'{names.PIECE_INDEX_PARAMETER}={index}&version={version.number}'
        target = f'{names.PIECE_PATH}/{version.model}?{query}'
        answer = await self._client.call('GET', target, PIECE_TIMEOUT_S)
        _expect(answer, target)
        return answer.body


def _expect(answer: call.Answer, target: str) -> None:
    if answer.status != 200:
        raise call.CallFailed(f'{target}: status {answer.status}')
