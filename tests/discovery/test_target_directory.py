from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.discovery.target_directory import REREGISTRATION_SECONDS

pytestmark = pytest.mark.looptime

FIRST = TargetEntry("i-1", 1, "s", "10.0.0.1:80", "z", 3, False, 0.0)
SECOND = replace(FIRST, name="i-2", address="10.0.0.2:80")


def available_names(directory):
    return [entry.name for entry in directory.available_targets("s")]


async def test_draining_and_removed_targets_are_not_available():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    directory.update(replace(FIRST, is_draining=True))
    assert available_names(directory) == ["i-2"]
    directory.remove("i-2")
    assert available_names(directory) == []
    assert directory.find("i-1").is_draining


async def test_target_missing_from_a_snapshot_is_removed():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    directory.replace([SECOND])
    assert available_names(directory) == ["i-2"]


async def test_entries_that_expired_in_an_outage_are_kept_for_a_time():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    await asyncio.sleep(9)
    directory.on_store_recovered()
    directory.replace([])
    assert available_names(directory) == ["i-1", "i-2"]
    await asyncio.sleep(1)
    directory.update(FIRST)
    await asyncio.sleep(REREGISTRATION_SECONDS - 0.9)
    directory.remove_expired()
    assert available_names(directory) == ["i-1"]


async def test_entry_that_was_draining_before_an_outage_is_not_kept():
    directory = TargetDirectory()
    directory.replace([replace(FIRST, is_draining=True), SECOND])
    directory.on_store_recovered()
    directory.replace([SECOND])
    assert directory.find("i-1") is None


async def test_removal_long_after_an_outage_takes_effect_at_once():
    directory = TargetDirectory()
    directory.replace([FIRST])
    directory.on_store_recovered()
    await asyncio.sleep(REREGISTRATION_SECONDS + 0.1)
    directory.remove("i-1")
    assert available_names(directory) == []


async def test_new_incarnation_of_a_target_is_a_change():
    directory = TargetDirectory()
    directory.replace([FIRST])
    await asyncio.sleep(5)
    directory.update(replace(FIRST, incarnation=2))
    assert directory.changed_at == 5
    assert directory.available_targets("s")[0].key == ("i-1", 2)


async def test_listeners_are_called_for_changes_only():
    directory = TargetDirectory()
    calls = []
    directory.add_listener(lambda: calls.append(1))
    directory.replace([FIRST])
    directory.update(FIRST)
    assert len(calls) == 1
    directory.update(replace(FIRST, warmup_seconds=1.0))
    assert len(calls) == 2


async def test_a_restored_store_brings_no_target_back_that_has_left():
    directory = TargetDirectory()
    left, stays = FIRST, SECOND
    directory.replace([left, stays])
    directory.remove("i-1")
    directory.on_store_restored()
    directory.replace([left, stays])
    assert directory.available_targets("s") == (stays,)
    await asyncio.sleep(2)
    directory.remove("i-1")
    await asyncio.sleep(10)
    directory.remove_expired()
    assert directory.available_targets("s") == (stays,)


async def test_a_target_that_is_still_listed_after_a_restore_is_used_again():
    directory = TargetDirectory()
    directory.replace([FIRST])
    directory.remove("i-1")
    directory.on_store_restored()
    directory.replace([FIRST])
    await asyncio.sleep(5)
    directory.remove_expired()
    assert directory.available_targets("s") == (FIRST,)


async def test_a_restored_store_ends_no_drain():
    directory = TargetDirectory()
    directory.replace([FIRST])
    directory.update(replace(FIRST, is_draining=True))
    directory.on_store_restored()
    directory.replace([FIRST])
    directory.update(FIRST)
    assert directory.available_targets("s") == ()
    assert directory.find("i-1").is_draining
    # The target writes again what the store has lost.
    directory.update(replace(FIRST, is_draining=True))
    await asyncio.sleep(6)
    directory.remove_expired()
    assert directory.available_targets("s") == ()
    directory.update(replace(FIRST, incarnation=2))
    assert len(directory.available_targets("s")) == 1


async def test_a_restored_store_does_not_hide_targets_that_just_registered():
    directory = TargetDirectory()
    directory.replace([FIRST])
    directory.update(SECOND)
    directory.on_store_restored()
    directory.replace([FIRST])
    assert len(directory.available_targets("s")) == 2
    directory.update(SECOND)
    await asyncio.sleep(3)
    directory.remove_expired()
    assert len(directory.available_targets("s")) == 2


async def test_a_restored_store_does_not_bring_an_earlier_incarnation_back():
    directory = TargetDirectory()
    restarted = replace(FIRST, incarnation=2)
    directory.replace([FIRST])
    directory.update(restarted)
    directory.on_store_restored()
    directory.replace([FIRST])
    assert directory.available_targets("s") == (restarted,)
    directory.update(restarted)
    await asyncio.sleep(6)
    directory.remove_expired()
    assert directory.available_targets("s") == (restarted,)


async def test_a_target_that_a_later_snapshot_lacks_does_not_return():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    directory.remove("i-1")
    directory.on_store_restored()
    directory.replace([FIRST, SECOND])
    await asyncio.sleep(3)
    directory.replace([SECOND])
    await asyncio.sleep(2)
    directory.remove_expired()
    assert available_names(directory) == ["i-2"]


async def test_a_target_that_registers_late_after_a_restore_is_used_at_once():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    directory.on_store_restored()
    directory.replace([FIRST])
    await asyncio.sleep(REREGISTRATION_SECONDS + 0.1)
    directory.remove_expired()
    assert available_names(directory) == ["i-1"]
    directory.update(SECOND)
    assert available_names(directory) == ["i-1", "i-2"]


async def test_a_second_restore_renews_the_time_to_register():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    for _ in range(2):
        directory.on_store_restored()
        directory.replace([FIRST])
        await asyncio.sleep(1.0)
    directory.remove_expired()
    assert available_names(directory) == ["i-1", "i-2"]


async def test_an_unreadable_entry_is_not_used_when_a_restore_has_settled():
    directory = TargetDirectory()
    directory.replace([FIRST, SECOND])
    directory.remove("i-1")
    directory.on_store_restored()
    directory.replace([FIRST, SECOND])
    directory.discard("i-1")
    await asyncio.sleep(5)
    directory.remove_expired()
    assert available_names(directory) == ["i-2"]
