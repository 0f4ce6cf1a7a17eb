from __future__ import annotations

import asyncio

import msgpack

from balsamway.peers.codec import Frame, decode, encode
from balsamway.peers.peers import PeerFailure
from balsamway.slices import Witness
from balsamway.store import Host, HostRole


class ConfigurationNetwork:
    """A network of entry hosts that reach each other unless a link is cut."""

    def __init__(self):
        self.zones = {}
        self.peers = {}
        self.cut = set()
        self.loses_notices = False

    def add(self, host, zone):
        self.zones[host] = zone
        self.peers[host] = ConfigurationPeers(host, self)
        return self.peers[host]

    def reaches(self, source, destination):
        return {source, destination} <= self.peers.keys() and frozenset(
            (source, destination)
        ) not in self.cut

    def cut_between(self, group, others):
        self.cut |= {
            frozenset((host, other))
            for host in group
            for other in others
            if host != other
        }


class ConfigurationPeers:
    """Implements `Peers` and `HostDirectory` for one host of the network."""

    def __init__(self, host, network):
        self.host = host
        self.network = network
        self.handlers = {}

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    async def call(self, host, message, timeout_seconds):
        await asyncio.sleep(0.001)
        if not self.network.reaches(self.host, host):
            return PeerFailure("cut")
        received = decode(msgpack.unpackb(encode(Frame(1, False, message)))).message
        handler = self.network.peers[host].handlers.get(type(message))
        if handler is None:
            return PeerFailure("no handler")
        return await handler(self.host, received)

    def send(self, host, message):
        if not self.network.loses_notices:
            asyncio.get_running_loop().create_task(self.call(host, message, 1.0))

    def entry_hosts(self):
        return tuple(
            Host(name, HostRole.ENTRY, zone, "127.0.0.1:0")
            for name, zone in self.network.zones.items()
        )

    def live_witnesses(self):
        return tuple(
            Witness(name, 1)
            for name in sorted(self.network.peers)
            if name == self.host or self.network.reaches(self.host, name)
        )
