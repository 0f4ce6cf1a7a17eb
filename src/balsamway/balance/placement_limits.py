"""Bounds on how finely a shard is cut."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """How many slices a shard may have."""

    slices_wanted: int = 256
    """Cold neighbours are merged while there are more slices than this."""
    slices_gathered_above: int = 384
    """Light slices are moved to a neighbour's owner, so that they can merge,
    while there are more slices than this."""
    slices_at_most: int = 512
    """No slice is split beyond this."""
