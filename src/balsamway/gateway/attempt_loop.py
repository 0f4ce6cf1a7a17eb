"""The attempts of one request, one after another or hedged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.attempt import Attempt
from balsamway.gateway.attempt_log import AttemptLog
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    import random

    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.path import Path
    from balsamway.gateway.retry_budget import RetryBudget
    from balsamway.outcome import Verdict

BACKOFF_SECONDS = 0.002
BACKOFF_AT_MOST_SECONDS = 0.1

RETRIED_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.GRANT_LAPSED,
        Reason.TARGET_DRAINING,
        Reason.TARGET_SHED,
        Reason.VIEW_LAPSED,
        Reason.WRONG_EPOCH,
    }
)
"""Why an attempt that did not run is followed by another."""


class AttemptLoop:
    """Takes one request through its attempts to one verdict.

    A request that may not be repeated has one attempt in flight, and a second
    only after the first is known not to have run.
    """

    def __init__(
        self,
        request: CallerRequest,
        path: Path,
        budget: RetryBudget,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        """Makes the run of a request that has had no attempt.

        Args:
            request: The request.
            path: The way that its attempts go.
            budget: Allows retries of what may have run, and hedges.
            metrics: Counts retries and hedges.
            rng: Draws the back-off.
        """
        self._request = request
        self._path = path
        self._budget = budget
        self._metrics = metrics
        self._rng = rng
        self._log = AttemptLog()
        self._tried: list[str] = []

    async def run(self, hedge_delay: float | None) -> Verdict:
        """Makes attempts until one is answered or no other is allowed.

        Args:
            hedge_delay: After how many seconds an attempt gets a second one
                beside it; None for never.

        Returns:
            The verdict over all attempts.
        """
        while True:
            if hedge_delay is not None and self._request.kind.idempotent:
                verdict = await self._attempt_hedged(hedge_delay)
            else:
                verdict = await self._path.attempt(Attempt(self._request, self._tried))
                self._log.add(verdict)
            if not self._may_retry(verdict) or not await self._back_off():
                return self._log.final
            self._metrics.on_retry(self._request)

    async def _attempt_hedged(self, delay: float) -> Verdict:
        attempt = Attempt(self._request, self._tried)
        first = asyncio.create_task(self._path.attempt(attempt))
        hedge: asyncio.Task[Verdict] | None = None
        try:
            await asyncio.wait((first,), timeout=delay)
            if first.done():
                self._log.add(first.result())
                return first.result()
            late = Attempt(self._request, self._tried, self._budget)
            hedge = asyncio.create_task(self._path.attempt(late))
            verdicts = await _verdicts(first, hedge, late)
            if late.is_sent:
                self._metrics.on_hedge(self._request)
            for verdict in verdicts:
                self._log.add(verdict)
            return _strongest(verdicts)
        finally:
            first.cancel()
            if hedge is not None:
                hedge.cancel()

    def _may_retry(self, verdict: Verdict) -> bool:
        match verdict:
            case Completed():
                return False
            case NotRun(reason=reason):
                return reason in RETRIED_REASONS
            case MayHaveRun():
                return self._request.kind.idempotent and self._budget.withdraw()

    async def _back_off(self) -> bool:
        """Waits before another attempt.

        Returns:
            False where the deadline leaves no time for one.
        """
        longest = BACKOFF_SECONDS * 2 ** min(self._log.count, 16)
        seconds = self._rng.uniform(0.5, 1.0) * min(BACKOFF_AT_MOST_SECONDS, longest)
        if asyncio.get_running_loop().time() + seconds >= self._request.deadline:
            return False
        await asyncio.sleep(seconds)
        return True


async def _verdicts(
    first: asyncio.Task[Verdict], hedge: asyncio.Task[Verdict], late: Attempt
) -> list[Verdict]:
    """Waits for an answer, or for the end of both attempts.

    A hedge that was not sent by the time the first attempt fails is not waited
    for.

    Returns:
        The verdicts on the attempts that have ended.
    """
    pending = {first, hedge}
    verdicts: list[Verdict] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        verdicts.extend(task.result() for task in done)
        if any(isinstance(verdict, Completed) for verdict in verdicts):
            break
        if first.done() and not late.is_sent:
            return [first.result()]
    return verdicts


def _strongest(verdicts: list[Verdict]) -> Verdict:
    """Gives an answer if there is one, else what may have run."""
    for kept in (Completed, MayHaveRun):
        for verdict in verdicts:
            if isinstance(verdict, kept):
                return verdict
    return verdicts[0]
