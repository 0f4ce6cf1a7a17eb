"""The availability zones of one workspace, as configured now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations


class WorkspaceZones:
    """Reads a workspace's zones from the configuration in force."""

    def __init__(self, configurations: Configurations, workspace: str) -> None:
        """Names the workspace.

        Args:
            configurations: The configurations in force.
            workspace: The workspace's name.
        """
        self._configurations = configurations
        self._workspace = workspace

    def current(self) -> frozenset[str]:
        """Gives the workspace's zones; empty for an unknown workspace."""
        found = self._configurations.workspace(self._workspace)
        return found.zone_names if found is not None else frozenset()
