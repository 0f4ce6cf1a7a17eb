"""Make the attempts of one request, one after another or hedged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.attempt import Attempt
from balsamway.gateway.attempt_log import AttemptLog
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    import random

    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.dispatch_path import DispatchPath
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.retry_budget import RetryBudget
    from balsamway.outcome import Verdict

INITIAL_BACKOFF_SECONDS = 0.002
"""The base of the backoff before a retry. It doubles with each attempt."""
MAX_BACKOFF_SECONDS = 0.1
"""The maximum backoff before a retry."""

RETRYABLE_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.GRANT_LAPSED,
        Reason.TARGET_DRAINING,
        Reason.TARGET_SHED,
        Reason.VIEW_LAPSED,
        Reason.WRONG_EPOCH,
    }
)
"""The reasons for which an attempt that did not run is retried."""


class AttemptLoop:
    """Make attempts of one request until there is a verdict on it.

    A request that is not idempotent has one attempt in flight. It is retried
    only after that attempt is known not to have run.
    """

    def __init__(
        self,
        request: CallerRequest,
        path: DispatchPath,
        budget: RetryBudget,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        """Initialize the loop of a request that has had no attempt.

        Args:
            request: The request.
            path: The path that dispatches its attempts.
            budget: The budget for hedges and for retries of attempts that may
                have run.
            metrics: The metrics that count retries and hedges.
            rng: The random source for the backoff.
        """
        self._request = request
        self._path = path
        self._budget = budget
        self._metrics = metrics
        self._rng = rng
        self._log = AttemptLog()
        self._sent_to: list[str] = []

    async def run(self, hedge_delay: float | None) -> Verdict:
        """Make attempts until one is completed or no retry is allowed.

        Args:
            hedge_delay: The seconds after which an attempt gets a hedge. None
                for no hedges.

        Returns:
            The verdict over all attempts.
        """
        while True:
            if hedge_delay is not None and self._request.kind.idempotent:
                verdict = await self._attempt_hedged(hedge_delay)
            else:
                verdict = await self._path.attempt(
                    Attempt(self._request, self._sent_to)
                )
                self._log.add(verdict)
            if not self._may_retry(verdict) or not await self._back_off():
                return self._log.final
            self._metrics.on_retry(self._request)

    async def _attempt_hedged(self, delay: float) -> Verdict:
        attempt = Attempt(self._request, self._sent_to)
        first = asyncio.create_task(self._path.attempt(attempt))
        hedge: asyncio.Task[Verdict] | None = None
        try:
            await asyncio.wait((first,), timeout=delay)
            if first.done():
                self._log.add(first.result())
                return first.result()
            hedge_attempt = Attempt(self._request, self._sent_to, self._budget)
            hedge = asyncio.create_task(self._path.attempt(hedge_attempt))
            verdicts = await _verdicts(first, hedge, hedge_attempt)
            if hedge_attempt.is_sent:
                self._metrics.on_hedge(self._request)
            for verdict in verdicts:
                self._log.add(verdict)
            return _most_certain(verdicts)
        finally:
            first.cancel()
            if hedge is not None:
                hedge.cancel()

    def _may_retry(self, verdict: Verdict) -> bool:
        match verdict:
            case Completed():
                return False
            case NotRun(reason=reason):
                return reason in RETRYABLE_REASONS
            case MayHaveRun():
                return self._request.kind.idempotent and self._budget.try_spend()

    async def _back_off(self) -> bool:
        """Wait before a retry.

        Returns:
            False if the deadline leaves no time for a retry.
        """
        max_seconds = INITIAL_BACKOFF_SECONDS * 2 ** min(self._log.count, 16)
        seconds = self._rng.uniform(0.5, 1.0) * min(MAX_BACKOFF_SECONDS, max_seconds)
        if asyncio.get_running_loop().time() + seconds >= self._request.deadline:
            return False
        await asyncio.sleep(seconds)
        return True


async def _verdicts(
    first: asyncio.Task[Verdict], hedge: asyncio.Task[Verdict], hedge_attempt: Attempt
) -> list[Verdict]:
    """Wait until one attempt is completed or both have ended.

    A hedge that was not sent by the time the first attempt fails is not
    waited for.

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
        if first.done() and not hedge_attempt.is_sent:
            return [first.result()]
    return verdicts


def _most_certain(verdicts: list[Verdict]) -> Verdict:
    """Return a completed verdict, else one that may have run, else any."""
    for verdict_type in (Completed, MayHaveRun):
        for verdict in verdicts:
            if isinstance(verdict, verdict_type):
                return verdict
    return verdicts[0]
