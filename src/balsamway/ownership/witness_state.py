"""What a witness remembers of one shard."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import Witness


@dataclass(slots=True)
class WitnessState:
    """The epoch that a witness adopted, and the promise it gave to it."""

    epoch: int = 0
    leader: Witness | None = None
    promised_until: float = 0.0
    """By the witness's own clock."""
