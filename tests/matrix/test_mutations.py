from __future__ import annotations

import pytest

from tests.matrix.cells import single_cells
from tests.matrix.mutations import MUTATIONS
from tests.matrix.run_cell import run_cell

SEED = 20261204


def _cell(name):
    return next(cell for cell in single_cells() if str(cell) == name)


@pytest.mark.matrix
@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_a_protection_left_out_is_caught(mutation, monkeypatch):
    monkeypatch.setattr(mutation.owner, mutation.attribute, mutation.replacement)
    result = run_cell(_cell(mutation.cell), SEED)
    assert result.reached
    assert any(
        failure.startswith(f"{mutation.invariant}:") for failure in result.failures
    )


@pytest.mark.matrix
@pytest.mark.parametrize("name", sorted({mutation.cell for mutation in MUTATIONS}))
def test_the_same_cell_passes_with_it(name):
    result = run_cell(_cell(name), SEED)
    assert result.passed, result.failures
