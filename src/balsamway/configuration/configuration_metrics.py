"""Metrics of the configurations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge

if TYPE_CHECKING:
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


class ConfigurationMetrics:
    """Metrics of the versions in force and of received configurations."""

    def __init__(self, registry: CollectorRegistry | None) -> None:
        """Register the metrics.

        Args:
            registry: The registry to use; None for a private one.
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
        self._malformed = Counter(
            "balsamway_configurations_refused",
            "Malformed configurations, by where they came from.",
            ("source",),
            registry=registry,
        )

    def count_adopted(self, configuration: WorkspaceConfiguration, source: str) -> None:
        """Count an adopted configuration and record its version.

        Args:
            configuration: The configuration.
            source: `store`, or the name of the host that sent it.
        """
        self._version.labels(configuration.workspace).set(configuration.version)
        self._adopted.labels(_source_label(source)).inc()

    def count_malformed(self, source: str) -> None:
        """Count a malformed configuration.

        Args:
            source: `store`, or the name of the host that sent it.
        """
        self._malformed.labels(_source_label(source)).inc()


def _source_label(source: str) -> str:
    return source if source == "store" else "peer"
