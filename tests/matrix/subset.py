from __future__ import annotations

from typing import TYPE_CHECKING

from tests.matrix.cells import single_cells
from tests.matrix.fault_list import FAULTS
from tests.matrix.procedures import STEPS

if TYPE_CHECKING:
    from tests.matrix.cell import Cell

STRIDE = 5


def subset() -> list[Cell]:
    """Return a subset of the cells that covers each step and each fault."""
    cells = single_cells()
    chosen: dict[str, Cell] = {}
    for number, step in enumerate(STEPS):
        at_step = [candidate for candidate in cells if candidate.step == step]
        cell = at_step[number * STRIDE % len(at_step)]
        chosen[str(cell)] = cell
    seen = {candidate.fault.name for candidate in chosen.values()}
    for number, fault in enumerate(FAULTS):
        if fault.name not in seen:
            with_fault = [candidate for candidate in cells if candidate.fault == fault]
            cell = with_fault[number * STRIDE % len(with_fault)]
            chosen[str(cell)] = cell
    return list(chosen.values())
