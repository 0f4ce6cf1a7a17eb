"""The state that a witness keeps of one shard."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import Witness


@dataclass(slots=True)
class WitnessState:
    """The leader epoch that a witness adopted, and its promise."""

    epoch: int = 0
    """The highest leader epoch adopted; 0 for none."""
    leader: Witness | None = None
    """The leader of that epoch; None for none or once it has resigned."""
    promised_until: float = 0.0
    """When the last promise expires, by the witness's own event loop time."""
