"""Measures load beyond the capacity of the targets, and the recovery."""

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
"""How long the overload lasts."""

SETTLING_SECONDS = 1.0
"""The first part of the overload, which is left out of the measures."""

AFTER_SECONDS = 3.0
"""How long requests arrive after the overload, to measure the recovery."""

AFTER_LOAD = 0.5
"""The request rate after the overload, over the capacity."""

MIN_GOODPUT_GOAL = 0.9
"""The goal: the least rate of completed requests over the capacity, at 3 times
the capacity."""

COLUMNS = (
    "goodput/capacity",
    "orders done",
    "lookups done",
    "archives done",
    "refused but ran",
    "s to recover",
)


def run_overload(seed: int) -> ExperimentResult:
    """Measure loads of 1.5 and 3 times the capacity.

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
        Goal("goodput at 3 times capacity", MIN_GOODPUT_GOAL, worst.values[0], True),
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

    async def run_policy() -> FleetRun:
        run = FleetRun(setup, lambda zone, rng: RoundRobin() if baseline else None)
        await run.run()
        return run

    run = run_on_paused_clock(run_policy())
    during = [
        record
        for record in run.records
        if SETTLING_SECONDS <= record.at < OVERLOAD_SECONDS
    ]
    shares = completed_by_kind(during)
    completed = sum(record.completed for record in during)
    goodput = completed / (OVERLOAD_SECONDS - SETTLING_SECONDS) / setup.capacity
    failed_after = [
        record.at - OVERLOAD_SECONDS
        for record in run.records
        if record.at >= OVERLOAD_SECONDS and not record.completed
    ]
    return Row(
        name,
        (
            goodput,
            shares["order"],
            shares["lookup"],
            shares["archive"],
            float(sum(record.false_refusal for record in run.records)),
            max(failed_after, default=0.0),
        ),
    )
