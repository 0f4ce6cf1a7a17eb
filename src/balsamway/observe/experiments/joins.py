"""A target joins, with a cold start."""

from __future__ import annotations

from balsamway.observe.experiments.result import ExperimentResult
from balsamway.observe.experiments.steady import (
    EVENT_SECOND,
    MOVEMENT_COLUMNS,
    movement_goals,
    run_policies,
)
from balsamway.observe.experiments.target_event import TargetChange, TargetEvent

COLD_START_SECONDS = 10
LEAST = 1.0 / 13.0
"""The share of the key space that the thirteenth target must be given."""


def run_joins(seed: int) -> ExperimentResult:
    """Measures what a join moves.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    events = (
        TargetEvent(EVENT_SECOND, "server-012", TargetChange.WARMING),
        TargetEvent(EVENT_SECOND + COLD_START_SECONDS, "server-012", TargetChange.LIVE),
    )
    rows = tuple(each.row(LEAST) for each in run_policies(seed, events))
    title = "A thirteenth target joins"
    return ExperimentResult(
        "joins", title, seed, MOVEMENT_COLUMNS, rows, movement_goals(rows)
    )
