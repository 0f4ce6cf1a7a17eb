"""More requests than the targets can run, and the time after."""

from __future__ import annotations

from balsamway.gateway.round_robin import RoundRobin
from balsamway.observe.experiments._paused_clock import run_on_paused_clock
from balsamway.observe.experiments.fleet_run import (
    FleetPhase,
    FleetRun,
    FleetSetup,
    completed_by_kind,
)
from balsamway.observe.experiments.result import ExperimentResult, Goal, Row

OVERLOAD_SECONDS = 5.0
SETTLING_SECONDS = 1.0
AFTER_SECONDS = 3.0
AFTER_LOAD = 0.5

GOODPUT_GOAL = 0.9
"""Completed requests over capacity at three times the capacity."""

COLUMNS = (
    "goodput/capacity",
    "orders done",
    "lookups done",
    "archives done",
    "refused but ran",
    "s to recover",
)


def run_overload(seed: int) -> ExperimentResult:
    """Measures one and a half and three times the capacity.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures, with round robin as the baseline.
    """
    rows = tuple(
        _row(f"{name}, {load:g} times", seed, load, name == "round robin")
        for load in (1.5, 3.0)
        for name in ("round robin", "chosen")
    )
    worst = rows[-1]
    goals = (
        Goal("goodput at 3 times capacity", GOODPUT_GOAL, worst.values[0], True),
        Goal("refused as not run, but ran", 0.0, max(row.values[4] for row in rows)),
    )
    return ExperimentResult(
        "overload", "1.5 and 3 times the capacity", seed, COLUMNS, rows, goals
    )


def _row(name: str, seed: int, load: float, baseline: bool) -> Row:
    phases = (
        FleetPhase(OVERLOAD_SECONDS, load),
        FleetPhase(AFTER_SECONDS, AFTER_LOAD),
    )
    setup = FleetSetup(phases, seed)

    async def work() -> FleetRun:
        run = FleetRun(setup, lambda zone, rng: RoundRobin() if baseline else None)
        await run.run()
        return run

    run = run_on_paused_clock(work())
    during = [
        each for each in run.outcomes if SETTLING_SECONDS <= each.at < OVERLOAD_SECONDS
    ]
    shares = completed_by_kind(during)
    done = sum(each.completed for each in during)
    goodput = done / (OVERLOAD_SECONDS - SETTLING_SECONDS) / setup.capacity
    failed_after = [
        each.at - OVERLOAD_SECONDS
        for each in run.outcomes
        if each.at >= OVERLOAD_SECONDS and not each.completed
    ]
    return Row(
        name,
        (
            goodput,
            shares["order"],
            shares["lookup"],
            shares["archive"],
            float(sum(each.false_refusal for each in run.outcomes)),
            max(failed_after, default=0.0),
        ),
    )
