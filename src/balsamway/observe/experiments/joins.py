"""Measures what moves when a target with a cold start joins."""

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
"""How long the new target is warming up."""

MIN_KEY_FRACTION = 1.0 / 13.0
"""The least fraction of the key space that must move to the thirteenth target,
which is its even share."""


def run_joins(seed: int) -> ExperimentResult:
    """Measure what moves when a target joins.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    events = (
        TargetEvent(EVENT_SECOND, "server-012", TargetChange.WARMING),
        TargetEvent(EVENT_SECOND + COLD_START_SECONDS, "server-012", TargetChange.LIVE),
    )
    rows = tuple(
        policy_run.row(MIN_KEY_FRACTION) for policy_run in run_policies(seed, events)
    )
    title = "A thirteenth target joins"
    return ExperimentResult(
        "joins", title, seed, MOVEMENT_COLUMNS, rows, movement_goals(rows)
    )
