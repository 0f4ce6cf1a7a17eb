"""A server leaves as planned."""

from __future__ import annotations

from balsamway.observe.experiments.result import ExperimentResult
from balsamway.observe.experiments.server_event import ServerChange, ServerEvent
from balsamway.observe.experiments.steady import (
    EVENT_SECOND,
    MOVEMENT_COLUMNS,
    movement_goals,
    run_policies,
)

LEAVING = "server-004"


def run_leaves(seed: int) -> ExperimentResult:
    """Measures what a planned leave moves.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    events = (ServerEvent(EVENT_SECOND, LEAVING, ServerChange.LEAVING),)
    rows = tuple(
        each.row(each.run.owned_share[LEAVING]) for each in run_policies(seed, events)
    )
    return ExperimentResult(
        "leaves",
        "One of twelve servers leaves",
        seed,
        MOVEMENT_COLUMNS,
        rows,
        movement_goals(rows),
    )
