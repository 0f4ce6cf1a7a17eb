"""The settings that an entry host is started with."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment sets for all entry hosts."""

    drain_seconds: float = 2.0
    """The time, in seconds, within which requests to a target must stop after
    it has begun to drain."""
    grace_seconds: float = 6.0
    """The time, in seconds, within which a process must stop after it was
    asked to."""
    retry_ratio: float = 0.2
    """The number of retries allowed per request, as a fraction."""
    retry_burst: float = 50.0
    """The number of retries allowed in addition to that fraction, for all
    entry hosts together."""
    max_grant_seconds: float = 10.0
    """The longest grant of keys to a target, in seconds."""
    warmup_excess: float = 1.5
    """The factor by which a cold target's rate may be exceeded."""
    warmup_slack: float = 8.0
    """The number of requests that a cold target may get beyond that."""
    evacuate_seconds: float | None = None
    """The time, in seconds, within which requests to the targets of an
    evacuated zone must stop. None if zones are not evacuated."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The addresses and limits of an entry host; addresses are `ip:port`."""

    host: str
    zone: str
    callers_address: str
    readiness_address: str
    operators_address: str
    peers_address: str
    store_address: str
    metrics_address: str
    """The additional address that serves metrics; `operators_address` serves
    them as well."""
    seeds: tuple[str, ...] = ()
    """The peer addresses of some entry hosts; they may be out of date."""
    bounds: Bounds = field(default_factory=Bounds)
    memory_megabytes: float = 300.0
    """The memory that the process may use."""
    max_descriptors: int = 4_096
    """The file descriptors that the process may have open."""
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    """The region of each availability zone, as far as it is known."""

    @property
    def evacuates_zones(self) -> bool:
        """Whether the operator may ask for the evacuation of a zone."""
        return self.bounds.evacuate_seconds is not None
