from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.fakes.faults import Faults

if TYPE_CHECKING:
    from tests.fakes.call_outcome import CallOutcome
    from tests.fakes.step import Step


class MatrixFaults(Faults):
    """Lets a process that was paused or lost at a step stop right there."""

    async def reach(self, step: Step) -> CallOutcome:
        outcome = await super().reach(step)
        await asyncio.sleep(0)
        return outcome
