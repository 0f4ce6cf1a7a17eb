"""Gauges of the state of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from prometheus_client import CollectorRegistry

    from balsamway.node.entry_node import EntryNode
    from balsamway.occupancy import ServiceRoom


class NodeMetrics:
    """Export gauges that read the host's state when they are scraped."""

    def __init__(self, registry: CollectorRegistry, node: EntryNode) -> None:
        """Register the gauges.

        Args:
            registry: The registry to register them in.
            node: The entry host whose state they read.
        """
        self._registry = registry
        self._add_gauge(
            "balsamway_entry_ready",
            "Whether the host takes new connections.",
            lambda: float(node.is_ready()),
        )
        self._add_gauge(
            "balsamway_entry_in_progress",
            "Requests of callers in progress.",
            lambda: float(node.in_progress),
        )
        self._add_gauge(
            "balsamway_entry_offered_bytes",
            "Bytes of the bodies of the requests in progress at targets.",
            lambda: float(node.targets.offered_bytes),
        )
        self._add_gauge(
            "balsamway_entry_configuration_version",
            "The version of the configuration in force; 0 without one.",
            lambda: _configuration_version(node),
        )
        self._add_gauge(
            "balsamway_entry_configuration_problems",
            "Parts of the configuration in force that could not be decoded.",
            lambda: _configuration_problems(node),
        )
        self._add_gauge(
            "balsamway_entry_configuration_age_seconds",
            "Since the store last told of the configuration; -1 if never.",
            lambda: _age_or_minus_one(node.configuration_age_seconds),
        )
        self._add_gauge(
            "balsamway_entry_targets_age_seconds",
            "Since the store last told of the targets; -1 if never.",
            lambda: _age_or_minus_one(node.targets_age_seconds),
        )
        self._add_gauge(
            "balsamway_entry_leads",
            "The epoch in which the host leads; 0 if it does not.",
            lambda: float(node.lease.epoch or 0),
        )
        self._add_gauge(
            "balsamway_entry_key_map_stale",
            "Whether the leader has not been heard lately.",
            lambda: float(node.key_map.is_stale),
        )
        self._add_gauge(
            "balsamway_entry_limited_targets",
            "Targets with a limit for the requests of all hosts together.",
            lambda: float(len(node.targets.limited())),
        )
        self._add_gauge(
            "balsamway_entry_cold_targets",
            "Targets that get no more than the rate of cold targets.",
            lambda: float(
                sum(s.cold.limit is not None for s in node.targets.limited())
            ),
        )
        self._add_gauge(
            "balsamway_entry_paced_targets",
            "Targets that start or recover, whose requests have a pace.",
            lambda: float(
                sum(s.pace.limit is not None for s in node.targets.limited())
            ),
        )
        self._add_gauge(
            "balsamway_entry_leaving_targets",
            "Targets that said in a response that they are leaving.",
            lambda: float(len(node.targets.leaving())),
        )
        self._add_gauge(
            "balsamway_entry_resting_targets",
            "Targets that asked this host for rest and are not back yet.",
            lambda: float(len(node.targets.resting())),
        )
        self._add_gauge(
            "balsamway_entry_full_targets",
            "Targets that are estimated to hold all requests that they accept.",
            lambda: float(len(node.targets.full())),
        )
        self._add_gauge(
            "balsamway_entry_resetting_services",
            "Services whose targets reset connections when they are full.",
            lambda: float(sum(room.is_resetting for room in _rooms(node))),
        )
        self._add_gauge(
            "balsamway_entry_fullness_refusals",
            "Requests refused since the start because all targets were full.",
            lambda: float(sum(room.refused_for_fullness for room in _rooms(node))),
        )
        self._add_gauge(
            "balsamway_entry_unreadable_loads",
            "Responses since the start with a load that could not be decoded.",
            lambda: float(sum(room.unreadable_loads for room in _rooms(node))),
        )

        self._add_gauge(
            "balsamway_entry_evacuated_zones",
            "Zones to whose targets this host sends no new requests.",
            lambda: float(len(node.evacuated_zones.zones)),
        )

    def _add_gauge(
        self, name: str, documentation: str, read_value: Callable[[], float]
    ) -> None:
        Gauge(name, documentation, registry=self._registry).set_function(read_value)


def _rooms(node: EntryNode) -> Iterable[ServiceRoom]:
    return node.targets.rooms().values()


def _configuration_version(node: EntryNode) -> float:
    configuration = node.forwarder.configuration
    return float(configuration.version) if configuration is not None else 0.0


def _configuration_problems(node: EntryNode) -> float:
    configuration = node.forwarder.configuration
    return float(len(configuration.problems)) if configuration is not None else 0.0


def _age_or_minus_one(seconds: float | None) -> float:
    return -1.0 if seconds is None else seconds
