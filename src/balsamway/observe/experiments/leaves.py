"""Measures what moves when a target drains as planned."""

from __future__ import annotations

from balsamway.observe.experiments.result import ExperimentResult
from balsamway.observe.experiments.steady import (
    EVENT_SECOND,
    MOVEMENT_COLUMNS,
    movement_goals,
    run_policies,
)
from balsamway.observe.experiments.target_event import TargetChange, TargetEvent

LEAVING = "server-004"
"""The target that drains."""


def run_leaves(seed: int) -> ExperimentResult:
    """Measure what moves when a target drains as planned.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    events = (TargetEvent(EVENT_SECOND, LEAVING, TargetChange.LEAVING),)
    rows = tuple(
        policy_run.row(policy_run.run.owned_share[LEAVING])
        for policy_run in run_policies(seed, events)
    )
    return ExperimentResult(
        "leaves",
        "One of twelve targets leaves",
        seed,
        MOVEMENT_COLUMNS,
        rows,
        movement_goals(rows),
    )
