"""HTTP headers that pass through a hop, and those that end at it."""

from collections.abc import Iterable

__all__ = ('filter_forwarded',)

HeaderPairs = tuple[tuple[str, str], ...]

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    )
)
_OURS = frozenset(
    (
        'authorization',
        'idempotency-key',
        'traceparent',
        'request-deadline-ms',
        'work-kind',
    )
)


def filter_forwarded(pairs: Iterable[tuple[str, str]], *, inbound: bool) -> HeaderPairs:
    """Return the headers to pass on.

    Hop-by-hop headers stay behind, and those that `Connection` names; on the
    way in also the ones that are for this system.
    """
    listed = list(pairs)
    named = {
        token.strip().lower()
        for name, value in listed
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = _HOP_BY_HOP | named | (_OURS if inbound else frozenset())
    return tuple(pair for pair in listed if pair[0].lower() not in dropped)
