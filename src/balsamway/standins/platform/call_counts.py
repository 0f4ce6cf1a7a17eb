"""Counts of the calls to the platform stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CallCounts:
    """Calls since the start of the stand-in; a watch counts as one call."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    watches: int = 0
    open_watches: int = 0
    host_lists: int = 0
    refused: int = 0
