"""What the experiments with joining and leaving targets have in common."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.balance import PlacementPlanner
from balsamway.configuration import Weights
from balsamway.observe.experiments.keyed_run import KeyedRun, KeyedSetup
from balsamway.observe.experiments.keyed_workload import KeyedWorkload
from balsamway.observe.experiments.result import Goal, Row
from balsamway.observe.experiments.static_planner import StaticPlanner
from balsamway.observe.experiments.target_event import TargetEvent

STEADY = KeyedWorkload(requests_a_second=1200.0, hot_share=0.0)
"""Keys of unequal popularity, none of which is hot."""

EVENT_SECOND = 60
SECONDS = 240

MOVEMENT_GOAL = 1.2
"""The greatest movement over the least possible."""


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """A policy and its finished run."""

    policy: str
    run: KeyedRun

    def row(self, least: float) -> Row:
        """Measures the run from the event on.

        Args:
            least: The share of the key space that had to move.

        Returns:
            The measures, as `MOVEMENT_COLUMNS` names them.
        """
        trace = self.run.trace
        churn = trace.churn(EVENT_SECOND, SECONDS, least)
        return Row(
            self.policy,
            (
                churn.over_least,
                churn.traffic / least,
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
    """Compares what the planner moved with the least possible.

    Args:
        rows: The measures; the first row is the baseline's.

    Returns:
        A goal for the key space and one for the traffic of each row.
    """
    return tuple(
        Goal(f"{MOVEMENT_COLUMNS[index]}, {row.policy}", MOVEMENT_GOAL, value)
        for row in rows[1:]
        for index, value in enumerate(row.values[:2])
    )


def run_policies(
    seed: int, events: tuple[TargetEvent, ...], targets: int = 12
) -> list[PolicyRun]:
    """Runs static hashing and the planner through the same events.

    Args:
        seed: The seed of the arrivals.
        events: What happens to targets.
        targets: How many targets there are at first.

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
            STEADY, SECONDS, seed, weights, targets=targets, events=events
        )
        run = KeyedRun(setup, planner)
        run.run()
        runs.append(PolicyRun(name, run))
    return runs
