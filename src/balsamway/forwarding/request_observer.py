"""What hears of the end of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.forwarding.request_run import RequestRun
    from balsamway.outcome import Verdict


class RequestObserver(Protocol):
    """Hears what became of each request that had a route."""

    def on_finished(self, run: RequestRun, verdict: Verdict) -> None:
        """Hears of a verdict.

        Args:
            run: The request's run.
            verdict: What became of it.
        """
        ...

    def on_given_up(self, run: RequestRun, seconds: float) -> None:
        """Hears of a caller that left.

        Args:
            run: The request's run.
            seconds: How long the caller waited.
        """
        ...
