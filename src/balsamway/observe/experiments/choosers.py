"""Compares policies that choose a target for requests without an owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.gateway.least_in_flight import LeastInFlight
from balsamway.gateway.random_choice import RandomChoice
from balsamway.gateway.round_robin import RoundRobin
from balsamway.gateway.two_choices import TwoChoices
from balsamway.observe.experiments._paused_clock import run_on_paused_clock
from balsamway.observe.experiments.fleet_run import (
    FleetPhase,
    FleetRun,
    FleetSetup,
    percentile_ms,
)
from balsamway.observe.experiments.result import ExperimentResult, Row
from balsamway.observe.measures import Imbalance

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.gateway.chooser import Chooser

POLICIES: dict[str, Callable[[str, random.Random], Chooser | None]] = {
    "round robin": lambda zone, rng: RoundRobin(),
    "random": lambda zone, rng: RandomChoice(rng),
    "least in flight": lambda zone, rng: LeastInFlight(rng),
    "two choices": lambda zone, rng: TwoChoices(rng),
    "chosen: own zone, two choices": lambda zone, rng: None,
}
"""Functions that create the policy of a gateway from its zone. They return
None for the gateway's default policy."""

COLUMNS = (
    "p99 ms",
    "p50 ms",
    "max/mean busy",
    "not completed",
    "connections opened",
)


def run_choosers(seed: int) -> ExperimentResult:
    """Compare the policies with one slow target and one cold start.

    Args:
        seed: The seed of the arrivals.

    Returns:
        The measures of each policy.
    """
    setup = FleetSetup((FleetPhase(8.0, 0.7),), seed, slowness=2.0, cold_target=5)
    rows = tuple(_row(name, setup) for name in POLICIES)
    title = "8 targets, one slow and one cold, 12 gateways, 70% load"
    return ExperimentResult("choosers", title, seed, COLUMNS, rows)


def _row(name: str, setup: FleetSetup) -> Row:
    async def run_policy() -> FleetRun:
        run = FleetRun(setup, POLICIES[name])
        await run.run()
        return run

    run = run_on_paused_clock(run_policy())
    busy = {name: target.busy_seconds for name, target in run.targets.items()}
    done = sum(record.completed for record in run.records)
    return Row(
        name,
        (
            percentile_ms(run.records, 99.0),
            percentile_ms(run.records, 50.0),
            Imbalance.of(busy).maximum_over_mean,
            1.0 - done / len(run.records),
            float(sum(transport.opened for transport in run.transports)),
        ),
    )
