from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.slices import (
    POSITION_END,
    KeyRange,
    ShardId,
    ShardRecord,
    SliceEntry,
    Witness,
)
from balsamway.slices.record_codec import RecordError, decode_record, encode_record
from tests.slices.test_slice_map import cuts, slices_of


def record_of(slices: tuple[SliceEntry, ...]) -> ShardRecord:
    leader = Witness("a", 7)
    shard = ShardId("m", "s", 2)
    return ShardRecord(shard, 3, leader, 4, (leader,), slices, 9, "c")


@given(cuts)
def test_a_record_reads_back_as_written(cuts):
    record = record_of(slices_of(cuts))
    assert decode_record(encode_record(record)) == record


@given(st.binary(max_size=60))
def test_malformed_bytes_are_an_error(body):
    with pytest.raises(RecordError):
        decode_record(body)


@pytest.mark.parametrize(
    "ranges",
    [
        [(0, 5)],
        [(1, POSITION_END)],
        [(0, 5), (6, POSITION_END)],
        [(0, 6), (5, POSITION_END)],
        [(5, POSITION_END), (0, 5)],
        [(0, 0), (0, POSITION_END)],
        [],
    ],
)
def test_slices_that_do_not_cover_every_position_once_raise_an_error(ranges):
    slices = tuple(SliceEntry(KeyRange(start, end), "", 0) for start, end in ranges)
    with pytest.raises(RecordError):
        encode_record(record_of(slices))
