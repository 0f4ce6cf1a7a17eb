"""An entry host: all of its parts, started and stopped in order."""

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
from balsamway.node.configuration_handler import ConfigurationHandler
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.node.load_reporter import LoadReporter
from balsamway.node.node_metrics import NodeMetrics
from balsamway.node.object_relay import ObjectRelay
from balsamway.node.readiness_listener import ReadinessListener
from balsamway.node.watch_relay import WATCH_SECONDS, WatchRelay
from balsamway.outcome import Malformed
from balsamway.peers.stream_peers import StreamPeers
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import StoredObject

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.node.node_settings import NodeSettings
    from balsamway.node.platform_adapters import PlatformAdapters
    from balsamway.routing import RoutingConfiguration

TARGETS_REARM_SECONDS = 0.3
"""The pause after a change of targets, in which more changes gather."""
CONFIGURATION_REARM_SECONDS = 0.05
HOUSEKEEPING_SECONDS = 0.25
RECORD_SECONDS = 0.6
"""How often the stored record of keys is read while no leader is heard."""
DRAIN_IDLE_SHARE = 0.48
"""The part of the time to stop in which requests are still taken, so that the
balancer has taken the host out before; the rest is left for them to end."""
DRAIN_WHOLE_SHARE = 0.92

logger = logging.getLogger(__name__)


class EntryNode(mode.Service):
    """Runs the gateway, and the leader's part where this host is elected."""

    def __init__(
        self,
        settings: NodeSettings,
        adapters: PlatformAdapters,
        registry: CollectorRegistry,
    ) -> None:
        """Puts the parts together; nothing runs yet.

        Args:
            settings: The addresses and bounds of this host.
            adapters: The implementations of what is outside.
            registry: Where metrics are registered.
        """
        super().__init__()
        self._settings = settings
        self._rng = random.Random()
        self._is_draining = False
        store = adapters.store
        self._store = store
        self.directory = TargetDirectory()
        metrics = RequestMetrics(registry)
        self.targets = ServiceTargets(
            self.directory,
            metrics.on_connection_opened,
            settings.bounds.drain_seconds,
        )
        self.key_map = KeyMap()
        bounds = settings.bounds
        self.forwarder = Forwarder(
            settings.zone,
            self.targets,
            self.key_map,
            adapters.transport,
            ForwardingSettings(bounds.retry_ratio, bounds.retry_burst),
            (RequestLog(), metrics),
            self._rng,
        )
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
        aggregator = LoadAggregator()
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
        self._listener = EntryListener(
            settings.callers_address, adapters.codec, self.forwarder.forward
        )
        self._readiness = ReadinessListener(
            settings.readiness_address, adapters.readiness_path, self.is_ready
        )
        self._operators = OperatorListener(
            settings.operators_address, registry, self.state, self._health
        )
        self._metrics_listener = OperatorListener(
            settings.metrics_address, registry, self.state, self._health
        )
        NodeMetrics(registry, self)
        self._configuration_watch = KindWatch(
            store,
            adapters.configuration_kind,
            ConfigurationHandler(
                adapters.configuration_name,
                adapters.decode_configuration,
                self._adopt,
            ),
            WATCH_SECONDS,
            CONFIGURATION_REARM_SECONDS,
            self._rng,
        )
        self._targets_watch = KindWatch(
            store,
            adapters.targets_kind,
            DirectoryHandler(self.directory, adapters.decode_target),
            WATCH_SECONDS,
            TARGETS_REARM_SECONDS,
            self._rng,
        )
        watches = {
            adapters.configuration_kind: self._configuration_watch,
            adapters.targets_kind: self._targets_watch,
        }
        self._relay = ObjectRelay(
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
        """Tells whether this host takes new connections."""
        return (
            not self._is_draining
            and self.forwarder.configuration is not None
            and self.directory.has_snapshot
        )

    async def on_start(self) -> None:
        """Starts the parts, the listener for callers last."""
        for part in (
            self._readiness,
            self._operators,
            self._metrics_listener,
            self._peers,
            self._configuration_watch,
            self._targets_watch,
            self.lease,
            self.leader,
            self._reporter,
            self._relay,
            self._watch_relay,
            self._listener,
        ):
            await self.add_runtime_dependency(part)

    async def drain(self) -> None:
        """Lets requests and connections end, and gives leadership up."""
        began = now()
        self._is_draining = True
        logger.info("draining", extra={"in_progress": self._listener.in_progress})
        # The store may leave this without an answer until the host must end.
        self.add_future(self.lease.resign())
        grace = self._settings.bounds.grace_seconds
        await self._listener.drain(DRAIN_IDLE_SHARE * grace, DRAIN_WHOLE_SHARE * grace)
        logger.info(
            "drained",
            extra={
                "in_progress": self._listener.in_progress,
                "seconds": round(now() - began, 3),
            },
        )

    def state(self) -> dict[str, object]:
        """Gives what this host believes, for the state dump."""
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
            "callers": self._listener.dump(),
            "forwarding": self.forwarder.dump(),
            "keys": self.key_map.dump(),
            "leading": self.leader.dump(),
            "peers": self._peers.dump(),
        }

    @property
    def configuration_age_seconds(self) -> float | None:
        """How long ago the store last told of the configuration."""
        return self._configuration_watch.age_seconds

    @property
    def targets_age_seconds(self) -> float | None:
        """How long ago the store last told of the targets."""
        return self._targets_watch.age_seconds

    @property
    def in_progress(self) -> int:
        """How many callers' requests are in progress."""
        return self._listener.in_progress

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
            self._listener.limits = configuration.limits

    def _keyed_services(self) -> tuple[str, ...]:
        configuration = self.forwarder.configuration
        return () if configuration is None else configuration.keyed_services

    @mode.Service.task
    async def _keep_house(self) -> None:
        while not self.should_stop:
            await self.sleep(HOUSEKEEPING_SECONDS)
            self.directory.remove_expired()
            self.targets.close_idle()

    @mode.Service.task
    async def _read_records(self) -> None:
        """Reads who holds which keys while the leader is not heard."""
        while not self.should_stop:
            await self.sleep(RECORD_SECONDS)
            if not self.key_map.is_stale:
                continue
            for service in self._keyed_services():
                found = await self._store.read(
                    KEY_RECORD_KIND, service, allow_stale=True
                )
                if not isinstance(found, StoredObject):
                    continue
                record = decode_record(found.body)
                if not isinstance(record, Malformed):
                    self.key_map.on_record(service, record)
