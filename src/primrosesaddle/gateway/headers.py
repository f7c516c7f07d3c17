"""HTTP headers that are forwarded, and those that apply to one hop only."""

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
_PRODUCT_HEADERS = frozenset(
    (
        'authorization',
        'idempotency-key',
        'traceparent',
        'request-deadline-ms',
        'work-kind',
    )
)


def filter_forwarded(pairs: Iterable[tuple[str, str]], *, inbound: bool) -> HeaderPairs:
    """Return the headers that are forwarded.

    Hop-by-hop headers and those that `Connection` names are dropped; from inbound
    requests also the headers that are meant for this system.
    """
    all_pairs = list(pairs)
    connection_headers = {
        token.strip().lower()
        for name, value in all_pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = (
        _HOP_BY_HOP
        | connection_headers
        | (_PRODUCT_HEADERS if inbound else frozenset())
    )
    return tuple(pair for pair in all_pairs if pair[0].lower() not in dropped)
