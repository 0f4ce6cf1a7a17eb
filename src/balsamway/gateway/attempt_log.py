"""The verdict on a request over all of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from balsamway.outcome import Verdict


class AttemptLog:
    """Collects the verdicts on the attempts of one request."""

    def __init__(self) -> None:
        self._completed: Completed | None = None
        self._uncertain: MayHaveRun | None = None
        self._not_run: NotRun | None = None
        self._count = 0

    @property
    def count(self) -> int:
        """How many attempts have ended."""
        return self._count

    @property
    def final(self) -> Verdict:
        """The verdict on the request.

        An answer counts before all else; without one, a single attempt that
        may have run makes it uncertain whether the request ran.
        """
        found = self._completed or self._uncertain or self._not_run
        return found or NotRun(Reason.DEADLINE_EXCEEDED)

    def add(self, verdict: Verdict) -> None:
        """Adds the verdict on an attempt that has ended.

        Args:
            verdict: The verdict.
        """
        self._count += 1
        match verdict:
            case Completed():
                self._completed = verdict
            case MayHaveRun():
                self._uncertain = verdict
            case NotRun():
                self._not_run = verdict
