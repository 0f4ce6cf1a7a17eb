from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.fakes.faults import Faults

if TYPE_CHECKING:
    from tests.fakes.call_outcome import CallOutcome
    from tests.fakes.step import Step


class MatrixFaults(Faults):
    """Yield to the event loop after each step.

    A process that was paused or lost at the step then stops at that step."""

    async def reach(self, step: Step) -> CallOutcome:
        outcome = await super().reach(step)
        await asyncio.sleep(0)
        return outcome
