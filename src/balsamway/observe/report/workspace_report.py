"""The report of one workspace, in plain numbers."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.observe.measures import Cost, Imbalance


@dataclass(frozen=True, slots=True)
class TargetBusy:
    """The busy time of one target, as the gateways saw it."""

    target: str
    busy_seconds: float


@dataclass(frozen=True, slots=True)
class RefusedRequests:
    """Requests that were not completed, for one reason."""

    reason: str
    requests: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """The measures of one service since the daemons started."""

    service: str
    requests: float
    completed: float
    mean_seconds: float
    """The mean time to an answer."""
    imbalance: Imbalance
    targets: tuple[TargetBusy, ...]
    refused: tuple[RefusedRequests, ...]

    @property
    def completed_share(self) -> float:
        """The share of the requests that were completed; 1 for none."""
        return self.completed / self.requests if self.requests else 1.0


@dataclass(frozen=True, slots=True)
class WorkspaceReport:
    """The measures of one workspace since the daemons started."""

    workspace: str
    hosts_asked: int
    hosts_unreached: tuple[str, ...]
    services: tuple[ServiceReport, ...]
    cost: Cost
    """Of the whole system, which all workspaces share."""
