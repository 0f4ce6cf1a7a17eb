"""Keeps the directory of hosts, by the host list and by heartbeats."""

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

HEARTBEAT_SECONDS = 0.3
LIVE_SECONDS = 1.2
HOST_LIST_SECONDS = 1.0
HOST_LIST_JITTER_SECONDS = 0.3
PEER_COPY_AFTER_SECONDS = 3.0
PEER_COPY_TIMEOUT_SECONDS = 0.5
PEER_FORGOTTEN_SECONDS = 60.0

logger = logging.getLogger(__name__)


class MembershipService(mode.Service):
    """Implements `HostDirectory`."""

    def __init__(
        self,
        host: Host,
        incarnation: int,
        host_list: HostList,
        seeds: tuple[Host, ...],
        rng: random.Random,
    ) -> None:
        """Prepares the directory.

        Args:
            host: This host, as peers shall know it.
            incarnation: The number of this run of the daemon.
            host_list: The platform's list.
            seeds: Entry hosts named in the settings, for a start while the
                platform is away.
            rng: Spreads the calls.
        """
        super().__init__()
        self._host = host
        self._incarnation = incarnation
        self._host_list = host_list
        self._rng = rng
        self._seeds = {seed.name: seed for seed in seeds}
        self._listed: dict[str, Host] = {}
        self._listed_at: float | None = None
        self._states: dict[str, PeerState] = {}
        self._targets = TargetTable()
        self._entry_hosts: tuple[Host, ...] | None = None
        self._stopping = False
        self._peers: Peers | None = None
        self._leads: Callable[[], tuple[LeadershipClaim, ...]] = tuple
        self._zones: Callable[[], frozenset[str]] = frozenset

    @property
    def host(self) -> Host:
        """This host."""
        return self._host

    @property
    def incarnation(self) -> int:
        """The number of this run of the daemon."""
        return self._incarnation

    def connect(self, peers: Peers) -> None:
        """Sets the peers, and the handlers for what they send.

        Args:
            peers: The streams to the other entry hosts.
        """
        self._peers = peers
        peers.register_handler(Heartbeat, self._on_heartbeat)
        peers.register_handler(HostsQuery, self._on_hosts_query)

    def set_leadership_source(
        self, leads: Callable[[], tuple[LeadershipClaim, ...]]
    ) -> None:
        """Sets where heartbeats take this host's leaderships from.

        Args:
            leads: Gives the shards led, with their epochs.
        """
        self._leads = leads

    def limit_heartbeat_zones(self, zones: Callable[[], frozenset[str]]) -> None:
        """Sets which availability zones' entry hosts get heartbeats.

        Args:
            zones: Gives the zones that this host works with; empty for all.
        """
        self._zones = zones

    def announce_stopping(self) -> None:
        """Tells peers from now on that this daemon is about to stop."""
        self._stopping = True
        self._send_heartbeats()

    def update_own_host(self, host: Host) -> None:
        """Replaces what peers are told of this host.

        Args:
            host: This host, once its listeners are bound.
        """
        self._host = host
        self._entry_hosts = None

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Lists the targets of a service; see `HostDirectory`."""
        return self._targets.of_service(workspace, service, now())

    def target(self, name: str) -> Host | None:
        """Finds a target by name; see `HostDirectory`."""
        return self._targets.find(name, now())

    def all_targets(self) -> tuple[Host, ...]:
        """Lists the targets of every service, in the order of their names."""
        return self._targets.all(now())

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts; see `HostDirectory`."""
        if self._entry_hosts is None:
            known = self._seeds | self._listed_entry_hosts()
            for state in self._states.values():
                known[state.heartbeat.host.name] = state.heartbeat.host
            known[self._host.name] = self._host
            self._entry_hosts = tuple(known[name] for name in sorted(known))
        return self._entry_hosts

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists the daemons heard from lately; see `HostDirectory`."""
        live = {self._host.name: Witness(self._host.name, self._incarnation)}
        for name, state in self._states.items():
            if self._is_live(state):
                live[name] = Witness(name, state.heartbeat.incarnation)
        return tuple(live[name] for name in sorted(live))

    def leader_of(self, shard: ShardId) -> str | None:
        """Names the host that claims a shard; see `HostDirectory`."""
        claims = [
            (claim.epoch, state.heartbeat.host.name)
            for state in self._states.values()
            if self._is_live(state)
            for claim in state.heartbeat.leads
            if claim.shard == shard
        ]
        claims.extend(
            (claim.epoch, self._host.name)
            for claim in self._leads()
            if claim.shard == shard
        )
        return max(claims)[1] if claims else None

    def mark_leaving(self, target: str) -> None:
        """Records that a target is leaving; see `HostDirectory`."""
        self._targets.mark_leaving(target, now())

    def address_of(self, name: str) -> str | None:
        """Gives the address of an entry host's peer listener.

        Args:
            name: The host's name.

        Returns:
            The `ip:port`, or None for a host that is not known.
        """
        state = self._states.get(name)
        if state is not None and self._is_live(state):
            return state.heartbeat.host.address
        found = self._listed.get(name) or self._seeds.get(name)
        return found.address if found is not None else None

    def dump(self) -> dict[str, object]:
        """Describes the directory for the state dump."""
        moment = now()
        return {
            "host": self._host.name,
            "incarnation": self._incarnation,
            "host_list_age_seconds": self._list_age(),
            "entry_hosts": {
                name: {
                    "zone": state.heartbeat.host.zone,
                    "incarnation": state.heartbeat.incarnation,
                    "silent_seconds": round(moment - state.heard_at, 3),
                    "stopping": state.heartbeat.stopping,
                    "leads": [str(claim.shard) for claim in state.heartbeat.leads],
                }
                for name, state in sorted(self._states.items())
            },
            "targets": self._targets.dump(moment),
        }

    @mode.Service.task
    async def _beat(self) -> None:
        while not self.should_stop:
            self._send_heartbeats()
            self._forget_lost_peers()
            await self.sleep(HEARTBEAT_SECONDS)

    @mode.Service.task
    async def _follow_host_list(self) -> None:
        while not self.should_stop:
            await self._read_host_list()
            if self._list_age() > PEER_COPY_AFTER_SECONDS:
                await self._copy_from_peer()
            jitter = HOST_LIST_JITTER_SECONDS * self._rng.random()
            await self.sleep(HOST_LIST_SECONDS + jitter)

    async def _read_host_list(self) -> None:
        match await self._host_list.hosts():
            case Unavailable(reason=reason):
                logger.warning("host list unavailable", extra={"reason": reason})
            case hosts:
                self._adopt(hosts, 0.0)

    async def _copy_from_peer(self) -> None:
        peers = [host.name for host in self.entry_hosts() if host != self._host]
        if self._peers is None or not peers:
            return
        answer = await self._peers.call(
            self._rng.choice(peers), HostsQuery(), PEER_COPY_TIMEOUT_SECONDS
        )
        match answer:
            case HostsAnswer(hosts=hosts, age_seconds=age):
                if age < self._list_age():
                    self._adopt(hosts, age)
            case _:
                return

    def _adopt(self, hosts: tuple[Host, ...], age_seconds: float) -> None:
        moment = now()
        self._listed = {host.name: host for host in hosts}
        self._listed_at = moment - age_seconds
        self._entry_hosts = None
        targets = [host for host in hosts if host.role is HostRole.TARGET]
        self._targets.adopt(tuple(targets), moment)

    def _listed_entry_hosts(self) -> dict[str, Host]:
        return {
            name: host
            for name, host in self._listed.items()
            if host.role is HostRole.ENTRY and host.state is HostState.LIVE
        }

    def _list_age(self) -> float:
        if self._listed_at is None:
            return float("inf")
        return now() - self._listed_at

    def _is_live(self, state: PeerState) -> bool:
        moment = now()
        return moment - state.heard_at < LIVE_SECONDS and not state.heartbeat.stopping

    def _send_heartbeats(self) -> None:
        if self._peers is None:
            return
        beat = Heartbeat(
            self._host,
            self._incarnation,
            self._leads(),
            self._targets.seen_leaving(now()),
            self._stopping,
        )
        zones = self._zones()
        for host in self.entry_hosts():
            if host.name != self._host.name and (not zones or host.zone in zones):
                self._peers.send(host.name, beat)

    def _forget_lost_peers(self) -> None:
        moment = now()
        for name, state in list(self._states.items()):
            if moment - state.heard_at > PEER_FORGOTTEN_SECONDS:
                del self._states[name]
                self._entry_hosts = None

    async def _on_heartbeat(self, sender: str, beat: Heartbeat) -> None:
        if sender != beat.host.name:
            return
        moment = now()
        known = self._states.get(sender)
        if known is None or known.heartbeat.host != beat.host:
            self._entry_hosts = None
        self._states[sender] = PeerState(beat, moment)
        for target in beat.leaving_targets:
            self._targets.hear_leaving(target, moment)

    async def _on_hosts_query(self, sender: str, query: HostsQuery) -> HostsAnswer:
        return HostsAnswer(tuple(self._listed.values()), min(self._list_age(), 1e9))
