"""A request as a caller made it, checked."""

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
    """Empty where the caller gave none."""
    deadline: float
    """When the caller stops waiting, by the runtime's clock."""
    body: bytes
    content_type: str = "application/octet-stream"

    @property
    def labels(self) -> tuple[str, str, str]:
        """The names of the workspace, the service and the kind."""
        return self.workspace.workspace, self.service.name, self.kind.name
