"""The verdict on a request over all of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from balsamway.outcome import Verdict


class AttemptLog:
    """Collect the verdicts on the attempts of one request."""

    def __init__(self) -> None:
        self._completed: Completed | None = None
        self._uncertain: MayHaveRun | None = None
        self._not_run: NotRun | None = None
        self._count = 0

    @property
    def count(self) -> int:
        """The number of attempts that have ended."""
        return self._count

    @property
    def final(self) -> Verdict:
        """The verdict on the request.

        A response takes precedence over every other verdict. Without a
        response, one attempt that may have run is enough to make it uncertain
        whether the request ran.
        """
        verdict = self._completed or self._uncertain or self._not_run
        return verdict or NotRun(Reason.DEADLINE_EXCEEDED)

    def add(self, verdict: Verdict) -> None:
        """Add the verdict on an attempt that has ended.

        Args:
            verdict: The verdict on the attempt.
        """
        self._count += 1
        match verdict:
            case Completed():
                self._completed = verdict
            case MayHaveRun():
                self._uncertain = verdict
            case NotRun():
                self._not_run = verdict
