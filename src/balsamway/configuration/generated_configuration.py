"""A configuration with the origin of each of its values."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.provenance import Provenance
from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


@dataclass(frozen=True, slots=True)
class GeneratedConfiguration:
    """A configuration with the origin of each of its values."""

    configuration: WorkspaceConfiguration
    provenance: tuple[Provenance, ...]
