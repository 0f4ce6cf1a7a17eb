"""Takes a request through its attempts to one verdict."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.attempt import Attempt
from balsamway.gateway.attempt_log import AttemptLog
from balsamway.gateway.dispatcher import Dispatcher
from balsamway.gateway.exclusive_path import ExclusivePath
from balsamway.gateway.latency_history import LatencyHistory
from balsamway.gateway.retry_budget import RetryBudget
from balsamway.gateway.shared_path import SharedPath
from balsamway.gateway.two_choices import TwoChoices
from balsamway.gateway.zone_first import ZoneFirst
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    import random

    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.load_recorder import LoadRecorder
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.path import Path
    from balsamway.gateway.server_pool import ServerPool
    from balsamway.outcome import Verdict
    from balsamway.ownership.routes import Routes
    from balsamway.servers.transport import ServerTransport

BACKOFF_SECONDS = 0.002
BACKOFF_AT_MOST_SECONDS = 0.1

_RETRIED = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.GRANT_LAPSED,
        Reason.SERVER_DRAINING,
        Reason.SERVER_SHED,
        Reason.VIEW_LAPSED,
        Reason.WRONG_EPOCH,
    }
)


class Gateway:
    """Takes a request through its attempts to one verdict.

    A request that may not be repeated has one attempt in flight, and a second
    only after the first is known not to have run.
    """

    def __init__(
        self,
        pool: ServerPool,
        routes: Routes,
        transport: ServerTransport,
        recorder: LoadRecorder,
        metrics: GatewayMetrics,
        zone: str,
        rng: random.Random,
        chooser: Chooser | None = None,
    ) -> None:
        """Makes a gateway.

        Args:
            pool: The servers, and what was seen of them.
            routes: Finds the owners of keys.
            transport: Carries attempts to servers.
            recorder: Counts the load of slices.
            metrics: Counts requests and attempts.
            zone: The own availability zone.
            rng: Draws choices and back-off.
            chooser: Chooses servers for requests without an owner; None for
                the better of two in the own zone.
        """
        dispatcher = Dispatcher(transport, metrics)
        self._pool = pool
        self._metrics = metrics
        self._rng = rng
        self._exclusive = ExclusivePath(pool, routes, dispatcher, recorder)
        self._shared = SharedPath(
            pool, chooser or ZoneFirst(zone, TwoChoices(rng)), dispatcher
        )
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._latencies: dict[tuple[str, str, str], LatencyHistory] = {}

    async def handle(self, request: CallerRequest) -> Verdict:
        """Handles a request.

        Args:
            request: The request, checked.

        Returns:
            The verdict over all of its attempts, by the request's deadline.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        verdict = await self._run(request)
        seconds = loop.time() - begin
        if isinstance(verdict, Completed):
            self._latency(request).record(seconds)
        self._metrics.on_request(*_labels(request), verdict, seconds)
        return verdict

    def dump(self) -> dict[str, object]:
        """Gives the gateway's state for the state dump."""
        return {
            "servers": self._pool.dump(),
            "retry_budgets": {
                "/".join(name): budget.tokens for name, budget in self._budgets.items()
            },
            "hedge_delays": {
                "/".join(name): history.hedge_delay()
                for name, history in self._latencies.items()
            },
        }

    async def _run(self, request: CallerRequest) -> Verdict:
        path = self._exclusive if request.service.exclusive_keys else self._shared
        budget = self._budget(request)
        budget.deposit()
        log = AttemptLog()
        tried: list[str] = []
        while True:
            verdict = await self._round(path, request, tried, budget, log)
            if not self._may_retry(request, verdict, budget):
                return log.final
            if not await self._back_off(request, log.count):
                return log.final
            self._metrics.on_retry(*_labels(request))

    async def _round(
        self,
        path: Path,
        request: CallerRequest,
        tried: list[str],
        budget: RetryBudget,
        log: AttemptLog,
    ) -> Verdict:
        attempt = Attempt(request, tried)
        delay = None
        if request.kind.idempotent:
            delay = self._latency(request).hedge_delay()
        if delay is None:
            verdict = await path.attempt(attempt)
            log.add(verdict)
            return verdict
        return await self._hedged(path, attempt, tried, budget, log, delay)

    async def _hedged(
        self,
        path: Path,
        attempt: Attempt,
        tried: list[str],
        budget: RetryBudget,
        log: AttemptLog,
        delay: float,
    ) -> Verdict:
        first = asyncio.create_task(path.attempt(attempt))
        hedge: asyncio.Task[Verdict] | None = None
        try:
            await asyncio.wait((first,), timeout=delay)
            if first.done():
                log.add(first.result())
                return first.result()
            late = Attempt(attempt.request, tried, budget)
            hedge = asyncio.create_task(path.attempt(late))
            verdict = await _first_answer(first, hedge, late, log)
            if late.is_sent:
                self._metrics.on_hedge(*_labels(attempt.request))
            return verdict
        finally:
            first.cancel()
            if hedge is not None:
                hedge.cancel()

    def _may_retry(
        self, request: CallerRequest, verdict: Verdict, budget: RetryBudget
    ) -> bool:
        match verdict:
            case Completed():
                return False
            case NotRun(reason=reason):
                return reason in _RETRIED
            case MayHaveRun():
                return request.kind.idempotent and budget.withdraw()

    async def _back_off(self, request: CallerRequest, attempts: int) -> bool:
        longest = BACKOFF_SECONDS * 2 ** min(attempts, 16)
        seconds = self._rng.uniform(0.5, 1.0) * min(BACKOFF_AT_MOST_SECONDS, longest)
        if asyncio.get_running_loop().time() + seconds >= request.deadline:
            return False
        await asyncio.sleep(seconds)
        return True

    def _budget(self, request: CallerRequest) -> RetryBudget:
        name = (request.member.member, request.service.name)
        budget = self._budgets.get(name)
        if budget is None:
            budget = RetryBudget()
            self._budgets[name] = budget
        return budget

    def _latency(self, request: CallerRequest) -> LatencyHistory:
        name = _labels(request)
        history = self._latencies.get(name)
        if history is None:
            history = LatencyHistory()
            self._latencies[name] = history
        return history


async def _first_answer(
    first: asyncio.Task[Verdict],
    hedge: asyncio.Task[Verdict],
    late: Attempt,
    log: AttemptLog,
) -> Verdict:
    """Waits for an answer, or for the end of both attempts.

    A hedge that was not sent by the time the first attempt fails is not waited
    for.

    Returns:
        The answer, or what the attempts came to; one that may have run goes
        before one that did not.
    """
    pending = {first, hedge}
    verdicts: list[Verdict] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        verdicts.extend(task.result() for task in done)
        if any(isinstance(verdict, Completed) for verdict in verdicts):
            break
        if first.done() and not late.is_sent:
            break
    for verdict in verdicts:
        log.add(verdict)
    for kept in (Completed, MayHaveRun):
        for verdict in verdicts:
            if isinstance(verdict, kept):
                return verdict
    return first.result() if first.done() else verdicts[-1]


def _labels(request: CallerRequest) -> tuple[str, str, str]:
    return request.member.member, request.service.name, request.kind.name
