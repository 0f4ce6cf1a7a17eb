from __future__ import annotations

from tests.matrix.cell import Cell
from tests.matrix.fault_list import FAULTS
from tests.matrix.procedures import PROCEDURES, STEPS

OF_OWNERSHIP = {one.name for one in PROCEDURES if one.of_ownership}


def single_cells() -> list[Cell]:
    """Every fault at every step that it exists for."""
    return [
        Cell(step, fault)
        for step in STEPS
        for fault in FAULTS
        if fault.applies_to(step)
    ]


def pair_cells() -> list[Cell]:
    """Every fault at every step of ownership, with each that can join it."""
    return [
        Cell(cell.step, cell.fault, second)
        for cell in single_cells()
        if cell.step.procedure in OF_OWNERSHIP
        for second in FAULTS
        if second.at_any_time and second.name != cell.fault.name
    ]
