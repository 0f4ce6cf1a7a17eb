"""The targets that may own keys, and how fast each is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.keyspace.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from balsamway.discovery import TargetEntry
    from balsamway.keyspace.load_aggregator import TargetLoad

DEFAULT_SERVICE_SECONDS = 0.1
"""The service time assumed for all targets of a service without any report."""
WARM_UP_SLOWDOWN = 2.0
"""How much slower a target is during its warm-up."""
MIN_LIMIT_REQUESTS_PER_SECOND = 0.25
"""The least limit that counts. A target that owns no keys responds to nothing,
so that the end of its limit would not be seen."""
MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.25, 4.0
"""The bounds of a target's speed, relative to the mean of its service."""


@dataclass(frozen=True, slots=True)
class TargetSpeed:
    """A target that may own keys, with its speed."""

    owner: TargetIncarnation
    speed: float
    """The requests per second that it can serve, relative to the others."""


def estimate_speeds(
    entries: Sequence[TargetEntry],
    loads: Mapping[str, TargetLoad],
    limits: Mapping[str, float],
) -> list[TargetSpeed]:
    """Estimate the speeds of targets from their service times and limits.

    Args:
        entries: The targets of one service.
        loads: The load that the entry hosts report for each target, by name.
        limits: The requests per second that a target accepts, by name, for
            those that name a limit.

    Returns:
        The targets with their speeds. A target without a report counts as
        having the mean service time, or twice that if it has a warm-up.
    """
    seconds = {
        entry.name: load.service_seconds
        for entry in entries
        if (load := loads.get(entry.name)) and load.service_seconds
    }
    mean_seconds = (
        sum(seconds.values()) / len(seconds) if seconds else DEFAULT_SERVICE_SECONDS
    )
    speeds = []
    for entry in entries:
        relative = mean_seconds / seconds.get(entry.name, mean_seconds)
        if entry.warmup_seconds > 0 and entry.name not in seconds:
            relative /= WARM_UP_SLOWDOWN
        speed = (
            min(MAX_RELATIVE_SPEED, max(MIN_RELATIVE_SPEED, relative)) * entry.capacity
        )
        limit = limits.get(entry.name)
        if limit is not None:
            # A speed of 1 is a request in the mean service time.
            limit = max(MIN_LIMIT_REQUESTS_PER_SECOND, limit)
            speed = min(speed, limit * mean_seconds)
        speeds.append(TargetSpeed(TargetIncarnation(*entry.key), speed))
    return speeds
