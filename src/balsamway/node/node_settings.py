"""What an entry host is told at its start."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment sets, in seconds unless named otherwise."""

    drain_seconds: float = 2.0
    """How soon a draining target must get nothing new."""
    grace_seconds: float = 6.0
    """How long a process may take to stop."""
    retry_ratio: float = 0.2
    """The repeats allowed for each request, as a share."""
    retry_burst: float = 50.0
    """The repeats allowed beside those, by all hosts together, as a count."""
    max_grant_seconds: float = 10.0
    """The longest time for which a target may hold keys."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The addresses and bounds of an entry host; addresses are `ip:port`."""

    host: str
    zone: str
    callers_address: str
    readiness_address: str
    operators_address: str
    peers_address: str
    store_address: str
    metrics_address: str
    """Where metrics are served, beside the operators' address."""
    seeds: tuple[str, ...] = ()
    """The peer addresses of some hosts, which may be out of date."""
    bounds: Bounds = field(default_factory=Bounds)
