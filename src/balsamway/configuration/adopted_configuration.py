"""A configuration in force on this host."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


@dataclass(frozen=True, slots=True)
class AdoptedConfiguration:
    """A configuration in force on this host, with its source."""

    configuration: WorkspaceConfiguration
    body: bytes
    """The encoded configuration as stored, to send to other hosts."""
    source: str
    """`store`, or the name of the host that sent it."""
    adopted_at: float
    """Event loop time of the adoption, in seconds."""
