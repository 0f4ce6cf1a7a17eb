"""Exchanges loads and key maps between the leader and the other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import mode

from balsamway.keyspace.load_aggregator import report_interval_seconds
from balsamway.keyspace.messages import FleetNotice, KeyMapNotice, LoadNotice

if TYPE_CHECKING:
    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.keyspace.key_leader import KeyLeader
    from balsamway.keyspace.key_map import KeyMap
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.peers.peers import Peers


class LoadReporter(mode.Service):
    """Sends this host's load to the leader, and as leader tells the sums."""

    def __init__(
        self,
        host: str,
        zone: str,
        address: str,
        peers: Peers,
        addresses: dict[str, str],
        forwarder: Forwarder,
        targets: ServiceTargets,
        key_map: KeyMap,
        lease: LeaderLease,
        aggregator: LoadAggregator,
    ) -> None:
        """Prepares the exchange.

        Args:
            host: The name of this host.
            zone: Its availability zone.
            address: Where it listens for its peers.
            peers: The other entry hosts.
            addresses: The peer addresses that are known, kept up to date here.
            forwarder: Counts requests by key.
            targets: What this host saw of the targets.
            key_map: What this host knows of keys.
            lease: Says who leads.
            aggregator: Where the leader adds the notices up.
        """
        super().__init__()
        self._host = host
        self._zone = zone
        self._address = address
        self._peers = peers
        self._addresses = addresses
        self._forwarder = forwarder
        self._targets = targets
        self._key_map = key_map
        self._lease = lease
        self._aggregator = aggregator
        self.leader: KeyLeader | None = None
        self._heard: tuple[int, str, str] | None = None
        self._hosts = 1
        """How many entry hosts the leader last told of."""
        peers.register_handler(LoadNotice, self._on_load)
        peers.register_handler(FleetNotice, self._on_fleet)
        peers.register_handler(KeyMapNotice, self._on_key_map)

    @property
    def known_leader(self) -> tuple[int, str, str] | None:
        """The epoch, name and peer address of the leader, as far as known."""
        found = [one for one in (self._lease.leader, self._heard) if one is not None]
        return max(found, default=None)

    def on_leader_named(self, leader: tuple[int, str, str]) -> None:
        """Notes whom a peer takes for the leader.

        Args:
            leader: The epoch, the name and the peer address.
        """
        if self._heard is None or leader > self._heard:
            self._heard = leader

    def publish(self, notice: KeyMapNotice) -> None:
        """Tells all hosts who holds which keys.

        Args:
            notice: The leader's notice.
        """
        self._key_map.on_notice(notice)
        for host in self._aggregator.hosts:
            if host != self._host:
                self._peers.send(host, notice)

    @mode.Service.task
    async def _report(self) -> None:
        while not self.should_stop:
            await self.sleep(report_interval_seconds(self._hosts))
            notice = self._notice()
            if self._lease.epoch is not None:
                self._aggregator.add(notice)
                self._tell_fleet(self._lease.epoch)
                continue
            leader = self.known_leader
            if leader is not None and leader[1] != self._host:
                self._addresses[leader[1]] = leader[2]
                self._peers.send(leader[1], notice)

    def _notice(self) -> LoadNotice:
        targets = {}
        for state in self._targets.all():
            if not state.in_flight and not state.answered:
                continue
            targets[state.entry.name] = state.take_counts()
        return LoadNotice(
            self._host,
            self._zone,
            self._address,
            targets,
            self._forwarder.take_key_counts(),
            self._key_map.known_versions(),
        )

    def _tell_fleet(self, epoch: int) -> None:
        capacities = {
            state.entry.name: state.entry.capacity for state in self._targets.all()
        }
        self._aggregator.decay(capacities)
        targets = {
            name: (
                load.total_in_flight(),
                round(1000 * load.service_seconds),
            )
            for name, load in self._aggregator.targets().items()
            if load.service_seconds
        }
        notice = FleetNotice(
            epoch, self._host, self._address, len(self._aggregator.hosts), targets
        )
        self._take_fleet(notice)
        for host in self._aggregator.hosts:
            if host != self._host:
                self._peers.send(host, notice)

    async def _on_load(self, sender: str, notice: Any) -> None:
        self._addresses[notice.host] = notice.address
        if self._lease.epoch is None:
            return
        self._aggregator.add(notice)
        if self.leader is not None:
            for found in self.leader.notices_newer_than(notice.seen):
                self._peers.send(notice.host, found)

    async def _on_fleet(self, sender: str, notice: Any) -> None:
        self._take_fleet(notice)

    async def _on_key_map(self, sender: str, notice: Any) -> None:
        self._key_map.on_notice(notice)

    def _take_fleet(self, notice: FleetNotice) -> None:
        self.on_leader_named((notice.epoch, notice.leader, notice.address))
        self._key_map.on_leader_message()
        self._hosts = notice.hosts
        self._forwarder.set_host_count(notice.hosts)
        for state in self._targets.all():
            found = notice.targets.get(state.entry.name)
            if found is None:
                state.remote_in_flight = 0.0
                continue
            in_flight, service_ms = found
            state.remote_in_flight = max(0.0, in_flight - state.in_flight)
            state.service_seconds = service_ms / 1000
