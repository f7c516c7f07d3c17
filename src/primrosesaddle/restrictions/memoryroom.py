"""Memory room: keeps the tokens in flight at an engine under what it can hold.

The load this is for: long prompts that come together at an engine. Its slots are free,
but an engine without memory gives up its newest streams in the middle, and reads their
prompts again later.
"""

from collections.abc import Callable, Iterable

from primrosesaddle.calls import backends, placement, request, routes

__all__ = ('make_rule',)

# Part of the memory that is given out. Reports are some tenths of a second old, and
# entries do not see what others have sent since.
USABLE_SHARE = 0.9

FindService = Callable[[str], routes.Service | None]


def make_rule(
    find_service: FindService,
    count_entries: Callable[[], int],
    clock: Callable[[], float],
) -> placement.Constraint:
    """Return the rule for placement, which needs a service that states its memory.

    What the agent reports counts, or the own calls if they are more. Without a report
    this entry has an equal part of the memory. A call alone is always let pass, as the
    engine itself knows whether it is too large.
    """

    def explain(call: request.Call, backend: backends.Backend) -> str:
        service = find_service(backend.record.service)
        engine = None if service is None else service.engine
        if engine is None or not engine.memory_tokens or not backend.calls:
            return ''
        usable = USABLE_SHARE * engine.memory_tokens
        held = _count_tokens(backend.calls.values())
        report = backend.get_fresh_report(clock())
        if report is None:
            held *= count_entries()
        else:
            held = max(held, report.memory_share * engine.memory_tokens)
        return 'memory' if held + _count_tokens((call,)) > usable else ''

    return explain


def _count_tokens(calls: Iterable[request.Call]) -> float:
    """Return the tokens of the prompts of calls and of their expected answers."""
    return float(
        sum(call.cost.prompt_tokens + call.cost.answer_tokens for call in calls)
    )
