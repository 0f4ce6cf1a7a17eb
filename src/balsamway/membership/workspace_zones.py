"""The availability zones of one workspace in the current configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations


class WorkspaceZones:
    """Read a workspace's zones from the configuration in force."""

    def __init__(self, configurations: Configurations, workspace: str) -> None:
        """Create a reader for one workspace.

        Args:
            configurations: The configurations in force.
            workspace: The workspace's name.
        """
        self._configurations = configurations
        self._workspace = workspace

    def current(self) -> frozenset[str]:
        """Return the workspace's zones; empty for an unknown workspace."""
        workspace = self._configurations.workspace(self._workspace)
        return workspace.zone_names if workspace is not None else frozenset()
