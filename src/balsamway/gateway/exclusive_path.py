"""Dispatch attempts to the target that owns a key."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.gateway.admission import NotYetAdmitted
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.ownership.route import NoRoute
from balsamway.slices import POSITION_END, ShardId, position_of

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.dispatcher import Dispatcher
    from balsamway.gateway.load_recorder import LoadRecorder
    from balsamway.gateway.target_pool import TargetPool
    from balsamway.gateway.target_state import TargetState
    from balsamway.outcome import Verdict
    from balsamway.ownership.route import Route
    from balsamway.ownership.routes import Routes

RECHECK_INTERVAL_SECONDS = 0.05
"""How long a request waits for an owner before its route is looked up anew."""

_ROUTE_REFUSAL_REASONS = frozenset(
    {Reason.WRONG_EPOCH, Reason.GRANT_LAPSED, Reason.TARGET_DRAINING}
)


class ExclusivePath:
    """Dispatch attempts to the target that owns a key."""

    def __init__(
        self,
        pool: TargetPool,
        routes: Routes,
        dispatcher: Dispatcher,
        recorder: LoadRecorder,
    ) -> None:
        self._pool = pool
        self._routes = routes
        self._dispatcher = dispatcher
        self._recorder = recorder

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Make one attempt at the owner of the request's key.

        A hedge waits until the key has an owner that the request was not sent
        to before.

        Args:
            attempt: The attempt.

        Returns:
            The verdict on the attempt.
        """
        request = attempt.request
        position = position_of(request.key)
        shard = _shard_of(request, position)
        while True:
            route = await self._routes.find(shard, position, request.deadline)
            if isinstance(route, NoRoute):
                return NotRun(route.reason, retry_after_seconds=1.0)
            if attempt.is_hedge and attempt.was_sent_to(route.owner):
                await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
                continue
            owner = self._pool.find_owner(route.owner)
            if owner is None:
                # The leader may have a newer host list than this host.
                if now() + RECHECK_INTERVAL_SECONDS >= request.deadline:
                    return NotRun(Reason.NO_OWNER, "the owner is not listed", 1.0)
                await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
                continue
            state, admission = owner
            until = now() + RECHECK_INTERVAL_SECONDS
            admitted = await admission.acquire(attempt, until)
            match admitted:
                case NotRun():
                    return admitted
                case NotYetAdmitted():
                    continue
            verdict = await self._send(state, attempt, route)
            self._report_refused_route(verdict, route)
            return verdict

    async def _send(
        self, state: TargetState, attempt: Attempt, route: Route
    ) -> Verdict:
        """Send an admitted attempt, counted as in flight on its route.

        An attempt that may still run at the target stays counted until its
        deadline. The target has ended it by then.
        """
        request = attempt.request
        deadline = request.deadline
        if not route.enforces_epochs:
            deadline = min(deadline, route.valid_until)
        stack = ExitStack()
        if not stack.enter_context(self._routes.track_attempt(route)):
            stack.close()
            state.release()
            return NotRun(Reason.VIEW_LAPSED)
        if not attempt.begin(state.name):
            stack.close()
            state.release()
            return NotRun(Reason.OVERLOADED, "no budget for a hedge")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            verdict = await self._dispatcher.send(state, request, deadline, route)
        except BaseException:
            loop.call_at(deadline, stack.close)
            raise
        if isinstance(verdict, MayHaveRun):
            loop.call_at(deadline, stack.close)
        else:
            stack.close()
        if isinstance(verdict, Completed):
            self._recorder.record(
                route.shard, position_of(request.key), loop.time() - started_at
            )
        return verdict

    def _report_refused_route(self, verdict: Verdict, route: Route) -> None:
        if isinstance(verdict, NotRun) and verdict.reason in _ROUTE_REFUSAL_REASONS:
            self._routes.report_refusal(route)


def _shard_of(request: CallerRequest, position: int) -> ShardId:
    index = position * request.service.shards // POSITION_END
    return ShardId(request.workspace.workspace, request.service.name, index)
