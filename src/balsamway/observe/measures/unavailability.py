"""How long keys and callers went without service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a part of the keys was not served."""

    start: float
    end: float
    key_share: float
    """The share of the key space concerned."""

    @property
    def seconds(self) -> float:
        """How long it lasted."""
        return self.end - self.start


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Unavailable time, weighed by keys and by callers."""

    key_seconds: float
    """Seconds, each weighed by the share of the key space not served."""
    longest_seconds: float
    """The longest time in which any one key was not served."""
    refused_share: float
    """The share of the callers' requests that were refused or failed."""

    @classmethod
    def of(
        cls, outages: Iterable[Outage], requests: int, refused: int
    ) -> Unavailability:
        """Measures outages and refusals.

        Args:
            outages: When which share of the keys was not served.
            requests: How many requests callers made.
            refused: How many of them were not answered.

        Returns:
            The unavailable time.
        """
        known = list(outages)
        return cls(
            sum(each.seconds * each.key_share for each in known),
            max((each.seconds for each in known), default=0.0),
            refused / requests if requests else 0.0,
        )
