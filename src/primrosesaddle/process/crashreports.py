"""Crash reports: processes tell each other under which parts of prompts servers end.

Each entry sees its own calls only, and a part is blocked everywhere once enough servers
have ended under it. What is new is sent to all entries at once. What a process learns
from that is passed on to a few more, as not every entry is linked to every other.
"""

import asyncio
import dataclasses
import random
from collections.abc import Collection

from primrosesaddle.calls import crashes, notices
from primrosesaddle.fleet import mesh
from primrosesaddle.membership import link, peers, wire

__all__ = ('CrashReports', 'share_crashes')

PASS_ON_DELAY_S = 0.1  # for the reports of one crash to be passed on together
PASS_ON_PEERS = 3  # entries to which all that is known is passed on


class CrashReports:
    """Sends what a history knows of crashes to other processes, and adds their reports.

    Entries send to entries and agents, agents to entries only.
    """

    def __init__(
        self, links: mesh.Mesh, history: crashes.CrashHistory, rand: random.Random
    ) -> None:
        """Create the reports of a history; see `share_crashes`."""
        self._links = links
        self._history = history
        self._rand = rand
        self._is_passing_on = False

    def send_crash(self, incarnation: notices.Incarnation) -> None:
        """Send a crash that this process has found, and what is blocked after it."""
        found = self._history.export_crash(incarnation)
        blocks = self._history.export().blocks
        self._send_new(dataclasses.replace(found, blocks=blocks))

    def send_cleared(self, parts: Collection[str]) -> None:
        """Send that calls with these parts have been answered."""
        known = self._history.export()
        cleared = tuple(each for each in known.clearances if each.part in parts)
        self._send_new(crashes.Facts((), cleared, ()))

    def send_all(self, peer: peers.Peer) -> None:
        """Send all that is known to a peer, to an agent only while a part is blocked.

        The narrow links of agents are needed for weights.
        """
        if peer.card.role == 'agent' and not self._history.block_count:
            return
        known = self._history.export()
        if known != crashes.Facts():
            peer.channel.send(_encode(known))

    def send_to_some(self) -> None:
        """Send all that is known to a random entry, and to a random agent."""
        for role in self._list_roles():
            alive = self._links.members.alive_peers(role)
            if alive:
                self.send_all(self._rand.choice(alive))

    def receive(self, channel: link.Channel, rid: int, body: wire.CrashFacts) -> None:
        """Add a peer's report, and pass it on if it held anything new."""
        sender = channel.card.name if channel.card else 'peer'
        if self._history.merge(_decode(body), sender) and not self._is_passing_on:
            self._is_passing_on = True
            asyncio.get_running_loop().call_later(PASS_ON_DELAY_S, self._pass_on)

    def _list_roles(self) -> tuple[str, ...]:
        is_entry = self._links.members.card.role == 'entry'
        return ('entry', 'agent') if is_entry else ('entry',)

    def _send_new(self, facts: crashes.Facts) -> None:
        message = _encode(facts)
        for peer in self._links.members.alive_peers('entry'):
            peer.channel.send(message)
        agents = self._links.members.alive_peers('agent')
        self._rand.shuffle(agents)
        for agent in {peer.card.region: peer for peer in agents}.values():
            agent.channel.send(message)

    def _pass_on(self) -> None:
        self._is_passing_on = False
        entries = self._links.members.alive_peers('entry')
        for peer in self._rand.sample(entries, min(len(entries), PASS_ON_PEERS)):
            self.send_all(peer)


def share_crashes(
    links: mesh.Mesh, history: crashes.CrashHistory, rand: random.Random
) -> CrashReports:
    """Exchange crashes with the processes of a mesh; return what sends new ones.

    An entry that joins is sent all that is known, as it may just have started.
    """
    reports = CrashReports(links, history, rand)

    def greet(peer: peers.Peer) -> None:
        if peer.card.role == 'entry' or links.members.card.role == 'entry':
            reports.send_all(peer)

    links.members.on_linked.append(greet)
    links.round_listeners.append(reports.send_to_some)
    links.message_dispatcher.register(wire.CrashFacts, reports.receive)
    return reports


def _encode(facts: crashes.Facts) -> wire.CrashFacts:
    return wire.CrashFacts(
        tuple(
            wire.ServerCrash(
                *crash.incarnation, crash.parts, crash.age_s, crash.had_worked
            )
            for crash in facts.crashes
        ),
        {cleared.part: cleared.age_s for cleared in facts.clearances},
        tuple(
            wire.BlockedPart(
                block.part,
                block.crash_count,
                *block.incarnation,
                block.age_s,
                block.lapses,
                block.trial_age_s,
                block.tied,
            )
            for block in facts.blocks
        ),
    )


def _decode(body: wire.CrashFacts) -> crashes.Facts:
    return crashes.Facts(
        tuple(
            crashes.Crash(
                (crash.server_id, crash.start_time_ms),
                crash.parts,
                crash.age_s,
                crash.had_worked,
            )
            for crash in body.crashes
        ),
        tuple(crashes.Clearance(part, age_s) for part, age_s in body.cleared_s.items()),
        tuple(
            crashes.BlockReport(
                block.part,
                block.crash_count,
                (block.server_id, block.start_time_ms),
                block.age_s,
                block.lapses,
                block.trial_age_s,
                block.tied,
            )
            for block in body.blocks
        ),
    )
