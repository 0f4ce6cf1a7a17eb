"""Send admitted attempts to targets and record their verdicts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.outcome import NotRun, Reason
from balsamway.targets.request import TargetRequest

if TYPE_CHECKING:
    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.target_state import TargetState
    from balsamway.outcome import Verdict
    from balsamway.ownership.route import Route
    from balsamway.targets.transport import TargetTransport


class Dispatcher:
    """Send admitted attempts to targets and record their verdicts."""

    def __init__(self, transport: TargetTransport, metrics: GatewayMetrics) -> None:
        self._transport = transport
        self._metrics = metrics

    async def send(
        self,
        state: TargetState,
        request: CallerRequest,
        deadline: float,
        route: Route | None = None,
    ) -> Verdict:
        """Send an admitted attempt and release it when it has ended.

        Args:
            state: The target.
            request: The request.
            deadline: When the attempt must end, in event loop time.
            route: The route of the key, or None without exclusive keys.

        Returns:
            The verdict on the attempt.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            if deadline <= started_at:
                return NotRun(Reason.DEADLINE_EXCEEDED)
            message = _message(request, deadline - started_at, route)
            verdict = await self._transport.send(state.host, message)
            self._record(state, verdict, loop.time() - started_at)
            return verdict
        finally:
            state.release()

    def _record(self, state: TargetState, verdict: Verdict, seconds: float) -> None:
        state.record_outcome(verdict, seconds)
        host = state.host
        self._metrics.on_attempt(
            host.workspace, host.service, host.name, verdict, seconds
        )


def _message(
    request: CallerRequest, timeout_seconds: float, route: Route | None
) -> TargetRequest:
    return TargetRequest(
        workspace=request.workspace.workspace,
        service=request.service.name,
        kind=request.kind.name,
        request_id=request.request_id,
        key=request.key,
        timeout_seconds=timeout_seconds,
        body=request.body,
        content_type=request.content_type,
        shard=route.shard if route else None,
        epoch=route.epoch if route else 0,
    )
