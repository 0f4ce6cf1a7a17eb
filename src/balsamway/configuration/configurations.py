"""The interface to the configurations in force on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


class Configurations(Protocol):
    """The configurations that this host has adopted."""

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Gives the configuration in force for a workspace.

        Args:
            name: The workspace's name.

        Returns:
            The configuration, or None for a workspace not known here.
        """
        ...

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Lists the configurations in force, in the order of their names."""
        ...

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Finds the workspace whose callers present a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The configuration, or None where no workspace has the token.
        """
        ...
