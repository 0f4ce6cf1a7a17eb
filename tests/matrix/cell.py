from __future__ import annotations

from dataclasses import dataclass

from tests.matrix.fault import Fault
from tests.matrix.procedure_step import ProcedureStep


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault, or two faults, injected at one step of a procedure."""

    step: ProcedureStep
    fault: Fault
    second: Fault | None = None
    """A fault that strikes shortly after the first."""

    def __str__(self) -> str:
        faults = self.fault.name
        if self.second is not None:
            faults += f"+{self.second.name}"
        return f"{self.step}:{faults}"


@dataclass(frozen=True, slots=True)
class CellResult:
    """The result of running a cell."""

    cell: Cell
    reached: bool
    failures: tuple[str, ...]
    unavailable_seconds: float
    """The longest time that a key was not served. Only requests through
    hosts that were not partitioned count."""

    @property
    def passed(self) -> bool:
        return self.reached and not self.failures
