"""The experiments by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.observe.experiments.harvest import run_harvest

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.observe.experiments.result import ExperimentResult

EXPERIMENTS: dict[str, Callable[[int], ExperimentResult]] = {
    "harvest": run_harvest,
}
"""Each takes a seed."""
