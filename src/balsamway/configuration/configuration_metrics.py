"""Metrics of the configurations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge

if TYPE_CHECKING:
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


class ConfigurationMetrics:
    """The version in force for each workspace, and its source."""

    def __init__(self, registry: CollectorRegistry | None) -> None:
        """Registers the metrics.

        Args:
            registry: Where to register; None for a registry of its own.
        """
        registry = registry or CollectorRegistry()
        self._version = Gauge(
            "balsamway_configuration_version",
            "The version in force for a workspace.",
            ("workspace",),
            registry=registry,
        )
        self._adopted = Counter(
            "balsamway_configurations_adopted",
            "Configurations put in force, by where they came from.",
            ("source",),
            registry=registry,
        )
        self._refused = Counter(
            "balsamway_configurations_refused",
            "Malformed configurations, by where they came from.",
            ("source",),
            registry=registry,
        )

    def adopted(self, configuration: WorkspaceConfiguration, source: str) -> None:
        """Counts a configuration that was put in force.

        Args:
            configuration: The configuration.
            source: `store`, or the name of a host.
        """
        self._version.labels(configuration.workspace).set(configuration.version)
        self._adopted.labels(_kind(source)).inc()

    def refused(self, source: str) -> None:
        """Counts a malformed configuration.

        Args:
            source: `store`, or the name of a host.
        """
        self._refused.labels(_kind(source)).inc()


def _kind(source: str) -> str:
    return source if source == "store" else "peer"
