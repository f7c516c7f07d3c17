"""Decoding of JSON bodies of the platform's store, engines and origin."""

import typing

import msgspec

from primrosesaddle.net import call

__all__ = ('decode_answer', 'decode_body')

_Message = typing.TypeVar('_Message')


def decode_body(body: bytes, decoder: 'msgspec.json.Decoder[_Message]') -> _Message:
    """Return the message in a JSON body.

    Raises `msgspec.MsgspecError` or `ValueError` when it is malformed.
    """
    try:
        return decoder.decode(body)
    except RecursionError:
        raise ValueError('the body is nested too deeply') from None


def decode_answer(
    body: bytes, decoder: 'msgspec.json.Decoder[_Message]', target: str
) -> _Message:
    """Return the message in the body of an answer.

    Raises `call.CallFailed`, which names the target of the call, when it is malformed.
    """
    try:
        return decode_body(body, decoder)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise call.CallFailed(f'{target}: {exc}') from None
