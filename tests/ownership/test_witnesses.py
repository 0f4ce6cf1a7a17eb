from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.authority import Authority
from balsamway.ownership.messages import (
    AdoptAnswer,
    AdoptRequest,
    LeaderQuery,
    PromiseAnswer,
    PromiseRequest,
)
from balsamway.ownership.witness_service import WitnessService
from balsamway.settings import Timing
from balsamway.slices import Witness
from tests.fakes.faults import Faults
from tests.fakes.network import FakeNetwork
from tests.fakes.world import SHARD

pytestmark = pytest.mark.looptime

TIMING = Timing()
PROMISE = TIMING.promise
PREVIOUS_PROMISE = PROMISE * (1 + TIMING.clock_rate_allowance)
"""How long a started witness waits for promises of its last incarnation."""
OLD = Witness("old", 1)
NEW = Witness("new", 2)


class Roster:
    """Witnesses, and the network end of a leader that sends them requests."""

    def __init__(self) -> None:
        self.network = FakeNetwork(Faults(), latency_seconds=0.0)
        self.peers = self.network.peers("asker")
        self.services: dict[str, WitnessService] = {}

    async def start(self, name: str, incarnation: int) -> Witness:
        witness = Witness(name, incarnation)
        service = WitnessService(witness, self.network.peers(name), TIMING)
        await service.start()
        self.services[name] = service
        return witness

    async def stop(self) -> None:
        for service in self.services.values():
            await service.stop()

    async def adopt(self, witness: Witness, leader: Witness, epoch: int) -> AdoptAnswer:
        request = AdoptRequest(SHARD, epoch, leader, witness)
        return await self.peers.call(witness.host, request, 1.0)

    async def promise(
        self, witness: Witness, leader: Witness, epoch: int, seconds: float = PROMISE
    ) -> PromiseAnswer:
        request = PromiseRequest(SHARD, epoch, leader, witness, seconds)
        return await self.peers.call(witness.host, request, 1.0)


@pytest.fixture
def roster():
    return Roster()


async def test_a_witness_promises_only_to_the_epoch_it_adopted(roster):
    a = await roster.start("a", 1)
    await asyncio.sleep(PREVIOUS_PROMISE)
    assert not (await roster.promise(a, OLD, 1)).given
    assert (await roster.adopt(a, OLD, 1)).adopted
    assert (await roster.promise(a, OLD, 1)).given
    assert not (await roster.promise(a, NEW, 1)).given
    assert not (await roster.promise(a, NEW, 2)).given
    assert not (await roster.promise(a, OLD, 1, 2 * PROMISE)).given
    await roster.stop()


async def test_a_witness_adopts_an_epoch_only_once_its_promise_has_expired(roster):
    a = await roster.start("a", 1)
    await asyncio.sleep(PREVIOUS_PROMISE)
    await roster.adopt(a, OLD, 1)
    await roster.promise(a, OLD, 1)
    answer = await roster.adopt(a, NEW, 2)
    assert not answer.adopted
    assert answer.wait_seconds == pytest.approx(PREVIOUS_PROMISE)
    await asyncio.sleep(answer.wait_seconds)
    assert (await roster.adopt(a, NEW, 2)).adopted
    assert not (await roster.adopt(a, OLD, 1)).adopted
    assert not (await roster.promise(a, OLD, 1)).given
    await roster.stop()


async def test_an_epoch_has_only_one_leader(roster):
    a = await roster.start("a", 1)
    await asyncio.sleep(PREVIOUS_PROMISE)
    assert (await roster.adopt(a, OLD, 1)).adopted
    assert not (await roster.adopt(a, NEW, 1)).adopted
    await roster.stop()


async def test_a_restarted_witness_adopts_nothing_before_its_old_promise_has_expired(
    roster,
):
    """A restarted witness must not help a new leader too early.

    It gives a promise, restarts, and is asked to adopt another epoch while
    that promise still counts for the old leader.
    """
    a = await roster.start("a", 1)
    await asyncio.sleep(PREVIOUS_PROMISE)
    await roster.adopt(a, OLD, 1)
    sent_at = asyncio.get_running_loop().time()
    assert (await roster.promise(a, OLD, 1)).given
    leader = Authority((a,))
    leader.extend(a, sent_at + PROMISE)
    await roster.services["a"].stop()
    restarted = await roster.start("a", 2)
    answer = await roster.adopt(restarted, NEW, 2)
    assert leader.is_valid
    assert not answer.adopted
    query = await roster.peers.call("a", LeaderQuery(SHARD), 1.0)
    assert query.promise_seconds > 0
    await asyncio.sleep(answer.wait_seconds)
    assert leader.has_ended
    assert (await roster.adopt(restarted, NEW, 2)).adopted
    await roster.stop()


async def test_a_witness_restarted_between_two_leaders_helps_only_one(roster):
    """Two leaders must not have authority at the same time.

    The old leader cannot reach the store; A, B and C extend its authority. D
    adopts the new epoch, restarts, and is asked for a promise by the old
    leader. C's promise expires, and the new leader asks C to adopt its epoch.
    """
    names = "abcde"
    witnesses = {name: await roster.start(name, 1) for name in names}
    await asyncio.sleep(PREVIOUS_PROMISE)
    old = Authority(tuple(witnesses.values()))
    for name in names:
        await roster.adopt(witnesses[name], OLD, 1)

    async def extend_old(*extenders: str) -> None:
        for name in extenders:
            sent_at = asyncio.get_running_loop().time()
            answer = await roster.promise(witnesses[name], OLD, 1)
            if answer.given:
                old.extend(witnesses[name], sent_at + PROMISE)

    await extend_old("a", "b", "c")
    assert old.is_valid
    adopted = [(await roster.adopt(witnesses[name], NEW, 2)).adopted for name in "de"]
    assert adopted == [True, True]
    await roster.services["d"].stop()
    await roster.start("d", 2)
    await asyncio.sleep(PROMISE / 2)
    await extend_old("a", "b", "d")
    assert old.promise_expires_at(witnesses["d"]) == 0
    await asyncio.sleep(PROMISE)
    # Only A and B still extend the old leader's authority. It ends before C
    # can adopt the new epoch as the third witness after D and E.
    assert (await roster.adopt(witnesses["c"], NEW, 2)).adopted
    assert old.has_ended
    await extend_old("a", "b")
    assert not old.is_valid
    await roster.stop()


async def test_authority_that_has_expired_is_not_extended():
    roster = tuple(Witness(name, 1) for name in "abc")
    authority = Authority(roster)
    assert not authority.is_valid
    authority.extend(roster[0], 5.0)
    assert not authority.is_valid
    authority.extend(roster[1], 4.0)
    assert authority.is_valid
    await asyncio.sleep(4.0)
    authority.extend(roster[2], 9.0)
    assert not authority.is_valid
    assert authority.has_ended


async def test_authority_needs_a_majority_of_each_roster_that_may_be_stored():
    old = tuple(Witness(name, 1) for name in "abc")
    new = (old[0], Witness("d", 1), Witness("e", 1))
    authority = Authority(old)
    authority.extend(old[0], 9.0)
    authority.extend(old[1], 9.0)
    authority.extend(new[1], 3.0)
    assert authority.is_valid
    authority.set_rosters({old, new})
    assert authority.is_valid
    assert authority.valid_until == 3.0
    await asyncio.sleep(3.0)
    assert authority.has_ended
