"""The configuration of one workspace."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.configuration.service import Service
from balsamway.configuration.weights import Weights
from balsamway.configuration.zone import Zone


@dataclass(frozen=True, slots=True)
class WorkspaceConfiguration:
    """The configuration of a workspace, kept as one object in the store."""

    workspace: str
    version: int
    """One more than the version that it replaced; it never decreases."""
    change_id: str
    """A random id that shows whether a write with a lost result succeeded."""
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    token_hashes: tuple[str, ...]
    """The SHA-256 in hexadecimal of each token that callers may present."""
    weights: Weights = field(default_factory=Weights)
    replaced: tuple[str, ...] = ()
    """The change ids of earlier versions, the latest first."""

    @property
    def object_name(self) -> str:
        """The name of the workspace's configuration in the store."""
        return f"configuration/{self.workspace}"

    @property
    def zone_names(self) -> frozenset[str]:
        """The names of the workspace's availability zones."""
        return frozenset(zone.name for zone in self.zones)

    def service(self, name: str) -> Service | None:
        """Return a service.

        Args:
            name: The service's name.

        Returns:
            The service, or None if the workspace has none of this name.
        """
        return next((each for each in self.services if each.name == name), None)
