from __future__ import annotations

from tests.matrix.cell import Cell
from tests.matrix.fault_list import FAULTS
from tests.matrix.procedures import PROCEDURES, STEPS

OWNERSHIP_PROCEDURES = {
    procedure.name for procedure in PROCEDURES if procedure.with_fault_pairs
}


def single_cells() -> list[Cell]:
    """Return a cell for every step and every fault that applies to it."""
    return [
        Cell(step, fault)
        for step in STEPS
        for fault in FAULTS
        if fault.applies_to(step)
    ]


def pair_cells() -> list[Cell]:
    """Return a cell for every single-fault ownership cell and second fault."""
    return [
        Cell(cell.step, cell.fault, second)
        for cell in single_cells()
        if cell.step.procedure in OWNERSHIP_PROCEDURES
        for second in FAULTS
        if second.can_be_second and second.name != cell.fault.name
    ]
