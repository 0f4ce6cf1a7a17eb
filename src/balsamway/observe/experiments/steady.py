"""Runs the experiments in which targets join or drain under steady load."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.balance import PlacementPlanner
from balsamway.configuration import Weights
from balsamway.observe.experiments.keyed_run import KeyedRun, KeyedSetup
from balsamway.observe.experiments.keyed_workload import KeyedWorkload
from balsamway.observe.experiments.result import Goal, Row
from balsamway.observe.experiments.static_planner import StaticPlanner
from balsamway.observe.experiments.target_event import TargetEvent

STEADY_WORKLOAD = KeyedWorkload(requests_per_second=1200.0, hot_share=0.0)
"""Requests for keys of unequal popularity without a set of hot keys."""

EVENT_SECOND = 60
"""The second before which the target joins or drains."""

DURATION_SECONDS = 240
"""The simulated length of a run."""

MAX_MOVEMENT_GOAL = 1.2
"""The goal: the greatest movement over the minimum."""


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """The finished run of one policy."""

    policy: str
    run: KeyedRun

    def row(self, min_fraction: float) -> Row:
        """Measure the run from the event to its end.

        Args:
            min_fraction: The fraction of the key space that had to move.

        Returns:
            The measures, in the order of `MOVEMENT_COLUMNS`.
        """
        trace = self.run.trace
        churn = trace.churn(EVENT_SECOND, DURATION_SECONDS, min_fraction)
        return Row(
            self.policy,
            (
                churn.over_minimum,
                churn.traffic / min_fraction,
                churn.key_space,
                churn.traffic,
                float(churn.moves),
                self.run.windows[-1].maximum_over_mean,
                trace.latency_ms(99.0),
                float(trace.refused),
            ),
        )


MOVEMENT_COLUMNS = (
    "key space over least",
    "traffic over least",
    "key space moved",
    "traffic moved",
    "moves",
    "max/mean at the end",
    "p99 ms",
    "refused",
)


def movement_goals(rows: tuple[Row, ...]) -> tuple[Goal, ...]:
    """Compare what the planner moved with the minimum.

    Args:
        rows: The measures; the first row is the baseline's.

    Returns:
        A goal for the key space and one for the traffic of each planner's row.
    """
    return tuple(
        Goal(f"{MOVEMENT_COLUMNS[index]}, {row.policy}", MAX_MOVEMENT_GOAL, value)
        for row in rows[1:]
        for index, value in enumerate(row.values[:2])
    )


def run_policies(
    seed: int, events: tuple[TargetEvent, ...], targets: int = 12
) -> list[PolicyRun]:
    """Run static hashing and the planner through the same events.

    Args:
        seed: The seed of the arrivals.
        events: The changes of targets during the run.
        targets: The number of targets at the start.

    Returns:
        The finished runs; the last two are the planner's.
    """
    policies = (
        ("static hashing", StaticPlanner(), Weights()),
        ("planner, unavailable time", PlacementPlanner(), Weights(1.0, 3.0)),
        ("planner, imbalance", PlacementPlanner(), Weights(3.0, 1.0)),
    )
    runs = []
    for name, planner, weights in policies:
        setup = KeyedSetup(
            STEADY_WORKLOAD,
            DURATION_SECONDS,
            seed,
            weights,
            targets=targets,
            events=events,
        )
        run = KeyedRun(setup, planner)
        run.run()
        runs.append(PolicyRun(name, run))
    return runs
