from __future__ import annotations

from balsamway.balance import PlacementPlanner
from balsamway.configuration import Weights
from balsamway.observe.experiments._paused_clock import run_on_paused_clock
from balsamway.observe.experiments.fleet_run import FleetPhase, FleetRun, FleetSetup
from balsamway.observe.experiments.keyed_run import KeyedRun, KeyedSetup
from balsamway.observe.experiments.keyed_workload import KeyedWorkload
from balsamway.observe.experiments.target_event import TargetChange, TargetEvent


def measure_keyed_run(seed, events=()):
    workload = KeyedWorkload(requests_per_second=300.0, keys=500)
    setup = KeyedSetup(workload, 25, seed, Weights(3.0, 1.0), 4, 2, events=events)
    run = KeyedRun(setup, PlacementPlanner())
    trace = run.run()
    return trace.requests, trace.refused, trace.churn(0.0, 25.0), trace.latency_ms(99.0)


def test_a_keyed_experiment_is_reproducible_from_its_seed():
    assert measure_keyed_run(3) == measure_keyed_run(3)
    assert measure_keyed_run(3) != measure_keyed_run(4)


def test_requests_of_a_failed_target_are_refused_until_it_is_known_as_lost():
    events = (
        TargetEvent(5, "server-001", TargetChange.FAILS),
        TargetEvent(8, "server-001", TargetChange.LOST),
    )
    requests, refused, _, _ = measure_keyed_run(3, events)
    assert 0.1 < refused / (requests * 3 / 25) < 0.5


# A gateway must not report a request as not run once a target has started it.
def test_an_overloaded_fleet_makes_no_false_refusals_and_is_reproducible():
    def run_fleet():
        async def work():
            setup = FleetSetup((FleetPhase(0.5, 3.0),), 5, targets=2, gateways=3)
            run = FleetRun(setup, lambda zone, rng: None)
            await run.run()
            return run

        return run_on_paused_clock(work()).records

    records = run_fleet()
    assert records == run_fleet()
    assert not any(record.false_refusal for record in records)
    assert any(not record.completed for record in records)
