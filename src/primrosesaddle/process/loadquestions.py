"""Load questions: entries ask agents for the load of their servers before they send."""

import asyncio
import random
import typing
from collections.abc import Callable, Sequence

from primrosesaddle.balance import asking, book, leaving
from primrosesaddle.calls import backends, placement, request, routes
from primrosesaddle.fleet import mesh
from primrosesaddle.membership import link, peers, wire
from primrosesaddle.staging import reconciler
from primrosesaddle.telemetry import journal, metrics

__all__ = ('LoadAsker', 'answer_questions')

# Agents answer within the round trip, some 10 ms to another region. A call waits this
# long at most for one that does not.
ANSWER_TIMEOUT_S = 0.03
NOT_ASKED_S = 1.0  # for which an agent that did not answer is not asked again

GetRequiredVersion = Callable[[str], int]
_Asked = tuple[asking.Candidate, peers.Peer]


class LoadAsker:
    """Asks agents for the load of servers, and tells them of calls sent there."""

    def __init__(
        self,
        links: mesh.Mesh,
        known_backends: backends.Backends,
        placer: placement.Placer,
        get_required_version: GetRequiredVersion,
        counts: metrics.Metrics,
        rand: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create an asker, which is told of calls by `known_backends` from now on.

        `get_required_version` returns the lowest version of a model that is allowed.
        """
        self._links = links
        self._backends = known_backends
        self._placer = placer
        self._get_required_version = get_required_version
        self._metrics = counts
        self._rand = rand
        self._clock = clock
        self._not_asked_until: dict[str, float] = {}
        self._leaving: dict[str, leaving.Leaving] = {}  # by service
        known_backends.call_listeners.append(self._send_notice)
        placer.get_leaving_price_s = self._get_leaving_price_s

    async def ask(self, call: request.Call, service: routes.Service) -> None:
        """Ask for the load of some servers that may run a call.

        The answers are kept with the call. Servers farther away are asked when those
        nearby are busy.
        """
        call.answers.clear()
        required_version = self._get_required_version(call.model)
        candidates = self._list_candidates(call, service, required_version)
        if len(candidates) < 2:
            return
        nearest = asking.draw_nearest([pair[0] for pair in candidates], self._rand)
        await self._ask_some(call, candidates, nearest)
        best_cost_s = self._record_costs(call, service, nearest)
        if asking.is_worth_more(best_cost_s, call.route.objective_s):
            known = [pair[0] for pair in candidates]
            farther = asking.draw_farther(known, nearest, self._rand)
            if farther:
                self._metrics.count('asked_farther', service=service.name)
                journal.info(
                    'load.nearby_busy',
                    id=call.call_id,
                    cost_s=-1 if best_cost_s is None else round(best_cost_s, 3),
                    answered=len(call.answers),
                    asks=','.join(each.server_id for each in farther),
                )
                await self._ask_some(call, candidates, farther)
                self._record_costs(call, service, farther)

    def _list_candidates(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> list[_Asked]:
        """Return the servers that may be asked, each with its agent."""
        servers = self._placer.list_askable_servers(call, service, required_version)
        if not servers:
            return []
        agents = self._find_agents(service.name)
        return [
            (
                asking.Candidate(server.server_id, self._placer.get_distance_s(server)),
                agents[server.record.address],
            )
            for server in servers
            if server.record.address in agents
        ]

    def _find_agents(self, service_name: str) -> dict[str, peers.Peer]:
        """Return the agents that are expected to answer, by address of their server."""
        now = self._clock()
        return {
            peer.card.server: peer
            for peer in self._links.members.alive_peers('agent', service_name)
            if now >= self._not_asked_until.get(peer.card.name, 0)
        }

    async def _ask_some(
        self,
        call: request.Call,
        candidates: Sequence[_Asked],
        drawn: Sequence[asking.Candidate],
    ) -> None:
        """Ask for the load of drawn servers at the same time."""
        await asyncio.gather(
            *(
                self._ask_one(call, candidate, peer)
                for candidate, peer in candidates
                if candidate in drawn
            )
        )

    async def _ask_one(
        self, call: request.Call, candidate: asking.Candidate, peer: peers.Peer
    ) -> None:
        """Ask an agent for the load of its server, and keep the answer with a call."""
        self._metrics.count('load_questions')
        try:
            body = await peer.channel.request(wire.LoadQuestion(), ANSWER_TIMEOUT_S)
        except (link.ChannelClosed, TimeoutError) as exc:
            self._metrics.count('load_questions_unanswered')
            self._not_asked_until[peer.card.name] = self._clock() + NOT_ASKED_S
            journal.info(
                'load.unanswered',
                id=call.call_id,
                agent=peer.card.name,
                error=type(exc).__name__,
            )
            return
        answer = typing.cast(wire.LoadAnswer, body)
        backend = self._backends.get_by_id(candidate.server_id)
        if backend is None or not answer.is_known:
            return
        now = self._clock()
        backend.update_load(answer.calls, now)
        call.answers[candidate.server_id] = asking.Answer(
            answer.calls, answer.unread_tokens, answer.pace, now
        )

    def _record_costs(
        self,
        call: request.Call,
        service: routes.Service,
        drawn: Sequence[asking.Candidate],
    ) -> float | None:
        """Record the lowest cost of a call in each data centre of drawn servers.

        Returns the lowest cost of all, None if none has answered or has room.
        """
        now = self._clock()
        lowest: dict[str, float] = {}
        totals = []
        for candidate in drawn:
            backend = self._backends.get_by_id(candidate.server_id)
            if backend is None:
                continue
            cost = self._placer.compute_asked_cost(backend, call, service, now)
            if cost is not None:
                place = backend.record.data_centre
                lowest[place] = min(cost.work_s, lowest.get(place, cost.work_s))
                totals.append(cost.total_s)
        for place, work_s in lowest.items():
            self._get_leaving(service.name).record_cost(place, work_s)
        return min(totals, default=None)

    def _get_leaving(self, service_name: str) -> leaving.Leaving:
        prices = self._leaving.get(service_name)
        if prices is None:
            home = self._links.members.card.data_centre
            prices = leaving.Leaving(home, self._clock)
            self._leaving[service_name] = prices
        return prices

    def _get_leaving_price_s(self, backend: backends.Backend, least_s: float) -> float:
        """Return what it costs to leave for a server's data centre, in seconds."""
        place = backend.record.data_centre
        known = self._links.members.peers.values()
        rtt_s = peers.find_fastest_rtt_s(known, place)
        prices = self._get_leaving(backend.record.service)
        return prices.get_price_s(place, least_s, rtt_s)

    def _send_notice(
        self, backend: backends.Backend, call: request.Call, stage: backends.CallStage
    ) -> None:
        """Tell the agent of a server how far a call has come there."""
        service = backend.record.service
        if not self._backends.states_slowdown(service):
            return
        for peer in self._links.members.alive_peers('agent', service):
            if peer.card.server == backend.record.address:
                peer.channel.send(
                    wire.CallNotice(call.call_id, stage.value, call.cost.prompt_tokens)
                )


def answer_questions(
    links: mesh.Mesh,
    engine: reconciler.EngineReconciler,
    clock: Callable[[], float],
) -> None:
    """Answer entries' questions for the load of this agent's engine."""
    calls = book.Book(clock)

    def answer(channel: link.Channel, rid: int, body: wire.LoadQuestion) -> None:
        state = engine.engine_state
        if state is None:
            channel.send(wire.LoadAnswer(False), rid, reply=True)
            return
        load = calls.estimate_load()
        channel.send(
            wire.LoadAnswer(True, load.calls, load.unread_tokens, state.pace),
            rid,
            reply=True,
        )

    def note(channel: link.Channel, rid: int, body: wire.CallNotice) -> None:
        sender = channel.card.incarnation if channel.card else ''
        stage = backends.CallStage(body.stage)
        # Entries send notices only where a server has stated a slowdown.
        engine.is_machine_shared = True
        if stage is backends.CallStage.SENT:
            calls.add_call(sender, body.call_id, body.prompt_tokens)
        elif stage is backends.CallStage.READ:
            calls.mark_read(sender, body.call_id)
        else:
            calls.end_call(sender, body.call_id)

    engine.state_listeners.append(
        lambda state: calls.compare(state.active + state.queued)
    )
    links.message_dispatcher.register(wire.LoadQuestion, answer)
    links.message_dispatcher.register(wire.CallNotice, note)
