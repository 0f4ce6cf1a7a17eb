from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.ownership.messages import LeaderQuery, ViewNotice
from balsamway.peers.codec import Frame, UnknownMessageError, decode, encode
from balsamway.slices import POSITION_END, KeyRange, ShardId, ShardView, ViewSlice


@given(st.integers(0, 2**31), st.booleans(), st.integers(0, POSITION_END))
def test_a_frame_survives_the_wire(call_id, is_answer, split):
    ranges = (KeyRange(0, split), KeyRange(split, POSITION_END))
    slices = tuple(ViewSlice(item, "a", 3, held=True) for item in ranges)
    view = ShardView(ShardId("m", "s", 1), 7, 9, 2.0, slices)
    frame = Frame(call_id, is_answer, ViewNotice(view, fence=True))
    assert decode(msgpack.unpackb(encode(frame))) == frame


@pytest.mark.parametrize(
    "parts",
    [
        None,
        [],
        [1, False, "no-such-message", {}],
        [1, False, "leader-query", {"shard": 3}],
        ["x", False, "leader-query", {"shard": ["m", "s", 0]}],
    ],
)
def test_what_is_no_frame_is_refused(parts):
    with pytest.raises(UnknownMessageError):
        decode(parts)


def test_a_message_is_known_by_its_class():
    frame = Frame(0, False, LeaderQuery(ShardId("m", "s")))
    assert isinstance(decode(msgpack.unpackb(encode(frame))).message, LeaderQuery)
