from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.fakes.call_outcome import CallOutcome

if TYPE_CHECKING:
    from tests.fakes.step import Step


@dataclass(slots=True)
class Injection:
    """A fault to inject at the steps that match."""

    matches: Callable[[Step], bool]
    outcome: CallOutcome = CallOutcome.PASS
    delay_seconds: float = 0.0
    """Delay before the call is executed; the caller waits as well."""
    times: int = 1
    """How many matching steps get the fault."""
    on_match: Callable[[Step], None] | None = None
    """Called at the step, for example to stop a host or cut the network."""
    match_count: int = 0


class Faults:
    """Faults that tests inject; each call to a fake awaits `reach` first."""

    def __init__(self, late_seconds: float = 1.0) -> None:
        self.late_seconds = late_seconds
        self.injections: list[Injection] = []
        self.seen: list[Step] = []
        self.keep_seen = False

    def inject(self, injection: Injection) -> Injection:
        self.injections.append(injection)
        return injection

    async def reach(self, step: Step) -> CallOutcome:
        if self.keep_seen:
            self.seen.append(step)
        for injection in self.injections:
            if injection.match_count >= injection.times or not injection.matches(step):
                continue
            injection.match_count += 1
            if injection.on_match is not None:
                injection.on_match(step)
            if injection.delay_seconds:
                await asyncio.sleep(injection.delay_seconds)
            return injection.outcome
        return CallOutcome.PASS
