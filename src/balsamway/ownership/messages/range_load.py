"""The load of one slice, as a gateway counted it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.key_range import KeyRange


@message("range-load")
@dataclass(frozen=True, slots=True)
class RangeLoad:
    """The load of one slice, as a gateway counted it."""

    range: KeyRange
    requests: float
    busy_seconds: float
