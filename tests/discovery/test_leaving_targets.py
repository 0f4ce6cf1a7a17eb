from __future__ import annotations

import asyncio

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.discovery.leaving_targets import MEMORY_SECONDS

pytestmark = pytest.mark.looptime


def entry(name="i-1", incarnation=1, is_draining=False):
    return TargetEntry(name, incarnation, "s", "127.0.0.1:1", "z", 3, is_draining, 0.0)


def now():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def directory():
    directory = TargetDirectory()
    directory.replace([entry("i-1"), entry("i-2")])
    return directory


def available(directory):
    return [target.key for target in directory.available_targets("s")]


async def test_a_leaving_target_is_not_available_though_listed_as_ready(directory):
    directory.on_leaving(("i-1", 1), now(), is_from_response=True)
    assert available(directory) == [("i-2", 1)]
    directory.replace([entry("i-1"), entry("i-2")])
    assert available(directory) == [("i-2", 1)]


async def test_a_target_stays_leaving_after_its_entry_was_gone(directory):
    directory.on_leaving(("i-1", 1), now(), is_from_response=True)
    directory.replace([entry("i-2")])
    await asyncio.sleep(MEMORY_SECONDS / 2)
    directory.update(entry("i-1"))
    assert available(directory) == [("i-2", 1)]


async def test_a_late_report_does_not_affect_a_new_incarnation(directory):
    directory.update(entry("i-1", incarnation=2))
    directory.on_leaving(("i-1", 1), now() - 1.0, is_from_response=False)
    assert set(available(directory)) == {("i-1", 2), ("i-2", 1)}


async def test_the_earliest_moment_of_leaving_counts(directory):
    await asyncio.sleep(5.0)
    directory.on_leaving(("i-1", 1), now(), is_from_response=True)
    directory.on_leaving(("i-1", 1), now() - 1.0, is_from_response=False)
    directory.on_leaving(("i-1", 1), now(), is_from_response=True)
    assert directory.leaving.since(("i-1", 1)) == now() - 1.0


async def test_targets_that_left_long_ago_are_forgotten(directory):
    directory.on_leaving(("i-1", 1), now(), is_from_response=True)
    await asyncio.sleep(MEMORY_SECONDS + 1.0)
    directory.on_leaving(("i-2", 1), now(), is_from_response=True)
    assert directory.leaving.since(("i-1", 1)) is None
