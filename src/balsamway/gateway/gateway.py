"""Route requests to targets and return one verdict on each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.attempt_loop import AttemptLoop
from balsamway.gateway.dispatcher import Dispatcher
from balsamway.gateway.exclusive_path import ExclusivePath
from balsamway.gateway.latency_history import LatencyHistory
from balsamway.gateway.retry_budget import RetryBudget
from balsamway.gateway.shared_path import SharedPath
from balsamway.gateway.two_choices import TwoChoices
from balsamway.gateway.zone_first import ZoneFirst
from balsamway.outcome import Completed

if TYPE_CHECKING:
    import random

    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.load_recorder import LoadRecorder
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.target_pool import TargetPool
    from balsamway.outcome import Verdict
    from balsamway.ownership.routes import Routes
    from balsamway.targets.transport import TargetTransport


class Gateway:
    """Route requests to targets and return one verdict on each."""

    def __init__(
        self,
        pool: TargetPool,
        routes: Routes,
        transport: TargetTransport,
        recorder: LoadRecorder,
        metrics: GatewayMetrics,
        zone: str,
        rng: random.Random,
        chooser: Chooser | None = None,
    ) -> None:
        """Initialize a gateway.

        Args:
            pool: The targets and their statistics.
            routes: The routes, which name the owners of keys.
            transport: The transport that carries attempts to targets.
            recorder: The recorder of the load of slices.
            metrics: The metrics that count requests and attempts.
            zone: The local availability zone.
            rng: The random source for choices and backoff.
            chooser: The policy that chooses targets for requests without an
                owner. None for two random choices, preferring the local zone.
        """
        dispatcher = Dispatcher(transport, metrics)
        self._pool = pool
        self._metrics = metrics
        self._rng = rng
        self._exclusive = ExclusivePath(pool, routes, dispatcher, recorder)
        self._shared = SharedPath(
            pool, chooser or ZoneFirst(zone, TwoChoices(rng)), dispatcher
        )
        metrics.set_gauge_sources(self._count_in_flight, self._count_waiting)
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._latencies: dict[tuple[str, str, str], LatencyHistory] = {}

    async def handle(self, request: CallerRequest) -> Verdict:
        """Handle a request.

        Args:
            request: The checked request.

        Returns:
            The verdict over all attempts, by the request's deadline.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        verdict = await self._run(request)
        seconds = loop.time() - started_at
        if isinstance(verdict, Completed):
            self._latency(request).record(seconds)
        self._metrics.on_request(request, verdict, seconds)
        return verdict

    def dump(self) -> dict[str, object]:
        """Return the gateway's state for the state dump."""
        return {
            "targets": self._pool.dump(),
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
        budget.on_request()
        attempts = AttemptLoop(request, path, budget, self._metrics, self._rng)
        return await attempts.run(self._latency(request).hedge_delay())

    def _count_in_flight(self) -> int:
        return sum(state.in_flight for state in self._pool.states())

    def _count_waiting(self) -> int:
        states = self._pool.states()
        queues = {id(state.admission): state.admission for state in states}
        return sum(queue.waiting for queue in queues.values() if queue is not None)

    def _budget(self, request: CallerRequest) -> RetryBudget:
        name = (request.workspace.workspace, request.service.name)
        budget = self._budgets.get(name)
        if budget is None:
            budget = RetryBudget()
            self._budgets[name] = budget
        return budget

    def _latency(self, request: CallerRequest) -> LatencyHistory:
        name = request.metric_labels
        history = self._latencies.get(name)
        if history is None:
            history = LatencyHistory()
            self._latencies[name] = history
        return history
