"""The targets that may hold keys, and how fast each is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.keyspace.holder import Holder

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from balsamway.discovery import TargetEntry
    from balsamway.keyspace.load_aggregator import TargetLoad

USUAL_SECONDS = 0.1
"""How long a request is taken to last before there is any report."""
COLD_FACTOR = 2.0
"""How much slower a target is during its warm-up."""
SLOWEST, FASTEST = 0.25, 4.0
"""The bounds on a target's speed, relative to the mean of its service."""


@dataclass(frozen=True, slots=True)
class PlacedTarget:
    """A target that may hold keys."""

    holder: Holder
    speed: float
    """How many requests a second it can serve, relative to the others."""


def placed_targets(
    entries: Sequence[TargetEntry], loads: Mapping[str, TargetLoad]
) -> list[PlacedTarget]:
    """Judges how fast targets are from how long requests take there.

    Args:
        entries: The targets of one service.
        loads: What the entry hosts report of each target, by name.

    Returns:
        The targets with their speeds; those without a report count as usual.
    """
    seconds = {
        entry.name: load.service_seconds
        for entry in entries
        if (load := loads.get(entry.name)) and load.service_seconds
    }
    usual = sum(seconds.values()) / len(seconds) if seconds else USUAL_SECONDS
    placed = []
    for entry in entries:
        relative = usual / seconds.get(entry.name, usual)
        if entry.warmup_seconds > 0 and entry.name not in seconds:
            relative /= COLD_FACTOR
        speed = min(FASTEST, max(SLOWEST, relative)) * entry.capacity
        placed.append(PlacedTarget(Holder(*entry.key), speed))
    return placed
