"""Carries attempts to nobody, and tells what a test wants them to find."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from balsamway.forwarding.attempt_result import AttemptResult, Finding
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

VERDICTS = {
    Finding.SERVED: Completed(200, {}, b"ok"),
    Finding.FAILED: Completed(500, {}, b"failed"),
    Finding.SHED: NotRun(Reason.TARGET_SHED),
    Finding.KEY_NOT_HELD: NotRun(Reason.NO_OWNER),
    Finding.OTHER_TARGET: NotRun(Reason.NO_TARGET),
    Finding.UNREACHABLE: NotRun(Reason.CONNECT_FAILED),
    Finding.STALE_CONNECTION: NotRun(Reason.CONNECT_FAILED),
    Finding.BROKEN: MayHaveRun(Reason.CONNECTION_LOST),
    Finding.LATE: MayHaveRun(Reason.DEADLINE_EXCEEDED),
}


@dataclass
class ScriptedTransport:
    """Gives findings in their order, the last one again and again."""

    findings: list = field(default_factory=lambda: [Finding.SERVED])
    seconds: float = 0.01
    no_connection: bool = False
    sent: list = field(default_factory=list)
    """The target and the timeout of each attempt."""

    async def send(self, pool, target, request, timeout_seconds):
        self.sent.append((target.name, timeout_seconds))
        if self.no_connection:
            return AttemptResult(NotRun(Reason.OVERLOADED), Finding.LATE)
        finding = self.findings[min(len(self.sent), len(self.findings)) - 1]
        await asyncio.sleep(min(self.seconds, timeout_seconds))
        return AttemptResult(VERDICTS[finding], finding)
