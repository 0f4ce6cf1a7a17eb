from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import warnings
from typing import TYPE_CHECKING

from balsamway.standins.checker import check
from tests.fakes.faults import Injection
from tests.fakes.step import Step
from tests.matrix.availability import longest_unavailable
from tests.matrix.bounds import SERVED_AGAIN_SECONDS, unavailable_bound
from tests.matrix.cell import Cell, CellResult
from tests.matrix.procedures import PROCEDURES
from tests.matrix.process import start_outside
from tests.matrix.process_loop import ProcessLoop
from tests.matrix.world import World

if TYPE_CHECKING:
    from tests.matrix.fault import Fault

REACH_TIMEOUT_SECONDS = 12.0
SECOND_AFTER_SECONDS = 0.2
HANGING_SECONDS = 45.0
"""Of real time; a cell takes about one."""
QUIET_SECONDS = 4.0


class CellHangsError(BaseException):
    """The cell makes no end, for example because its clock stands still."""


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Runs one cell on a clock of its own."""
    loop = ProcessLoop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    logging.disable(logging.CRITICAL)
    hook = sys.unraisablehook
    alarm = signal.signal(signal.SIGALRM, _stop_hanging)
    signal.setitimer(signal.ITIMER_REAL, HANGING_SECONDS)
    try:
        return loop.run_until_complete(_CellRun(cell, seed).run())
    except CellHangsError:
        return CellResult(cell, True, ("the cell hangs",), 0.0)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, alarm)
        # What lost processes have left is cleared away without a word.
        sys.unraisablehook = lambda unraisable: None
        asyncio.set_event_loop(None)
        loop.close()
        del loop
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)
            gc.collect()
        sys.unraisablehook = hook
        logging.disable(logging.NOTSET)


def _stop_hanging(number: int, frame: object) -> None:
    raise CellHangsError


class _CellRun:
    def __init__(self, cell: Cell, seed: int) -> None:
        self._cell = cell
        self._world = World(seed)
        self._procedure = next(
            one for one in PROCEDURES if one.name == cell.step.procedure
        )
        self._failures: list[str] = []
        self._struck = asyncio.Event()
        self._struck_at = 0.0
        self._healed_at = 0.0
        self._heals: list[asyncio.Task[None]] = []

    async def run(self) -> CellResult:
        world = self._world
        if self._procedure.from_nothing:
            self._arm()
        await world.start()
        world.callers.start()
        if not self._procedure.from_nothing:
            if not await world.wait_ready():
                self._failures.append("never ready")
                return self._result(False)
            await asyncio.sleep(world.rng.random())
            self._arm()
            await self._procedure.drive(world)
        reached = await self._wait_struck()
        if reached:
            await asyncio.gather(*self._heals)
            self._healed_at = world.now
            await self._wait_served()
            await asyncio.gather(*world.stops)
            self._judge()
        return self._result(reached)

    def _arm(self) -> None:
        fault = self._cell.fault
        self._world.faults.inject(
            Injection(
                lambda step: self._cell.step.matches(self._world, step),
                outcome=fault.outcome,
                delay_seconds=fault.delay_seconds,
                on_match=self._strike,
            )
        )

    def _strike(self, step: Step) -> None:
        self._struck_at = self._world.now
        self._begin(self._cell.fault, step, 0.0)
        if self._cell.second is not None:
            self._begin(self._cell.second, step, SECOND_AFTER_SECONDS)
        self._struck.set()

    def _begin(self, fault: Fault, step: Step, after: float) -> None:
        async def heal_later() -> None:
            if after:
                await asyncio.sleep(after)
                self._apply(fault, step)
            await asyncio.sleep(fault.heal_seconds)
            if fault.heal is not None:
                fault.heal(self._world, step)

        if not after:
            self._apply(fault, step)
        self._heals.append(start_outside(heal_later()))

    def _apply(self, fault: Fault, step: Step) -> None:
        if fault.strike is not None:
            fault.strike(self._world, step)

    async def _wait_struck(self) -> bool:
        try:
            await asyncio.wait_for(self._struck.wait(), REACH_TIMEOUT_SECONDS)
        except TimeoutError:
            self._failures.append("step not reached")
            return False
        return True

    async def _wait_served(self) -> None:
        callers = self._world.callers
        if not await self._world.wait(callers.all_served, SERVED_AGAIN_SECONDS):
            self._failures.append("not served within 5 s of the end of the fault")
        await asyncio.sleep(QUIET_SECONDS)
        if not callers.all_served():
            self._failures.append("not served in the end")

    def _judge(self) -> None:
        journal = self._world.observer.journal()
        self._failures += [f"{one.invariant}: {one.detail}" for one in check(journal)]
        self._failures += self._world.crashes()
        self._judge_availability()

    def _judge_availability(self) -> None:
        worst = longest_unavailable(self._world.callers.probes, self._struck_at)
        bound = unavailable_bound(self._cell)
        if worst > bound:
            self._failures.append(f"not served for {worst:.3f} s, bound {bound:.1f} s")

    def _result(self, reached: bool) -> CellResult:
        probes = self._world.callers.probes
        worst = longest_unavailable(probes, self._struck_at) if reached else 0.0
        return CellResult(self._cell, reached, tuple(self._failures), worst)
