"""Limits on the number of slices of a shard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """The numbers of slices from which slices merge, move or are not split."""

    merge_threshold: int = 256
    """Cold adjacent slices merge while there are more slices than this."""
    colocation_threshold: int = 384
    """Light slices move to the owner of a neighbour, so that they can merge,
    while there are more slices than this."""
    max_slices: int = 512
    """No slice is split beyond this number of slices."""
