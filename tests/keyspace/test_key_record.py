from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.keyspace.key_record import (
    KEY_COUNT,
    KeyRecord,
    decode_record,
    encode_record,
)
from balsamway.keyspace.segment import PreviousOwner, Segment
from balsamway.keyspace.target_incarnation import TargetIncarnation
from balsamway.outcome import Malformed

A, B, C = (TargetIncarnation(name, 1) for name in "abc")
WHOLE = KeyRecord(3, 5, (Segment(0, KEY_COUNT - 1, A, 4),))

moves = st.lists(
    st.tuples(
        st.integers(0, KEY_COUNT - 1), st.integers(0, 3_000), st.sampled_from([A, B, C])
    ),
    max_size=6,
)


def disjoint(drawn_moves):
    """Return the moves by range of keys, without those that overlap others."""
    ranges = {}
    end = -1
    for first, size, owner in sorted(drawn_moves, key=lambda move: move[:2]):
        last = min(KEY_COUNT - 1, first + size)
        if first > end:
            ranges[(first, last)] = owner
            end = last
    return ranges


@given(st.lists(moves, max_size=5))
def test_any_moves_leave_every_key_one_owner_and_rising_tokens(rounds):
    record = WHOLE
    highest = {0: 4}
    for drawn_moves in rounds:
        owners = disjoint(drawn_moves)
        before, record = record, record.reassign(owners)
        next_key = 0
        for segment in record.segments:
            assert segment.first == next_key
            next_key = segment.last + 1
            assert segment.token < record.next_token
            old = before.find(segment.first)
            if segment.token != old.token:
                assert segment.token > max(
                    [
                        old.token,
                        *(
                            previous.release_token
                            for previous in segment.previous_owners
                        ),
                    ]
                )
        assert next_key == KEY_COUNT
        for (first, _), owner in owners.items():
            segment = record.find(first)
            assert segment.owner == owner
            if before.find(first).owner != owner:
                last = segment.previous_owners[-1]
                assert last.owner == before.find(first).owner
                assert before.find(first).token < last.release_token < segment.token
        assert decode_record(encode_record(record)) == record
    assert highest


def test_the_token_of_a_release_lies_between_those_of_the_grants():
    record = WHOLE.reassign({(10, 20): B})
    moved = record.find(15)
    assert (moved.token, moved.previous_owners) == (6, (PreviousOwner(A, 5),))
    assert record.find(9).token == record.find(21).token == 4


def test_new_tokens_for_the_same_owner_release_nothing():
    renewed = WHOLE.reassign({(0, KEY_COUNT - 1): A}).find(0)
    assert renewed.previous_owners == ()
    assert renewed.token > 4


def test_an_owner_that_was_replaced_before_its_grant_is_still_named():
    record = WHOLE.reassign({(0, 9): B}).reassign({(0, 9): C})
    assert [previous.owner for previous in record.find(0).previous_owners] == [A, B]


def test_released_owners_are_dropped():
    record = WHOLE.reassign({(0, 9): B})
    (previous,) = record.find(0).previous_owners
    assert record.drop_released({(0, 9, previous)}).find(0).previous_owners == ()
    assert record.drop_released({(0, 8, previous)}).find(0).previous_owners == (
        previous,
    )


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
def test_a_record_that_does_not_cover_all_keys_once_is_malformed(body):
    assert isinstance(decode_record(body), Malformed)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"epoch":1,"next_token":2,"segments":[],"x":'
        + b"[" * 100_000
        + b"]" * 100_000
        + b"}",
        b'{"epoch":%d,"next_token":2,"segments":[]}' % 2**70,
        b'{"epoch":-1,"next_token":2,"segments":[]}',
        b'{"epoch":1,"next_token":%d,"segments":[]}' % 2**70,
        b'{"epoch":1,"next_token":2,"segments":[[0,65535,"a",%d,1,[]]]}' % 2**70,
        b'{"epoch":1,"next_token":2,"segments":[[0,65535,"a",1,%d,[]]]}' % 2**70,
        b'{"epoch":1,"next_token":2,"segments":[[0,65535,"a",1,1,[["b",1,%d]]]]}'
        % 2**70,
        b'{"epoch":1e400,"next_token":2,"segments":[]}',
    ],
    ids=lambda body: body[:60].decode(),
)
def test_a_record_that_is_nested_or_has_a_number_too_large_is_malformed(body):
    assert isinstance(decode_record(body), Malformed)
