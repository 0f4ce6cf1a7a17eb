"""Attempts that end as a test has scripted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason, Verdict


@dataclass(frozen=True)
class Step:
    """The verdict on an attempt, and whether the request really ran."""

    verdict: Verdict
    ran: bool
    seconds: float = 0.0


DONE = Step(Completed(200, {}, b"at last"), True)


@dataclass
class ScriptedPath:
    """Ends each attempt with the next step, and records what ran."""

    steps: list[Step]
    begun: int = 0
    in_flight: int = 0
    most_in_flight: int = 0
    runs: list[Step] = field(default_factory=list)

    async def attempt(self, attempt):
        step = self.steps[self.begun] if self.begun < len(self.steps) else DONE
        if not attempt.begin(f"s{self.begun}"):
            return NotRun(Reason.OVERLOADED)
        self.begun += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        if step.ran:
            self.runs.append(step)
        try:
            await asyncio.sleep(step.seconds)
        finally:
            self.in_flight -= 1
        return step.verdict


def uncertain(ran: bool, seconds: float = 0.0) -> Step:
    return Step(MayHaveRun(Reason.CONNECTION_LOST), ran, seconds)


def refused(reason: Reason, seconds: float = 0.0) -> Step:
    return Step(NotRun(reason), False, seconds)
