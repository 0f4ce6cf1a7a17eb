"""Keys move out of an evacuated zone in time, and requests for them go on."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from balsamway.outcome import Completed, NotRun
from tests.fakes.evacuation_fleet import (
    EVACUATE_SECONDS,
    SERVICE_SECONDS,
    EvacuationFleet,
)

pytestmark = pytest.mark.looptime

REQUESTS_PER_SECOND = 80.0
FLEETS = {
    "131 in 4 zones": {"z1": 33, "z2": 33, "z3": 33, "z4": 32},
    "38 of 60": {"z1": 11, "z2": 38, "z3": 11},
    "1 of 2": {"z1": 1, "z2": 1},
}


@pytest.fixture
async def start():
    fleets = []

    async def start(targets, **fields):
        fleet = EvacuationFleet(targets, **fields)
        fleets.append(fleet)
        await fleet.start()
        assert fleet.targets.unowned() == []
        return fleet

    yield start
    for fleet in fleets:
        await fleet.stop()


def sent_after(fleet, at, *zones):
    return [sent for sent in fleet.sent if sent[0] > at and sent[1] in zones]


def check_served(fleet):
    """Check that each request was served: none was lost or refused."""
    verdicts = Counter(
        verdict if not isinstance(verdict, Completed) else "completed"
        for _, verdict in fleet.verdicts
    )
    assert set(verdicts) == {"completed"}, verdicts


@pytest.mark.parametrize("targets", FLEETS.values(), ids=FLEETS)
async def test_no_key_is_owned_in_an_evacuated_zone_after_its_time(start, targets):
    fleet = await start(targets)
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(fleet.send_requests(8.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(2.0)
    assert fleet.owned_in("z2")
    accepted_at = loop.time()
    fleet.evacuate("z2")
    await asyncio.sleep(EVACUATE_SECONDS)
    assert fleet.owned_in("z2") == []
    await load
    await asyncio.sleep(2.0)
    assert sent_after(fleet, accepted_at + EVACUATE_SECONDS, "z2") == []
    assert fleet.owned_in("z2") == []
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []
    check_served(fleet)


async def test_keys_move_in_time_from_targets_whose_work_goes_on(start):
    """A release waits for the requests in progress, and grants must expire."""
    fleet = await start(FLEETS["38 of 60"])
    for target in fleet.targets.all.values():
        target.working_seconds = 30.0
    fleet.evacuate("z2")
    await asyncio.sleep(EVACUATE_SECONDS)
    assert fleet.owned_in("z2") == []
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []


async def test_two_zones_are_evacuated_at_once(start):
    fleet = await start(FLEETS["131 in 4 zones"])
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(fleet.send_requests(8.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(1.0)
    fleet.evacuate("z2")
    await asyncio.sleep(0.2)
    accepted_at = loop.time()
    fleet.evacuate("z3")
    await asyncio.sleep(EVACUATE_SECONDS)
    assert fleet.owned_in("z2", "z3") == []
    await load
    await asyncio.sleep(2.0)
    assert sent_after(fleet, accepted_at + EVACUATE_SECONDS, "z2", "z3") == []
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []
    check_served(fleet)


async def test_an_evacuation_that_comes_and_goes_makes_no_second_owner(start):
    fleet = await start(FLEETS["38 of 60"])
    load = asyncio.create_task(fleet.send_requests(12.0, REQUESTS_PER_SECOND))
    for seconds in (0.05, 0.1, 0.3, 0.5, 1.0):
        fleet.evacuate("z2")
        await asyncio.sleep(seconds)
        fleet.withdraw("z2")
        await asyncio.sleep(seconds)
    fleet.evacuate("z2")
    await asyncio.sleep(EVACUATE_SECONDS)
    assert fleet.owned_in("z2") == []
    fleet.withdraw("z2")
    await load
    await asyncio.sleep(2.0)
    assert fleet.owned_in("z2")
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []
    check_served(fleet)


async def test_keys_stay_where_they_are_if_all_zones_are_evacuated(start):
    fleet = await start({"z1": 3, "z2": 3})
    loop = asyncio.get_running_loop()
    fleet.evacuate("z1")
    fleet.evacuate("z2")
    await asyncio.sleep(0.1)
    accepted_at = loop.time()
    await fleet.send_requests(EVACUATE_SECONDS, 50.0)
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []
    assert sent_after(fleet, accepted_at, "z1", "z2") == []
    assert all(verdict.retry_after_seconds > 0 for _, verdict in fleet.verdicts)
    fleet.withdraw("z1")
    await asyncio.sleep(EVACUATE_SECONDS)
    assert fleet.owned_in("z2") == []
    assert fleet.targets.unowned() == []


async def test_the_store_goes_away_right_after_the_entry(start):
    """Keys can't move then, so requests for them stop after their time."""
    fleet = await start(FLEETS["38 of 60"])
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(fleet.send_requests(12.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(1.0)
    fleet.store.write_fates.extend(["refused"] * 60)
    accepted_at = loop.time()
    fleet.evacuate("z2")
    await asyncio.sleep(0.1)
    fleet.store.down = True
    await asyncio.sleep(6.0)
    fleet.store.down = False
    fleet.store.write_fates.clear()
    await load
    await asyncio.sleep(2.0)
    assert sent_after(fleet, accepted_at + EVACUATE_SECONDS, "z2") == []
    assert fleet.owned_in("z2") == []
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []


@pytest.mark.parametrize("seconds", [0.0, 0.05, 0.15, 0.4])
async def test_the_leader_is_lost_right_after_the_entry(start, seconds):
    """The next leader moves the rest, once it has the lease."""
    fleet = await start(FLEETS["38 of 60"], leaders=("a", "b"))
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(fleet.send_requests(14.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(1.0)
    accepted_at = loop.time()
    fleet.evacuate("z2")
    await asyncio.sleep(seconds)
    await fleet.kill_leader()
    await load
    await asyncio.sleep(2.0)
    assert sent_after(fleet, accepted_at + EVACUATE_SECONDS, "z2") == []
    assert fleet.owned_in("z2") == []
    assert fleet.targets.unowned() == []
    assert fleet.targets.broken == []
    assert all(isinstance(verdict, Completed | NotRun) for _, verdict in fleet.verdicts)


@pytest.mark.parametrize(
    "delays",
    [(0.001, 0.4, 0.9, 1.5), (1.5, 1.5, 1.5, 0.001), (0.0, 2.0)],
    ids=["spread", "late", "later than allowed for"],
)
async def test_hosts_that_learn_late_send_to_no_target_without_the_key(start, delays):
    """A host that does not know yet follows the key map, and is in time."""
    fleet = await start(FLEETS["131 in 4 zones"])
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(fleet.send_requests(9.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(1.0)
    accepted_at = loop.time()
    fleet.evacuate("z2", delays)
    await load
    await asyncio.sleep(2.0)
    assert sent_after(fleet, accepted_at + EVACUATE_SECONDS, "z2") == []
    assert fleet.targets.broken == []
    check_served(fleet)


async def test_a_host_that_learns_of_the_end_late_refuses_nothing(start):
    """Keys come back to the zone before this host knows that it is used."""
    fleet = await start(FLEETS["131 in 4 zones"])
    fleet.evacuate("z2")
    await asyncio.sleep(EVACUATE_SECONDS)
    load = asyncio.create_task(fleet.send_requests(5.0, REQUESTS_PER_SECOND))
    await asyncio.sleep(0.5)
    fleet.withdraw("z2", (0.001, 0.2, 0.4, 0.6))
    await load
    await asyncio.sleep(2.0)
    assert fleet.owned_in("z2")
    assert fleet.targets.broken == []
    check_served(fleet)


async def test_requests_in_progress_complete(start):
    fleet = await start({"z1": 2, "z2": 2})
    await fleet.send_requests(1.0, REQUESTS_PER_SECOND)
    in_progress = len(fleet.sent) - len(fleet.verdicts)
    assert in_progress > 0
    fleet.evacuate("z2", (0.0,))
    await asyncio.sleep(2 * SERVICE_SECONDS)
    assert len(fleet.verdicts) == len(fleet.sent)
    check_served(fleet)
