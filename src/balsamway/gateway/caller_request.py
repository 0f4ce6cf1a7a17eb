"""A caller's request that has passed all checks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration import RequestKind, Service, WorkspaceConfiguration


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller made it, checked."""

    workspace: WorkspaceConfiguration
    service: Service
    kind: RequestKind
    request_id: str
    key: str
    """The key, empty if the caller gave none."""
    deadline: float
    """When the caller stops waiting, in event loop time."""
    body: bytes
    content_type: str = "application/octet-stream"

    @property
    def metric_labels(self) -> tuple[str, str, str]:
        """The metric labels: names of the workspace, service and kind."""
        return self.workspace.workspace, self.service.name, self.kind.name
