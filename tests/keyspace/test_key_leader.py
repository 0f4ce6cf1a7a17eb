from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from balsamway.discovery import TargetDirectory
from balsamway.keyspace.key_leader import KeyLeader
from balsamway.keyspace.key_map import KeyMap
from balsamway.keyspace.leader_lease import LeaderLease
from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.keyspace.messages import LoadNotice
from balsamway.store.store import Unavailable
from tests.fakes.keyed_targets import GRAIN, KeyedTargets
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

MAX_UNOWNED_SECONDS = 5.0
"""The longest time that a key may have no owner after a target is lost."""


class Host:
    """The parts of an entry host that take part in leading."""

    def __init__(self, deployment, name):
        self.aggregator = LoadAggregator()
        self.key_map = KeyMap()
        self.lease = LeaderLease(
            deployment.store, name, f"{name}:1", lambda: True, random.Random(name)
        )
        self.leader = KeyLeader(
            deployment.store,
            self.lease,
            deployment.directory,
            self.aggregator,
            deployment.targets,
            lambda: ("k",),
            self.key_map.on_notice,
        )

    async def start(self):
        await self.lease.start()
        await self.leader.start()

    async def stop(self):
        """Stop without resigning, as a killed process does."""
        await self.leader.stop()
        await self.lease.stop()


class Deployment:
    """Some hosts and targets on one store."""

    def __init__(self, *names):
        self.store = MemoryStore()
        self.targets = KeyedTargets(*names)
        self.directory = TargetDirectory()
        self.hosts = {}

    def list(self, draining=(), without=()):
        self.directory.replace(
            [
                target.entry(target.name in draining)
                for target in self.targets.all.values()
                if target.name not in without
            ]
        )

    async def start(self, *names):
        if not self.hosts:
            self.list()
        for name in names:
            self.hosts[name] = Host(self, name)
            await self.hosts[name].start()
        await asyncio.sleep(4)

    def leading(self):
        return next(
            host for host in self.hosts.values() if host.lease.epoch is not None
        )

    def report(self, rates, seconds=0.4):
        """Report the load of requests with the given rates, as gateways do."""
        counts = {key: max(1, int(rate * seconds)) for key, rate in rates.items()}
        for host in self.hosts.values():
            host.aggregator.add(LoadNotice("g", "z", "g:1", {}, {"k": counts}, {}))
            host.aggregator.decay({name: 3 for name in self.targets.all})

    async def unowned_seconds(self, seconds, keys=range(0, 65536, GRAIN)):
        """Let time pass, and return the longest time a key had no owner."""
        longest = 0.0
        since = {}
        for _ in range(int(seconds / 0.05)):
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            unowned = set(self.targets.unowned(keys))
            since = {key: since.get(key, now) for key in unowned}
            longest = max([longest, *(now - at for at in since.values())])
        return longest

    def check(self):
        """Check that no key ever had two owners."""
        assert self.targets.broken == []


@pytest.fixture
async def deployment():
    deployment = Deployment("t1", "t2", "t3", "t4")
    yield deployment
    for host in deployment.hosts.values():
        await host.stop()


async def test_keys_are_assigned_once_the_target_list_is_unchanged(deployment):
    await deployment.start("a", "b")
    assert deployment.targets.unowned() == []
    shares = [deployment.targets.owner(key) for key in range(0, 65536, 16384)]
    assert sorted(shares) == ["t1", "t2", "t3", "t4"]
    key_map = deployment.leading().key_map
    assert key_map.find_owner("k", 5).name == deployment.targets.owner(GRAIN)
    assert await deployment.unowned_seconds(20) == 0.0
    deployment.check()


async def test_a_draining_target_hands_over_its_keys(deployment):
    await deployment.start("a")
    deployment.list(draining=["t2"])
    assert await deployment.unowned_seconds(3) < 0.3
    assert not any(deployment.targets.all["t2"].holding(k) for k in range(0, 65536, 64))
    assert deployment.targets.handovers > 0
    deployment.check()


async def test_a_leaving_target_hands_over_its_keys_before_it_is_listed(deployment):
    await deployment.start("a")
    key = deployment.targets.all["t2"].entry().key
    now = asyncio.get_running_loop().time()
    deployment.directory.on_leaving(key, now, is_from_response=False)
    assert await deployment.unowned_seconds(3) < 0.3
    assert not any(deployment.targets.all["t2"].holding(k) for k in range(0, 65536, 64))
    assert deployment.targets.handovers > 0
    deployment.list()
    await asyncio.sleep(3)
    assert not any(deployment.targets.all["t2"].holding(k) for k in range(0, 65536, 64))
    deployment.check()


async def test_if_all_targets_leave_their_keys_stay_where_they_are(deployment):
    await deployment.start("a")
    now = asyncio.get_running_loop().time()
    for target in deployment.targets.all.values():
        deployment.directory.on_leaving(target.entry().key, now, is_from_response=False)
    assert await deployment.unowned_seconds(3) == 0.0
    deployment.check()


async def test_keys_of_a_lost_target_are_owned_again_within_five_seconds(deployment):
    await deployment.start("a")
    deployment.targets.all["t2"].up = False
    assert 0 < await deployment.unowned_seconds(7) < MAX_UNOWNED_SECONDS
    deployment.check()


async def test_keys_of_a_partitioned_target_move_only_once_its_grants_expired(
    deployment,
):
    await deployment.start("a")
    deployment.targets.all["t2"].silent = True
    assert await deployment.unowned_seconds(8) < 1.0
    deployment.check()
    deployment.targets.all["t2"].silent = False
    assert await deployment.unowned_seconds(12) < 1.0
    deployment.check()


async def test_a_restarted_target_gets_new_tokens(deployment):
    await deployment.start("a")
    deployment.targets.restart("t2")
    deployment.list()
    assert await deployment.unowned_seconds(3) < 1.0
    assert deployment.targets.unowned() == []
    deployment.check()


async def test_another_target_at_the_address_means_that_the_old_one_ended(
    deployment,
):
    await deployment.start("a")
    target = deployment.targets.all["t2"]
    target.name, target.holds = "other", {}
    assert await deployment.unowned_seconds(3) < 2.0
    deployment.check()


async def test_no_key_is_without_owner_when_the_leader_is_lost(deployment):
    await deployment.start("a")
    await deployment.start("b")
    await deployment.hosts.pop("a").stop()
    assert await deployment.unowned_seconds(8) == 0.0
    deployment.check()


async def test_all_keys_are_owned_after_a_leader_and_a_target_are_lost(deployment):
    await deployment.start("a")
    await deployment.start("b")
    deployment.targets.all["t3"].up = False
    await deployment.hosts.pop("a").stop()
    await deployment.unowned_seconds(16)
    assert deployment.targets.unowned() == []
    deployment.check()


async def test_no_key_is_without_owner_in_a_store_outage_of_eight_seconds(
    deployment,
):
    await deployment.start("a", "b")
    deployment.store.down = True
    assert await deployment.unowned_seconds(8) == 0.0
    deployment.store.down = False
    assert await deployment.unowned_seconds(8) == 0.0
    deployment.check()


@pytest.mark.parametrize("seconds", [2.0, 4.0, 9.0])
async def test_a_grant_that_takes_effect_late_makes_no_second_owner(
    deployment, seconds
):
    await deployment.start("a")
    deployment.targets.fates.extend([("late", seconds)] * 3)
    await asyncio.sleep(1.5)
    deployment.list(draining=["t1"])
    await deployment.unowned_seconds(14)
    assert deployment.targets.unowned() == []
    deployment.check()


async def test_a_leader_that_reaches_few_targets_stands_down(deployment):
    await deployment.start("a")
    leader = deployment.leading()
    for name in ("t1", "t2", "t3"):
        deployment.targets.all[name].silent = True
    await asyncio.sleep(2.0)
    assert leader.lease.epoch is None


async def test_a_key_that_alone_fills_a_target_is_alone_on_its_target(deployment):
    await deployment.start("a")
    rates = {key: 2.0 for key in range(20_000, 20_020)} | {20_010: 60.0}
    for _ in range(20):
        deployment.report(rates)
        await asyncio.sleep(0.4)
    hot = deployment.leading().key_map.find_owner("k", 20_010).name
    others = [deployment.leading().key_map.find_owner("k", key).name for key in rates]
    assert others.count(hot) == 1
    deployment.check()


async def test_a_target_that_responds_again_before_its_grants_expire_keeps_its_keys(
    deployment,
):
    await deployment.start("a")
    before = [deployment.targets.owner(key) for key in range(0, 65536, GRAIN)]
    deployment.targets.all["t2"].silent = True
    await asyncio.sleep(2.0)
    deployment.targets.all["t2"].silent = False
    assert await deployment.unowned_seconds(5) == 0.0
    assert [deployment.targets.owner(key) for key in range(0, 65536, GRAIN)] == before
    deployment.check()


async def test_a_target_that_may_have_restarted_gets_no_old_token(deployment):
    """No part of a segment may keep its token when the segment is split.

    The token would be renewed at a target that may be another incarnation.
    """
    await deployment.start("a")
    leader = deployment.leading().leader._leaders["k"]
    rates = {key: 3.0 for key in range(20_000, 20_040)}
    deployment.report(rates)
    owner = leader._keys.record.find(20_000).owner
    tokens = {
        segment.token
        for segment in leader._keys.record.segments
        if segment.owner == owner
    }
    leader._keys.owners_needing_tokens.add(owner)
    leader._next_plan_at = 0.0
    await asyncio.sleep(0.3)
    later_tokens = {
        segment.token
        for segment in leader._keys.record.segments
        if segment.owner == owner
    }
    assert not tokens & later_tokens
    deployment.check()


@pytest.mark.parametrize("seed", range(12))
async def test_keys_have_one_owner_through_mixed_faults(deployment, seed):
    rng = random.Random(seed)
    await deployment.start("a", "b", "c")
    names = list(deployment.targets.all)
    lost = set()
    for _ in range(14):
        fault = rng.choice(
            ["drain", "crash", "silent", "restart", "late", "lost", "store", "leader"]
        )
        name = rng.choice(names)
        target = deployment.targets.all[name]
        match fault:
            case "drain":
                deployment.list(draining=[name])
            case "crash" if len(lost) < 2:
                target.up = False
                lost.add(name)
            case "silent":
                target.silent = True
                asyncio.get_running_loop().call_later(
                    rng.uniform(0.5, 6), setattr, target, "silent", False
                )
            case "restart":
                deployment.targets.restart(name)
                lost.discard(name)
                deployment.list(without=lost)
            case "late":
                deployment.targets.fates.extend(
                    ("late", rng.uniform(1, 12)) for _ in range(rng.randint(1, 4))
                )
            case "lost":
                deployment.targets.fates.extend(["lost"] * rng.randint(1, 3))
            case "store":
                deployment.store.write_fates.extend(
                    rng.choice(["lost", "refused", ("late", rng.uniform(0.1, 5))])
                    for _ in range(rng.randint(1, 4))
                )
            case "leader":
                leader = next(
                    (
                        host_name
                        for host_name, host in deployment.hosts.items()
                        if host.lease.epoch
                    ),
                    None,
                )
                if leader is not None:
                    await deployment.hosts.pop(leader).stop()
                    deployment.hosts[leader] = Host(deployment, leader)
                    await deployment.hosts[leader].start()
        await asyncio.sleep(rng.uniform(0.05, 3.0))
        deployment.check()
    deployment.list(without=lost)
    await asyncio.sleep(25)
    deployment.check()
    assert deployment.targets.unowned() == []


@pytest.mark.timeout(20)
async def test_a_leader_whose_lease_expired_does_not_keep_the_processor_busy(
    deployment,
):
    await deployment.start("a")
    lease = deployment.hosts["a"].lease
    # The store's response to a renewal can be awaited beyond the lease.
    deployment.store.write = lambda *_: asyncio.sleep(10, Unavailable("late"))
    before = deployment.targets.all["t1"].orders
    await asyncio.sleep(9)
    assert not lease.has_authority(1)
    assert deployment.targets.all["t1"].orders >= before


async def test_an_outdated_entry_does_not_release_the_keys_of_a_silent_target(
    deployment,
):
    deployment.targets.all["t2"].incarnation = 7
    await deployment.start("a")
    deployment.targets.all["t2"].silent = True
    outdated = replace(deployment.targets.all["t2"].entry(), incarnation=6)
    deployment.directory.update(outdated)
    assert await deployment.unowned_seconds(8) < MAX_UNOWNED_SECONDS
    deployment.check()


@pytest.mark.parametrize("seconds_until_listed", [0.3, 1.0, 2.0])
@pytest.mark.parametrize("is_draining", [False, True])
async def test_a_restarted_target_releases_the_keys_that_it_was_granted_since(
    deployment, seconds_until_listed, is_draining
):
    await deployment.start("a")
    restarted = deployment.targets.all["t2"]
    deployment.targets.restart("t2")
    # The new incarnation accepts grants before its entry is known.
    await asyncio.sleep(seconds_until_listed)
    deployment.directory.update(restarted.entry(is_draining))
    assert await deployment.unowned_seconds(8) < MAX_UNOWNED_SECONDS
    deployment.check()


@pytest.mark.parametrize("seconds_until_listed", [0.3, 1.0, 2.0])
@pytest.mark.parametrize("is_draining", [False, True])
async def test_a_target_releases_the_keys_granted_under_an_outdated_entry(
    deployment, seconds_until_listed, is_draining
):
    target = deployment.targets.all["t2"]
    target.incarnation = 7
    await deployment.start("a")
    deployment.directory.update(replace(target.entry(), incarnation=6))
    await asyncio.sleep(seconds_until_listed)
    deployment.directory.update(target.entry(is_draining))
    assert await deployment.unowned_seconds(8) < MAX_UNOWNED_SECONDS
    deployment.check()
