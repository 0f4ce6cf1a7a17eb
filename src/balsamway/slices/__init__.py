"""Positions of keys, ranges of positions, and the records that assign them."""

from balsamway.slices.key_range import KeyRange
from balsamway.slices.position import POSITION_END, position_of
from balsamway.slices.shard_id import ShardId
from balsamway.slices.shard_record import ShardRecord
from balsamway.slices.shard_view import ShardView, ViewSlice
from balsamway.slices.slice_entry import SliceEntry
from balsamway.slices.witness import Witness

__all__ = [
    "POSITION_END",
    "KeyRange",
    "ShardId",
    "ShardRecord",
    "ShardView",
    "SliceEntry",
    "ViewSlice",
    "Witness",
    "position_of",
]
