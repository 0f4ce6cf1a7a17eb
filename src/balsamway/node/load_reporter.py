"""Exchange loads and key maps between the leader and the other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import mode

from balsamway.clock import now
from balsamway.keyspace.load_aggregator import report_interval_seconds
from balsamway.keyspace.messages import FleetNotice, KeyMapNotice, LoadNotice
from balsamway.pace import Interval, PaceTable

if TYPE_CHECKING:
    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.keyspace.key_leader import KeyLeader
    from balsamway.keyspace.key_map import KeyMap
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.peers.peers import Peers

LIMITS_TURNS = 8
"""The number of notices in which each limit is sent once though it did not
change."""


class LoadReporter(mode.Service):
    """Report this host's load to the leader, or send the totals as leader."""

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
        """The leader's part of this host, set after its creation."""
        self._reported_leader: tuple[int, str, str] | None = None
        """The epoch, name and peer address of the newest leader that peers
        reported."""
        self._host_count = 1
        """The number of entry hosts, as last reported by the leader."""
        self._limits_turn = 0
        self._paces = PaceTable()
        self._token_leader: tuple[int, str] | None = None
        peers.register_handler(LoadNotice, self._on_load)
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

    @property
    def leader_name(self) -> str | None:
        """The name of the leader, which is this host while it leads."""
        if self._lease.epoch is not None:
            return self._host
        known = self.known_leader
        return None if known is None else known[1]

    @property
    def token_leader(self) -> tuple[int, str] | None:
        """The epoch and name of the leader that hands out tokens, if known."""
        known = self.known_leader
        if known is None or self._token_leader != known[:2]:
            return None
        return self._token_leader

    @property
    def host_count(self) -> int:
        """The number of entry hosts, as last reported by the leader."""
        return self._host_count

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
        for host in self._aggregator.hosts:
            if host != self._host:
                self._peers.send(host, notice)

    @mode.Service.task
    async def _report(self) -> None:
        while not self.should_stop:
            await self.sleep(report_interval_seconds(self._host_count))
            notice = self._create_load_notice()
            if self._lease.epoch is not None:
                self._aggregator.add(notice)
                self._paces.add(_intervals(notice))
                self._send_fleet_notice(self._lease.epoch)
                continue
            self._paces.reset()
            leader = self.known_leader
            if leader is not None and leader[1] != self._host:
                self._addresses[leader[1]] = leader[2]
                self._peers.send(leader[1], notice)

    def _create_load_notice(self) -> LoadNotice:
        targets = {}
        limits = {}
        for state in self._targets.all():
            if (seen := state.limit.take_report()) is not None:
                limits[state.entry.name] = (state.entry.incarnation, *seen)
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
            limits,
            self._leaving_to_send(),
            self._take_experiences(),
            self._targets.learned_rooms(),
        )

    def _leaving_to_send(self) -> dict[str, tuple[int, int]]:
        """Return the leaving targets that the store does not show to all."""
        return {
            state.entry.name: (
                state.entry.incarnation,
                round(1000 * (now() - state.leaving_since)),
            )
            for state in self._targets.leaving()
            if state.leaving_since is not None and not state.entry.is_draining
        }

    def _limits_to_send(self) -> dict[str, tuple[int, float | None, int]]:
        """Return the limits that just changed, and some of the others.

        The others take turns, so that the notice stays short while many
        targets have a limit.
        """
        self._limits_turn = (self._limits_turn + 1) % LIMITS_TURNS
        current = [state for state in self._targets.all() if state.limit.is_current]
        return {
            state.entry.name: (state.entry.incarnation, *state.limit.report)
            for index, state in enumerate(current)
            if state.limit.has_just_changed or index % LIMITS_TURNS == self._limits_turn
        }

    def _take_experiences(
        self,
    ) -> dict[str, tuple[int, int, int, int, int, int, bool]]:
        """Return how the targets answered this host since the last call."""
        experiences = {}
        for state in self._targets.paced():
            seen = state.experience.take(state.rest.remaining_seconds > 0)
            if seen == Interval():
                continue
            experiences[state.entry.name] = (
                state.entry.incarnation,
                seen.answered,
                round(1000 * seen.answered_seconds),
                seen.refused,
                seen.failed,
                seen.unreachable,
                seen.is_resting,
            )
        return experiences

    def _decide_paces(self) -> dict[str, tuple[int, float]]:
        """Decide the paces as the leader, and return those to send."""
        states = self._targets.paced()
        self._paces.evaluate(states)
        return {
            state.entry.name: (state.entry.incarnation, state.pace.limit)
            for state in states
            if state.pace.limit is not None
        }

    def _apply_paces(self, paces: dict[str, tuple[int, float]]) -> None:
        for state in self._targets.paced():
            incarnation, pace = paces.get(state.entry.name, (None, None))
            is_same = incarnation == state.entry.incarnation
            state.pace.on_report(pace if is_same else None)

    def _cold_to_send(self) -> dict[str, tuple[int, int]]:
        """Return the targets that were seen to turn cold."""
        return {
            state.entry.name: (
                state.entry.incarnation,
                round(1000 * state.cold.left_to_report),
            )
            for state in self._targets.all()
            if state.cold.limit is not None and state.cold.left_to_report > 0
        }

    def _send_fleet_notice(self, epoch: int) -> None:
        capacities = {
            state.entry.name: state.entry.capacity for state in self._targets.all()
        }
        self._aggregator.decay(capacities)
        self._aggregator.limits = {
            state.entry.name: limit
            for state in self._targets.limited()
            if (limit := state.requests_per_second) is not None
        }
        targets = {
            name: (
                load.total_in_flight(),
                round(1000 * load.service_seconds),
            )
            for name, load in self._aggregator.targets().items()
            if load.service_seconds
        }
        notice = FleetNotice(
            epoch,
            self._host,
            self._address,
            len(self._aggregator.hosts),
            targets,
            self._limits_to_send(),
            self._leaving_to_send(),
            self._cold_to_send(),
            self._decide_paces(),
            self._aggregator.rooms(),
        )
        self._apply_fleet_notice(notice)
        for host in self._aggregator.hosts:
            if host != self._host:
                self._peers.send(host, notice)

    async def _on_load(self, sender: str, notice: Any) -> None:
        self._addresses[notice.host] = notice.address
        if self._lease.epoch is None:
            return
        self._aggregator.add(notice)
        self._paces.add(_intervals(notice))
        self._apply_limits(notice.limits)
        self._apply_leaving(notice.leaving)
        if self.leader is not None:
            for newer_notice in self.leader.notices_newer_than(notice.seen):
                self._peers.send(notice.host, newer_notice)

    async def _on_fleet(self, sender: str, notice: Any) -> None:
        self._apply_fleet_notice(notice)

    async def _on_key_map(self, sender: str, notice: Any) -> None:
        self._key_map.on_notice(notice)

    def _apply_fleet_notice(self, notice: FleetNotice) -> None:
        self.update_known_leader((notice.epoch, notice.leader, notice.address))
        self._key_map.on_leader_message()
        self._host_count = notice.hosts
        if notice.limits is not None:
            self._token_leader = (notice.epoch, notice.leader)
            if notice.leader != self._host:
                self._apply_limits(notice.limits)
        self._forwarder.set_host_count(notice.hosts)
        if notice.leader != self._host:
            self._apply_leaving(notice.leaving)
            self._targets.on_cold_report(notice.cold)
            self._apply_paces(notice.paces)
        self._targets.adopt_rooms(notice.rooms)
        for state in self._targets.all():
            load = notice.targets.get(state.entry.name)
            if load is None:
                state.remote_in_flight = 0.0
                continue
            in_flight, service_ms = load
            state.remote_in_flight = max(0.0, in_flight - state.in_flight)
            state.service_seconds = service_ms / 1000

    def _apply_leaving(self, leaving: dict[str, tuple[int, int]]) -> None:
        for name, (incarnation, age_ms) in leaving.items():
            self._targets.on_leaving_report(name, incarnation, age_ms)

    def _apply_limits(self, limits: dict[str, tuple[int, float | None, int]]) -> None:
        for name, (incarnation, requests_per_second, age_ms) in limits.items():
            state = self._targets.find(name, incarnation)
            if state is not None:
                state.limit.on_report(requests_per_second, age_ms)


def _intervals(notice: LoadNotice) -> dict[str, tuple[int, Interval]]:
    """Return what a host reports of how the targets answered it."""
    return {
        name: (
            incarnation,
            Interval(answered, ms / 1000, refused, failed, unreachable, is_resting),
        )
        for name, (
            incarnation,
            answered,
            ms,
            refused,
            failed,
            unreachable,
            is_resting,
        ) in notice.experiences.items()
    }
