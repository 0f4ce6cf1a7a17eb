from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.balance import Move
from balsamway.ownership.store_relay import RelayedStore
from balsamway.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from tests.fakes.directory import FakeHosts
from tests.fakes.fate import Fate
from tests.fakes.faults import Faults, Injection
from tests.fakes.network import FakeNetwork
from tests.fakes.store import FakeStore
from tests.fakes.targets import FakeTargets
from tests.fakes.world import World

pytestmark = pytest.mark.looptime


class Relays:
    """Three hosts, each in its own zone, with a shared store and network."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.store = FakeStore(self.faults)
        network = FakeNetwork(self.faults)
        hosts = FakeHosts(network, FakeTargets(self.faults))
        self.stores = {}
        for number, name in enumerate("abc"):
            hosts.add(name, f"z{number}", number)
            self.stores[name] = RelayedStore(
                name,
                self.store.client(name),
                network.peers(name),
                hosts.directory(name),
                random.Random(number),
            )


async def test_a_host_that_cannot_reach_the_store_calls_it_through_a_peer():
    relays = Relays()
    relays.store.cut_hosts = {"a", "b"}
    store = relays.stores["a"]
    assert await store.read("x") == Absent("x")
    assert await store.write("x", b"1", None) == Written(1)
    assert await store.read("x") == StoredObject("x", 1, b"1")
    conflict = await store.write("x", b"2", None)
    assert conflict == Conflict(StoredObject("x", 1, b"1"))
    assert await store.write("y", b"2", 3) == Conflict(Absent("y"))


async def test_the_store_is_unavailable_if_no_host_reaches_it():
    relays = Relays()
    relays.store.outage = True
    assert isinstance(await relays.stores["a"].read("x"), Unavailable)
    assert isinstance(await relays.stores["a"].write("x", b"", None), Unavailable)


@pytest.mark.parametrize("interface", ["peers", "store"])
async def test_a_write_of_unknown_outcome_is_not_repeated(interface):
    relays = Relays()
    relays.store.cut_hosts = {"a"}
    relays.faults.inject(
        Injection(
            lambda step: (
                step.interface == interface and step.source != "a"
                if interface == "store"
                else step.interface == interface
            ),
            Fate.LOSE_ANSWER,
        )
    )
    result = await relays.stores["a"].write("x", b"1", None)
    assert isinstance(result, WriteUnknown)
    assert len(relays.store.history) == 1


async def test_peers_are_tried_first_after_a_call_without_an_answer():
    relays = Relays()
    relays.faults.inject(
        Injection(
            lambda step: step.interface == "store" and step.source == "a",
            delay_seconds=3600,
            times=100,
        )
    )
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(relays.stores["a"].write("x", b"1", None), 0.6)
    assert await relays.stores["a"].write("x", b"2", None) == Written(1)
    assert await relays.stores["a"].read("x") == StoredObject("x", 1, b"2")


async def test_a_peer_that_recently_failed_to_reach_the_store_answers_at_once():
    relays = Relays()
    relays.store.outage = True
    await relays.stores["b"].read("x")
    await relays.stores["c"].read("x")
    relays.store.counts.clear()
    await relays.stores["a"].read("x")
    assert relays.store.counts["read"] == 1


async def test_a_leader_that_cannot_reach_the_store_writes_moves_through_peers():
    async with World() as world:
        await asyncio.sleep(3)
        world.store.cut_hosts.add(world.leader_host)
        leader = world.leader
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await leader.handover.move([Move(entry.range, to)]) == 1
        await world.until_served()
        assert world.owners(entry.range.start) == [to]
        assert world.leader is leader
