"""Measures how long keys and callers were without service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Outage:
    """A period in which a share of the key space was not served."""

    start: float
    """In seconds, by the same clock as `end`."""
    end: float
    key_share: float
    """The share of the key space that was not served."""

    @property
    def seconds(self) -> float:
        """How long the outage lasted."""
        return self.end - self.start


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Unavailable time, weighted by keys and by callers' requests."""

    key_seconds: float
    """Seconds of outage, weighted by the share of the key space."""
    longest_seconds: float
    """The length of the longest outage."""
    refused_share: float
    """The fraction of the callers' requests that were refused or failed."""

    @classmethod
    def of(
        cls, outages: Iterable[Outage], requests: int, refused: int
    ) -> Unavailability:
        """Measure outages and refused requests.

        Args:
            outages: The outages of the period.
            requests: How many requests the callers sent.
            refused: How many of them were refused or failed.

        Returns:
            The unavailable time.
        """
        outage_list = list(outages)
        return cls(
            sum(outage.seconds * outage.key_share for outage in outage_list),
            max((outage.seconds for outage in outage_list), default=0.0),
            refused / requests if requests else 0.0,
        )
