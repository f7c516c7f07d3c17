"""Chat completions on the engine of an agent."""

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

ENGINE_TIMEOUT_GRACE_S = 0.5


class ChatRunner:
    """Run calls on an engine; every answer comes from one model version."""

    def __init__(
        self, url: str, get_live_versions: Callable[[], dict[str, str]]
    ) -> None:
        """Create a runner for the engine at `url`.

        `get_live_versions` returns the digests of the manifests that the engine
        reports as loaded, by the model name that callers use. Each function in
        `outcome_listeners` is called with the version of a call that ended and
        whether it was answered.
        """
        self._url = url
        self._get_live_versions = get_live_versions
        self.outcome_listeners: list[Callable[[str, bool], None]] = []

    async def run_call(self, scheduled: scheduler.ScheduledCall) -> None:
        """Run a call and send its answer.

        Raises `Refusal` when there is no complete answer.
        """
        call = scheduled.call
        version = self._get_live_versions().get(call.target, '')
        if not version or call.version not in {'', version}:
            raise verdict.not_run('version_not_live')
        scheduled.version = version
        validator = answers.AnswerValidator(call.call_id, version, call.resume_tokens)
        try:
            await self._relay(scheduled, validator)
        except (answers.AnswerFault, httpio.HttpFailure) as exc:
            self._notify_outcome(version, answered=False)
            raise self._refusal_of(scheduled, exc) from None
        self._notify_outcome(version, answered=True)
        scheduled.cost = validator.prompt_tokens + validator.tokens - call.resume_tokens

    async def cancel_call(self, scheduled: scheduler.ScheduledCall) -> None:
        """Cancel a running call at the engine."""
        await engine.cancel(self._url, scheduled.call.call_id)

    async def _relay(
        self, scheduled: scheduler.ScheduledCall, validator: answers.AnswerValidator
    ) -> None:
        sink = _EngineSink(scheduled, validator)
        send_task = asyncio.create_task(scheduled.sender.send_queued())
        try:
            await self._generate(scheduled, validator, sink)
            scheduled.sender.finish()
            await send_task
        finally:
            send_task.cancel()
        scheduled.sender.reply(wire.AnswerEnd(scheduled.sender.size, validator.tokens))

    async def _generate(
        self,
        scheduled: scheduler.ScheduledCall,
        validator: answers.AnswerValidator,
        sink: '_EngineSink',
    ) -> None:
        status = await engine.chat(self._url, self._make_order(scheduled), sink.receive)
        if not engine.is_accepted(status):
            raise self._engine_refusal_of(status, sink.error_body)
        if sink.fault is not None:
            raise sink.fault
        validator.check_complete()
        if not scheduled.call.stream:
            scheduled.sender.write(
                _completion_body(scheduled, validator), validator.tokens
            )

    def _make_order(self, scheduled: scheduler.ScheduledCall) -> engine.ChatRequest:
        call = scheduled.call
        return engine.ChatRequest(
            call.call_id,
            call.rank,
            scheduled.version,
            call.body,
            max(scheduled.remaining_s, 0.05) + ENGINE_TIMEOUT_GRACE_S,
            call.resume_tokens,
            scheduled.traceparent,
        )

    def _engine_refusal_of(self, status: int, body: bytes) -> verdict.Refusal:
        """Return the refusal for an error status of the engine.

        It promises that the call did not run only for the statuses with which an
        engine refuses a call before it begins.
        """
        if status in {400, 404, 422}:
            reason = body[:200].decode(errors='replace')
            return verdict.not_run(f'engine_refused: {reason}', status)
        if status == 409:
            return verdict.not_run(f'engine_status_{status}', 503, 0.5)
        return verdict.may_have_run(f'engine_status_{status}')

    def _refusal_of(
        self, scheduled: scheduler.ScheduledCall, exc: Exception
    ) -> verdict.Refusal:
        if isinstance(exc, httpio.HttpFailure):
            if not exc.sent:
                return verdict.not_run('engine_unreachable')
            return verdict.may_have_run('engine_gave_no_whole_answer')
        if scheduled.cancelled:
            return verdict.may_have_run('cancelled', 499)
        return verdict.may_have_run(str(exc))

    def _notify_outcome(self, version: str, *, answered: bool) -> None:
        """Call the outcome listeners."""
        for listener in self.outcome_listeners:
            listener(version, answered)


class _EngineSink:
    """Validate the bytes of an engine and forward the valid events.

    `error_body` is the start of an answer that is not an event stream, `fault` the
    first fault of one that is.
    """

    def __init__(
        self, scheduled: scheduler.ScheduledCall, validator: answers.AnswerValidator
    ) -> None:
        self._scheduled = scheduled
        self._validator = validator
        self._head_sent = False
        self.error_body = b''
        self.fault: answers.AnswerFault | None = None

    def receive(self, received: bytes) -> typing.Any:
        """Process bytes of the engine; return an awaitable that limits the rate."""
        if self.fault is not None:
            return None
        if not self._head_sent and not received.startswith(b'data:'):
            self.error_body += received[:1024]
            if not self.error_body.startswith(b'data:'):
                return None
        try:
            events, tokens = self._validator.feed(received)
        except answers.AnswerFault as exc:
            self.fault = exc
            return None
        if events:
            self._send_head()
            if self._scheduled.call.stream:
                self._scheduled.sender.write(self._replace_attempt_id(events), tokens)
        return self._scheduled.sender.wait_until_drained()

    def _replace_attempt_id(self, events: bytes) -> bytes:
        """Replace the id of the attempt by that of the call, which callers know."""
        call_id = self._scheduled.call.call_id
        return events.replace(call_id.encode(), call_id_of(call_id).encode())

    def _send_head(self) -> None:
        if not self._head_sent:
            self._head_sent = True
            self._scheduled.sender.reply(
                wire.AnswerHead(
                    200, self._scheduled.version, self._scheduled.call.revision, ()
                ),
            )


def call_id_of(attempt: str) -> str:
    """Return the id of the call that an attempt belongs to."""
    return attempt.rpartition('.')[0] or attempt


def _completion_body(
    scheduled: scheduler.ScheduledCall, validator: answers.AnswerValidator
) -> bytes:
    usage = {
        'prompt_tokens': validator.prompt_tokens,
        'completion_tokens': validator.tokens,
        'total_tokens': validator.prompt_tokens + validator.tokens,
    }
    message = {'role': 'assistant', 'content': ''.join(validator.text)}
    return msgspec.json.encode(
        {
            'id': call_id_of(scheduled.call.call_id),
            'object': 'chat.completion',
            'created': int(time.time()),
            'model': scheduled.call.target,
            'system_fingerprint': scheduled.version,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': validator.finish_reason,
                }
            ],
            'usage': usage,
        }
    )
