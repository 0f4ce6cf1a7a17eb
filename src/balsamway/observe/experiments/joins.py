"""A server joins, with a cold start."""

from __future__ import annotations

from balsamway.observe.experiments.result import ExperimentResult
from balsamway.observe.experiments.server_event import ServerChange, ServerEvent
from balsamway.observe.experiments.steady import (
    EVENT_SECOND,
    MOVEMENT_COLUMNS,
    movement_goals,
    run_policies,
)

COLD_START_SECONDS = 10
LEAST = 1.0 / 13.0
"""The share of the key space that the thirteenth server must be given."""


def run_joins(seed: int) -> ExperimentResult:
    """Measures what a join moves.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    events = (
        ServerEvent(EVENT_SECOND, "server-012", ServerChange.WARMING),
        ServerEvent(EVENT_SECOND + COLD_START_SECONDS, "server-012", ServerChange.LIVE),
    )
    rows = tuple(each.row(LEAST) for each in run_policies(seed, events))
    title = "A thirteenth server joins"
    return ExperimentResult(
        "joins", title, seed, MOVEMENT_COLUMNS, rows, movement_goals(rows)
    )
