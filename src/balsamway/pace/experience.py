"""Counts how a target answered this host."""

from __future__ import annotations

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.pace.interval import Interval


class Experience:
    """Counts the ends of attempts at a target between two reports."""

    def __init__(self) -> None:
        self._answered = 0
        self._answered_seconds = 0.0
        self._refused = 0
        self._failed = 0
        self._unreachable = 0

    def record(self, outcome: AttemptOutcome, seconds: float) -> None:
        """Count the end of an attempt.

        One that timed out does not count: the caller's deadline may have been
        short, and a slow target shows in the times of its responses.

        Args:
            outcome: The outcome of the attempt.
            seconds: How long the attempt took.
        """
        match outcome:
            case AttemptOutcome.SERVED:
                self._answered += 1
                self._answered_seconds += seconds
            case AttemptOutcome.SHED:
                self._refused += 1
            case AttemptOutcome.FAILED | AttemptOutcome.CONNECTION_LOST:
                self._failed += 1
            case AttemptOutcome.UNREACHABLE | AttemptOutcome.CONNECTION_REFUSED:
                self._unreachable += 1

    def take(self, is_resting: bool) -> Interval:
        """Return the counts since the last call.

        Args:
            is_resting: Whether the target rests.
        """
        interval = Interval(
            self._answered,
            self._answered_seconds,
            self._refused,
            self._failed,
            self._unreachable,
            is_resting,
        )
        self.__init__()  # type: ignore[misc]
        return interval
