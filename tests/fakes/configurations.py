from __future__ import annotations

from balsamway.configuration import WorkspaceConfiguration


class FakeConfigurations:
    """The configurations in force, as the test sets them."""

    def __init__(self, *workspaces: WorkspaceConfiguration) -> None:
        self.found = {
            configuration.workspace: configuration for configuration in workspaces
        }

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        return self.found.get(name)

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        return tuple(self.found[name] for name in sorted(self.found))

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        return None
