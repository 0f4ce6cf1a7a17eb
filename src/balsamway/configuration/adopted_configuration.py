"""A configuration in force on this host."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


@dataclass(frozen=True, slots=True)
class AdoptedConfiguration:
    """A configuration in force on this host, and how it came."""

    configuration: WorkspaceConfiguration
    body: bytes
    """The configuration as the store holds it, to pass on."""
    source: str
    """`store`, or the name of the host that passed it on."""
    adopted_at: float
    """The runtime's clock, in seconds."""
