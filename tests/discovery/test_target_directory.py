from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.discovery.target_directory import RETURN_SECONDS

pytestmark = pytest.mark.looptime

ONE = TargetEntry("i-1", 1, "s", "10.0.0.1:80", "z", 3, False, 0.0)
TWO = replace(ONE, name="i-2", address="10.0.0.2:80")


def names(directory):
    return [entry.name for entry in directory.available_targets("s")]


async def test_a_draining_or_removed_target_gets_nothing_at_once():
    directory = TargetDirectory()
    directory.replace([ONE, TWO])
    directory.update(replace(ONE, is_draining=True))
    assert names(directory) == ["i-2"]
    directory.remove("i-2")
    assert names(directory) == []
    assert directory.find("i-1").is_draining


async def test_a_target_missing_from_a_listing_is_gone():
    directory = TargetDirectory()
    directory.replace([ONE, TWO])
    directory.replace([TWO])
    assert names(directory) == ["i-2"]


async def test_entries_that_lapsed_in_an_outage_have_time_to_return():
    directory = TargetDirectory()
    directory.replace([ONE, TWO])
    await asyncio.sleep(9)
    directory.on_store_recovered()
    directory.replace([])
    assert names(directory) == ["i-1", "i-2"]
    await asyncio.sleep(1)
    directory.update(ONE)
    await asyncio.sleep(RETURN_SECONDS - 0.9)
    directory.remove_expired()
    assert names(directory) == ["i-1"]


async def test_a_target_that_was_draining_before_an_outage_does_not_return():
    directory = TargetDirectory()
    directory.replace([replace(ONE, is_draining=True), TWO])
    directory.on_store_recovered()
    directory.replace([TWO])
    assert directory.find("i-1") is None


async def test_a_removal_long_after_an_outage_counts_at_once():
    directory = TargetDirectory()
    directory.replace([ONE])
    directory.on_store_recovered()
    await asyncio.sleep(RETURN_SECONDS + 0.1)
    directory.remove("i-1")
    assert names(directory) == []


async def test_another_run_of_a_target_is_a_change():
    directory = TargetDirectory()
    directory.replace([ONE])
    await asyncio.sleep(5)
    directory.update(replace(ONE, incarnation=2))
    assert directory.changed_at == 5
    assert directory.available_targets("s")[0].key == ("i-1", 2)


async def test_listeners_hear_of_changes_only():
    directory = TargetDirectory()
    heard = []
    directory.add_listener(lambda: heard.append(1))
    directory.replace([ONE])
    directory.update(ONE)
    assert len(heard) == 1
    directory.update(replace(ONE, warmup_seconds=1.0))
    assert len(heard) == 2
