"""Plays the pace of a target over all hosts.

Each test names the load that it guards against. The targets run 4 requests at
a time; a service that names no warm-up time has no paces.
"""

from __future__ import annotations

import asyncio

import pytest

pytestmark = pytest.mark.looptime

CAPACITY = 4
PER_SECOND = 60.0


def paces(fleet, hosts=None):
    """Return what each host knows of the paces of the first target."""
    return {
        state.pace.limit
        for name in hosts or fleet.hosts
        for state in fleet.hosts[name].targets.all()
        if state.entry.name == "i-0"
    }


async def restart(fleet):
    await fleet.send_requests(2.0, PER_SECOND)
    await fleet.turn_cold("i-0", 0.0, incarnation=2)
    await fleet.send_requests(1.0, PER_SECOND)


# Load: all hosts send to a target that has just started.
@pytest.mark.parametrize("host_count", [1, 12, 71])
async def test_a_target_that_starts_has_one_pace_until_it_keeps_its_usual(
    start_fleet, host_count
):
    fleet = await start_fleet(host_count, is_keyed=False, capacity=CAPACITY)
    await fleet.send_requests(1.0, PER_SECOND)
    assert paces(fleet) == {None}
    await restart(fleet)
    known = paces(fleet)
    assert len(known) == 1
    assert None not in known
    await fleet.send_requests(9.0, PER_SECOND)
    assert paces(fleet) == {None}
    assert not fleet.hosts["h0"].targets.limited()


# Load: hosts that continue after the host that issues the pace was lost.
async def test_the_pace_stays_while_no_leader_is_known_and_continues_with_the_next(
    start_fleet,
):
    fleet = await start_fleet(12, is_keyed=False, capacity=CAPACITY)
    await restart(fleet)
    others = [name for name in fleet.hosts if name != "h0"]
    fleet.network.down.add("h0")
    fleet.lead(None)
    await asyncio.sleep(0.1)
    known = paces(fleet, others)
    await fleet.send_requests(3.0, PER_SECOND, others)
    assert paces(fleet, others) == known
    fleet.lead("h1")
    await fleet.send_requests(0.5, PER_SECOND, others)
    assert max(paces(fleet, others)) <= 2 * max(known)
    await fleet.send_requests(9.0, PER_SECOND, others)
    assert paces(fleet, others) == {None}


# Load: a target that turns warm gets all that is asked for at once.
async def test_a_target_that_turns_warm_goes_on_from_the_cold_rate(start_fleet):
    fleet = await start_fleet(
        12, is_keyed=False, capacity=CAPACITY, cold_per_second=6.9
    )
    await fleet.send_requests(2.0, PER_SECOND)
    await fleet.turn_cold("i-0", 3.0)
    await fleet.send_requests(3.2, PER_SECOND)
    state = fleet.hosts["h0"].targets.find("i-0", 1)
    assert state.cold.limit is None
    assert state.pace.limit <= 2 * 6.9


# Load: none; services without a warm-up time are served as before.
async def test_a_service_without_a_warm_up_time_has_no_pace(start_fleet):
    fleet = await start_fleet(12, is_keyed=False, capacity=CAPACITY, warmup_seconds=0.0)
    await restart(fleet)
    assert paces(fleet) == {None}
