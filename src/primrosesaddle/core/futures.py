"""Futures that nobody awaits."""

import asyncio
import typing

__all__ = ('retrieve',)


def retrieve(fut: 'asyncio.Future[typing.Any]') -> None:
    """Mark the failure of a future as seen, where another path reports it."""
    if not fut.cancelled():
        fut.exception()
