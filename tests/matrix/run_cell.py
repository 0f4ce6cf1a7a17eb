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
from tests.matrix.availability import find_longest_outage
from tests.matrix.bounds import MAX_OUTAGE_SECONDS, max_unavailable_seconds
from tests.matrix.cell import Cell, CellResult
from tests.matrix.matrix_deployment import MatrixDeployment
from tests.matrix.procedures import PROCEDURES
from tests.matrix.process import start_outside
from tests.matrix.process_loop import ProcessLoop

if TYPE_CHECKING:
    from tests.matrix.fault import Fault

REACH_TIMEOUT_SECONDS = 12.0
SECOND_FAULT_DELAY_SECONDS = 0.2
HANG_TIMEOUT_SECONDS = 45.0
"""The real time after which a cell is stopped; a cell takes about 1 s."""
SETTLE_SECONDS = 4.0


class CellHangError(BaseException):
    """The cell does not end, for example because its clock stands still."""


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Run one cell on its own simulated clock."""
    loop = ProcessLoop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    logging.disable(logging.CRITICAL)
    hook = sys.unraisablehook
    alarm = signal.signal(signal.SIGALRM, _raise_hang_error)
    signal.setitimer(signal.ITIMER_REAL, HANG_TIMEOUT_SECONDS)
    try:
        return loop.run_until_complete(_CellRun(cell, seed).run())
    except CellHangError:
        return CellResult(cell, True, ("the cell hangs",), 0.0)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, alarm)
        # Collect what lost processes left behind, without reporting errors.
        sys.unraisablehook = lambda unraisable: None
        asyncio.set_event_loop(None)
        loop.close()
        del loop
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)
            gc.collect()
        sys.unraisablehook = hook
        logging.disable(logging.NOTSET)


def _raise_hang_error(number: int, frame: object) -> None:
    raise CellHangError


class _CellRun:
    def __init__(self, cell: Cell, seed: int) -> None:
        self._cell = cell
        self._deployment = MatrixDeployment(seed)
        self._procedure = next(
            procedure
            for procedure in PROCEDURES
            if procedure.name == cell.step.procedure
        )
        self._failures: list[str] = []
        self._struck = asyncio.Event()
        self._struck_at = 0.0
        self._healed_at = 0.0
        self._heals: list[asyncio.Task[None]] = []

    async def run(self) -> CellResult:
        deployment = self._deployment
        if self._procedure.is_startup:
            self._inject_fault()
        await deployment.start()
        deployment.callers.start()
        if not self._procedure.is_startup:
            if not await deployment.wait_ready():
                self._failures.append("never ready")
                return self._result(False)
            await asyncio.sleep(deployment.rng.random())
            self._inject_fault()
            await self._procedure.drive(deployment)
        reached = await self._wait_struck()
        if reached:
            await asyncio.gather(*self._heals)
            self._healed_at = deployment.now
            await self._wait_served()
            await asyncio.gather(*deployment.stop_tasks)
            self._check_journal()
        return self._result(reached)

    def _inject_fault(self) -> None:
        fault = self._cell.fault
        self._deployment.faults.inject(
            Injection(
                lambda step: self._cell.step.matches(self._deployment, step),
                outcome=fault.outcome,
                delay_seconds=fault.delay_seconds,
                on_match=self._strike,
            )
        )

    def _strike(self, step: Step) -> None:
        self._struck_at = self._deployment.now
        self._begin(self._cell.fault, step, 0.0)
        if self._cell.second is not None:
            self._begin(self._cell.second, step, SECOND_FAULT_DELAY_SECONDS)
        self._struck.set()

    def _begin(self, fault: Fault, step: Step, after: float) -> None:
        async def heal_later() -> None:
            if after:
                await asyncio.sleep(after)
                self._apply(fault, step)
            await asyncio.sleep(fault.heal_seconds)
            if fault.heal is not None:
                fault.heal(self._deployment, step)

        if not after:
            self._apply(fault, step)
        self._heals.append(start_outside(heal_later()))

    def _apply(self, fault: Fault, step: Step) -> None:
        if fault.strike is not None:
            fault.strike(self._deployment, step)

    async def _wait_struck(self) -> bool:
        try:
            await asyncio.wait_for(self._struck.wait(), REACH_TIMEOUT_SECONDS)
        except TimeoutError:
            self._failures.append("step not reached")
            return False
        return True

    async def _wait_served(self) -> None:
        callers = self._deployment.callers
        if not await self._deployment.wait(callers.all_served, MAX_OUTAGE_SECONDS):
            self._failures.append("not served within 5 s of the end of the fault")
        await asyncio.sleep(SETTLE_SECONDS)
        if not callers.all_served():
            self._failures.append("not served in the end")

    def _check_journal(self) -> None:
        journal = self._deployment.observer.journal()
        self._failures += [
            f"{violation.invariant}: {violation.detail}" for violation in check(journal)
        ]
        self._failures += self._deployment.crashes()
        self._check_availability()

    def _check_availability(self) -> None:
        worst = find_longest_outage(self._deployment.callers.probes, self._struck_at)
        bound = max_unavailable_seconds(self._cell)
        if worst > bound:
            self._failures.append(f"not served for {worst:.3f} s, bound {bound:.1f} s")

    def _result(self, reached: bool) -> CellResult:
        probes = self._deployment.callers.probes
        worst = find_longest_outage(probes, self._struck_at) if reached else 0.0
        return CellResult(self._cell, reached, tuple(self._failures), worst)
