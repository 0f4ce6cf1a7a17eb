from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from balsamway.keyspace.leader_lease import (
    LEASE_DURATION_SECONDS,
    STAND_DOWN_SECONDS,
    LeaderLease,
)
from balsamway.keyspace.lease_object import LEASE_KIND
from balsamway.store.era import revision_of, version_of
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


class OwnStore:
    """A host's access to the store, which a test can redirect."""

    def __init__(self, store):
        self.store = store

    def __getattr__(self, name):
        return getattr(self.store, name)


class Hosts:
    """Some hosts, each with a lease, on one store."""

    def __init__(self):
        self.store = MemoryStore()
        self.leases = {}
        self.stores = {}
        self.reached = set("abc")

    async def start(self, *names, address=""):
        for name in names:
            store = self.stores[name] = OwnStore(self.store)
            lease = LeaderLease(
                store,
                name,
                address or f"{name}:1",
                lambda name=name: name in self.reached,
                random.Random(ord(name)),
            )
            self.leases[name] = lease
            await lease.start()

    def leading(self):
        return [
            name
            for name, lease in self.leases.items()
            if lease.epoch is not None and lease.has_authority(lease.epoch)
        ]

    async def watch(self, seconds):
        """Let time pass, and return the most leaders seen at a time."""
        most = 0
        for _ in range(int(seconds / 0.02)):
            await asyncio.sleep(0.02)
            most = max(most, len(self.leading()))
        return most


@pytest.fixture
async def hosts():
    hosts = Hosts()
    yield hosts
    for lease in hosts.leases.values():
        await lease.stop()


async def test_one_of_many_leads_and_keeps_leading(hosts):
    await hosts.start("a", "b", "c")
    await asyncio.sleep(1)
    first = hosts.leading()
    assert await hosts.watch(20) == 1
    assert hosts.leading() == first
    assert hosts.leases[first[0]].epoch == 1


async def test_a_lost_leader_is_replaced_within_four_seconds(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.start("b", "c")
    await asyncio.sleep(2)
    await hosts.leases.pop("a").stop()
    await asyncio.sleep(4)
    (leader,) = hosts.leading()
    assert hosts.leases[leader].epoch == 2


async def test_a_leader_partitioned_from_the_store_ends_before_the_next_begins(
    hosts,
):
    await hosts.start("a")
    await asyncio.sleep(1)
    hosts.stores["a"].store = MemoryStore(objects=hosts.store.objects, down=True)
    await hosts.start("b")
    assert await hosts.watch(10) == 1
    assert hosts.leading() == ["b"]


async def test_a_leader_whose_host_was_suspended_has_no_authority(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    lease = hosts.leases["a"]
    epoch = lease.epoch
    # The event loop does not run while the host is suspended, but its clock
    # goes on.
    lease._authority_until = asyncio.get_running_loop().time() - 0.001
    assert not lease.has_authority(epoch)


@pytest.mark.parametrize("fate", ["lost", "refused", ("late", 0.4), ("late", 5.0)])
@pytest.mark.parametrize("failing", [1, 2])
async def test_renewals_whose_responses_are_lost_make_no_second_leader(
    hosts, fate, failing
):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.start("b")
    hosts.store.write_fates.extend([fate] * failing)
    assert await hosts.watch(8) == 1
    assert len(hosts.leading()) == 1


@pytest.mark.parametrize("fate", ["lost", ("late", 0.4), ("late", 3.0)])
async def test_a_claim_whose_response_is_lost_makes_one_leader(hosts, fate):
    hosts.store.write_fates.append(fate)
    await hosts.start("a", "b", "c")
    assert await hosts.watch(9) <= 1
    assert len(hosts.leading()) == 1


async def test_a_store_outage_ends_authority_until_the_store_is_back(hosts):
    await hosts.start("a", "b")
    await asyncio.sleep(1)
    hosts.store.down = True
    await asyncio.sleep(LEASE_DURATION_SECONDS + 0.1)
    assert hosts.leading() == []
    await asyncio.sleep(5)
    hosts.store.down = False
    await asyncio.sleep(2)
    assert len(hosts.leading()) == 1


async def test_a_leader_that_resigns_is_replaced_at_once(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.start("b")
    await asyncio.sleep(1)
    await hosts.leases["a"].resign()
    await asyncio.sleep(1)
    assert hosts.leading() == ["b"]


async def test_a_host_that_stood_down_leaves_the_lease_to_another(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.start("b")
    await asyncio.sleep(1)
    await hosts.leases["a"].stand_down("most targets do not answer")
    assert await hosts.watch(STAND_DOWN_SECONDS) == 1
    assert hosts.leading() == ["b"]


async def test_a_host_that_reaches_few_targets_claims_only_if_nobody_else_does(
    hosts,
):
    hosts.reached.clear()
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.leases["a"].resign()
    await hosts.start("b")
    await asyncio.sleep(2)
    assert hosts.leading() == []
    await asyncio.sleep(STAND_DOWN_SECONDS)
    assert hosts.leading() == ["b"]


async def test_a_process_that_replaced_the_leader_on_its_host_claims_at_once(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.leases["a"].stop()
    await hosts.start("a")
    await asyncio.sleep(0.2)
    assert hosts.leading() == ["a"]
    assert hosts.leases["a"].epoch == 2


async def test_a_host_of_the_same_name_at_another_address_claims_later(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.leases["a"].stop()
    await hosts.start("a", address="other:1")
    await asyncio.sleep(1)
    assert hosts.leading() == []


async def test_a_lease_that_cannot_be_decoded_is_claimed_when_unchanged(hosts):
    hosts.store.put(LEASE_KIND, "keys", b'"rubbish"')
    await hosts.start("a")
    await asyncio.sleep(4)
    assert hosts.leading() == ["a"]


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"epoch":1,"host":"b","address":"b:1","beat":1,"x":'
        + b"[" * 100_000
        + b"]" * 100_000
        + b"}",
        b'{"epoch":%d,"host":"b","address":"b:1","beat":1}' % 2**70,
        b'{"epoch":1,"host":"b","address":"b:1","beat":%d}' % 2**70,
        b'{"epoch":-5,"host":"b","address":"b:1","beat":1}',
    ],
    ids=lambda body: body[:40].decode(),
)
async def test_a_lease_that_is_nested_or_has_a_number_too_large_is_claimed(hosts, body):
    hosts.store.put(LEASE_KIND, "keys", body)
    await hosts.start("a")
    await asyncio.sleep(4)
    assert hosts.leading() == ["a"]
    assert 0 < hosts.leases["a"].epoch < 2**63


async def test_a_stale_read_older_than_the_leader_s_report_delays_no_claim(hosts):
    await hosts.start("a")
    await asyncio.sleep(1)
    await hosts.start("b")
    old = hosts.store.objects[(LEASE_KIND, "keys")]
    for _ in range(10):
        await asyncio.sleep(0.5)
        hosts.leases["b"].on_leader_reported(hosts.leases["a"].stored_lease)
    await hosts.leases.pop("a").stop()

    async def read_stale(kind, name, allow_stale=False):
        return old if allow_stale else await hosts.store.read(kind, name)

    hosts.stores["b"].read = read_stale
    await asyncio.sleep(4)
    assert hosts.leading() == ["b"]


async def test_a_stale_read_of_before_a_restore_is_not_claimed(hosts):
    hosts.store.era = 1
    await hosts.start("a")
    await asyncio.sleep(8)
    copy = hosts.store.copy()
    await asyncio.sleep(2.25)
    lost = hosts.store.objects[(LEASE_KIND, "keys")]
    hosts.store.restore(copy)
    # Stale reads return the lost lease under the header of the new era.
    stale = replace(lost, version=version_of(2, revision_of(lost.version)))
    read = hosts.store.read

    async def read_stale(kind, name, allow_stale=False):
        return stale if allow_stale else await read(kind, name)

    hosts.store.read = read_stale
    await hosts.start("b")
    assert await hosts.watch(10) == 1
    assert hosts.leading() == ["a"]
