from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.step import Step
from tests.matrix.process import start_outside

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.store import Host
    from balsamway.targets.request import TargetRequest
    from tests.fakes.targets import FakeTargets
    from tests.matrix.matrix_target import MatrixTarget

UNREACHABLE_SECONDS = 3600


class MatrixTransport:
    """The TargetTransport of one entry host, with connection faults."""

    def __init__(self, targets: FakeTargets, host: str) -> None:
        self._targets = targets
        self._host = host

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        step = Step("requests", "send", self._host, target.name, request)
        outcome = await self._targets.faults.reach(step)
        subject = self._targets.targets.get(target.name)
        if subject is None or subject.lost:
            return NotRun(Reason.CONNECT_FAILED)
        if outcome is CallOutcome.DROP:
            return MayHaveRun(Reason.CONNECTION_LOST)
        exchange = start_outside(self._exchange(subject, request, outcome))
        try:
            async with asyncio.timeout(request.timeout_seconds):
                return await asyncio.shield(exchange)
        except TimeoutError:
            self._close(subject, request, exchange)
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            self._close(subject, request, exchange)
            raise

    def _close(
        self, subject: MatrixTarget, request: TargetRequest, exchange: asyncio.Task
    ) -> None:
        if subject.is_running(request.request_id) and not self._sees_close(subject):
            return
        subject.cancel(request.request_id)
        exchange.cancel()

    def _sees_close(self, subject: MatrixTarget) -> bool:
        return subject.running.is_set() and not self._is_partitioned(subject)

    async def _exchange(
        self, subject: MatrixTarget, request: TargetRequest, outcome: CallOutcome
    ) -> Verdict:
        await asyncio.sleep(self._targets.latency_seconds)
        await self._hang_if_partitioned(subject)
        await subject.running.wait()
        refusal = await subject.run(request)
        if outcome is CallOutcome.LOSE_ANSWER:
            return MayHaveRun(Reason.CONNECTION_LOST)
        if outcome is CallOutcome.APPLY_LATE:
            await asyncio.sleep(self._targets.faults.late_seconds)
        await asyncio.sleep(self._targets.latency_seconds)
        await self._hang_if_partitioned(subject)
        if subject.lost:
            return MayHaveRun(Reason.CONNECTION_LOST)
        if refusal:
            return NotRun(Reason(refusal))
        return Completed(200, {}, _encode_response(request))

    async def _hang_if_partitioned(self, subject: MatrixTarget) -> None:
        if self._is_partitioned(subject):
            await asyncio.sleep(UNREACHABLE_SECONDS)

    def _is_partitioned(self, subject: MatrixTarget) -> bool:
        targets = self._targets
        is_cut = (self._host, subject.name) in targets.cut
        return is_cut or self._host in targets.down_hosts


def _encode_response(request: TargetRequest) -> bytes:
    return msgspec.json.encode({"request_id": request.request_id, "key": request.key})
