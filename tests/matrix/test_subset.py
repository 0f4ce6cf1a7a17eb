from __future__ import annotations

import pytest

from tests.matrix.cells import pair_cells, single_cells
from tests.matrix.fault_list import FAULTS
from tests.matrix.procedures import STEPS
from tests.matrix.run_cell import run_cell
from tests.matrix.subset import subset

pytestmark = pytest.mark.filterwarnings("ignore:coroutine .* was never awaited")

SEED = 20261204


def test_every_pair_of_fault_and_step_is_a_cell():
    singles, pairs = single_cells(), pair_cells()
    covered = {
        (item.step.procedure, item.step.name, item.fault.name) for item in singles
    }
    expected = {
        (step.procedure, step.name, fault.name)
        for step in STEPS
        for fault in FAULTS
        if fault.applies_to(step)
    }
    assert covered == expected
    assert len(set(map(str, singles + pairs))) == len(singles) + len(pairs)


def test_the_subset_has_every_step_and_every_fault():
    assert {str(item.step) for item in subset()} == {str(item) for item in STEPS}
    assert {item.fault.name for item in subset()} == {item.name for item in FAULTS}


@pytest.mark.matrix
@pytest.mark.parametrize("cell", subset(), ids=str)
def test_a_cell_of_the_matrix(cell):
    result = run_cell(cell, SEED)
    assert result.reached, "the fault was never reached"
    assert result.failures == ()
