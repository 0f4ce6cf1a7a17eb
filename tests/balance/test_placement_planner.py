from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.balance import (
    Candidate,
    CandidateState,
    PlacementInput,
    PlacementLimits,
    PlacementPlanner,
    Plan,
    SliceLoad,
)
from balsamway.configuration import Weights
from balsamway.ownership.messages import KeyLoad
from balsamway.slices import POSITION_END, SliceEntry
from tests.balance.conftest import apply_plan, even_ranges

MAX_MOVEMENT_RATIO = 1.2
"""How much may move when a target joins or leaves, over the least possible."""


def loads_of(state):
    """Return the load of each owner."""
    loads = {slice_load.range: slice_load.load for slice_load in state.loads}
    load_by_owner = defaultdict(float)
    for entry in state.slices:
        load_by_owner[entry.owner] += loads.get(entry.range, 0.0)
    return load_by_owner


def settle(planner, state, rounds=120):
    """Plan and apply the plans repeatedly, one second apart."""
    for _ in range(rounds):
        state = apply_plan(state, planner.plan(state))
        state = replace(state, now=state.now + 1.0)
    return state


def moved_fraction(before, after):
    """Return the fraction of all positions that has another owner."""
    owners = {entry.range: entry.owner for entry in before.slices}
    sizes = [
        entry.range.size
        for entry in after.slices
        if owners.get(entry.range) != entry.owner
    ]
    return sum(sizes) / POSITION_END


def with_state(state, name, target_state):
    return replace(
        state,
        candidates=tuple(
            replace(candidate, state=target_state)
            if candidate.name == name
            else candidate
            for candidate in state.candidates
        ),
    )


def test_the_first_plan_assigns_all_slices_evenly(new_shard):
    state = apply_plan(new_shard(), PlacementPlanner().plan(new_shard()))
    counts = defaultdict(int)
    for entry in state.slices:
        counts[entry.owner] += 1
    assert set(counts) == {candidate.name for candidate in state.candidates}
    assert max(counts.values()) - min(counts.values()) <= 1


def test_a_target_with_half_the_capacity_gets_half_the_slices(new_shard):
    state = new_shard()
    small = replace(state.candidates[0], capacity=0.5)
    state = replace(state, candidates=(small, *state.candidates[1:]))
    state = apply_plan(state, PlacementPlanner().plan(state))
    own = sum(1 for entry in state.slices if entry.owner == small.name)
    assert own == pytest.approx(256 * 0.5 / 11.5, abs=1.0)


def test_nothing_moves_if_the_load_is_even(new_shard):
    planner = PlacementPlanner()
    state = settle(planner, new_shard(load=0.1), rounds=3)
    assert planner.plan(state) == Plan()


@pytest.mark.parametrize("weights", [Weights(1, 0), Weights(1, 1), Weights(0, 1)])
def test_a_join_moves_little_more_than_the_least_possible(new_shard, weights):
    planner = PlacementPlanner()
    state = settle(planner, replace(new_shard(load=0.1), weights=weights), rounds=3)
    joined = replace(state, candidates=(*state.candidates, Candidate("new", "zone-0")))
    after = settle(planner, joined, rounds=600)
    least = 1.0 / 13
    share = loads_of(after)["new"] / sum(loads_of(after).values())
    assert share > 0.9 * least
    assert moved_fraction(state, after) <= MAX_MOVEMENT_RATIO * least


@pytest.mark.parametrize("target_state", [CandidateState.LEAVING, CandidateState.LOST])
def test_when_a_target_leaves_only_its_slices_move(new_shard, target_state):
    planner = PlacementPlanner()
    state = settle(planner, new_shard(load=0.1), rounds=3)
    left_target = state.slices[0].owner
    own = sum(entry.range.size for entry in state.slices if entry.owner == left_target)
    left = with_state(state, left_target, target_state)
    at_once = apply_plan(left, planner.plan(left))
    assert all(entry.owner != left_target for entry in at_once.slices)
    after = settle(planner, at_once, rounds=60)
    assert moved_fraction(state, after) <= MAX_MOVEMENT_RATIO * own / POSITION_END


def test_the_load_of_a_lost_target_is_spread_over_many(new_shard):
    state = settle(PlacementPlanner(), new_shard(load=0.1), rounds=3)
    zones = {candidate.name: candidate.zone for candidate in state.candidates}
    standbys = defaultdict(set)
    for entry in state.slices:
        assert zones[entry.standby] != zones[entry.owner]
        standbys[entry.owner].add(entry.standby)
    assert min(len(names) for names in standbys.values()) >= 8


def test_a_target_in_its_cold_start_gets_a_part_of_its_fair_share(new_shard):
    planner = PlacementPlanner()
    state = settle(planner, new_shard(load=0.1), rounds=3)
    warming = Candidate("new", "zone-0", CandidateState.WARMING)
    joined = replace(state, candidates=(*state.candidates, warming))
    warm = settle(planner, joined, rounds=60)
    fair = sum(loads_of(warm).values()) / 13
    assert 0.1 * fair < loads_of(warm)["new"] < 0.5 * fair
    live = settle(planner, with_state(warm, "new", CandidateState.LIVE))
    assert loads_of(live)["new"] > 0.9 * fair


def test_a_dominant_key_is_alone_on_its_target(new_shard):
    planner = PlacementPlanner()
    state = settle(planner, new_shard(load=0.01), rounds=3)
    hot = state.slices[17].range.start + 99
    loads = tuple(
        SliceLoad(slice_load.range, slice_load.load + (hot in slice_load.range))
        for slice_load in state.loads
    )
    state = replace(state, loads=loads, hot_keys=(KeyLoad(hot, 100.0, 1.0),))
    state = settle(planner, state)
    owner = next(entry.owner for entry in state.slices if hot in entry.range)
    load_by_owner = loads_of(state)
    rest = [load for name, load in load_by_owner.items() if name != owner]
    assert load_by_owner[owner] < 1.05
    assert max(rest) / (sum(rest) / len(rest)) <= 1.15


def test_slices_that_were_split_for_hot_keys_are_merged_later(new_shard):
    planner = PlacementPlanner(limits=PlacementLimits(colocation_threshold=256))
    cold = settle(planner, new_shard(load=0.01), rounds=3)
    hot = [entry.range.start + 99 for entry in cold.slices[::25]]
    loads = tuple(
        SliceLoad(
            slice_load.range,
            slice_load.load
            + 0.5 * any(position in slice_load.range for position in hot),
        )
        for slice_load in cold.loads
    )
    keys = tuple(KeyLoad(position, 50.0, 0.5) for position in hot)
    heated = settle(planner, replace(cold, loads=loads, hot_keys=keys), rounds=40)
    assert len(heated.slices) > 270
    cooled = tuple(
        SliceLoad(entry.range, 2.56 * entry.range.size / POSITION_END)
        for entry in heated.slices
    )
    after = settle(planner, replace(heated, loads=cooled, hot_keys=()), rounds=600)
    assert len(after.slices) == 256


def test_less_moves_if_the_workspace_gives_unavailable_time_more_weight(new_shard):
    moved = []
    for weights in (Weights(1, 0), Weights(0, 1)):
        planner = PlacementPlanner()
        state = settle(planner, replace(new_shard(load=0.1), weights=weights), rounds=3)
        loads = tuple(
            SliceLoad(slice_load.range, 0.12 if entry.owner == "target-03" else 0.1)
            for slice_load, entry in zip(state.loads, state.slices, strict=True)
        )
        state = replace(state, loads=loads)
        moved.append(moved_fraction(state, settle(planner, state)))
    assert moved[1] < moved[0]


@st.composite
def shards(draw):
    names = [f"s{index}" for index in range(draw(st.integers(1, 6)))]
    states = st.sampled_from(list(CandidateState))
    capacities = st.sampled_from([0.5, 1.0, 2.0])
    zones = st.sampled_from(["x", "y"])
    candidates = tuple(
        Candidate(name, draw(zones), draw(states), draw(capacities)) for name in names
    )
    ranges = even_ranges(draw(st.integers(1, 24)))
    owners = st.sampled_from([*names, "", "unknown"])
    moving = st.sampled_from(["", "", "", *names])
    slices = tuple(
        SliceEntry(slice_range, draw(owners), 1, draw(owners), draw(moving))
        for slice_range in ranges
    )
    amounts = st.floats(0.0, 5.0, allow_nan=False)
    loads = tuple(SliceLoad(slice_range, draw(amounts)) for slice_range in ranges)
    keys = tuple(
        KeyLoad(
            draw(
                st.integers(slice_load.range.start, slice_load.range.end - 1),
            ),
            1.0,
            slice_load.load,
        )
        for slice_load in loads
        if draw(st.booleans())
    )
    return PlacementInput(slices, candidates, loads, keys)


@given(shards())
def test_any_plan_covers_all_slices_and_uses_only_usable_targets(state):
    plan = PlacementPlanner().plan(state)
    usable = {
        each.name
        for each in state.candidates
        if each.state in (CandidateState.LIVE, CandidateState.WARMING)
    }
    after = apply_plan(state, plan)
    assert after.slices[0].range.start == 0
    assert after.slices[-1].range.end == POSITION_END
    for first, second in zip(after.slices, after.slices[1:], strict=False):
        assert first.range.end == second.range.start
    for move in (*plan.moves, *plan.standbys):
        assert move.to in usable
    moving = {entry.range for entry in state.slices if entry.moving_to}
    changed = {each.range for each in (*plan.splits, *plan.moves, *plan.standbys)}
    assert not moving & changed
    if usable:
        assert all(
            entry.owner in usable for entry in after.slices if not entry.moving_to
        )
    assert plan == PlacementPlanner().plan(state)


@given(st.lists(st.integers(1, 20), min_size=2, max_size=7), st.integers(2, 3))
def test_the_first_spread_is_near_the_best_of_all_spreads(weights, count):
    ranges = even_ranges(len(weights))
    state = PlacementInput(
        tuple(SliceEntry(item, "", 0) for item in ranges),
        tuple(Candidate(f"s{index}", "z") for index in range(count)),
        tuple(
            SliceLoad(item, float(load))
            for item, load in zip(ranges, weights, strict=True)
        ),
    )
    after = apply_plan(state, replace(PlacementPlanner().plan(state), splits=()))
    best = best_maximum(weights, [0] * count)
    assert max(loads_of(after).values()) <= best * 4 / 3 + 0.1 * sum(weights)


def best_maximum(weights, loads):
    """Return the least possible load of the target with the most load."""
    if not weights:
        return max(loads)
    maximums = []
    for index in range(len(loads)):
        tried = list(loads)
        tried[index] += weights[0]
        maximums.append(best_maximum(weights[1:], tried))
    return min(maximums)
