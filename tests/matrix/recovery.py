"""Measure how long keys are not served under each class of faults."""

from __future__ import annotations

import sys
from statistics import median

from absl import app, flags

from tests.matrix.cell import Cell, CellResult
from tests.matrix.fault_list import FAULTS
from tests.matrix.procedures import STEPS
from tests.matrix.run_cell import run_cell

_SEEDS = flags.DEFINE_integer("seeds", 10, "How many seeds, counted from 1.")

NOT_TOLERATED = "not tolerated"

CLASSES = (
    ("a target is lost", "renewal/heartbeat", "target-lost", "", "3.5"),
    ("a target freezes and returns", "renewal/heartbeat", "target-frozen", "", "5"),
    ("the leader is lost", "renewal/grant", "leader-lost", "", "5"),
    ("the leader is paused and returns", "renewal/grant", "leader-paused", "", "5"),
    (
        "the leader and a target are lost",
        "renewal/grant",
        "leader-lost",
        "target-lost",
        "5",
    ),
    ("another entry host is lost", "renewal/promise", "subject-lost", "", "5"),
    ("another entry host is paused", "renewal/promise", "subject-paused", "", "5"),
    ("a target leaves", "leave/intent", "write-doubled", "", "0"),
    ("a target joins", "join/intent", "write-doubled", "", "0"),
    ("slices move as planned", "move/intent", "write-doubled", "", "0"),
    (
        "a move's answer from the store is lost",
        "move/commit",
        "write-answer-lost",
        "",
        "5",
    ),
    ("the store is down for 8 s", "renewal/heartbeat", "store-down", "", "0"),
    ("the store is slow for 8 s", "renewal/heartbeat", "store-slow", "", "0"),
    (
        "the store is down, a target is lost",
        "renewal/heartbeat",
        "store-down",
        "target-lost",
        "5",
    ),
    (
        "the store is down, the leader is lost",
        "renewal/heartbeat",
        "store-down",
        "leader-lost",
        NOT_TOLERATED,
    ),
    (
        "a zone is cut from the platform",
        "renewal/grant",
        "zone-cut-from-store",
        "",
        "0",
    ),
    ("a zone is cut from the others", "renewal/grant", "zone-cut-from-peers", "", "5"),
    ("a zone is cut off from all", "renewal/grant", "zone-cut-off", "", "5"),
    (
        "the leader is cut from the targets",
        "renewal/grant",
        "host-cut-from-targets",
        "",
        "5",
    ),
    ("the leader's promises lapse", "renewal/promise", "lease-lapse", "", "5"),
    ("a target's grant lapses", "renewal/grant", "grant-lapse", "", "5"),
)


def main(arguments: list[str]) -> int:
    """Run each class with each seed and print the table.

    Args:
        arguments: The program's name.

    Returns:
        1 if a run broke an invariant or a bound, else 0.
    """
    failed = False
    print("| fault | bound | median | worst | failed |")
    print("| --- | ---: | ---: | ---: | ---: |")
    for name, step, fault, second, bound in CLASSES:
        cell = _cell(step, fault, second)
        results = [run_cell(cell, seed) for seed in range(1, _SEEDS.value + 1)]
        times = [item.unavailable_seconds for item in results]
        failures = [_failures(item, bound) for item in results]
        failures = [item for item in failures if item]
        failed = failed or bool(failures)
        print(
            f"| {name} | {bound} | {median(times):.2f} | {max(times):.2f} |"
            f" {len(failures)} |",
            flush=True,
        )
        for found in failures[:1]:
            print(f"{name}: {'; '.join(found)[:300]}", file=sys.stderr, flush=True)
    return 1 if failed else 0


def _failures(result: CellResult, bound: str) -> list[str]:
    found = list(result.failures)
    if not result.reached:
        found.append("never reached")
    if bound != NOT_TOLERATED and result.unavailable_seconds > float(bound):
        found.append(f"not served for {result.unavailable_seconds:.3f} s")
    return found


def _cell(step: str, fault: str, second: str) -> Cell:
    faults = {item.name: item for item in FAULTS}
    found = next(item for item in STEPS if str(item) == step)
    return Cell(found, faults[fault], faults.get(second))


if __name__ == "__main__":
    app.run(main)
