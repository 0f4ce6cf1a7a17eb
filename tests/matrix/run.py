"""Run the fault matrix: every fault at every step, and pairs of faults."""

from __future__ import annotations

import os
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context
from statistics import median
from typing import TYPE_CHECKING

from absl import app, flags
from rich.console import Console
from rich.progress import track

from tests.matrix.cells import pair_cells, single_cells
from tests.matrix.run_cell import run_cell

if TYPE_CHECKING:
    from tests.matrix.cell import Cell, CellResult

DEFAULT_SEED = 20261204
CHUNK_CELLS = 4

_cells: list[Cell] = []

_SEED = flags.DEFINE_integer("seed", DEFAULT_SEED, "Seeds all random choices.")
_PART = flags.DEFINE_enum(
    "part", "all", ["all", "single", "pair"], "Which cells to run."
)
_MATCH = flags.DEFINE_string("match", "", "Runs only cells whose name has this.")
_JOBS = flags.DEFINE_integer("jobs", 1, "How many processes share the cells.")
_SHARE = flags.DEFINE_string("share", "1/1", "Runs the i-th of n shares, as i/n.")


def main(arguments: list[str]) -> int:
    """Run the cells that the flags select.

    Args:
        arguments: The program's name.

    Returns:
        1 if a cell failed, else 0.
    """
    console = Console(stderr=True)
    cells = chosen_cells()
    _cells.extend(cells)
    # Cells hold functions, which cannot be pickled; forks inherit them.
    with ProcessPoolExecutor(_JOBS.value, get_context("fork")) as jobs:
        found = jobs.map(_run_nth, range(len(cells)), chunksize=CHUNK_CELLS)
        shown = track(found, "cells", total=len(cells), console=console)
        results = [
            _report_failure(replace(result, cell=cell))
            for cell, result in zip(cells, shown, strict=True)
        ]
    _print_times(results)
    failed = [result for result in results if not result.passed]
    for result in failed:
        print(f"FAILED {result.cell}: {'; '.join(result.failures)[:600]}")
    reached = sum(result.reached for result in results)
    missed = len(results) - reached
    if missed:
        print(f"{missed} cells never reached their fault")
    print(f"cells={reached} failed={len(failed)} seed={_SEED.value}")
    return 1 if failed else 0


def chosen_cells() -> list[Cell]:
    """Return the cells that the flags select."""
    cells: list[Cell] = []
    if _PART.value != "pair":
        cells += single_cells()
    if _PART.value != "single":
        cells += pair_cells()
    cells = [cell for cell in cells if _MATCH.value in str(cell)]
    index, count = map(int, _SHARE.value.split("/"))
    return cells[index - 1 :: count]


def _run_nth(number: int) -> CellResult:
    return replace(run_cell(_cells[number], _SEED.value), cell=None)


def _report_failure(result: CellResult) -> CellResult:
    if not result.passed:
        reasons = "; ".join(result.failures)[:400]
        print(f"failed {result.cell}: {reasons}", file=sys.stderr, flush=True)
    return result


def _print_times(results: list[CellResult]) -> None:
    times: dict[str, list[float]] = defaultdict(list)
    for result in results:
        if result.reached:
            faults = str(result.cell).split(":")[1]
            times[f"{result.cell.step.procedure:12} {faults}"].append(
                result.unavailable_seconds
            )
    for name, found in sorted(times.items()):
        print(
            f"{name:60} cells={len(found):3}"
            f" median={median(found):6.3f} worst={max(found):6.3f}"
        )


def _fix_hash_seed() -> None:
    """Restart with a fixed hash seed, so that the order of sets is fixed."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        arguments = [sys.executable, "-m", "tests.matrix.run", *sys.argv[1:]]
        os.execve(sys.executable, arguments, os.environ | {"PYTHONHASHSEED": "0"})


if __name__ == "__main__":
    _fix_hash_seed()
    app.run(main)
