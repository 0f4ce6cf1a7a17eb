"""The load of one slice, as counted by a gateway."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.key_range import KeyRange


@message("range-load")
@dataclass(frozen=True, slots=True)
class RangeLoad:
    """The load of one slice, as counted by a gateway."""

    range: KeyRange
    requests: float
    busy_seconds: float
    """The time that targets spent on the requests for the slice."""
