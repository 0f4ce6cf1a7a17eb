"""The configuration of one workspace."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.configuration.service import Service
from balsamway.configuration.weights import Weights
from balsamway.configuration.zone import Zone


@dataclass(frozen=True, slots=True)
class WorkspaceConfiguration:
    """All that the system is told of a workspace; one object in the store."""

    workspace: str
    version: int
    """One more than the version it replaced; never goes back."""
    change_id: str
    """Drawn by the operator's command, to settle a lost answer."""
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    token_hashes: tuple[str, ...]
    """SHA-256, in hexadecimal, of each token that callers may present."""
    weights: Weights = field(default_factory=Weights)
    replaced: tuple[str, ...] = ()
    """The change ids of the versions before, the latest first."""

    @property
    def object_name(self) -> str:
        """The name of the workspace's configuration in the store."""
        return f"configuration/{self.workspace}"

    @property
    def zone_names(self) -> frozenset[str]:
        """The availability zones where the workspace's hosts stand."""
        return frozenset(zone.name for zone in self.zones)

    def service(self, name: str) -> Service | None:
        """Finds a service.

        Args:
            name: The service's name.

        Returns:
            The service, or None where the workspace has none of this name.
        """
        return next((found for found in self.services if found.name == name), None)
