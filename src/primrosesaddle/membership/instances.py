"""The platform's list of live and leaving instances, over HTTP; it may lag."""

import typing

import msgspec

from primrosesaddle.core import httpio

__all__ = ('Instance', 'fetch_instances')


class Instance(msgspec.Struct, frozen=True):
    """One listed instance; `address` is the IP:PORT for its peers."""

    name: str
    role: typing.Literal['entry', 'agent']
    address: str
    region: str
    data_centre: str
    state: typing.Literal['live', 'leaving'] = 'live'
    serves: str = ''


class _Listing(msgspec.Struct, frozen=True):
    instances: tuple[Instance, ...]


async def fetch_instances(url: str, timeout_s: float = 2.0) -> tuple[Instance, ...]:
    """Return the instances listed at a URL.

    Raises `HttpFailure` if the service fails or the list is malformed.
    """
    raw = await httpio.fetch_json(url, timeout_s=timeout_s)
    try:
        return msgspec.convert(raw, _Listing).instances
    except msgspec.ValidationError as exc:
        raise httpio.HttpFailure(f'malformed list: {exc}', sent=True) from None
