"""Crash watch: finds servers that end under calls, and keeps such calls from others.

A server that closes a connection early in an answer may have ended. Whether it has is
known from the next connection to it: an address of which the process is gone refuses.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from primrosesaddle.calls import (
    attempts,
    backends,
    crashes,
    evidence,
    notices,
    refusals,
    request,
)
from primrosesaddle.core import verdict
from primrosesaddle.net import pool, upstream
from primrosesaddle.telemetry import journal, metrics

__all__ = ('CrashWatch',)

# A server that ends because of a prompt does so as it begins to write. One that ends
# later, after this many events, ended for another reason.
EARLY_EVENTS = 4
# A process may close its connections just before its listening socket, so that a
# connection that was opened is looked at again after this long.
RECHECK_S = 0.3
MAX_ENDED = 256  # starts of servers of which the end is remembered, the newest

Spawn = Callable[[Coroutine[Any, Any, None], str], None]


@dataclasses.dataclass(slots=True)
class _Check:
    """What ran on a server of which it is not known yet whether it has ended.

    `answered` holds the parts of answers that are complete if it has not, `began_at`
    when the first connection was closed.
    """

    began_at: float
    parts: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)


class CrashWatch:
    """The crashes that this entry sees, and the calls that it does not send for them.

    The functions in `crash_listeners` are called with a server that has ended, when
    other entries have to be told, those in `answer_listeners` with the parts that an
    answer has cleared.
    """

    def __init__(
        self,
        history: crashes.CrashHistory,
        known_backends: backends.Backends,
        connections: pool.Pool,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        spawn: Spawn,
    ) -> None:
        """Create a watch over a history. `spawn` runs a task with a name."""
        self._history = history
        self._backends = known_backends
        self._connections = connections
        self._counts = counts
        self._clock = clock
        self._spawn = spawn
        self._checks: dict[notices.Incarnation, _Check] = {}
        self._ended_at: dict[notices.Incarnation, float] = {}
        self.crash_listeners: list[Callable[[notices.Incarnation], None]] = []
        self.answer_listeners: list[Callable[[tuple[str, ...]], None]] = []
        counts.gauge('blocked_parts', lambda: history.block_count)

    def get_block(self, call: request.Call) -> crashes.Block | None:
        """Return why a call is not to be sent, None if it may be."""
        if call.is_trial or not call.parts:
            return None
        return self._history.get_block(call.parts)

    def check_may_wait(self, call: request.Call) -> None:
        """Raise `verdict.Refusal` if a call, which may have to wait, is blocked."""
        block = self.get_block(call)
        if block is not None:
            raise self._refuse(block)

    def check_may_send(self, call: request.Call) -> None:
        """Raise `verdict.Refusal` if a call, which is sent at once, is blocked.

        A call that is let pass although one of its parts is blocked is a trial.
        """
        if call.is_trial or not call.parts:
            return
        block = self._history.find_block(call.parts)
        if block is not None:
            raise self._refuse(block)
        if self._history.get_block(call.parts) is not None:
            call.is_trial = True
            self._counts.count('part_trials')

    def is_withheld(self, call: request.Call, backend: backends.Backend) -> bool:
        """Return whether a call that may end a server is kept from it for now.

        It is until the server has worked on other calls since its start, which tells
        whether the call or the server is at fault.
        """
        if call.is_trial or not call.parts:
            return False
        is_withheld = self._history.awaits_work(call.parts, backend.incarnation)
        if is_withheld:
            self._counts.count('calls_withheld')
        return is_withheld

    def check_may_repeat(self, call: request.Call) -> None:
        """Raise `verdict.Refusal` if a repeat of a call may end one more server.

        Servers that end at one moment, as in a power loss, do not end because of calls.
        """
        self.check_may_wait(call)
        if call.was_cut_off and self._history.is_suspect(call.parts, evidence.MOMENT_S):
            self._counts.count('suspect_calls_not_repeated')
            raise refusals.refuse_unanswered_call('suspect_part')

    def record_ending(self, attempt: attempts.Attempt, ended_by_server: bool) -> None:
        """Record how an attempt ended.

        An early end by the server has it checked whether the server has ended. Any
        other complete answer shows that its parts are sound.
        """
        parts = attempt.call.parts
        if not parts:
            return
        is_complete = attempt.is_complete and _is_success(attempt)
        is_early = attempt.splitter.event_count < EARLY_EVENTS
        if not is_early or (is_complete and not ended_by_server):
            self._record_working(attempt.choice.backend.incarnation)
        if ended_by_server and is_early:
            self._suspect(attempt.choice.backend, parts, is_complete=is_complete)
            if not is_complete:
                attempt.call.was_cut_off = True
                for member in attempt.choice.chain[1:]:
                    self._suspect(member.backend, parts, is_complete=False)
        elif is_complete:
            self._record_sound(parts, 0.0)

    def _refuse(self, block: crashes.Block) -> verdict.Refusal:
        self._counts.count('calls_refused_for_part')
        journal.info(
            'part.refused',
            part=block.part,
            count=block.crash_count,
            age_s=round(block.age_s, 2),
            source=block.source,
            retry_in_s=round(block.retry_in_s, 2),
        )
        return refusals.refuse_blocked_call(block)

    def _suspect(
        self, backend: backends.Backend, parts: tuple[str, ...], *, is_complete: bool
    ) -> None:
        """Add the parts of a call that was cut off, and check on its server."""
        incarnation = backend.incarnation
        if incarnation in self._ended_at:
            self._record_crash(incarnation, parts)
            return
        if backend.is_removed or self._backends.is_leaving(incarnation):
            return
        check = self._checks.get(incarnation)
        if check is None:
            check = _Check(self._clock())
            self._checks[incarnation] = check
            self._spawn(self._check(backend, check), 'crash check')
        check.parts.update(parts)
        if is_complete:
            check.answered.update(parts)

    async def _check(self, backend: backends.Backend, check: _Check) -> None:
        incarnation = backend.incarnation
        try:
            reason = await self._find_end(backend)
        finally:
            self._checks.pop(incarnation)
        age_s = self._clock() - check.began_at
        if not reason:
            self._record_sound(tuple(check.answered), age_s)
            return
        if self._backends.is_leaving(incarnation):
            return
        journal.warning(
            'server.ended',
            server=backend.server_id,
            why=reason,
            parts=','.join(sorted(check.parts)),
            age_s=round(age_s, 3),
        )
        self._counts.count('confirmed_crashes')
        self._ended_at[incarnation] = check.began_at
        while len(self._ended_at) > MAX_ENDED:
            self._ended_at.pop(next(iter(self._ended_at)))
        self._record_crash(incarnation, tuple(check.parts))

    async def _find_end(self, backend: backends.Backend) -> str:
        """Return how it is known that a server has ended, empty if it is not known."""
        address = backend.record.address
        conn = None
        try:
            conn = await upstream.dial(address)
            await asyncio.sleep(RECHECK_S)
            if not conn.is_reusable:
                conn.close()
                conn = await upstream.dial(address)
        except upstream.Refused as exc:
            return str(exc)
        except upstream.Unreachable as exc:
            journal.info('server.unproven', server=backend.server_id, why=str(exc))
        except asyncio.CancelledError:
            if conn is not None:
                conn.close()
            raise
        reason = self._backends.describe_end(backend)
        if conn is not None:
            self._keep(backend, conn, is_usable=not reason)
        return reason

    def _keep(
        self, backend: backends.Backend, conn: upstream.Connection, *, is_usable: bool
    ) -> None:
        """Keep a connection for the next call, unless its server is gone or leaving."""
        if is_usable and not backend.is_removed:
            self._connections.release(backend.server_id, conn)
        else:
            conn.close()

    def _record_crash(
        self, incarnation: notices.Incarnation, parts: tuple[str, ...]
    ) -> None:
        age_s = self._clock() - self._ended_at[incarnation]
        if self._history.record_crash(incarnation, parts, age_s):
            self._tell_crash(incarnation)

    def _record_working(self, incarnation: notices.Incarnation) -> None:
        if self._history.record_working(incarnation):
            self._tell_crash(incarnation)

    def _tell_crash(self, incarnation: notices.Incarnation) -> None:
        for listener in self.crash_listeners:
            listener(incarnation)

    def _record_sound(self, parts: tuple[str, ...], age_s: float) -> None:
        cleared = self._history.record_sound(parts, age_s)
        if cleared:
            for listener in self.answer_listeners:
                listener(cleared)


def _is_success(attempt: attempts.Attempt) -> bool:
    head = attempt.head
    return head is not None and head.signed and 200 <= head.status < 300
