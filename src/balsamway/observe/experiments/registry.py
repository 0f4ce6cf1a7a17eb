"""Lists the experiments by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.observe.experiments.choosers import run_choosers
from balsamway.observe.experiments.harvest import run_harvest
from balsamway.observe.experiments.joins import run_joins
from balsamway.observe.experiments.leaves import run_leaves
from balsamway.observe.experiments.overload import run_overload

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.observe.experiments.result import ExperimentResult

EXPERIMENTS: dict[str, Callable[[int], ExperimentResult]] = {
    "harvest": run_harvest,
    "joins": run_joins,
    "leaves": run_leaves,
    "overload": run_overload,
    "choosers": run_choosers,
}
"""Each function takes the seed of all random draws and returns the result."""
