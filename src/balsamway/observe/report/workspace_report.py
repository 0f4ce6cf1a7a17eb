"""The figures of one workspace's report."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.observe.measures import Cost, Imbalance


@dataclass(frozen=True, slots=True)
class TargetBusy:
    """The busy time of one target, as the gateways measured it."""

    target: str
    busy_seconds: float


@dataclass(frozen=True, slots=True)
class RefusedRequests:
    """How many requests were not completed for one reason."""

    reason: str
    requests: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """The measures of one service since the daemons started."""

    service: str
    requests: float
    completed: float
    mean_seconds: float
    """The mean time from a request to its response."""
    imbalance: Imbalance
    targets: tuple[TargetBusy, ...]
    refused: tuple[RefusedRequests, ...]

    @property
    def completed_share(self) -> float:
        """The fraction of completed requests; 1 if there were no requests."""
        return self.completed / self.requests if self.requests else 1.0


@dataclass(frozen=True, slots=True)
class WorkspaceReport:
    """The measures of one workspace since the daemons started."""

    workspace: str
    hosts_asked: int
    """How many entry hosts were queried, including those not reached."""
    hosts_unreached: tuple[str, ...]
    services: tuple[ServiceReport, ...]
    cost: Cost
    """The cost of the whole system, which all workspaces share."""
