"""A transport without targets that returns scripted attempt outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

VERDICTS = {
    AttemptOutcome.SERVED: Completed(200, {}, b"ok"),
    AttemptOutcome.FAILED: Completed(500, {}, b"failed"),
    AttemptOutcome.SHED: NotRun(Reason.TARGET_SHED),
    AttemptOutcome.KEY_NOT_HELD: NotRun(Reason.NO_OWNER),
    AttemptOutcome.WRONG_TARGET: NotRun(Reason.NO_TARGET),
    AttemptOutcome.UNREACHABLE: NotRun(Reason.CONNECT_FAILED),
    AttemptOutcome.STALE_CONNECTION: NotRun(Reason.CONNECT_FAILED),
    AttemptOutcome.CONNECTION_LOST: MayHaveRun(Reason.CONNECTION_LOST),
    AttemptOutcome.TIMED_OUT: MayHaveRun(Reason.DEADLINE_EXCEEDED),
}


@dataclass
class ScriptedTransport:
    """Returns the attempt outcomes in order, then repeats the last one."""

    attempt_outcomes: list = field(default_factory=lambda: [AttemptOutcome.SERVED])
    seconds: float = 0.01
    no_connection: bool = False
    sent: list = field(default_factory=list)
    """The target and the timeout of each attempt."""
    result_fields: dict = field(default_factory=dict)
    """The fields of the results of targets that speak of themselves."""

    async def send(self, pool, target, request, timeout_seconds):
        self.sent.append((target.name, timeout_seconds))
        if self.no_connection:
            return AttemptResult(NotRun(Reason.OVERLOADED), AttemptOutcome.TIMED_OUT)
        outcome = self.attempt_outcomes[
            min(len(self.sent), len(self.attempt_outcomes)) - 1
        ]
        await asyncio.sleep(min(self.seconds, timeout_seconds))
        notices = self.result_fields.get(target.name, {})
        return AttemptResult(VERDICTS[outcome], outcome, **notices)
