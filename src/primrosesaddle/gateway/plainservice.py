"""Calls to a plain service over HTTP."""

from primrosesaddle.core import httpio, verdict
from primrosesaddle.gateway import atmostonce, headers

__all__ = ('call_service',)


async def call_service(
    url: str,
    method: str,
    path: str,
    header_pairs: headers.HeaderPairs,
    body: bytes,
    timeout_s: float,
) -> atmostonce.ServiceAnswer:
    """Call a service and return its complete answer.

    Raises `Refusal`: `not_run` if the call was not sent, else `may_have_run`.
    """
    has_body = bool(body) or method in {'POST', 'PUT', 'PATCH'}
    try:
        answer = await httpio.fetch(
            f'{url}/{path}',
            method,
            body if has_body else None,
            timeout_s,
            headers=httpio.make_headers(header_pairs),
        )
    except httpio.HttpFailure as exc:
        if exc.sent:
            raise verdict.may_have_run('no_answer_from_server') from None
        raise verdict.not_run('server_unreachable', 503, 1) from None
    if answer.code == httpio.NO_ANSWER:
        raise verdict.may_have_run('no_answer_from_server')
    answer_headers = headers.filter_forwarded(answer.headers.get_all(), inbound=False)
    return atmostonce.ServiceAnswer(answer.code, answer_headers, answer.body)
