from __future__ import annotations

import asyncio

import pytest

from tests.fakes.memory_store import MemoryStore
from tests.keyspace.test_key_leader import MAX_UNOWNED_SECONDS, Deployment

pytestmark = pytest.mark.looptime

HOT_RATES = {key: 30.0 for key in range(0, 4096, 64)}
"""The load of neighbouring keys, which makes the leader move keys."""


LATER_RATES = {key: 30.0 for key in range(40_960, 45_056, 64)}
"""The load after the restore, which leaves the keys moved before it alone."""


@pytest.fixture
async def deployment():
    deployment = Deployment("t1", "t2", "t3", "t4")
    deployment.store.era = 1
    yield deployment
    for host in deployment.hosts.values():
        await host.stop()


async def report_load(deployment, seconds, rates):
    for _ in range(int(seconds / 0.4)):
        deployment.report(rates)
        await asyncio.sleep(0.4)


async def move_keys(deployment):
    """Let the leader move keys away from their owners."""
    before = [deployment.targets.owner(key) for key in HOT_RATES]
    await report_load(deployment, 3.0, HOT_RATES)
    after = [deployment.targets.owner(key) for key in HOT_RATES]
    assert before != after, "the load moved no key"


async def restore(deployment, copy, outage_seconds):
    deployment.store.down = True
    await asyncio.sleep(outage_seconds)
    deployment.store.restore(copy)
    deployment.store.down = False


async def start(deployment, *names):
    await deployment.start(*names)
    await asyncio.sleep(8)
    assert deployment.targets.unowned() == []


@pytest.mark.parametrize("outage_seconds", [0.0, 0.3, 1.0, 2.0, 3.0, 6.0])
async def test_a_restored_record_gives_no_key_a_second_owner(
    deployment, outage_seconds
):
    await start(deployment, "a", "b", "c")
    copy = deployment.store.copy()
    await move_keys(deployment)
    await restore(deployment, copy, outage_seconds)
    await report_load(deployment, 20, LATER_RATES)
    deployment.check()
    assert deployment.targets.unowned() == []


@pytest.mark.parametrize("outage_seconds", [0.0, 0.3, 1.0, 2.0])
async def test_a_restored_lease_of_a_starting_host_is_not_its_own(
    deployment, outage_seconds
):
    await start(deployment, "a")
    copy = deployment.store.copy()
    first = deployment.hosts.pop("a")
    await first.stop()
    await start(deployment, "b")
    await move_keys(deployment)
    await restore(deployment, copy, outage_seconds)
    # The lease in the copy names this host, and another one leads.
    await deployment.start("a")
    await report_load(deployment, 20, LATER_RATES)
    deployment.check()
    assert deployment.targets.unowned() == []


@pytest.mark.parametrize("outage_seconds", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("copied", ["before the first lease", "while it was free"])
async def test_a_restored_store_without_a_leader_gives_no_key_a_second_owner(
    deployment, copied, outage_seconds
):
    copy = deployment.store.copy()
    await start(deployment, "a", "b")
    if copied == "while it was free":
        leader = deployment.leading()
        resignation = asyncio.create_task(leader.lease.resign())
        await resignation
        copy = deployment.store.copy()
        await asyncio.sleep(8)
    await move_keys(deployment)
    await restore(deployment, copy, outage_seconds)
    await deployment.start("c")
    await report_load(deployment, 24, LATER_RATES)
    deployment.check()
    assert deployment.targets.unowned() == []


@pytest.mark.parametrize("outage_seconds", [0.3, 2.0, 4.0])
async def test_a_lost_leader_and_a_restored_record_give_no_key_a_second_owner(
    deployment, outage_seconds
):
    await start(deployment, "a", "b", "c")
    copy = deployment.store.copy()
    await move_keys(deployment)
    lost = next(
        name for name, host in deployment.hosts.items() if host is deployment.leading()
    )
    await deployment.hosts.pop(lost).stop()
    await restore(deployment, copy, outage_seconds)
    await report_load(deployment, 24, LATER_RATES)
    deployment.check()
    assert deployment.targets.unowned() == []


@pytest.mark.parametrize("gap_seconds", [0.1, 0.5, 1.5, 3.0])
async def test_two_restores_within_a_lease_give_no_key_a_second_owner(
    deployment, gap_seconds
):
    await start(deployment, "a", "b", "c")
    copy = deployment.store.copy()
    await move_keys(deployment)
    await restore(deployment, copy, 0.3)
    await asyncio.sleep(gap_seconds)
    await restore(deployment, copy, 0.3)
    await report_load(deployment, 24, LATER_RATES)
    deployment.check()
    assert deployment.targets.unowned() == []


async def test_a_restored_store_does_not_repeat_fencing_tokens(deployment):
    await start(deployment, "a", "b")
    copy = deployment.store.copy()
    await move_keys(deployment)
    highest = max(token for token, _ in deployment.targets.accepted.values())
    for host in deployment.hosts.values():
        await host.stop()
    deployment.hosts.clear()
    await restore(deployment, copy, 0.3)
    deployment.list(draining=["t1"])
    await deployment.start("d")
    await asyncio.sleep(20)
    lowest = min(token for token, _ in deployment.targets.accepted.values())
    assert lowest > highest
    deployment.check()


async def test_a_leader_whose_renewal_outlasts_its_lease_keeps_its_record(deployment):
    await start(deployment, "a")
    copy = deployment.store.copy()
    await move_keys(deployment)
    host = deployment.hosts["a"]
    epoch = host.lease.epoch
    restored_at = host.lease._authority_until - 0.05

    async def write_late(*arguments):
        await asyncio.sleep(0.3)
        return await MemoryStore.write(deployment.store, *arguments)

    await asyncio.sleep(restored_at - asyncio.get_running_loop().time())
    deployment.store.restore(copy)
    deployment.store.write = write_late
    await asyncio.sleep(1.0)
    del deployment.store.write
    assert await deployment.unowned_seconds(20) < MAX_UNOWNED_SECONDS
    assert host.lease.epoch == epoch
    deployment.check()


@pytest.mark.parametrize("outage_seconds", [0.0, 0.3, 1.0])
async def test_no_key_loses_its_owner_in_a_restore_that_the_lease_outlasts(
    deployment, outage_seconds
):
    await start(deployment, "a", "b", "c")
    copy = deployment.store.copy()
    await move_keys(deployment)
    await restore(deployment, copy, outage_seconds)
    assert await deployment.unowned_seconds(20) < 0.3
    deployment.check()
