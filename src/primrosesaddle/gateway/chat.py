"""Chat completions on the engine beside an agent."""

import asyncio
import time
import typing
from collections.abc import Callable

import msgspec

from primrosesaddle.core import httpio, verdict
from primrosesaddle.gateway import answers, scheduler
from primrosesaddle.membership import wire
from primrosesaddle.weights import engine

__all__ = ('ChatRunner',)

LATE_GRACE_S = 0.5


class ChatRunner:
    """Run calls on an engine, one whole version to each answer."""

    def __init__(self, url: str, live: Callable[[], dict[str, str]]) -> None:
        """Create the runner.

        `live` returns the manifest digests that the engine's read-back confirms,
        by the name that callers use.
        """
        self._url = url
        self._live = live
        self.outcome_listeners: list[Callable[[str, bool], None]] = []

    async def run(self, work: scheduler.ScheduledCall) -> None:
        """Run a call to the end of its answer.

        Raises `Refusal` when there is no whole answer.
        """
        call = work.call
        version = self._live().get(call.target, '')
        if not version or call.version not in {'', version}:
            raise verdict.not_run('version_not_live')
        work.version = version
        check = answers.AnswerValidator(call.call_id, version, call.resume_tokens)
        try:
            await self._relay(work, check)
        except (answers.AnswerFault, httpio.HttpFailure) as exc:
            self._tell(version, answered=False)
            raise self._refusal(work, exc) from None
        self._tell(version, answered=True)
        work.cost = check.prompt_tokens + check.tokens - call.resume_tokens

    async def stop(self, work: scheduler.ScheduledCall) -> None:
        """Cancel a running call down to the engine."""
        await engine.cancel(self._url, work.call.call_id)

    async def _relay(
        self, work: scheduler.ScheduledCall, check: answers.AnswerValidator
    ) -> None:
        sink = _Sink(work, check)
        pump = asyncio.create_task(work.sender.send_queued())
        try:
            await self._generate(work, check, sink)
            work.sender.finish()
            await pump
        finally:
            pump.cancel()
        work.sender.reply(wire.AnswerEnd(work.sender.size, check.tokens))

    async def _generate(
        self,
        work: scheduler.ScheduledCall,
        check: answers.AnswerValidator,
        sink: '_Sink',
    ) -> None:
        status = await engine.chat(self._url, self._order(work), sink.take)
        if not engine.is_accepted(status):
            raise self._engine_refusal(status, sink.rest)
        if sink.fault is not None:
            raise sink.fault
        check.close()
        if not work.call.stream:
            work.sender.write(_whole(work, check), check.tokens)

    def _order(self, work: scheduler.ScheduledCall) -> engine.ChatRequest:
        call = work.call
        return engine.ChatRequest(
            call.call_id,
            call.rank,
            work.version,
            call.body,
            max(work.remaining_s, 0.05) + LATE_GRACE_S,
            call.resume_tokens,
            work.traceparent,
        )

    def _engine_refusal(self, status: int, body: bytes) -> verdict.Refusal:
        if status in {400, 404, 422}:
            reason = body[:200].decode(errors='replace')
            return verdict.not_run(f'engine_refused: {reason}', status)
        return verdict.not_run(f'engine_status_{status}', 503, 0.5)

    def _refusal(
        self, work: scheduler.ScheduledCall, exc: Exception
    ) -> verdict.Refusal:
        if isinstance(exc, httpio.HttpFailure):
            if not exc.sent:
                return verdict.not_run('engine_unreachable')
            return verdict.may_have_run('engine_gave_no_whole_answer')
        if work.cancelled:
            return verdict.may_have_run('cancelled', 499)
        return verdict.may_have_run(str(exc))

    def _tell(self, version: str, *, answered: bool) -> None:
        for listener in self.outcome_listeners:
            listener(version, answered)


class _Sink:
    """Take an engine's bytes, and hand on what the check lets through."""

    def __init__(
        self, work: scheduler.ScheduledCall, check: answers.AnswerValidator
    ) -> None:
        self._work = work
        self._check = check
        self._headed = False
        self.rest = b''
        self.fault: answers.AnswerFault | None = None

    def take(self, received: bytes) -> typing.Any:
        if self.fault is not None:
            return None
        if not self._headed and not received.startswith(b'data:'):
            self.rest += received[:1024]
            if not self.rest.startswith(b'data:'):
                return None
        try:
            events, tokens = self._check.feed(received)
        except answers.AnswerFault as exc:
            self.fault = exc
            return None
        if events:
            self._head()
            if self._work.call.stream:
                self._work.sender.write(self._rename(events), tokens)
        return self._work.sender.wait_until_drained()

    def _rename(self, events: bytes) -> bytes:
        call_id = self._work.call.call_id
        return events.replace(call_id.encode(), base_id(call_id).encode())

    def _head(self) -> None:
        if not self._headed:
            self._headed = True
            self._work.sender.reply(
                wire.AnswerHead(200, self._work.version, self._work.call.revision, ()),
            )


def base_id(attempt: str) -> str:
    """Return the call that an attempt belongs to."""
    return attempt.rpartition('.')[0] or attempt


def _whole(work: scheduler.ScheduledCall, check: answers.AnswerValidator) -> bytes:
    usage = {
        'prompt_tokens': check.prompt_tokens,
        'completion_tokens': check.tokens,
        'total_tokens': check.prompt_tokens + check.tokens,
    }
    message = {'role': 'assistant', 'content': ''.join(check.text)}
    return msgspec.json.encode(
        {
            'id': base_id(work.call.call_id),
            'object': 'chat.completion',
            'created': int(time.time()),
            'model': work.call.target,
            'system_fingerprint': work.version,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': check.finish_reason,
                }
            ],
            'usage': usage,
        }
    )
