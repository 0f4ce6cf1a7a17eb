"""Whether a request that may end its target may be sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """The request may be sent only in its turn, apart from other suspects."""

    retry_after_seconds: float
    """When its turn begins, in seconds from now."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request must not be sent."""

    ends: int
    """The number of ends of targets that it is suspected of."""
    retry_after_seconds: float
    """When the quarantine ends, in seconds from now."""


Decision: TypeAlias = Allowed | Isolated | Quarantined
