"""Measures placement policies while the hot keys change within minutes."""

from __future__ import annotations

import statistics

from balsamway.balance import PlacementPlanner
from balsamway.configuration import Weights
from balsamway.observe.experiments.keyed_run import KeyedRun, KeyedSetup
from balsamway.observe.experiments.keyed_trace import WINDOW_SECONDS
from balsamway.observe.experiments.keyed_workload import KeyedWorkload
from balsamway.observe.experiments.result import ExperimentResult, Goal, Row, Series
from balsamway.observe.experiments.static_planner import StaticPlanner

DURATION_SECONDS = 360
"""The simulated length of a run."""

MAX_BUSY_OVER_MEAN_GOAL = 1.15
"""The goal: the greatest busy time over the mean."""

COLUMNS = (
    "max/mean by minute",
    "worst minute",
    "variation by minute",
    "max/mean whole run",
    "p50 ms",
    "p99 ms",
    "moves",
    "key space moved/h",
    "traffic moved/h",
    "slices at most",
)


def run_harvest(seed: int) -> ExperimentResult:
    """Compare placement policies while the hot keys change.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of static hashing and of the planner under three weights.
    """
    rows = []
    series = []
    policies = (
        ("static hashing", StaticPlanner(), Weights()),
        ("planner, unavailable time", PlacementPlanner(), Weights(1.0, 3.0)),
        ("planner, even weights", PlacementPlanner(), Weights(1.0, 1.0)),
        ("planner, imbalance", PlacementPlanner(), Weights(3.0, 1.0)),
    )
    for name, planner, weights in policies:
        run = KeyedRun(
            KeyedSetup(KeyedWorkload(), DURATION_SECONDS, seed, weights), planner
        )
        run.run()
        rows.append(_row(name, run))
        times = tuple(
            (index + 1.0) * WINDOW_SECONDS for index in range(len(run.windows))
        )
        ratios = tuple(window.maximum_over_mean for window in run.windows)
        series.append(Series(name, times, ratios))
    goal = Goal(
        "max/mean by minute, planner for imbalance",
        MAX_BUSY_OVER_MEAN_GOAL,
        rows[-1].values[0],
    )
    return ExperimentResult(
        "harvest",
        "Hot keys that change every two minutes",
        seed,
        COLUMNS,
        tuple(rows),
        (goal,),
        tuple(series),
        "maximum over mean busy time",
    )


def _row(name: str, run: KeyedRun) -> Row:
    trace = run.trace
    ratios = [window.maximum_over_mean for window in run.windows]
    variations = [window.coefficient_of_variation for window in run.windows]
    churn = trace.churn(0.0, DURATION_SECONDS)
    return Row(
        name,
        (
            statistics.fmean(ratios),
            max(ratios),
            statistics.fmean(variations),
            trace.whole_run().maximum_over_mean,
            trace.latency_ms(50.0),
            trace.latency_ms(99.0),
            float(churn.moves),
            churn.key_space_per_hour,
            churn.traffic_per_hour,
            float(trace.max_slices),
        ),
    )
