"""The configurations in force on this host, whose versions only rise."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from balsamway.configuration.messages import WorkspaceVersion
from balsamway.configuration.token_index import TokenIndex

if TYPE_CHECKING:
    from balsamway.configuration.adopted_configuration import AdoptedConfiguration
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


class ConfigurationTable:
    """The configurations in force on this host, whose versions only rise."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._adopted: dict[str, AdoptedConfiguration] = {}
        self._tokens = TokenIndex()
        self._fingerprint: int | None = None

    @property
    def fingerprint(self) -> int:
        """A hash of the workspaces and their versions in force."""
        if self._fingerprint is None:
            text = "\n".join(f"{v.workspace} {v.version}" for v in self.versions())
            self._fingerprint = xxhash.xxh64_intdigest(text.encode()) >> 1
        return self._fingerprint

    def adopt(self, offered: AdoptedConfiguration) -> bool:
        """Put a configuration in force if its version is higher.

        Args:
            offered: The configuration.

        Returns:
            Whether the configuration was put in force.
        """
        configuration = offered.configuration
        if configuration.version <= self.version(configuration.workspace):
            return False
        self._adopted[configuration.workspace] = offered
        self._tokens.replace(configuration)
        self._fingerprint = None
        return True

    def version(self, workspace: str) -> int:
        """Return the version in force for a workspace; 0 if none is."""
        adopted = self._adopted.get(workspace)
        return 0 if adopted is None else adopted.configuration.version

    def versions(self) -> tuple[WorkspaceVersion, ...]:
        """Return the versions in force, in the order of the workspaces."""
        return tuple(
            WorkspaceVersion(name, self._adopted[name].configuration.version)
            for name in sorted(self._adopted)
        )

    def adopted(self, workspace: str) -> AdoptedConfiguration | None:
        """Return the configuration in force and its source, if any."""
        return self._adopted.get(workspace)

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Return the configuration in force for a workspace, if any."""
        adopted = self._adopted.get(name)
        return None if adopted is None else adopted.configuration

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Return the configurations in force, in the order of their names."""
        return tuple(
            self._adopted[name].configuration for name in sorted(self._adopted)
        )

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Return the workspace whose callers present a token, if any."""
        name = self._tokens.find(token)
        return None if name is None else self.workspace(name)

    def workspaces_sharing_tokens(
        self, configuration: WorkspaceConfiguration
    ) -> list[str]:
        """Return the other workspaces that have a token of this one."""
        return list(self._tokens.workspaces_sharing_tokens(configuration))
