"""The interface of observers of ended requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest
    from balsamway.forwarding.request_run import RequestRun
    from balsamway.outcome import NotRun, Verdict


class RequestObserver(Protocol):
    """Is notified when a request ends."""

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Handle a request that was refused before its first attempt.

        Args:
            request: The request.
            refusal: Why it was refused.
        """
        ...

    def on_finished(self, run: RequestRun, verdict: Verdict) -> None:
        """Handle a request that reached its verdict.

        Args:
            run: The attempts of the request.
            verdict: The verdict on the request.
        """
        ...

    def on_given_up(self, run: RequestRun, seconds: float) -> None:
        """Handle a request that ended because its caller disconnected.

        Args:
            run: The attempts of the request.
            seconds: How long the caller waited.
        """
        ...
