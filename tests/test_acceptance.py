from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from balsamway.configuration import Service, WorkspaceConfiguration, Zone
from balsamway.configuration.acceptance import Acceptance
from balsamway.configuration.acceptance_result import (
    AcceptConflict,
    Accepted,
    AcceptRefused,
    AcceptUnknown,
)
from balsamway.configuration.codec import decode_configuration, decode_workspaces
from balsamway.configuration.constants import WORKSPACES_OBJECT
from tests.fakes.configuration_store import ConfigurationStore

pytestmark = pytest.mark.looptime

OFFERED = WorkspaceConfiguration(
    workspace="m",
    version=0,
    change_id="",
    zones=(Zone("z", "r", 3),),
    services=(Service("s", True, (), 3, 50, 4),),
    token_hashes=("0" * 64,),
)


@pytest.fixture
def store():
    return ConfigurationStore()


@pytest.fixture
def acceptance(store, rng):
    return Acceptance(store, rng, settle_seconds=5.0)


def stored(store, workspace="m"):
    return decode_configuration(
        store.objects[f"configuration/{workspace}"].body, workspace
    )


async def test_a_workspace_is_added_to_the_index_then_configured(store, acceptance):
    assert await acceptance.accept(OFFERED, 0) == Accepted(1)
    assert store.writes == [WORKSPACES_OBJECT, "configuration/m"]
    assert decode_workspaces(store.objects[WORKSPACES_OBJECT].body) == ("m",)
    assert await acceptance.accept(OFFERED, 1) == Accepted(2)
    assert stored(store).version == 2


async def test_a_stale_base_version_is_a_conflict(store, acceptance):
    await acceptance.accept(OFFERED, 0)
    offered = replace(OFFERED, zones=(Zone("z", "r", 5),))
    result = await acceptance.accept(offered, 0)
    assert isinstance(result, AcceptConflict)
    assert (result.base, result.version) == (0, 1)
    assert [str(change) for change in result.changes] == [
        "~ zones[z].entry_hosts: 3 -> 5"
    ]


@pytest.mark.parametrize("operators", [2, 7])
async def test_one_concurrent_operator_wins_and_the_others_conflict(store, operators):
    async def accept(number):
        acceptance = Acceptance(store, random.Random(number))
        offered = replace(OFFERED, zones=(Zone("z", "r", 3 + number),))
        return await acceptance.accept(offered, 0)

    results = await asyncio.gather(*map(accept, range(operators)))
    winners = [n for n, result in enumerate(results) if result == Accepted(1)]
    assert len(winners) == 1
    assert stored(store).zones[0].entry_hosts == 3 + winners[0]
    losers = [result for result in results if result != Accepted(1)]
    assert all(isinstance(result, AcceptConflict) for result in losers)


async def test_concurrent_operators_add_their_workspaces_to_the_index(store):
    workspaces = [f"m{number}" for number in range(6)]

    async def accept(workspace):
        acceptance = Acceptance(store, random.Random(workspace))
        return await acceptance.accept(replace(OFFERED, workspace=workspace), 0)

    results = await asyncio.gather(*map(accept, workspaces))
    assert results == [Accepted(1)] * 6
    assert decode_workspaces(store.objects[WORKSPACES_OBJECT].body) == tuple(workspaces)


@pytest.mark.parametrize("lost_write", ["applied", "never", 0.05, 0.3, 3.0])
@pytest.mark.parametrize("name", [WORKSPACES_OBJECT, "configuration/m"])
async def test_a_lost_write_result_is_resolved(store, acceptance, name, lost_write):
    store.lost_writes[name] = lost_write
    assert await acceptance.accept(OFFERED, 0) == Accepted(1)
    await asyncio.sleep(5)
    assert stored(store).version == 1
    assert decode_workspaces(store.objects[WORKSPACES_OBJECT].body) == ("m",)


async def test_a_lost_write_result_is_resolved_after_another_change(
    store, acceptance, rng
):
    store.lost_writes["configuration/m"] = "applied"
    task = asyncio.create_task(acceptance.accept(OFFERED, 0))
    while "configuration/m" not in store.objects:
        await asyncio.sleep(0)
    assert await Acceptance(store, rng).accept(OFFERED, 1) == Accepted(2)
    assert await task == Accepted(1)


async def test_a_lost_write_that_another_change_preceded_is_a_conflict(
    store, acceptance, rng
):
    store.lost_writes["configuration/m"] = "never"
    task = asyncio.create_task(acceptance.accept(OFFERED, 0))
    while "configuration/m" not in store.writes:
        await asyncio.sleep(0)
    other = replace(OFFERED, zones=(Zone("y", "r", 3),))
    assert await Acceptance(store, rng).accept(other, 0) == Accepted(1)
    result = await task
    assert isinstance(result, AcceptConflict)
    assert result.version == 1


async def test_an_unavailable_store_refuses_without_effect(store, acceptance):
    store.is_down = True
    assert isinstance(await acceptance.accept(OFFERED, 0), AcceptRefused)
    assert store.objects == {}


async def test_a_lost_write_result_that_stays_unresolved_is_unknown(store, acceptance):
    store.lost_writes["configuration/m"] = "never"
    task = asyncio.create_task(acceptance.accept(OFFERED, 0))
    while "configuration/m" not in store.writes:
        await asyncio.sleep(0)
    store.is_down = True
    assert isinstance(await task, AcceptUnknown)


async def test_the_ownership_of_keys_cannot_change(store, acceptance):
    await acceptance.accept(OFFERED, 0)
    service = replace(OFFERED.services[0], exclusive_keys=False)
    result = await acceptance.accept(replace(OFFERED, services=(service,)), 1)
    assert isinstance(result, AcceptRefused)
    assert stored(store).version == 1
