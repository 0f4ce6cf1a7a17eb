"""Exchange loads and key maps between the leader and the other hosts."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import mode

from balsamway.clock import now
from balsamway.keyspace.load_aggregator import report_interval_seconds
from balsamway.keyspace.load_code import (
    LoadCode,
    decode_loads,
    digest_of_names,
    encode_loads,
)
from balsamway.keyspace.messages import (
    FleetNotice,
    KeyMapNotice,
    LoadNotice,
    ZoneLoadNotice,
)
from balsamway.keyspace.zone_load_sum import ZoneLoadSum

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.keyspace.key_map import KeyMap
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.node.fleet_broadcast import FleetBroadcast
    from balsamway.peers.peers import Peers

UNKNOWN_FLEET_INTERVAL_SECONDS = 0.4
"""The interval of reports until a leader says how many hosts there are. All
hosts of a large deployment may start at once."""
KEY_MAP_REPEAT_SECONDS = 0.3
"""How long after a key map was sent it is sent again to a host that reports an
older one. The report may have been on its way at the same time."""
NAMES_REPEAT_SECONDS = 5.0
"""The interval at which the leader sends the names of the targets, for hosts
that list other targets than the leader does."""
NAMES_SETTLE_SECONDS = 1.0
"""How long each notice has the names after a change of the targets, since the
other hosts may learn of it later."""


class LoadReporter(mode.Service):
    """Report this host's load to the leader, or send the totals as leader.

    The relay of a zone sums up the reports of its hosts, and passes on the
    leader's key maps that a host has missed.
    """

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
        broadcast: FleetBroadcast,
        is_draining: Callable[[], bool],
    ) -> None:
        """Create the service and register its handlers.

        Args:
            host: The name of this host.
            zone: The availability zone of this host.
            address: The address where this host listens for its peers.
            peers: The connections to the other entry hosts.
            addresses: The known peer addresses, by host name; this service
                keeps them up to date.
            forwarder: Provides the number of requests for each key.
            targets: Provides what this host measured of the targets.
            key_map: The owners of keys as far as this host knows them.
            lease: The leader lease, which says who leads.
            aggregator: Sums up the load notices while this host leads.
            broadcast: Sends this host's messages as leader.
            is_draining: Returns whether this host is about to stop.
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
        self._broadcast = broadcast
        self._is_draining = is_draining
        self._reported_leader: tuple[int, str, str] | None = None
        """The epoch, name and peer address of the newest leader that peers
        reported."""
        self._host_count = 0
        """The number of entry hosts, as last reported by the leader."""
        self._zone_sum = ZoneLoadSum()
        self._key_maps: dict[str, tuple[float, KeyMapNotice]] = {}
        """The newest key map of each service, and when it was received."""
        self._names_digest = 0
        self._names_changed_at = float("-inf")
        self._names_sent_at = float("-inf")
        peers.register_handler(LoadNotice, self._on_load)
        peers.register_handler(ZoneLoadNotice, self._on_zone_load)
        peers.register_handler(FleetNotice, self._on_fleet)
        peers.register_handler(KeyMapNotice, self._on_key_map)

    @property
    def known_leader(self) -> tuple[int, str, str] | None:
        """The epoch, name and peer address of the newest known leader.

        None if no leader is known.
        """
        known_leaders = [
            leader
            for leader in (self._lease.leader, self._reported_leader)
            if leader is not None
        ]
        return max(known_leaders, default=None)

    def update_known_leader(self, leader: tuple[int, str, str]) -> None:
        """Record the leader that a peer reported, unless a newer one is known.

        Args:
            leader: The epoch, name and peer address of the leader.
        """
        if self._reported_leader is None or leader > self._reported_leader:
            self._reported_leader = leader

    def publish(self, notice: KeyMapNotice) -> None:
        """Send a key map to all hosts, and apply it on this one.

        Args:
            notice: The owners of a service's keys.
        """
        self._key_map.on_notice(notice)
        self._keep_key_map(notice)
        self._broadcast.send(notice)

    @mode.Service.task
    async def _report(self) -> None:
        while not self.should_stop:
            await self.sleep(self._interval_seconds())
            notice = self._create_load_notice()
            if self._lease.epoch is not None:
                self._aggregator.add(notice)
                self._send_fleet_notice(self._lease.epoch)
                continue
            self._report_to_relay_or_leader(notice)

    def _interval_seconds(self) -> float:
        if not self._host_count:
            return UNKNOWN_FLEET_INTERVAL_SECONDS
        has_relay = bool(self._broadcast.relay) or self._lease.epoch is not None
        return report_interval_seconds(self._host_count, has_relay)

    def _report_to_relay_or_leader(self, notice: LoadNotice) -> None:
        relay = self._broadcast.relay
        if relay and relay != self._host:
            self._zone_sum.clear()
            self._peers.send(relay, notice)
            return
        leader = self.known_leader
        if leader is None or leader[1] == self._host:
            return
        self._addresses[leader[1]] = leader[2]
        if relay != self._host:
            self._peers.send(leader[1], notice)
            return
        self._zone_sum.add(notice)
        self._peers.send(
            leader[1],
            self._zone_sum.take(self._host, self._zone, self._key_map.known_versions()),
        )

    def _create_load_notice(self) -> LoadNotice:
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
            self._broadcast.relay,
            self._is_draining(),
        )

    def _send_fleet_notice(self, epoch: int) -> None:
        capacities = {
            state.entry.name: state.entry.capacity for state in self._targets.all()
        }
        self._aggregator.decay(capacities)
        loads = self._aggregator.targets()
        names = self._target_names()
        notice = FleetNotice(
            epoch,
            self._host,
            self._address,
            len(self._aggregator.hosts),
            digest_of_names(names),
            names,
            encode_loads(
                LoadCode(load.total_in_flight(), load.service_seconds)
                if (load := loads.get(name)) is not None
                else LoadCode(0, None)
                for name in names
            ),
        )
        if not self._are_names_due(notice.digest):
            notice = replace(notice, names=())
        self._apply_fleet_notice(notice)
        self._broadcast.send(notice)

    def _target_names(self) -> tuple[str, ...]:
        """Return the names of the targets that this host knows, sorted."""
        return tuple(sorted({state.entry.name for state in self._targets.all()}))

    def _are_names_due(self, digest: int) -> bool:
        """Return whether the next notice to all hosts has the names."""
        if digest != self._names_digest:
            self._names_digest, self._names_changed_at = digest, now()
        is_due = (
            now() - self._names_changed_at < NAMES_SETTLE_SECONDS
            or now() - self._names_sent_at >= NAMES_REPEAT_SECONDS
        )
        if is_due:
            self._names_sent_at = now()
        return is_due

    async def _on_load(self, sender: str, notice: Any) -> None:
        self._addresses[notice.host] = notice.address
        if self._lease.epoch is not None:
            self._aggregator.add(notice)
        elif self._broadcast.relay == self._host:
            self._zone_sum.add(notice)
        else:
            return
        self._send_missed_key_maps(notice.host, notice.seen)

    async def _on_zone_load(self, sender: str, notice: Any) -> None:
        self._addresses.update(notice.hosts)
        if self._lease.epoch is not None:
            self._aggregator.add_zone(notice)
            self._send_missed_key_maps(notice.relay, notice.seen)

    def _send_missed_key_maps(
        self, host: str, seen: dict[str, tuple[int, int]]
    ) -> None:
        """Send a host the key maps that it should have received before."""
        for service, (received_at, key_map) in self._key_maps.items():
            is_older = seen.get(service, (0, 0)) < (key_map.epoch, key_map.serial)
            if is_older and now() - received_at >= KEY_MAP_REPEAT_SECONDS:
                self._peers.send(host, key_map)

    async def _on_fleet(self, sender: str, notice: Any) -> None:
        self._broadcast.on_received(sender, notice.leader)
        self._apply_fleet_notice(notice)

    async def _on_key_map(self, sender: str, notice: Any) -> None:
        self._key_map.on_notice(notice)
        self._keep_key_map(notice)

    def _keep_key_map(self, notice: KeyMapNotice) -> None:
        _, known = self._key_maps.get(notice.service, (0.0, None))
        if known is None or (known.epoch, known.serial) < (notice.epoch, notice.serial):
            self._key_maps[notice.service] = (now(), notice)

    def _apply_fleet_notice(self, notice: FleetNotice) -> None:
        self.update_known_leader((notice.epoch, notice.leader, notice.address))
        self._key_map.on_leader_message()
        self._host_count = notice.hosts
        self._forwarder.set_host_count(notice.hosts)
        names = notice.names or self._target_names()
        if digest_of_names(names) != notice.digest:
            # The leader lists other targets and sends their names soon.
            return
        loads = dict(zip(names, decode_loads(notice.loads), strict=True))
        for state in self._targets.all():
            load = loads.get(state.entry.name)
            if load is None or load.service_seconds is None:
                state.remote_in_flight = 0.0
                continue
            state.remote_in_flight = max(0.0, load.in_flight - state.in_flight)
            state.service_seconds = load.service_seconds
