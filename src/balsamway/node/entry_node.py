"""An entry host: all of its components, started and stopped in order."""

from __future__ import annotations

import logging
import random
import time
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.daemon.health import Health
from balsamway.daemon.operator_listener import OperatorListener
from balsamway.discovery import TargetDirectory
from balsamway.entry import EntryListener
from balsamway.entry.caller_metrics import CallerMetrics
from balsamway.entry.connection_limit import caller_connection_limit
from balsamway.evacuation import EvacuatedZones
from balsamway.exchange import ByteBudget
from balsamway.exchange.refusal_probe import is_refusing
from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.forwarding_settings import ForwardingSettings
from balsamway.forwarding.request_log import RequestLog
from balsamway.forwarding.request_metrics import RequestMetrics
from balsamway.forwarding.service_targets import ServiceTargets
from balsamway.keyspace.key_leader import KeyLeader
from balsamway.keyspace.key_map import KeyMap
from balsamway.keyspace.key_record import decode_record
from balsamway.keyspace.leader_lease import LeaderLease
from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.keyspace.record_writer import KEY_RECORD_KIND
from balsamway.limits import ColdBudget
from balsamway.limits.cold_notices import ColdNotices
from balsamway.limits.limit_metrics import LimitMetrics
from balsamway.limits.token_client import TokenClient
from balsamway.node.configuration_handler import ConfigurationHandler
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.node.evacuation_watches import evacuation_watches
from balsamway.node.event_loop_delay import EventLoopDelay
from balsamway.node.load_reporter import LoadReporter
from balsamway.node.node_metrics import NodeMetrics
from balsamway.node.peer_snapshot_sync import PeerSnapshotSync
from balsamway.node.readiness_listener import ReadinessListener
from balsamway.node.watch_relay import MAX_WATCH_SECONDS, WatchRelay
from balsamway.outcome import Malformed
from balsamway.peers.stream_peers import StreamPeers
from balsamway.quarantine.guarded_transport import GuardedTransport
from balsamway.quarantine.quarantine import Quarantine
from balsamway.quarantine.quarantine_metrics import QuarantineMetrics
from balsamway.store.era import era_of
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import StoredObject

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.entry import EntryRequest
    from balsamway.node.node_settings import NodeSettings
    from balsamway.node.platform_adapters import PlatformAdapters
    from balsamway.outcome import Verdict
    from balsamway.routing import RoutingConfiguration

TARGETS_COALESCE_SECONDS = 0.3
"""The pause between a change of targets and the next watch call, so that
further changes arrive in one response."""
CONFIGURATION_COALESCE_SECONDS = 0.05
"""The pause between a change of the configuration and the next watch call."""
HOUSEKEEPING_INTERVAL_SECONDS = 0.25
"""The interval at which expired targets are removed and idle connections are
closed."""
KEY_RECORD_READ_INTERVAL_SECONDS = 0.6
"""The interval at which the stored records of key owners are read while no
messages of a leader arrive."""
DRAIN_ACCEPT_FRACTION = 0.48
"""The fraction of the time to stop in which requests are still accepted. The
load balancer must have taken the host out of service before it ends. The
remaining time is for requests in progress to complete."""
DRAIN_TOTAL_FRACTION = 0.92
"""The fraction of the time to stop after which draining ends, even if
requests are still in progress."""

logger = logging.getLogger(__name__)


class EntryNode(mode.Service):
    """Forward callers' requests, and lead the entry hosts while elected."""

    def __init__(
        self,
        settings: NodeSettings,
        adapters: PlatformAdapters,
        registry: CollectorRegistry,
    ) -> None:
        """Create the components without starting them.

        Args:
            settings: The addresses and limits of this host.
            adapters: The adapters to the platform.
            registry: The registry for this host's metrics.
        """
        super().__init__()
        self._settings = settings
        self._rng = random.Random()
        self._is_draining = False
        store = adapters.store
        self._store = store
        self.evacuated_zones = EvacuatedZones(settings.bounds.evacuate_seconds)
        self.directory = TargetDirectory(self.evacuated_zones)
        metrics = RequestMetrics(registry)
        self._byte_budget = ByteBudget.of_memory(settings.memory_megabytes)
        self.targets = ServiceTargets(
            self.directory,
            metrics.on_connection_opened,
            settings.bounds.drain_seconds,
            self._byte_budget,
        )
        self.key_map = KeyMap()
        bounds = settings.bounds
        self._peer_addresses: dict[str, str] = {}
        self._peers = StreamPeers(
            settings.host,
            time.time_ns() // 1_000_000,
            settings.peers_address,
            self._peer_addresses.get,
            self._rng,
        )
        self.lease = LeaderLease(
            store,
            settings.host,
            settings.peers_address,
            self.targets.reaches_most_targets,
            self._rng,
        )
        self._token_client = TokenClient(
            settings.host,
            self._peers,
            self.lease,
            self.targets,
            lambda: self._reporter.token_leader,
            lambda: self._reporter.host_count,
            LimitMetrics(registry),
            self._rng,
            ColdBudget(bounds.warmup_excess, bounds.warmup_slack),
        )
        aggregator = LoadAggregator()
        ColdNotices(
            settings.host,
            self._peers,
            lambda: self._reporter.leader_name,
            lambda: aggregator.hosts,
            self.targets,
        )
        self._quarantine = Quarantine(
            settings.host,
            self._peers,
            lambda: self._reporter.leader_name,
            lambda: aggregator.hosts,
            is_refusing,
            QuarantineMetrics(registry),
            self._rng,
        )
        self.forwarder = Forwarder(
            settings.zone,
            self.targets,
            self.key_map,
            GuardedTransport(adapters.transport, self._quarantine),
            self._token_client,
            ForwardingSettings(
                bounds.retry_ratio,
                bounds.retry_burst,
                region_by_zone=settings.region_by_zone,
            ),
            (RequestLog(), metrics),
            self._rng,
        )
        self._reporter = LoadReporter(
            settings.host,
            settings.zone,
            settings.peers_address,
            self._peers,
            self._peer_addresses,
            self.forwarder,
            self.targets,
            self.key_map,
            self.lease,
            aggregator,
        )
        self.leader = KeyLeader(
            store,
            self.lease,
            self.directory,
            aggregator,
            adapters.control,
            self._keyed_services,
            self._reporter.publish,
        )
        self._reporter.leader = self.leader
        caller_metrics = CallerMetrics(registry)
        self._caller_listener = EntryListener(
            settings.callers_address,
            adapters.codec,
            self._forward,
            self._byte_budget,
            caller_connection_limit(settings.max_descriptors),
            caller_metrics,
            self.forwarder.timeout_seconds,
        )
        caller_metrics.watch(self._caller_listener, self._byte_budget)
        self._readiness_listener = ReadinessListener(
            settings.readiness_address, adapters.readiness_path, self.is_ready
        )
        self._operator_listener = OperatorListener(
            settings.operators_address, registry, self.state, self._health
        )
        self._metrics_listener = OperatorListener(
            settings.metrics_address, registry, self.state, self._health
        )
        NodeMetrics(registry, self)
        self._event_loop_delay = EventLoopDelay(registry)
        self._configuration_watch = KindWatch(
            store,
            adapters.configuration_kind,
            ConfigurationHandler(
                adapters.configuration_name,
                adapters.decode_configuration,
                self._adopt,
            ),
            MAX_WATCH_SECONDS,
            CONFIGURATION_COALESCE_SECONDS,
            self._rng,
        )
        self._targets_watch = KindWatch(
            store,
            adapters.targets_kind,
            DirectoryHandler(self.directory, adapters.decode_target),
            MAX_WATCH_SECONDS,
            TARGETS_COALESCE_SECONDS,
            self._rng,
        )
        self._evacuation_watches = evacuation_watches(
            settings, adapters, self.evacuated_zones, self._rng
        )
        watches = {
            **self._evacuation_watches,
            adapters.configuration_kind: self._configuration_watch,
            adapters.targets_kind: self._targets_watch,
        }
        self._snapshot_sync = PeerSnapshotSync(
            self._peers,
            self._peer_addresses,
            settings.seeds,
            settings.peers_address,
            watches,
            self._reporter,
            self._rng,
        )
        self._watch_relay = WatchRelay(
            settings.host, self._peers, lambda: aggregator.hosts, watches, self.lease
        )

    def is_ready(self) -> bool:
        """Return whether this host accepts new connections.

        It does once it has a configuration, the list of targets and that of
        evacuated zones, and until it begins to drain.
        """
        return (
            not self._is_draining
            and self.forwarder.configuration is not None
            and self.directory.has_snapshot
            and self.evacuated_zones.is_known
        )

    async def on_start(self) -> None:
        """Start the components, the listener for callers last."""
        for component in (
            self._readiness_listener,
            self._operator_listener,
            self._metrics_listener,
            self._peers,
            self._configuration_watch,
            self._targets_watch,
            *self._evacuation_watches.values(),
            self.lease,
            self.leader,
            self._reporter,
            self._token_client,
            self._quarantine,
            self._snapshot_sync,
            self._watch_relay,
            self._event_loop_delay,
            self._caller_listener,
        ):
            await self.add_runtime_dependency(component)

    async def drain(self) -> None:
        """Complete the requests in progress and resign from leadership.

        Listeners stay open during the first part of the time to stop, while
        the readiness path tells the load balancer to take the host out.
        """
        began_at = now()
        self._is_draining = True
        logger.info(
            "draining", extra={"in_progress": self._caller_listener.in_progress}
        )
        # This does not wait for the resignation: the store may not answer
        # before the host has to stop.
        self.add_future(self.lease.resign())
        grace = self._settings.bounds.grace_seconds
        self.forwarder.stop_sending_at(began_at + DRAIN_ACCEPT_FRACTION * grace)
        await self._caller_listener.drain(
            DRAIN_ACCEPT_FRACTION * grace, DRAIN_TOTAL_FRACTION * grace
        )
        logger.info(
            "drained",
            extra={
                "in_progress": self._caller_listener.in_progress,
                "seconds": round(now() - began_at, 3),
            },
        )

    def state(self) -> dict[str, object]:
        """Return the state of this host for the state dump."""
        return {
            "host": self._settings.host,
            "zone": self._settings.zone,
            "ready": self.is_ready(),
            "leader": self.lease.leader,
            "leads": self.lease.epoch,
            "configuration_age_seconds": self._configuration_watch.age_seconds,
            "targets_age_seconds": self._targets_watch.age_seconds,
            "follows_leader": {
                "configuration": self._configuration_watch.is_confirmed,
                "targets": self._targets_watch.is_confirmed,
            },
            "callers": self._caller_listener.dump(),
            "forwarding": self.forwarder.dump(),
            "limits": self._token_client.dump(),
            "targets": self.targets.dump(),
            "rooms": {
                service: room.dump() for service, room in self.targets.rooms().items()
            },
            "responses": self._byte_budget.dump(),
            "quarantine": self._quarantine.dump(),
            "evacuations": self.evacuated_zones.dump(),
            "keys": self.key_map.dump(),
            "leading": self.leader.dump(),
            "peers": self._peers.dump(),
        }

    @property
    def configuration_age_seconds(self) -> float | None:
        """Seconds since the store last confirmed the configuration.

        None if it never did.
        """
        return self._configuration_watch.age_seconds

    @property
    def targets_age_seconds(self) -> float | None:
        """Seconds since the store last confirmed the targets.

        None if it never did.
        """
        return self._targets_watch.age_seconds

    @property
    def in_progress(self) -> int:
        """The number of callers' requests in progress."""
        return self._caller_listener.in_progress

    async def _forward(self, request: EntryRequest) -> Verdict:
        refusal = self._quarantine.early_refusal(request)
        if refusal is not None:
            return refusal
        return await self.forwarder.forward(request)

    def _health(self) -> Health:
        version = self.forwarder.dump()["version"]
        configurations = {"routes": version} if isinstance(version, int) else {}
        return Health(
            self._settings.host,
            self._settings.zone,
            self.is_ready(),
            self._is_draining,
            configurations,
        )

    def _adopt(self, configuration: RoutingConfiguration) -> None:
        if self.forwarder.adopt(configuration):
            self._caller_listener.limits = configuration.limits

    def _keyed_services(self) -> tuple[str, ...]:
        configuration = self.forwarder.configuration
        return () if configuration is None else configuration.keyed_services

    @mode.Service.task
    async def _clean_up_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self.directory.remove_expired()
            self.evacuated_zones.remove_expired()
            self.targets.close_idle()

    @mode.Service.task
    async def _read_key_records(self) -> None:
        """Read the stored owners of keys while no leader's messages arrive."""
        while not self.should_stop:
            await self.sleep(KEY_RECORD_READ_INTERVAL_SECONDS)
            if not self.key_map.is_stale:
                continue
            for service in self._keyed_services():
                result = await self._store.read(
                    KEY_RECORD_KIND, service, allow_stale=True
                )
                if not isinstance(result, StoredObject):
                    continue
                record = decode_record(result.body)
                if not isinstance(record, Malformed):
                    self.key_map.on_record(service, record, era_of(result.version))
