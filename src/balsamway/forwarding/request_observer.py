"""What hears of the end of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest
    from balsamway.forwarding.attempt_loop import AttemptLoop
    from balsamway.outcome import NotRun, Verdict


class RequestObserver(Protocol):
    """Hears what became of each request."""

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Hears of a request that has no route here.

        Args:
            request: The request.
            refusal: Why it was refused.
        """
        ...

    def on_finished(self, run: AttemptLoop, verdict: Verdict) -> None:
        """Hears of a verdict.

        Args:
            run: The request's run.
            verdict: What became of it.
        """
        ...

    def on_cancelled(self, run: AttemptLoop, seconds: float) -> None:
        """Hears of a caller that left.

        Args:
            run: The request's run.
            seconds: How long the caller waited.
        """
        ...
