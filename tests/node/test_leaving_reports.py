"""Hosts tell each other which targets are leaving."""

from __future__ import annotations

import asyncio

import pytest

from tests.fakes.limited_fleet import LimitedFleet

pytestmark = pytest.mark.looptime


@pytest.fixture
async def fleet():
    fleet = LimitedFleet(host_count=3, target_count=2, is_keyed=True)
    await fleet.start()
    await asyncio.sleep(1.0)
    yield fleet
    await fleet.stop()


def leaving_at(host):
    return [state.entry.name for state in host.targets.leaving()]


async def test_the_leader_and_all_hosts_learn_what_one_host_heard(fleet):
    heard_at = asyncio.get_running_loop().time()
    fleet.hosts["h2"].targets.on_leaving(fleet.hosts["h2"].targets.find("i-0", 1))
    await asyncio.sleep(1.0)
    for host in fleet.hosts.values():
        assert leaving_at(host) == ["i-0"]
        since = host.targets.find("i-0", 1).leaving_since
        assert since == pytest.approx(heard_at, abs=0.01)


async def test_keys_are_not_placed_on_a_target_that_another_host_heard(fleet):
    fleet.hosts["h2"].targets.on_leaving(fleet.hosts["h2"].targets.find("i-0", 1))
    await asyncio.sleep(0.5)
    leader = fleet.hosts["h0"].directory
    assert [target.name for target in leader.available_targets("s")] == ["i-1"]


async def test_without_a_leader_a_host_relies_on_what_it_heard_itself(fleet):
    fleet.lead(None)
    await asyncio.sleep(1.0)
    fleet.hosts["h2"].targets.on_leaving(fleet.hosts["h2"].targets.find("i-0", 1))
    await asyncio.sleep(2.0)
    assert fleet.hosts["h2"].targets.find("i-0", 1).is_drain_expired
    assert leaving_at(fleet.hosts["h1"]) == []


async def test_a_host_that_missed_the_leader_learns_it_from_the_next_one(fleet):
    fleet.lead(None)
    fleet.hosts["h2"].targets.on_leaving(fleet.hosts["h2"].targets.find("i-0", 1))
    await asyncio.sleep(5.0)
    fleet.lead("h1")
    await asyncio.sleep(1.0)
    for host in fleet.hosts.values():
        assert leaving_at(host) == ["i-0"]
