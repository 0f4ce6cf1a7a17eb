from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.keyspace.holder import Holder
from balsamway.keyspace.key_record import (
    KEY_COUNT,
    KeyRecord,
    decode_record,
    encode_record,
)
from balsamway.keyspace.segment import Previous, Segment
from balsamway.outcome import Malformed

A, B, C = (Holder(name, 1) for name in "abc")
WHOLE = KeyRecord(3, 5, (Segment(0, KEY_COUNT - 1, A, 4),))

moves = st.lists(
    st.tuples(
        st.integers(0, KEY_COUNT - 1), st.integers(0, 3_000), st.sampled_from([A, B, C])
    ),
    max_size=6,
)


def disjoint(found):
    ranges = {}
    end = -1
    for first, size, holder in sorted(found, key=lambda one: one[:2]):
        last = min(KEY_COUNT - 1, first + size)
        if first > end:
            ranges[(first, last)] = holder
            end = last
    return ranges


@given(st.lists(moves, max_size=5))
def test_any_moves_leave_every_key_one_holder_and_rising_tokens(rounds):
    record = WHOLE
    highest = {0: 4}
    for found in rounds:
        wanted = disjoint(found)
        before, record = record, record.reassign(wanted)
        expected = 0
        for segment in record.segments:
            assert segment.first == expected
            expected = segment.last + 1
            assert segment.token < record.next_token
            old = before.find(segment.first)
            if segment.token != old.token:
                assert segment.token > max(
                    [old.token, *(one.release_token for one in segment.previous)]
                )
        assert expected == KEY_COUNT
        for (first, _), holder in wanted.items():
            segment = record.find(first)
            assert segment.holder == holder
            if before.find(first).holder != holder:
                last = segment.previous[-1]
                assert last.holder == before.find(first).holder
                assert before.find(first).token < last.release_token < segment.token
        assert decode_record(encode_record(record)) == record
    assert highest


def test_a_token_for_the_release_lies_between_the_grants():
    record = WHOLE.reassign({(10, 20): B})
    moved = record.find(15)
    assert (moved.token, moved.previous) == (6, (Previous(A, 5),))
    assert record.find(9).token == record.find(21).token == 4


def test_new_tokens_for_the_same_holder_release_nobody():
    renewed = WHOLE.reassign({(0, KEY_COUNT - 1): A}).find(0)
    assert renewed.previous == ()
    assert renewed.token > 4


def test_a_holder_that_was_replaced_before_it_was_granted_stays_named():
    record = WHOLE.reassign({(0, 9): B}).reassign({(0, 9): C})
    assert [one.holder for one in record.find(0).previous] == [A, B]


def test_settled_holders_are_forgotten():
    record = WHOLE.reassign({(0, 9): B})
    (previous,) = record.find(0).previous
    assert record.settle({(0, 9, previous)}).find(0).previous == ()
    assert record.settle({(0, 8, previous)}).find(0).previous == (previous,)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"epoch":1,"next_token":2,"segments":[[0,5,"a",1,1,[]]]}',
        b'{"epoch":1,"next_token":2,"segments":[[1,65535,"a",1,1,[]]]}',
        b'{"epoch":1,"next_token":2,'
        b'"segments":[[0,9,"a",1,1,[]],[8,65535,"a",1,1,[]]]}',
    ],
)
def test_a_record_that_does_not_cover_all_keys_once_is_told(body):
    assert isinstance(decode_record(body), Malformed)
