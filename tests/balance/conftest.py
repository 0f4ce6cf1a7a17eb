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
    """Applies a plan in the naive way, checking that it fits the record."""
    slices = {entry.range: entry for entry in state.slices}
    loads = {load.range: load.load for load in state.loads}
    for split in plan.splits:
        entry = slices.pop(split.range)
        load = loads.pop(split.range, 0.0)
        bounds = (split.range.start, *split.at, split.range.end)
        assert list(bounds) == sorted(set(bounds))
        keys = {key.position: key.busy_seconds for key in state.hot_keys}
        named = sum(busy for at, busy in keys.items() if at in split.range)
        for pair in itertools.pairwise(bounds):
            part = KeyRange(*pair)
            slices[part] = replace(entry, range=part)
            own = sum(busy for at, busy in keys.items() if at in part)
            rest = max(load - named, 0.0) * part.size / split.range.size
            loads[part] = own + rest
    for union in plan.merges:
        inside = [item for item in sorted(slices) if item.overlaps(union)]
        assert (inside[0].start, inside[-1].end) == (union.start, union.end)
        entries = [slices.pop(item) for item in inside]
        assert len({entry.owner for entry in entries}) == 1
        slices[union] = replace(entries[0], range=union)
        loads[union] = sum(loads.pop(item, 0.0) for item in inside)
    assert len({move.range for move in plan.moves}) == len(plan.moves)
    for move in plan.moves:
        assert not slices[move.range].moving_to
        slices[move.range] = replace(slices[move.range], owner=move.to)
    for move in plan.standbys:
        slices[move.range] = replace(slices[move.range], standby=move.to)
    ordered = tuple(slices[item] for item in sorted(slices))
    known = tuple(SliceLoad(item, loads.get(item, 0.0)) for item in sorted(slices))
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
def fresh(targets):
    """Gives a shard without owners."""

    def build(count=12, slices=256, load=0.0):
        ranges = even_ranges(slices)
        return PlacementInput(
            tuple(SliceEntry(item, "", 0) for item in ranges),
            targets(count),
            tuple(SliceLoad(item, load) for item in ranges) if load else (),
        )

    return build
