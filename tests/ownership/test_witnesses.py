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
from tests.fakes.fake_deployment import SHARD
from tests.fakes.faults import Faults
from tests.fakes.network import FakeNetwork

pytestmark = pytest.mark.looptime

TIMING = Timing()
PROMISE = TIMING.promise
FORGOTTEN = PROMISE * (1 + TIMING.clock_rate_allowance)
OLD = Witness("old", 1)
NEW = Witness("new", 2)


class Roster:
    """Five witnesses, and a leader's end of the network to ask them."""

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
    await asyncio.sleep(FORGOTTEN)
    assert not (await roster.promise(a, OLD, 1)).given
    assert (await roster.adopt(a, OLD, 1)).adopted
    assert (await roster.promise(a, OLD, 1)).given
    assert not (await roster.promise(a, NEW, 1)).given
    assert not (await roster.promise(a, NEW, 2)).given
    assert not (await roster.promise(a, OLD, 1, 2 * PROMISE)).given
    await roster.stop()


async def test_a_witness_adopts_only_once_its_promise_has_run_out(roster):
    a = await roster.start("a", 1)
    await asyncio.sleep(FORGOTTEN)
    await roster.adopt(a, OLD, 1)
    await roster.promise(a, OLD, 1)
    answer = await roster.adopt(a, NEW, 2)
    assert not answer.adopted
    assert answer.wait_seconds == pytest.approx(FORGOTTEN)
    await asyncio.sleep(answer.wait_seconds)
    assert (await roster.adopt(a, NEW, 2)).adopted
    assert not (await roster.adopt(a, OLD, 1)).adopted
    assert not (await roster.promise(a, OLD, 1)).given
    await roster.stop()


async def test_one_epoch_has_one_leader(roster):
    a = await roster.start("a", 1)
    await asyncio.sleep(FORGOTTEN)
    assert (await roster.adopt(a, OLD, 1)).adopted
    assert not (await roster.adopt(a, NEW, 1)).adopted
    await roster.stop()


async def test_a_restarted_witness_adopts_nothing_before_a_promise_has_passed(roster):
    """It promises, restarts, and is asked to adopt while that still counts."""
    a = await roster.start("a", 1)
    await asyncio.sleep(FORGOTTEN)
    await roster.adopt(a, OLD, 1)
    sent_at = asyncio.get_running_loop().time()
    assert (await roster.promise(a, OLD, 1)).given
    leader = Authority((a,))
    leader.extend(a, sent_at + PROMISE)
    await roster.services["a"].stop()
    again = await roster.start("a", 2)
    answer = await roster.adopt(again, NEW, 2)
    assert leader.holds
    assert not answer.adopted
    query = await roster.peers.call("a", LeaderQuery(SHARD), 1.0)
    assert query.promise_seconds > 0
    await asyncio.sleep(answer.wait_seconds)
    assert leader.ended
    assert (await roster.adopt(again, NEW, 2)).adopted
    await roster.stop()


async def test_a_witness_restarted_between_two_leaders_helps_only_one(roster):
    """The old leader is cut from the store and extended by A, B and C; D
    adopts the new epoch, restarts, and is asked by the old leader; C's
    promise runs out, and C is asked by the new one.
    """
    names = "abcde"
    witnesses = {name: await roster.start(name, 1) for name in names}
    await asyncio.sleep(FORGOTTEN)
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
    assert old.holds
    adopted = [(await roster.adopt(witnesses[name], NEW, 2)).adopted for name in "de"]
    assert adopted == [True, True]
    await roster.services["d"].stop()
    await roster.start("d", 2)
    await asyncio.sleep(PROMISE / 2)
    await extend_old("a", "b", "d")
    assert old.promise_end(witnesses["d"]) == 0
    await asyncio.sleep(PROMISE)
    # The old leader has A and B only, so its authority is over before C, as
    # the third after D and E, can adopt the new epoch.
    assert (await roster.adopt(witnesses["c"], NEW, 2)).adopted
    assert old.ended
    await extend_old("a", "b")
    assert not old.holds
    await roster.stop()


async def test_authority_is_extended_without_a_gap_or_not_at_all():
    roster = tuple(Witness(name, 1) for name in "abc")
    authority = Authority(roster)
    assert not authority.holds
    authority.extend(roster[0], 5.0)
    assert not authority.holds
    authority.extend(roster[1], 4.0)
    assert authority.holds
    await asyncio.sleep(4.0)
    authority.extend(roster[2], 9.0)
    assert not authority.holds
    assert authority.ended


async def test_authority_needs_a_majority_of_every_roster_that_may_be_stored():
    old = tuple(Witness(name, 1) for name in "abc")
    new = (old[0], Witness("d", 1), Witness("e", 1))
    authority = Authority(old)
    authority.extend(old[0], 9.0)
    authority.extend(old[1], 9.0)
    authority.extend(new[1], 3.0)
    assert authority.holds
    authority.require({old, new})
    assert authority.holds
    assert authority.until == 3.0
    await asyncio.sleep(3.0)
    assert authority.ended
