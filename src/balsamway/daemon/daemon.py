"""Assemble the services of one entry host into a daemon."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import mode
from prometheus_client import CollectorRegistry

from balsamway.balance import LoadRecorder, LoadReporter, PlacementPlanner
from balsamway.balance.load_table import LoadTable
from balsamway.configuration.configuration_service import ConfigurationService
from balsamway.daemon.health import Health
from balsamway.daemon.operator_listener import OperatorListener
from balsamway.gateway import (
    CallerListener,
    ConnectionWarmer,
    Gateway,
    GatewayMetrics,
)
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.target_pool import TargetPool
from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.membership.membership_service import MembershipService
from balsamway.membership.target_prober import TargetProber
from balsamway.ownership.cluster import Cluster
from balsamway.ownership.leadership_service import LeadershipService
from balsamway.ownership.store_relay import RelayedStore
from balsamway.ownership.view_keeper import ViewKeeper
from balsamway.ownership.witness_service import WitnessService
from balsamway.peers.stream_peers import StreamPeers
from balsamway.slices import Witness
from balsamway.store import Host, HostRole
from balsamway.store.call_counts import CallCounts
from balsamway.store.http_host_list import HttpHostList
from balsamway.store.http_store import HttpStore
from balsamway.targets.http_control import HttpControl
from balsamway.targets.http_transport import HttpTransport

if TYPE_CHECKING:
    from balsamway.settings import Seed, Settings
    from balsamway.slices import ShardId

INCARNATION_BITS = 48
"""The number of random bits that identify one run of the daemon."""


class Daemon(mode.Service):
    """One entry host: gateway, witness and candidate for leadership.

    Services start in the order of their dependencies and stop in the reverse
    order. The listener for callers is stopped first.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the services without starting them.

        Args:
            settings: The settings of this daemon.
        """
        super().__init__()
        self._settings = settings
        self._rng = _create_rng(settings)
        self._incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        self._registry = CollectorRegistry()
        self._is_stopping = False
        self._create_platform_clients()
        self._create_membership()
        self._create_ownership()
        self._create_gateway()
        self._operator_listener = OperatorListener(
            settings.listen.operators, self._registry, self.state, self.health
        )

    @property
    def host(self) -> Host:
        """The description of this host that is sent to peers."""
        return self._membership.host

    @property
    def incarnation(self) -> int:
        """The number that identifies this run of the daemon."""
        return self._incarnation

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the listeners are bound to, by listener."""
        return {
            "callers": self._caller_listener.address,
            "peers": self._peers.address,
            "operators": self._operator_listener.address,
        }

    @property
    def configurations(self) -> ConfigurationService:
        """The service that keeps the configurations in force."""
        return self._configurations

    @property
    def leadership(self) -> LeadershipService:
        """The service that leads shards."""
        return self._leadership

    @property
    def registry(self) -> CollectorRegistry:
        """The registry of this daemon's metrics."""
        return self._registry

    async def on_start(self) -> None:
        """Start the services; peers learn the bound addresses in between."""
        await self.add_runtime_dependency(self._peers)
        await self.add_runtime_dependency(self._operator_listener)
        self._membership.rename(self._host_with_bound_addresses())
        for service in (
            self._store,
            self._host_list,
            self._membership,
            self._prober,
            self._configurations,
            self._witness,
            self._leadership,
            self._views,
            self._load_reporter,
            self._warmer,
            self._caller_listener,
        ):
            await self.add_runtime_dependency(service)
        self._membership.rename(self._host_with_bound_addresses())

    async def stop(self) -> None:
        """Stop gracefully: complete the requests in progress first."""
        self._is_stopping = True
        self._membership.announce_stopping()
        await self._caller_listener.stop()
        await self._warmer.stop()
        await self._leadership.stop()
        await self._transport.close()
        await self._control.close()
        await super().stop()

    def health(self) -> Health:
        """Return whether this daemon accepts requests, and its versions."""
        versions = dict(self._configurations.versions())
        is_ready = (
            bool(versions) and self._caller_listener.started and not self._is_stopping
        )
        return Health(
            self._settings.host,
            self._settings.zone,
            is_ready,
            self._is_stopping,
            versions,
        )

    def state(self) -> dict[str, object]:
        """Return the state dump of the process for operators."""
        return {
            "host": self._settings.host,
            "zone": self._settings.zone,
            "addresses": self.addresses,
            "clock": asyncio.get_running_loop().time(),
            "stopping": self._is_stopping,
            "configurations": self._configurations.dump(),
            "membership": self._membership.dump(),
            "peers": self._peers.dump(),
            "witness": self._witness.dump(),
            "leadership": self._leadership.dump(),
            "views": self._views.dump(),
            "gateway": self._gateway.dump(),
            "callers": self._caller_listener.dump(),
            "loads": self._loads.dump(),
        }

    def _create_platform_clients(self) -> None:
        settings = self._settings
        counts = CallCounts(self._registry)
        self._store = HttpStore(settings.platform, settings.zone, counts)
        self._host_list = HttpHostList(settings.platform, settings.zone, counts)

    def _create_membership(self) -> None:
        settings = self._settings
        self._membership = MembershipService(
            self._host_from_settings(),
            self._incarnation,
            self._host_list,
            tuple(_host_from_seed(seed) for seed in settings.seeds),
            self._rng,
        )
        self._peers = StreamPeers(
            settings.host,
            self._incarnation,
            settings.listen.peers,
            self._membership.address_of,
            self._rng,
        )
        self._membership.connect(self._peers)
        self._prober = TargetProber(self._membership, self._probers_of)
        self._configurations = ConfigurationService(
            settings.host,
            settings.zone,
            self._store,
            self._peers,
            self._membership,
            self._rng,
            self._registry,
        )

    def _create_ownership(self) -> None:
        me = Witness(self._settings.host, self._incarnation)
        self._control = HttpControl()
        store = RelayedStore(
            self._settings.host, self._store, self._peers, self._membership, self._rng
        )
        cluster = Cluster(
            me,
            store,
            self._peers,
            self._control,
            self._membership,
            self._settings.timing,
            self._rng,
        )
        self._loads = LoadTable(self._peers)
        self._witness = WitnessService(me, self._peers, self._settings.timing)
        self._leadership = LeadershipService(
            cluster, self._configurations, _create_planner, self._loads
        )
        self._views = ViewKeeper(cluster)
        self._membership.announce(self._leadership_claims)
        self._membership.narrow(self._zones_of_shared_workspaces)

    def _create_gateway(self) -> None:
        settings = self._settings
        metrics = GatewayMetrics(self._registry)
        budget = ConnectionBudget(settings.host, self._membership, self._configurations)
        pool = TargetPool(self._membership, budget, self._rng)
        self._transport = HttpTransport(budget.limit, metrics.on_open)
        self._warmer = ConnectionWarmer(
            self._membership, self._configurations, self._transport, budget
        )
        recorder = LoadRecorder()
        self._load_reporter = LoadReporter(
            recorder, self._views, self._membership, self._peers
        )
        self._gateway = Gateway(
            pool,
            self._views,
            self._transport,
            recorder,
            metrics,
            settings.zone,
            self._rng,
        )
        self._caller_listener = CallerListener(
            settings.listen.callers, self._gateway, self._configurations, metrics
        )

    def _leadership_claims(self) -> tuple[LeadershipClaim, ...]:
        return tuple(
            LeadershipClaim(led.shard, led.epoch) for led in self._leadership.led
        )

    def _probers_of(self, target: Host) -> list[str]:
        """Return the names of the entry hosts that may probe a target.

        Targets of services with exclusive keys are not probed, since their
        leaders learn by themselves which owners of keys are draining.
        """
        workspace = self._configurations.workspace(target.workspace)
        service = workspace.service(target.service) if workspace else None
        if workspace is None or service is None or service.exclusive_keys:
            return []
        zones = workspace.zone_names
        hosts = self._membership.entry_hosts()
        return [host.name for host in hosts if host.zone in zones]

    def _zones_of_shared_workspaces(self) -> frozenset[str]:
        """Return the zones of all workspaces that include this host's zone."""
        zone = self._settings.zone
        workspaces = self._configurations.workspaces()
        zones_by_workspace = [
            workspace.zone_names
            for workspace in workspaces
            if zone in workspace.zone_names
        ]
        return frozenset().union(*zones_by_workspace)

    def _host_from_settings(self) -> Host:
        settings = self._settings
        return Host(
            settings.host,
            HostRole.ENTRY,
            settings.zone,
            settings.listen.peers,
            operators_address=settings.listen.operators,
            callers_address=settings.listen.callers,
        )

    def _host_with_bound_addresses(self) -> Host:
        return Host(
            self._settings.host,
            HostRole.ENTRY,
            self._settings.zone,
            self._peers.address,
            operators_address=self._operator_listener.address,
            callers_address=self._caller_listener.address,
        )


def _create_rng(settings: Settings) -> random.Random:
    # Hosts with the same seed must not draw the same numbers. Otherwise, the
    # change ids of different writers would be equal, and hosts would claim
    # leadership at the same moments again and again.
    if settings.seed is None:
        return random.Random()
    return random.Random(f"{settings.seed}|{settings.host}")


def _create_planner(shard: ShardId) -> PlacementPlanner:
    return PlacementPlanner(seed=shard.index)


def _host_from_seed(seed: Seed) -> Host:
    return Host(seed.host, HostRole.ENTRY, seed.zone, seed.peers)
