"""Bounded queue of an agent: ranks with minimum shares, fair among workspaces."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Mapping

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import verdict

__all__ = ('FairQueue', 'QueueLimits', 'QueuedCall')

DEFAULT_FLOORS: Mapping[catalogue.Rank, float] = {
    catalogue.Rank.STANDARD: 0.2,
    catalogue.Rank.LOW: 0.05,
}
RATE_SMOOTHING = 0.2
MAX_WAIT_SHARE_OF_DEADLINE = 0.7
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass(eq=False)
class QueuedCall:
    """A call in the queue; `cost` is in tokens.

    `deadline` is in seconds of the clock that the queue's methods are given as `now`.
    `weight` is that of the workspace in fair queueing. The queue sets `start_tag`, the
    virtual start time, and `order`, the position of arrival.
    """

    call_id: str
    workspace: str
    rank: catalogue.Rank
    cost: float
    deadline: float
    weight: float = 1.0
    start_tag: float = 0.0
    order: int = 0


@dataclasses.dataclass(frozen=True)
class QueueLimits:
    """Limits of a queue.

    `length` is in calls. A workspace may use `workspace_share` of it in each rank.
    `floors` are the shares of the served cost that ranks get at least.
    """

    length: int = 512
    workspace_share: float = 0.5
    floors: Mapping[catalogue.Rank, float] = dataclasses.field(
        default_factory=lambda: DEFAULT_FLOORS,
    )


class _RankQueue:
    """Start-time fair queueing among the workspaces of one rank.

    A workspace's call starts, in virtual time, when its call before it is finished;
    the call with the smallest start is served next.
    """

    def __init__(self) -> None:
        self._calls: dict[str, collections.deque[QueuedCall]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self.cost = 0.0
        self.count = 0

    def push(self, call: QueuedCall) -> None:
        call.start_tag = max(
            self._virtual_time, self._finish_tags.get(call.workspace, 0.0)
        )
        self._finish_tags[call.workspace] = call.start_tag + call.cost / call.weight
        self._calls.setdefault(call.workspace, collections.deque()).append(call)
        self.cost += call.cost
        self.count += 1

    def next_call(self) -> QueuedCall | None:
        """Return the call to serve next, or None."""
        heads = (calls[0] for calls in self._calls.values())
        return min(heads, key=lambda call: (call.start_tag, call.order), default=None)

    def remove(self, call: QueuedCall) -> bool:
        calls = self._calls.get(call.workspace)
        if calls is None or call not in calls:
            return False
        calls.remove(call)
        if not calls:
            self._calls.pop(call.workspace)
        self.cost -= call.cost
        self.count -= 1
        if not self.count:
            self.cost = 0.0
        return True

    def remove_served(self, call: QueuedCall) -> None:
        """Remove a call that is served, and advance the virtual time to its start."""
        self._virtual_time = max(self._virtual_time, call.start_tag)
        self.remove(call)
        if len(self._finish_tags) > 4 * (len(self._calls) + 64):
            self._forget_idle()

    def charge_actual(self, call: QueuedCall, actual: float) -> None:
        """Shift the virtual times of a workspace by the error of an estimate."""
        finish = self._finish_tags.get(call.workspace)
        if finish is None:
            return
        shift = (actual - call.cost) / call.weight
        self._finish_tags[call.workspace] = finish + shift
        for queued in self._calls.get(call.workspace, ()):
            queued.start_tag += shift

    def cost_of(self, workspace: str) -> float:
        return sum(call.cost for call in self._calls.get(workspace, ()))

    def count_of(self, workspace: str) -> int:
        return len(self._calls.get(workspace, ()))

    @property
    def workspace_count(self) -> int:
        return len(self._calls)

    def last_of_heaviest(self) -> QueuedCall | None:
        """Return the last call of the workspace with the largest cost by weight."""
        if not self._calls:
            return None
        weighted_costs = {
            name: sum(call.cost for call in calls) / calls[-1].weight
            for name, calls in self._calls.items()
        }
        name = max(weighted_costs, key=lambda key: (weighted_costs[key], key))
        return self._calls[name][-1]

    def calls(self) -> list[QueuedCall]:
        return [call for calls in self._calls.values() for call in calls]

    def _forget_idle(self) -> None:
        """Drop the finish tags of idle workspaces that the virtual time has passed."""
        self._finish_tags = {
            name: tag
            for name, tag in self._finish_tags.items()
            if name in self._calls or tag > self._virtual_time
        }


class FairQueue:
    """Decide which call runs next, and which is refused if not all can run.

    The most urgent rank is served first. Every other rank with queued calls earns its
    floor, a share of the served cost, and is served first once it has earned the cost
    of its next call.
    """

    def __init__(self, limits: QueueLimits | None = None) -> None:
        """Create an empty queue."""
        self.limits = limits or QueueLimits()
        self._ranks = {rank: _RankQueue() for rank in catalogue.Rank}
        self._earned_cost = dict.fromkeys(catalogue.Rank, 0.0)
        self._arrival_numbers = itertools.count()
        self._rate = 0.0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return sum(queue.count for queue in self._ranks.values())

    @property
    def cost(self) -> float:
        """Return the cost of all queued calls."""
        return sum(queue.cost for queue in self._ranks.values())

    def observe_rate(self, cost_per_s: float) -> None:
        """Record a measured rate of the server, in cost a second."""
        if self._rate:
            cost_per_s = RATE_SMOOTHING * cost_per_s + (1 - RATE_SMOOTHING) * self._rate
        self._rate = cost_per_s

    def enqueue(self, call: QueuedCall, now: float) -> list[QueuedCall]:
        """Queue a call; return the calls that were removed to make room for it.

        Raises `Refusal` with `not_run` when there is no room for the call itself.
        """
        wait_s = self.expected_wait_s(call)
        if wait_s >= (call.deadline - now) * MAX_WAIT_SHARE_OF_DEADLINE:
            raise verdict.not_run('deadline_unreachable', 503, _retry_after_s(wait_s))
        rank_queue = self._ranks[call.rank]
        max_calls = max(1, int(self.limits.length * self.limits.workspace_share))
        if rank_queue.count_of(call.workspace) >= max_calls:
            raise verdict.not_run('workspace_queue_full', 429, _retry_after_s(wait_s))
        displaced = []
        if len(self) >= self.limits.length:
            displaced.append(self._make_room(call, wait_s))
        call.order = next(self._arrival_numbers)
        rank_queue.push(call)
        return displaced

    def pop_next(
        self, admits: Callable[[catalogue.Rank], bool] | None = None
    ) -> QueuedCall | None:
        """Remove and return the call to run next, or None if none may run.

        `admits` tells whether a call of a rank may run now; by default all may.
        """
        heads = {
            rank: head
            for rank, queue in self._ranks.items()
            if (head := queue.next_call()) is not None
            and (admits is None or admits(rank))
        }
        if not heads:
            return None
        rank = self._pick_rank(heads)
        call = heads[rank]
        self._update_earned(call)
        self._ranks[rank].remove_served(call)
        return call

    def remove(self, call: QueuedCall) -> bool:
        """Remove a queued call; return whether it was still queued."""
        return self._ranks[call.rank].remove(call)

    def remove_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls whose deadline has passed."""
        expired = [call for call in self.calls() if call.deadline <= now]
        for call in expired:
            self.remove(call)
        return expired

    def charge_actual_cost(self, call: QueuedCall, actual_cost: float) -> None:
        """Charge a workspace the actual cost of its call in place of the estimate."""
        self._ranks[call.rank].charge_actual(call, actual_cost)

    def calls(self) -> list[QueuedCall]:
        """Return all queued calls."""
        return [call for queue in self._ranks.values() for call in queue.calls()]

    def expected_wait_s(self, call: QueuedCall) -> float:
        """Estimate how long a call would wait, in seconds; 0 if no rate is known."""
        if not self._rate:
            return 0.0
        queue = self._ranks[call.rank]
        more_urgent_cost = sum(
            other.cost for rank, other in self._ranks.items() if rank < call.rank
        )
        fair_cost = (queue.cost_of(call.workspace) + call.cost) * max(
            1, queue.workspace_count
        )
        cost_ahead = min(queue.cost, fair_cost)
        wait_s = (more_urgent_cost + cost_ahead) / self._rate
        floor = self.limits.floors.get(call.rank, 0.0)
        return min(wait_s, cost_ahead / (floor * self._rate)) if floor else wait_s

    def _pick_rank(self, heads: Mapping[catalogue.Rank, QueuedCall]) -> catalogue.Rank:
        """Return the rank to serve, of the ranks with their next calls."""
        for rank, head in heads.items():
            if rank in self.limits.floors and self._earned_cost[rank] >= head.cost:
                return rank
        return min(heads)

    def _update_earned(self, call: QueuedCall) -> None:
        """Credit the floors of waiting ranks for a call that is served."""
        for rank, floor in self.limits.floors.items():
            if self._ranks[rank].count:
                self._earned_cost[rank] += floor * call.cost
            else:
                self._earned_cost[rank] = 0.0
        if call.rank in self.limits.floors:
            self._earned_cost[call.rank] = max(
                0.0, self._earned_cost[call.rank] - call.cost
            )

    def _make_room(self, call: QueuedCall, wait_s: float) -> QueuedCall:
        """Remove and return the call that a new one displaces in a full queue.

        It is the last of the workspace with the largest queued cost, of the least
        urgent rank that has calls. More urgent ranks, and the own workspace in the own
        rank, are not displaced. Raises `Refusal` if no call can be displaced.
        """
        for rank in reversed(catalogue.Rank):
            if rank < call.rank:
                break
            displaced = self._ranks[rank].last_of_heaviest()
            if displaced is None:
                continue
            if rank == call.rank and displaced.workspace == call.workspace:
                break
            self.remove(displaced)
            return displaced
        raise verdict.not_run('queue_full', 503, _retry_after_s(wait_s))


def _retry_after_s(wait_s: float) -> float:
    """Return when a caller may retry, from the expected wait, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
