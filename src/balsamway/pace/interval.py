"""How a target answered during one interval."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Interval:
    """The attempts at one target that ended in an interval, of any hosts."""

    answered: int = 0
    answered_seconds: float = 0.0
    """The sum of the times that the answered requests took."""
    refused: int = 0
    failed: int = 0
    unreachable: int = 0
    """The attempts that opened no connection."""
    is_resting: bool = False
    """Whether the target asked a host for rest."""

    @property
    def is_away(self) -> bool:
        """Whether no host gets through to the target."""
        return not self.answered and (self.unreachable > 0 or self.is_resting)

    @property
    def mean_seconds(self) -> float | None:
        """The mean time of an answered request, None if there is none."""
        return self.answered_seconds / self.answered if self.answered else None

    def plus(self, other: Interval) -> Interval:
        """Return the sum of two hosts' intervals."""
        return Interval(
            self.answered + other.answered,
            self.answered_seconds + other.answered_seconds,
            self.refused + other.refused,
            self.failed + other.failed,
            self.unreachable + other.unreachable,
            self.is_resting or other.is_resting,
        )
