from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from balsamway.balance import Candidate, PlacementInput, Plan, SliceLoad
from balsamway.slices import POSITION_END, KeyRange, SliceEntry


def even_ranges(count):
    step = POSITION_END // count
    bounds = [step * index for index in range(count)] + [POSITION_END]
    return [KeyRange(*pair) for pair in itertools.pairwise(bounds)]


def apply_plan(state: PlacementInput, plan: Plan) -> PlacementInput:
    """Apply a plan in a simple way, and check that it fits the record."""
    slices = {entry.range: entry for entry in state.slices}
    loads = {load.range: load.load for load in state.loads}
    for split in plan.splits:
        entry = slices.pop(split.range)
        load = loads.pop(split.range, 0.0)
        bounds = (split.range.start, *split.at, split.range.end)
        assert list(bounds) == sorted(set(bounds))
        keys = {key.position: key.busy_seconds for key in state.hot_keys}
        known_load = sum(
            busy for position, busy in keys.items() if position in split.range
        )
        for pair in itertools.pairwise(bounds):
            part = KeyRange(*pair)
            slices[part] = replace(entry, range=part)
            part_load = sum(busy for position, busy in keys.items() if position in part)
            rest = max(load - known_load, 0.0) * part.size / split.range.size
            loads[part] = part_load + rest
    for union in plan.merges:
        inside = [
            slice_range for slice_range in sorted(slices) if slice_range.overlaps(union)
        ]
        assert (inside[0].start, inside[-1].end) == (union.start, union.end)
        entries = [slices.pop(slice_range) for slice_range in inside]
        assert len({entry.owner for entry in entries}) == 1
        slices[union] = replace(entries[0], range=union)
        loads[union] = sum(loads.pop(slice_range, 0.0) for slice_range in inside)
    assert len({move.range for move in plan.moves}) == len(plan.moves)
    for move in plan.moves:
        assert not slices[move.range].moving_to
        slices[move.range] = replace(slices[move.range], owner=move.to)
    for move in plan.standbys:
        slices[move.range] = replace(slices[move.range], standby=move.to)
    ordered = tuple(slices[slice_range] for slice_range in sorted(slices))
    known = tuple(
        SliceLoad(slice_range, loads.get(slice_range, 0.0))
        for slice_range in sorted(slices)
    )
    return replace(state, slices=ordered, loads=known)


@pytest.fixture
def targets():
    def build(count, zones=4, **kwargs):
        return tuple(
            Candidate(f"target-{index:02}", f"zone-{index % zones}", **kwargs)
            for index in range(count)
        )

    return build


@pytest.fixture
def new_shard(targets):
    """Return a function that creates a shard without owners."""

    def build(count=12, slices=256, load=0.0):
        ranges = even_ranges(slices)
        return PlacementInput(
            tuple(SliceEntry(slice_range, "", 0) for slice_range in ranges),
            targets(count),
            tuple(SliceLoad(slice_range, load) for slice_range in ranges)
            if load
            else (),
        )

    return build
