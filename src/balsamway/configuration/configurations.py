"""The interface to the configurations in force on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


class Configurations(Protocol):
    """The configurations that this host has adopted."""

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Return the configuration in force for a workspace.

        Args:
            name: The workspace's name.

        Returns:
            The configuration, or None if this host has none for the workspace.
        """
        ...

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Return the configurations in force, in the order of their names."""
        ...

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Return the workspace whose callers present a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The configuration, or None unless exactly one workspace has it.
        """
        ...
