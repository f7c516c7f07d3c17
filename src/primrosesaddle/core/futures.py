"""Handling of futures that are not awaited."""

import asyncio
import typing

__all__ = ('retrieve_exception',)


def retrieve_exception(fut: 'asyncio.Future[typing.Any]') -> None:
    """Retrieve the exception of a completed future, so that asyncio does not log it.

    It is for futures whose failure is reported elsewhere.
    """
    if not fut.cancelled():
        fut.exception()
