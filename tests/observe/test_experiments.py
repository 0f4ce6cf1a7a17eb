from __future__ import annotations

from balsamway.balance import PlacementPlanner
from balsamway.configuration import Weights
from balsamway.observe.experiments._paused_clock import run_on_paused_clock
from balsamway.observe.experiments.fleet_run import FleetPhase, FleetRun, FleetSetup
from balsamway.observe.experiments.keyed_run import KeyedRun, KeyedSetup
from balsamway.observe.experiments.keyed_workload import KeyedWorkload
from balsamway.observe.experiments.target_event import TargetChange, TargetEvent


def keyed_figures(seed, events=()):
    workload = KeyedWorkload(requests_a_second=300.0, keys=500)
    setup = KeyedSetup(workload, 25, seed, Weights(3.0, 1.0), 4, 2, events=events)
    run = KeyedRun(setup, PlacementPlanner())
    trace = run.run()
    return trace.requests, trace.refused, trace.churn(0.0, 25.0), trace.latency_ms(99.0)


def test_a_keyed_experiment_repeats_with_its_seed():
    assert keyed_figures(3) == keyed_figures(3)
    assert keyed_figures(3) != keyed_figures(4)


def test_a_failed_target_costs_requests_until_it_is_known_as_lost():
    events = (
        TargetEvent(5, "server-001", TargetChange.FAILS),
        TargetEvent(8, "server-001", TargetChange.LOST),
    )
    requests, refused, _, _ = keyed_figures(3, events)
    assert 0.1 < refused / (requests * 3 / 25) < 0.5


def test_an_overloaded_fleet_refuses_truthfully_and_repeats():
    def figures():
        async def work():
            setup = FleetSetup((FleetPhase(0.5, 3.0),), 5, targets=2, gateways=3)
            run = FleetRun(setup, lambda zone, rng: None)
            await run.run()
            return run

        return run_on_paused_clock(work()).outcomes

    outcomes = figures()
    assert outcomes == figures()
    assert not any(each.false_refusal for each in outcomes)
    assert any(not each.completed for each in outcomes)
