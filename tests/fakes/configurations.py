from __future__ import annotations

from balsamway.configuration import WorkspaceConfiguration


class FakeConfigurations:
    """Configurations in force, set by the test."""

    def __init__(self, *workspaces: WorkspaceConfiguration) -> None:
        self.found = {one.workspace: one for one in workspaces}

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        return self.found.get(name)

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        return tuple(self.found[name] for name in sorted(self.found))

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        return None
