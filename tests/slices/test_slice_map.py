from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from balsamway.slices import POSITION_END, KeyRange, SliceEntry
from balsamway.slices.slice_map import SliceMap

positions = st.integers(0, POSITION_END - 1)
cuts = st.sets(st.integers(1, POSITION_END - 1), max_size=40)


def slices_of(cuts: set[int]) -> tuple[SliceEntry, ...]:
    """Return slices that cover all positions and are split at the cuts."""
    bounds = [0, *sorted(cuts), POSITION_END]
    pairs = itertools.pairwise(bounds)
    return tuple(
        SliceEntry(KeyRange(start, end), f"s{start}", start) for start, end in pairs
    )


@given(cuts, st.lists(positions))
def test_finds_the_slice_that_a_scan_finds(cuts, asked):
    slices = slices_of(cuts)
    slice_map = SliceMap(slices)
    for position in [*asked, 0, POSITION_END - 1, *cuts]:
        scanned = [one for one in slices if position in one.range]
        assert [slice_map.find(position)] == scanned


@given(cuts, positions, positions)
def test_finds_the_overlapping_slices_that_a_scan_finds(cuts, one, two):
    slices = slices_of(cuts)
    searched = KeyRange(min(one, two), max(one, two) + 1)
    scanned = tuple(one for one in slices if one.range.overlaps(searched))
    assert SliceMap(slices).overlapping(searched) == scanned


def test_finds_nothing_outside_its_slices():
    assert SliceMap([]).find(5) is None
    slice_map = SliceMap([SliceEntry(KeyRange(10, 20), "a", 1)])
    assert slice_map.find(9) is None
    assert slice_map.find(20) is None
