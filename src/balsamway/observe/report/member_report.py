"""The report of one member, in plain numbers."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.observe.measures import Cost, Imbalance


@dataclass(frozen=True, slots=True)
class ServerBusy:
    """The busy time of one server, as the gateways saw it."""

    server: str
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
    servers: tuple[ServerBusy, ...]
    refused: tuple[RefusedRequests, ...]

    @property
    def completed_share(self) -> float:
        """The share of the requests that were completed; 1 for none."""
        return self.completed / self.requests if self.requests else 1.0


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The measures of one member since the daemons started."""

    member: str
    hosts_asked: int
    hosts_unreached: tuple[str, ...]
    services: tuple[ServiceReport, ...]
    cost: Cost
    """Of the whole system, which all members share."""
