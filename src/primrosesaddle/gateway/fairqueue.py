"""The agent's queue: ranks with floors, fair shares among workspaces, a bound."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Mapping

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import verdict

__all__ = ('FairQueue', 'QueuedCall', 'QueueLimits')

DEFAULT_FLOORS: Mapping[catalogue.Rank, float] = {
    catalogue.Rank.STANDARD: 0.2,
    catalogue.Rank.LOW: 0.05,
}
RATE_WEIGHT = 0.2
DEADLINE_SHARE = 0.7
RETRY_FIRST_S = 0.5
RETRY_CEILING_S = 10.0


@dataclasses.dataclass(eq=False)
class QueuedCall:
    """A queued call; cost is in tokens, times are of the caller's clock."""

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
    """Bounds of a queue; `workspace_share` is of its length."""

    length: int = 512
    workspace_share: float = 0.5
    floors: Mapping[catalogue.Rank, float] = dataclasses.field(
        default_factory=lambda: DEFAULT_FLOORS,
    )


class _RankQueue:
    """Start-time fair queueing among the workspaces of one rank."""

    def __init__(self) -> None:
        self._flows: dict[str, collections.deque[QueuedCall]] = {}
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self.cost = 0.0
        self.count = 0

    def push(self, item: QueuedCall) -> None:
        item.start_tag = max(self._virtual, self._finish.get(item.workspace, 0.0))
        self._finish[item.workspace] = item.start_tag + item.cost / item.weight
        self._flows.setdefault(item.workspace, collections.deque()).append(item)
        self.cost += item.cost
        self.count += 1

    def head(self) -> QueuedCall | None:
        heads = (flow[0] for flow in self._flows.values())
        return min(heads, key=lambda item: (item.start_tag, item.order), default=None)

    def remove(self, item: QueuedCall) -> bool:
        flow = self._flows.get(item.workspace)
        if flow is None or item not in flow:
            return False
        flow.remove(item)
        if not flow:
            self._flows.pop(item.workspace)
        self.cost -= item.cost
        self.count -= 1
        if not self.count:
            self.cost = 0.0
        return True

    def serve(self, item: QueuedCall) -> None:
        self._virtual = max(self._virtual, item.start_tag)
        self.remove(item)
        if len(self._finish) > 4 * (len(self._flows) + 64):
            self._forget_idle()

    def correct(self, item: QueuedCall, actual: float) -> None:
        finish = self._finish.get(item.workspace)
        if finish is None:
            return
        shift = (actual - item.cost) / item.weight
        self._finish[item.workspace] = finish + shift
        for queued in self._flows.get(item.workspace, ()):
            queued.start_tag += shift

    def backlog(self, workspace: str) -> float:
        return sum(item.cost for item in self._flows.get(workspace, ()))

    def held(self, workspace: str) -> int:
        return len(self._flows.get(workspace, ()))

    @property
    def flows(self) -> int:
        return len(self._flows)

    def heaviest(self) -> QueuedCall | None:
        if not self._flows:
            return None
        weights = {
            name: sum(item.cost for item in flow) / flow[-1].weight
            for name, flow in self._flows.items()
        }
        name = max(weights, key=lambda key: (weights[key], key))
        return self._flows[name][-1]

    def items(self) -> list[QueuedCall]:
        return [item for flow in self._flows.values() for item in flow]

    def _forget_idle(self) -> None:
        self._finish = {
            name: tag
            for name, tag in self._finish.items()
            if name in self._flows or tag > self._virtual
        }


class FairQueue:
    """Decide which call runs next, and which is refused when all cannot run.

    The most urgent rank goes first. Every other rank earns its floor of what is
    served while it waits, and goes ahead once it has earned its next call.
    """

    def __init__(self, limits: QueueLimits | None = None) -> None:
        """Create an empty queue."""
        self.limits = limits or QueueLimits()
        self._ranks = {rank: _RankQueue() for rank in catalogue.Rank}
        self._earned = dict.fromkeys(catalogue.Rank, 0.0)
        self._orders = itertools.count()
        self._rate = 0.0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return sum(queue.count for queue in self._ranks.values())

    @property
    def cost(self) -> float:
        """Return the cost of all queued calls."""
        return sum(queue.cost for queue in self._ranks.values())

    def observe_rate(self, cost_per_s: float) -> None:
        """Take a measurement of what the server gets done, in cost a second."""
        if self._rate:
            cost_per_s = RATE_WEIGHT * cost_per_s + (1 - RATE_WEIGHT) * self._rate
        self._rate = cost_per_s

    def enqueue(self, item: QueuedCall, now: float) -> list[QueuedCall]:
        """Queue a call, and return the calls that lost their place to it.

        Raises `Refusal` with `not_run` when the call itself has no place.
        """
        wait_s = self.expected_wait_s(item)
        if wait_s >= (item.deadline - now) * DEADLINE_SHARE:
            raise verdict.not_run('deadline_unreachable', 503, _retry(wait_s))
        rank_queue = self._ranks[item.rank]
        cap = max(1, int(self.limits.length * self.limits.workspace_share))
        if rank_queue.held(item.workspace) >= cap:
            raise verdict.not_run('workspace_queue_full', 429, _retry(wait_s))
        victims = []
        if len(self) >= self.limits.length:
            victims.append(self._victim(item, wait_s))
        item.order = next(self._orders)
        rank_queue.push(item)
        return victims

    def pop_next(
        self, admits: Callable[[catalogue.Rank], bool] | None = None
    ) -> QueuedCall | None:
        """Remove and return the call to run next, or None when none may run."""
        heads = {
            rank: head
            for rank, queue in self._ranks.items()
            if (head := queue.head()) is not None and (admits is None or admits(rank))
        }
        if not heads:
            return None
        rank = self._pick(heads)
        item = heads[rank]
        self._earn(item)
        self._ranks[rank].serve(item)
        return item

    def remove(self, item: QueuedCall) -> bool:
        """Remove a queued call, and return whether it was still queued."""
        return self._ranks[item.rank].remove(item)

    def remove_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls whose deadline has passed."""
        late = [item for item in self.items() if item.deadline <= now]
        for item in late:
            self.remove(item)
        return late

    def charge_actual_cost(self, item: QueuedCall, actual_cost: float) -> None:
        """Charge a workspace what its call cost in place of the estimate."""
        self._ranks[item.rank].correct(item, actual_cost)

    def items(self) -> list[QueuedCall]:
        """Return all queued calls."""
        return [item for queue in self._ranks.values() for item in queue.items()]

    def expected_wait_s(self, item: QueuedCall) -> float:
        """Return how long a call would wait, in seconds, as far as is known."""
        if not self._rate:
            return 0.0
        queue = self._ranks[item.rank]
        urgent = sum(
            other.cost for rank, other in self._ranks.items() if rank < item.rank
        )
        fair = (queue.backlog(item.workspace) + item.cost) * max(1, queue.flows)
        ahead = min(queue.cost, fair)
        wait_s = (urgent + ahead) / self._rate
        floor = self.limits.floors.get(item.rank, 0.0)
        return min(wait_s, ahead / (floor * self._rate)) if floor else wait_s

    def _pick(self, heads: Mapping[catalogue.Rank, QueuedCall]) -> catalogue.Rank:
        for rank, head in heads.items():
            if rank in self.limits.floors and self._earned[rank] >= head.cost:
                return rank
        return min(heads)

    def _earn(self, item: QueuedCall) -> None:
        for rank, floor in self.limits.floors.items():
            if self._ranks[rank].count:
                self._earned[rank] += floor * item.cost
            else:
                self._earned[rank] = 0.0
        if item.rank in self.limits.floors:
            self._earned[item.rank] = max(0.0, self._earned[item.rank] - item.cost)

    def _victim(self, item: QueuedCall, wait_s: float) -> QueuedCall:
        for rank in reversed(catalogue.Rank):
            if rank < item.rank:
                break
            loser = self._ranks[rank].heaviest()
            if loser is None:
                continue
            if rank == item.rank and loser.workspace == item.workspace:
                break
            self.remove(loser)
            return loser
        raise verdict.not_run('queue_full', 503, _retry(wait_s))


def _retry(wait_s: float) -> float:
    return min(RETRY_CEILING_S, max(RETRY_FIRST_S, wait_s))
