from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.balance import Move, Plan, Split
from balsamway.ownership.handover import with_new_owner
from balsamway.ownership.reshape import apply_plan_without_moves
from balsamway.ownership.shard_state import ShardState, with_entries
from balsamway.slices import (
    KeyRange,
    ShardId,
    ShardRecord,
    SliceEntry,
    Witness,
)
from balsamway.slices.record_codec import check_cover
from balsamway.slices.slice_map import SliceMap
from tests.slices.test_slice_map import slices_of

POINTS = [n << 58 for n in range(1, 32)]


def record_with_cuts(cuts: set[int]) -> ShardRecord:
    leader = Witness("a", 1)
    slices = tuple(
        replace(entry, owner="s0", epoch=0, standby="s1") for entry in slices_of(cuts)
    )
    return ShardRecord(ShardId("m", "s"), 0, leader, 1, (leader,), slices)


class NaiveAssignment:
    """A dictionary with the owner and grant epoch of each point."""

    def __init__(self, record: ShardRecord) -> None:
        self.assignments = {point: owner_at(record, point) for point in [0, *POINTS]}

    def move(self, moved_range: KeyRange, to: str, epoch: int) -> None:
        for point in self.assignments:
            if point in moved_range:
                self.assignments[point] = (to, epoch)


def owner_at(record: ShardRecord, point: int) -> tuple[str, int]:
    entry = SliceMap(record.slices).find(point)
    assert entry is not None
    return entry.owner, entry.epoch


def apply_random_change(
    rng: random.Random, state: ShardState, naive: NaiveAssignment
) -> None:
    entry = rng.choice(state.record.slices)
    match rng.choice(["move", "split", "merge"]):
        case "move":
            to = f"s{rng.randrange(4)}"
            epoch = state.next_grant_epoch()
            state.replace_entries([with_new_owner(entry, to, epoch)])
            naive.move(entry.range, to, epoch)
        case "split":
            at = tuple(rng.sample(POINTS, 2))
            plan = Plan(splits=(Split(entry.range, at),))
            state.record = apply_plan_without_moves(
                state.record, plan, lambda key_range: False
            )
        case "merge":
            after = rng.choice(state.record.slices)
            merge = KeyRange(entry.range.start, after.range.end)
            plan = Plan(merges=(merge,))
            before = state.record
            state.record = apply_plan_without_moves(
                before, plan, lambda key_range: False
            )
            merged = state.find_entry(merge)
            if state.record.slices != before.slices and merged is not None:
                naive.move(merge, merged.owner, merged.epoch)


@given(st.sets(st.sampled_from(POINTS)), st.integers(0, 2**32), st.integers(1, 40))
def test_a_sequence_of_changes_gives_the_same_owners_as_a_dictionary(cuts, seed, count):
    rng = random.Random(seed)
    state = ShardState(record_with_cuts(cuts))
    naive = NaiveAssignment(state.record)
    previous = dict(naive.assignments)
    for _ in range(count):
        apply_random_change(rng, state, naive)
        check_cover(state.record.slices)
        for point, expected in naive.assignments.items():
            assert owner_at(state.record, point) == expected
            owner, epoch = previous[point]
            # Each owner has a higher fencing token than the owner before.
            assert expected[1] > epoch or expected == (owner, epoch)
        previous = dict(naive.assignments)


@pytest.mark.parametrize("busy", [True, False])
def test_a_slice_that_is_moving_is_neither_split_nor_merged(busy):
    record = record_with_cuts({POINTS[0]})
    first, second = record.slices
    both = KeyRange(first.range.start, second.range.end)
    merged = apply_plan_without_moves(
        record, Plan(merges=(both,)), lambda key_range: busy
    )
    assert (len(merged.slices) == 2) is busy
    split = Plan(splits=(Split(second.range, (POINTS[5],)),))
    assert len(
        apply_plan_without_moves(record, split, lambda key_range: busy).slices
    ) == (2 if busy else 3)


def test_a_standby_is_never_the_owner():
    record = record_with_cuts(set())
    whole = record.slices[0].range
    plan = Plan(standbys=(Move(whole, "s0"),))
    assert (
        apply_plan_without_moves(record, plan, lambda key_range: False)
        .slices[0]
        .standby
        == "s1"
    )
    entry = with_new_owner(record.slices[0], "s1", 5)
    assert (entry.owner, entry.standby) == ("s1", "s0")


def test_replacing_an_unknown_slice_changes_nothing():
    record = record_with_cuts(set())
    other = SliceEntry(KeyRange(0, 5), "x", 9)
    assert with_entries(record, [other], 9).slices == record.slices
