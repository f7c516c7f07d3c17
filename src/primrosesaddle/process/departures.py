"""Departures: entries tell each other which backend servers say that they are leaving.

A server may say so in its answers before its record does, and one that leaves during an
outage of the store never does.
"""

from primrosesaddle.calls import backends, notices
from primrosesaddle.fleet import mesh
from primrosesaddle.membership import link, peers, wire

__all__ = ('share_departures',)


def share_departures(links: mesh.Mesh, known_backends: backends.Backends) -> None:
    """Send what this entry learns to the others, and apply what they send.

    An entry that joins is sent all that is known, as it may just have started.
    """

    def broadcast(incarnation: notices.Incarnation) -> None:
        message = wire.LeavingServers((incarnation,))
        for peer in links.members.alive_peers('entry'):
            peer.channel.send(message)

    def send_known(peer: peers.Peer) -> None:
        known = known_backends.list_leaving()
        if known and peer.card.role == 'entry':
            peer.channel.send(wire.LeavingServers(known))

    def receive(channel: link.Channel, rid: int, body: wire.LeavingServers) -> None:
        sender = channel.card.name if channel.card else 'peer'
        for incarnation in body.incarnations:
            known_backends.learn_leaving(incarnation, sender)

    known_backends.leaving_listeners.append(broadcast)
    links.members.on_linked.append(send_known)
    links.message_dispatcher.register(wire.LeavingServers, receive)
