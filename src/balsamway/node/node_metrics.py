"""Gauges of what an entry host believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from balsamway.node.entry_node import EntryNode


class NodeMetrics:
    """Reads the host's state whenever the metrics are fetched."""

    def __init__(self, registry: CollectorRegistry, node: EntryNode) -> None:
        """Registers the gauges.

        Args:
            registry: Where to register.
            node: The host.
        """
        self._registry = registry
        self._gauge(
            "balsamway_entry_ready",
            "Whether the host takes new connections.",
            lambda: float(node.is_ready()),
        )
        self._gauge(
            "balsamway_entry_in_progress",
            "Requests of callers in progress.",
            lambda: float(node.in_progress),
        )
        self._gauge(
            "balsamway_entry_configuration_version",
            "The version of the configuration in force; 0 without one.",
            lambda: _version(node),
        )
        self._gauge(
            "balsamway_entry_configuration_age_seconds",
            "Since the store last told of the configuration; -1 if never.",
            lambda: _age(node.configuration_age_seconds),
        )
        self._gauge(
            "balsamway_entry_targets_age_seconds",
            "Since the store last told of the targets; -1 if never.",
            lambda: _age(node.targets_age_seconds),
        )
        self._gauge(
            "balsamway_entry_leads",
            "The epoch in which the host leads; 0 if it does not.",
            lambda: float(node.lease.epoch or 0),
        )
        self._gauge(
            "balsamway_entry_key_map_stale",
            "Whether the leader has not been heard lately.",
            lambda: float(node.key_map.is_stale),
        )

    def _gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        Gauge(name, text, registry=self._registry).set_function(read)


def _version(node: EntryNode) -> float:
    configuration = node.forwarder.configuration
    return float(configuration.version) if configuration is not None else 0.0


def _age(seconds: float | None) -> float:
    return -1.0 if seconds is None else seconds
