"""Keep the directory of hosts up to date by host list and heartbeats."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.membership.heartbeat import Heartbeat
from balsamway.membership.hosts_answer import HostsAnswer
from balsamway.membership.hosts_query import HostsQuery
from balsamway.membership.peer_state import PeerState
from balsamway.membership.target_table import TargetTable
from balsamway.slices.witness import Witness
from balsamway.store import Host, HostRole, HostState, Unavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.membership.leadership_claim import LeadershipClaim
    from balsamway.peers.peers import Peers
    from balsamway.slices.shard_id import ShardId
    from balsamway.store import HostList

HEARTBEAT_INTERVAL_SECONDS = 0.3
"""The interval at which heartbeats are sent to the other entry hosts."""
MAX_HEARTBEAT_AGE_SECONDS = 1.2
"""The time after its last heartbeat for which an entry host counts as live."""
HOST_LIST_INTERVAL_SECONDS = 1.0
"""The shortest pause between two reads of the host list."""
HOST_LIST_JITTER_SECONDS = 0.3
"""The maximum random time that is added to this pause."""
MAX_HOST_LIST_AGE_SECONDS = 3.0
"""The age of the host list above which a peer is asked for its copy."""
PEER_COPY_TIMEOUT_SECONDS = 0.5
"""The longest wait for a peer's copy of the host list."""
PEER_RETENTION_SECONDS = 60.0
"""The time after its last heartbeat for which an entry host stays known."""

logger = logging.getLogger(__name__)


class MembershipService(mode.Service):
    """Exchange heartbeats and read the host list; implements `Directory`.

    While the platform is unavailable, the last host list stays in use, or a
    peer's copy if that is newer.
    """

    def __init__(
        self,
        host: Host,
        incarnation: int,
        host_list: HostList,
        seeds: tuple[Host, ...],
        rng: random.Random,
    ) -> None:
        """Create the directory.

        Args:
            host: The description of this host that is sent to peers.
            incarnation: A number that identifies this run of the daemon.
            host_list: The platform's host list.
            seeds: Entry hosts from the settings, for a start while the
                platform is unavailable.
            rng: Draws the jitter and the peer to query.
        """
        super().__init__()
        self._host = host
        self._incarnation = incarnation
        self._host_list = host_list
        self._rng = rng
        self._seeds = {seed.name: seed for seed in seeds}
        self._listed: dict[str, Host] = {}
        self._listed_at: float | None = None
        self._peer_states: dict[str, PeerState] = {}
        self._targets = TargetTable()
        self._entry_hosts: tuple[Host, ...] | None = None
        self._is_stopping = False
        self._peers: Peers | None = None
        self._leadership_source: Callable[[], tuple[LeadershipClaim, ...]] = tuple
        self._heartbeat_zones: Callable[[], frozenset[str]] = frozenset

    @property
    def host(self) -> Host:
        """The description of this host that is sent to peers."""
        return self._host

    @property
    def incarnation(self) -> int:
        """The number that identifies this run of the daemon."""
        return self._incarnation

    def connect(self, peers: Peers) -> None:
        """Set the connections to peers and register the message handlers.

        Args:
            peers: The connections to the other entry hosts.
        """
        self._peers = peers
        peers.handle(Heartbeat, self._on_heartbeat)
        peers.handle(HostsQuery, self._on_hosts_query)

    def announce(self, leads: Callable[[], tuple[LeadershipClaim, ...]]) -> None:
        """Set the function that provides the shards led by this host.

        Args:
            leads: Return the shards led by this host, with their epochs.
        """
        self._leadership_source = leads

    def narrow(self, zones: Callable[[], frozenset[str]]) -> None:
        """Limit heartbeats to the entry hosts of some availability zones.

        Args:
            zones: Return the zones to send heartbeats to; empty for all.
        """
        self._heartbeat_zones = zones

    def announce_stopping(self) -> None:
        """Send heartbeats that say that this daemon is about to stop."""
        self._is_stopping = True
        self._send_heartbeats()

    def rename(self, host: Host) -> None:
        """Replace the description of this host that is sent to peers.

        Args:
            host: This host, with the addresses that its listeners are bound
                to.
        """
        self._host = host
        self._entry_hosts = None

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Return the targets of a service; see `Directory`."""
        return self._targets.of_service(workspace, service, now())

    def target(self, name: str) -> Host | None:
        """Return a target by name; see `Directory`."""
        return self._targets.find(name, now())

    def all_targets(self) -> tuple[Host, ...]:
        """Return the targets of all services, sorted by name."""
        return self._targets.all(now())

    def entry_hosts(self) -> tuple[Host, ...]:
        """Return the entry hosts; see `Directory`."""
        if self._entry_hosts is None:
            known = self._seeds | self._listed_entry_hosts()
            for state in self._peer_states.values():
                known[state.heartbeat.host.name] = state.heartbeat.host
            known[self._host.name] = self._host
            self._entry_hosts = tuple(known[name] for name in sorted(known))
        return self._entry_hosts

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Return the daemons with a recent heartbeat; see `Directory`."""
        live = {self._host.name: Witness(self._host.name, self._incarnation)}
        for name, state in self._peer_states.items():
            if self._is_live(state):
                live[name] = Witness(name, state.heartbeat.incarnation)
        return tuple(live[name] for name in sorted(live))

    def leader_of(self, shard: ShardId) -> str | None:
        """Return the entry host that claims a shard; see `Directory`."""
        claims = [
            (claim.epoch, state.heartbeat.host.name)
            for state in self._peer_states.values()
            if self._is_live(state)
            for claim in state.heartbeat.leads
            if claim.shard == shard
        ]
        claims.extend(
            (claim.epoch, self._host.name)
            for claim in self._leadership_source()
            if claim.shard == shard
        )
        return max(claims)[1] if claims else None

    def mark_leaving(self, target: str) -> None:
        """Record that a target is draining; see `Directory`."""
        self._targets.mark_draining(target, now())

    def address_of(self, name: str) -> str | None:
        """Return the address of an entry host's peer listener.

        Args:
            name: The host's name.

        Returns:
            The `ip:port`, or None if the host is not known.
        """
        state = self._peer_states.get(name)
        if state is not None and self._is_live(state):
            return state.heartbeat.host.address
        host = self._listed.get(name) or self._seeds.get(name)
        return host.address if host is not None else None

    def dump(self) -> dict[str, object]:
        """Return the directory for the state dump."""
        current_time = now()
        return {
            "host": self._host.name,
            "incarnation": self._incarnation,
            "host_list_age_seconds": self._host_list_age(),
            "entry_hosts": {
                name: {
                    "zone": state.heartbeat.host.zone,
                    "incarnation": state.heartbeat.incarnation,
                    "silent_seconds": round(current_time - state.heard_at, 3),
                    "stopping": state.heartbeat.stopping,
                    "leads": [str(claim.shard) for claim in state.heartbeat.leads],
                }
                for name, state in sorted(self._peer_states.items())
            },
            "targets": self._targets.dump(current_time),
        }

    @mode.Service.task
    async def _run_heartbeats(self) -> None:
        while not self.should_stop:
            self._send_heartbeats()
            self._remove_lost_peers()
            await self.sleep(HEARTBEAT_INTERVAL_SECONDS)

    @mode.Service.task
    async def _poll_host_list(self) -> None:
        while not self.should_stop:
            await self._read_host_list()
            if self._host_list_age() > MAX_HOST_LIST_AGE_SECONDS:
                await self._copy_from_peer()
            jitter = HOST_LIST_JITTER_SECONDS * self._rng.random()
            await self.sleep(HOST_LIST_INTERVAL_SECONDS + jitter)

    async def _read_host_list(self) -> None:
        match await self._host_list.hosts():
            case Unavailable(reason=reason):
                logger.warning("host list unavailable", extra={"reason": reason})
            case hosts:
                self._replace_listed(hosts, 0.0)

    async def _copy_from_peer(self) -> None:
        peers = [host.name for host in self.entry_hosts() if host != self._host]
        if self._peers is None or not peers:
            return
        answer = await self._peers.call(
            self._rng.choice(peers), HostsQuery(), PEER_COPY_TIMEOUT_SECONDS
        )
        match answer:
            case HostsAnswer(hosts=hosts, age_seconds=age):
                if age < self._host_list_age():
                    self._replace_listed(hosts, age)
            case _:
                return

    def _replace_listed(self, hosts: tuple[Host, ...], age_seconds: float) -> None:
        current_time = now()
        self._listed = {host.name: host for host in hosts}
        self._listed_at = current_time - age_seconds
        self._entry_hosts = None
        targets = [host for host in hosts if host.role is HostRole.TARGET]
        self._targets.replace_listed(tuple(targets), current_time)

    def _listed_entry_hosts(self) -> dict[str, Host]:
        return {
            name: host
            for name, host in self._listed.items()
            if host.role is HostRole.ENTRY and host.state is HostState.LIVE
        }

    def _host_list_age(self) -> float:
        if self._listed_at is None:
            return float("inf")
        return now() - self._listed_at

    def _is_live(self, state: PeerState) -> bool:
        current_time = now()
        return (
            current_time - state.heard_at < MAX_HEARTBEAT_AGE_SECONDS
            and not state.heartbeat.stopping
        )

    def _send_heartbeats(self) -> None:
        if self._peers is None:
            return
        heartbeat = Heartbeat(
            self._host,
            self._incarnation,
            self._leadership_source(),
            self._targets.recently_marked_draining(now()),
            self._is_stopping,
        )
        zones = self._heartbeat_zones()
        for host in self.entry_hosts():
            if host.name != self._host.name and (not zones or host.zone in zones):
                self._peers.send(host.name, heartbeat)

    def _remove_lost_peers(self) -> None:
        current_time = now()
        for name, state in list(self._peer_states.items()):
            if current_time - state.heard_at > PEER_RETENTION_SECONDS:
                del self._peer_states[name]
                self._entry_hosts = None

    async def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if sender != heartbeat.host.name:
            return
        current_time = now()
        previous = self._peer_states.get(sender)
        if previous is None or previous.heartbeat.host != heartbeat.host:
            self._entry_hosts = None
        self._peer_states[sender] = PeerState(heartbeat, current_time)
        for target in heartbeat.leaving_targets:
            self._targets.mark_draining_by_peer(target, current_time)

    async def _on_hosts_query(self, sender: str, query: HostsQuery) -> HostsAnswer:
        return HostsAnswer(
            tuple(self._listed.values()), min(self._host_list_age(), 1e9)
        )
