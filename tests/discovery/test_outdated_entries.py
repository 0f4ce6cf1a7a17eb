"""Entries that the store lists although the target has written later ones."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.discovery import TargetDirectory, TargetEntry

pytestmark = pytest.mark.looptime

READY = TargetEntry("i-1", 1, "s", "10.0.0.1:80", "z", 3, False, 0.0, sequence=8)
DRAINING = replace(READY, is_draining=True, sequence=9)
RESTARTED = replace(READY, incarnation=2, sequence=1)
OTHER = replace(READY, name="i-2")
HOUSEKEEPING_SECONDS = 0.25


@pytest.fixture
async def directory():
    directory = TargetDirectory()
    directory.replace([READY, OTHER])
    return directory


async def keep_house(directory, seconds):
    for _ in range(round(seconds / HOUSEKEEPING_SECONDS)):
        await asyncio.sleep(HOUSEKEEPING_SECONDS)
        directory.remove_expired()


# Guards against a drain that a late heartbeat ends.
@pytest.mark.parametrize("is_snapshot", [False, True])
async def test_a_late_heartbeat_does_not_end_a_drain(directory, is_snapshot):
    directory.update(DRAINING)
    late = replace(READY)
    for _ in range(8):
        if is_snapshot:
            directory.replace([late, OTHER])
        else:
            directory.update(late)
        assert directory.find("i-1") == DRAINING
        assert directory.available_targets("s") == (OTHER,)
        await keep_house(directory, 1.0)
    assert directory.find("i-1") == DRAINING


# Guards against a target that a late heartbeat lists once more after its end.
async def test_a_late_heartbeat_does_not_bring_a_removed_target_back(directory):
    directory.update(DRAINING)
    directory.remove("i-1")
    directory.update(READY)
    await keep_house(directory, 6.0)
    assert directory.find("i-1") is None


# Guards against a restarted target that a write of its earlier life replaces.
@pytest.mark.parametrize("is_snapshot", [False, True])
async def test_a_late_write_does_not_bring_an_earlier_life_back(directory, is_snapshot):
    directory.update(RESTARTED)
    if is_snapshot:
        directory.replace([READY, OTHER])
    else:
        directory.update(READY)
    assert directory.find("i-1") == RESTARTED
    await keep_house(directory, 2.0)
    directory.update(replace(RESTARTED, sequence=2))
    await keep_house(directory, 6.0)
    assert directory.find("i-1").key == RESTARTED.key


# Guards against a target that is hidden for good, after its clock went back.
async def test_an_earlier_incarnation_that_stays_listed_is_used(directory):
    directory.update(RESTARTED)
    directory.update(READY)
    await keep_house(directory, 6.0)
    assert directory.find("i-1") == READY


# Guards against live targets that are hidden: their heartbeats are no change.
@pytest.mark.parametrize("is_restored", [False, True])
async def test_a_removed_target_that_an_older_entry_lists_is_used_later(
    directory, is_restored
):
    directory.remove("i-1")
    if is_restored:
        directory.on_store_restored()
    older = replace(READY, sequence=5)
    directory.update(older)
    await keep_house(directory, 6.0)
    assert directory.find("i-1") == older


# Guards against the removal of a target that the store lists again.
async def test_an_older_entry_ends_the_removal_of_its_target(directory):
    directory.on_store_recovered()
    directory.replace([OTHER])
    directory.update(replace(READY, sequence=5))
    await keep_house(directory, 6.0)
    assert directory.find("i-1") == READY


async def test_a_later_entry_of_the_same_life_is_used_at_once(directory):
    directory.update(DRAINING)
    again = replace(READY, sequence=10)
    directory.update(again)
    assert set(directory.available_targets("s")) == {OTHER, again}


async def test_a_target_that_returns_after_its_removal_is_used_at_once(directory):
    directory.remove("i-1")
    returned = replace(READY, sequence=9)
    directory.update(returned)
    assert set(directory.available_targets("s")) == {OTHER, returned}


async def test_a_target_without_a_known_life_may_count_anew(directory):
    unknown = replace(READY, incarnation=0)
    directory.replace([unknown])
    restarted = replace(unknown, sequence=1, address="10.0.0.9:80")
    directory.update(restarted)
    await keep_house(directory, 6.0)
    assert directory.find("i-1") == restarted


# Guards against any order in which the store executes a target's writes.
@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.integers(1, 6), st.booleans()),
        min_size=1,
        max_size=12,
        unique_by=lambda write: write[:2],
    ),
    st.booleans(),
)
def test_the_latest_write_counts_in_any_order(writes, is_snapshot):
    async def check():
        directory = TargetDirectory()
        latest = None
        for incarnation, sequence, is_draining in writes:
            entry = replace(
                READY,
                incarnation=incarnation,
                sequence=sequence,
                is_draining=is_draining,
            )
            if is_snapshot:
                directory.replace([entry])
            else:
                directory.update(entry)
            latest = max(
                filter(None, (latest, entry)),
                key=lambda known: (known.incarnation, known.sequence),
            )
            assert directory.find("i-1") == latest

    asyncio.run(check())
