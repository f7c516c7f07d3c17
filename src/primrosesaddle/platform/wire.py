"""Headers of requests and answers between entry and server, in the platform's form."""

import math
import re
from collections.abc import Sequence

from tornado import httputil

from primrosesaddle.calls import attempts, placement, request
from primrosesaddle.net import upstream
from primrosesaddle.platform import names

__all__ = ('answers', 'is_leaving', 'read_cold_s', 'read_head', 'request_headers')

_MS = 1000
MIN_DEADLINE_MS = 1
_COUNT = re.compile('[0-9]{1,9}')
_SLOWDOWN_INDEX = 3  # in the load header, after running, waiting and slots
_NO_SLOWDOWN = 100  # stated by a machine on which work takes as long as usual
REFUSAL_STATUSES = frozenset((429, 503))
# Callers take these for a promise that the request did not run. A server keeps that
# promise only where it says so in a header; 421 always does.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def request_headers(
    call: request.Call,
    choice: placement.Choice,
    remaining_s: float,
    resume_from: int,
    expect_version: int,
) -> list[tuple[str, str]]:
    """Return the headers of an attempt at a server.

    `remaining_s` is the time that remains for the call in seconds. `resume_from` is the
    last event that was received of a stream and `expect_version` the version that
    must answer; 0 omits either header.
    """
    headers = list(call.headers)
    if resume_from:
        headers = [pair for pair in headers if pair[0] != names.LAST_EVENT_ID_HEADER]
        headers.append((names.LAST_EVENT_ID_HEADER, str(resume_from)))
    remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * _MS))
    headers.append((names.DEADLINE_MS_HEADER, str(remaining_ms)))
    headers.append((names.EXPECT_INSTANCE_HEADER, choice.backend.server_id))
    if call.workspace:
        # Header lines are sent as Latin-1; names of workspaces are UTF-8.
        workspace = call.workspace.encode().decode('latin1')
        headers.append((names.TENANT_HEADER, workspace))
    if call.model:
        headers.append((names.PRIORITY_HEADER, str(call.rank)))
    if choice.chain:
        headers.append((names.CHAIN_HEADER, _format_chain(choice.chain)))
    if expect_version:
        headers.append((names.EXPECT_VERSION_HEADER, str(expect_version)))
    return headers


def read_head(head: upstream.Head) -> attempts.AnswerHead:
    """Decode the status and headers of an answer."""
    headers = head.headers
    pairs = tuple(
        (name, text)
        for name, text in headers.get_all()
        if name.lower() not in names.HEADERS_NOT_RETURNED
    )
    return attempts.AnswerHead(
        head.status,
        head.reason,
        pairs,
        signed=names.SEAL_HEADER in headers,
        not_run=names.NOT_EXECUTED_HEADER in headers or head.status == 421,
        load=_parse_load(headers.get(names.SERVER_LOAD_HEADER, '')),
        slowdown=_parse_slowdown(headers.get(names.SERVER_LOAD_HEADER, '')),
        at_fault=headers.get(names.AT_FAULT_HEADER, ''),
        leaving=is_leaving(headers),
        quiet_s=_parse_quiet_s(headers) if head.status in REFUSAL_STATUSES else 0.0,
        ends_at_close=head.ends_at_close,
        promises_not_run=head.status in NOT_RUN_STATUSES,
    )


def is_leaving(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the server that sent these headers says that it is leaving."""
    return headers.get(names.SERVER_LEAVING_HEADER, '').strip() == '1'


def read_cold_s(headers: httputil.HTTPHeaders) -> float:
    """Return for how many seconds a server says that it stays cold, 0 if it does not.

    An unreadable time counts as none.
    """
    try:
        stated_s = float(headers.get(names.COLD_MS_HEADER, '0')) / _MS
    except ValueError:
        return 0.0
    return max(0.0, stated_s) if math.isfinite(stated_s) else 0.0


def answers(
    call: request.Call, headers: httputil.HTTPHeaders, *, is_first: bool
) -> bool:
    """Return whether an answer belongs to a call: it has the call's id.

    An answer without an id belongs to the first call of a connection, for which
    `is_first` is set. Later it may be a copy of an earlier answer.
    """
    stated = headers.get(names.ATTEMPT_ID_HEADER)
    return is_first if stated is None else stated == call.call_id


def _format_chain(stops: Sequence[placement.ChainMember]) -> str:
    return ','.join(
        f'{stop.backend.record.address}={stop.first}-{stop.end}' for stop in stops
    )


def _parse_quiet_s(headers: httputil.HTTPHeaders) -> float:
    """Return the longest time for which a server wants no requests, in seconds.

    Returns 0 for none or one in the past, NaN when no stated time is readable.
    """
    stated = headers.get(names.RETRY_AFTER_HEADER)
    if stated is None:
        return 0.0
    readable = [
        seconds for seconds in map(_parse_seconds, stated.split(',')) if seconds >= 0
    ]
    return max(readable, default=math.nan)


def _parse_seconds(text: str) -> float:
    """Return a number of seconds, 0 if negative, NaN if unreadable as a date is."""
    try:
        seconds = float(text)
    except ValueError:
        return math.nan
    return 0.0 if seconds < 0 else seconds


def _parse_load(text: str) -> int | None:
    """Return the running plus waiting requests, or None when they are not reported."""
    parts = [part.strip() for part in text.split(',')[:2]]
    if len(parts) < 2 or not all(_COUNT.fullmatch(part) for part in parts):
        return None
    return int(parts[0]) + int(parts[1])


def _parse_slowdown(text: str) -> float | None:
    """Return how many times longer work takes now than usual, None if not stated."""
    parts = [part.strip() for part in text.split(',')]
    if len(parts) <= _SLOWDOWN_INDEX or not _COUNT.fullmatch(parts[_SLOWDOWN_INDEX]):
        return None
    return int(parts[_SLOWDOWN_INDEX]) / _NO_SLOWDOWN or None
