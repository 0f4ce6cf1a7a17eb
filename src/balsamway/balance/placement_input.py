"""The input of a placement plan."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.balance.candidate import Candidate
from balsamway.configuration import Weights
from balsamway.ownership.messages import KeyLoad
from balsamway.slices import KeyRange, SliceEntry


@dataclass(frozen=True, slots=True)
class SliceLoad:
    """The estimated load of one slice, in busy seconds per second."""

    range: KeyRange
    load: float


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """The state of one shard from which its placement is planned."""

    slices: tuple[SliceEntry, ...]
    candidates: tuple[Candidate, ...]
    loads: tuple[SliceLoad, ...] = ()
    """One for each slice whose load is known. Others count as without load."""
    hot_keys: tuple[KeyLoad, ...] = ()
    """The keys with the most load, merged over all gateways."""
    weights: Weights = field(default_factory=Weights)
    now: float = 0.0
    """The event loop time, in seconds."""
