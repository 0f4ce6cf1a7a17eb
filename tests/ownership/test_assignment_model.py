from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.balance import Move, Plan, Split
from balsamway.ownership.handover import moved
from balsamway.ownership.reshape import reshaped
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


def record_of(cuts: set[int]) -> ShardRecord:
    leader = Witness("a", 1)
    slices = tuple(
        replace(one, owner="s0", epoch=0, standby="s1") for one in slices_of(cuts)
    )
    return ShardRecord(ShardId("m", "s"), 0, leader, 1, (leader,), slices)


class NaiveAssignment:
    """The owner and the epoch of each point, in a dictionary."""

    def __init__(self, record: ShardRecord) -> None:
        self.found = {point: owner_at(record, point) for point in [0, *POINTS]}

    def move(self, searched: KeyRange, to: str, epoch: int) -> None:
        for point in self.found:
            if point in searched:
                self.found[point] = (to, epoch)


def owner_at(record: ShardRecord, point: int) -> tuple[str, int]:
    found = SliceMap(record.slices).find(point)
    assert found is not None
    return found.owner, found.epoch


def change(rng: random.Random, state: ShardState, naive: NaiveAssignment) -> None:
    entry = rng.choice(state.record.slices)
    match rng.choice(["move", "split", "merge"]):
        case "move":
            to = f"s{rng.randrange(4)}"
            epoch = state.next_epoch()
            state.replace_entries([moved(entry, to, epoch)])
            naive.move(entry.range, to, epoch)
        case "split":
            at = tuple(rng.sample(POINTS, 2))
            plan = Plan(splits=(Split(entry.range, at),))
            state.record = reshaped(state.record, plan, lambda one: False)
        case "merge":
            after = rng.choice(state.record.slices)
            merge = KeyRange(entry.range.start, after.range.end)
            plan = Plan(merges=(merge,))
            before = state.record
            state.record = reshaped(before, plan, lambda one: False)
            merged = state.entry(merge)
            if state.record.slices != before.slices and merged is not None:
                naive.move(merge, merged.owner, merged.epoch)


@given(st.sets(st.sampled_from(POINTS)), st.integers(0, 2**32), st.integers(1, 40))
def test_a_sequence_of_changes_gives_what_a_dictionary_gives(cuts, seed, count):
    rng = random.Random(seed)
    state = ShardState(record_of(cuts))
    naive = NaiveAssignment(state.record)
    epochs = dict(naive.found)
    for _ in range(count):
        change(rng, state, naive)
        check_cover(state.record.slices)
        for point, expected in naive.found.items():
            assert owner_at(state.record, point) == expected
            owner, epoch = epochs[point]
            # A later owner always has a higher fencing token.
            assert expected[1] > epoch or expected == (owner, epoch)
        epochs = dict(naive.found)


@pytest.mark.parametrize("busy", [True, False])
def test_a_slice_that_is_moving_is_neither_split_nor_merged(busy):
    record = record_of({POINTS[0]})
    first, second = record.slices
    both = KeyRange(first.range.start, second.range.end)
    merged = reshaped(record, Plan(merges=(both,)), lambda one: busy)
    assert (len(merged.slices) == 2) is busy
    split = Plan(splits=(Split(second.range, (POINTS[5],)),))
    assert len(reshaped(record, split, lambda one: busy).slices) == (2 if busy else 3)


def test_a_standby_is_never_the_owner():
    record = record_of(set())
    whole = record.slices[0].range
    plan = Plan(standbys=(Move(whole, "s0"),))
    assert reshaped(record, plan, lambda one: False).slices[0].standby == "s1"
    entry = moved(record.slices[0], "s1", 5)
    assert (entry.owner, entry.standby) == ("s1", "s0")


def test_replacing_a_slice_that_is_not_there_changes_nothing():
    record = record_of(set())
    other = SliceEntry(KeyRange(0, 5), "x", 9)
    assert with_entries(record, [other], 9).slices == record.slices
