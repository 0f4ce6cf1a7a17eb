"""Plays hosts in front of targets that are cold.

A cold target gets, in any second from when its entry was written, at most its
rate times `EXCESS` and `SLACK` more, from all hosts together.
"""

from __future__ import annotations

import asyncio
import math

import pytest

from balsamway.limits.cold_target import SETTLE_SECONDS
from balsamway.outcome import NotRun

pytestmark = pytest.mark.looptime

RATE = 6.9
EXCESS = 1.5
SLACK = 8.0
COLD_SECONDS = 3.0
HOSTS = 71
PER_SECOND = 24.0
"""Two targets get 12 a second each while they are warm, as in the deployment
of 71 hosts."""
MIN_USED_FRACTION = 0.8
LEARN_SECONDS = 1.0


def now():
    return asyncio.get_running_loop().time()


def allowed():
    return math.floor(EXCESS * RATE + SLACK)


def most_while_cold(target, began_at, cold_seconds=COLD_SECONDS):
    """Return the most arrivals in any second within the cold time."""
    arrivals = [at for at in target.arrivals if began_at <= at]
    arrivals = [at for at in arrivals if at < began_at + cold_seconds]
    return max(
        (sum(at <= other < at + 1.0 for other in arrivals) for at in arrivals),
        default=0,
    )


async def play(fleet, faults, per_second=PER_SECOND, cold_seconds=COLD_SECONDS):
    """Let a target turn cold under load, while faults happen.

    Args:
        faults: For each fault, how many seconds after the entry it happens,
            and the function that causes it.
    """
    await fleet.send_requests(3.0, per_second)
    began_at = now() + 1.0

    async def cause(seconds, fault):
        await asyncio.sleep(began_at + seconds - now())
        fault()

    async def turn_cold():
        await asyncio.sleep(began_at - now())
        await fleet.turn_cold("i-0", cold_seconds, LEARN_SECONDS)

    tasks = [asyncio.create_task(cause(*fault)) for fault in faults]
    tasks.append(asyncio.create_task(turn_cold()))
    await fleet.send_requests(1.0 + cold_seconds, per_second)
    await asyncio.gather(*tasks)
    return began_at


def split(fleet):
    names = sorted(fleet.hosts)
    fleet.network.partition(set(names[::2]), set(names[1::2]))


@pytest.mark.parametrize("is_keyed", [True, False])
@pytest.mark.parametrize("per_second", [PER_SECOND, 4 * PER_SECOND])
@pytest.mark.parametrize("seed", range(4))
async def test_hosts_that_learn_at_different_times_keep_the_rate_of_a_cold_target(
    start_fleet, seed, per_second, is_keyed
):
    fleet = await start_fleet(HOSTS, is_keyed=is_keyed, seed=seed, cold_per_second=RATE)
    began_at = await play(fleet, [], per_second)
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


@pytest.mark.parametrize("successor_seconds", [None, 0.0, 0.7, 2.0])
@pytest.mark.parametrize("lost_at", [-0.9, -0.1, 0.2, 0.6, 1.1, 1.9, 2.6])
async def test_the_rate_holds_while_the_leader_is_lost_at_any_moment(
    start_fleet, lost_at, successor_seconds
):
    fleet = await start_fleet(HOSTS, seed=3, cold_per_second=RATE)
    faults = [(lost_at, lambda: fleet.network.down.add("h0"))]
    if successor_seconds is not None:
        faults.append((lost_at + successor_seconds, lambda: fleet.lead("h1")))
    began_at = await play(fleet, faults)
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


@pytest.mark.parametrize("lost_at", [0.9, 1.4, 2.1])
async def test_a_leader_that_comes_back_hands_out_no_second_burst(start_fleet, lost_at):
    fleet = await start_fleet(HOSTS, seed=4, cold_per_second=RATE)
    faults = [
        (lost_at + 0.2 * turn, lambda turn=turn: fleet.lead(f"h{turn % 2}"))
        for turn in range(5)
    ]
    began_at = await play(fleet, faults)
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("split_at", [-0.9, -0.1, 0.3, 0.9, 1.5, 2.4])
async def test_two_halves_that_are_cut_off_keep_the_rate_together(
    start_fleet, split_at, seed
):
    fleet = await start_fleet(HOSTS, seed=seed, cold_per_second=RATE)
    began_at = await play(fleet, [(split_at, lambda: split(fleet))])
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


@pytest.mark.parametrize("split_at, lost_at", [(-0.5, 0.4), (0.5, 1.2), (1.5, 1.5)])
async def test_two_halves_keep_the_rate_though_their_leader_is_lost(
    start_fleet, split_at, lost_at
):
    fleet = await start_fleet(HOSTS, seed=5, cold_per_second=RATE)
    successor = sorted(fleet.hosts)[3]
    faults = [
        (split_at, lambda: split(fleet)),
        (lost_at, lambda: fleet.network.down.add("h0")),
        (lost_at + 0.5, lambda: fleet.lead(successor)),
    ]
    began_at = await play(fleet, faults)
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


async def test_a_target_that_restarts_cold_at_its_address_gets_its_rate(start_fleet):
    fleet = await start_fleet(HOSTS, is_keyed=False, seed=6, cold_per_second=RATE)
    await fleet.send_requests(3.0, PER_SECOND)
    began_at = now()
    restart = asyncio.create_task(
        fleet.turn_cold("i-0", COLD_SECONDS, LEARN_SECONDS, incarnation=2)
    )
    await fleet.send_requests(COLD_SECONDS, PER_SECOND)
    await restart
    assert most_while_cold(fleet.targets["i-0"], began_at) <= allowed()


async def test_a_target_that_turns_cold_again_with_an_equal_entry_keeps_its_rate(
    start_fleet,
):
    fleet = await start_fleet(HOSTS, seed=7, cold_per_second=RATE)
    await fleet.send_requests(2.0, PER_SECOND)
    began_at = now()
    for _ in range(2):
        await fleet.turn_cold("i-0", COLD_SECONDS, LEARN_SECONDS)
        await fleet.send_requests(COLD_SECONDS - 1.5, PER_SECOND)
    await fleet.send_requests(1.0, PER_SECOND)
    assert most_while_cold(fleet.targets["i-0"], began_at, 5.4) <= allowed()


@pytest.mark.parametrize("is_keyed", [True, False])
async def test_the_tokens_of_a_cold_target_are_used(start_fleet, is_keyed):
    fleet = await start_fleet(HOSTS, is_keyed=is_keyed, seed=8, cold_per_second=RATE)
    began_at = await play(fleet, [], 2 * PER_SECOND, cold_seconds=6.0)
    used = fleet.targets["i-0"].arrivals_between(
        began_at + SETTLE_SECONDS + 0.1, began_at + 6.0
    )
    assert used >= MIN_USED_FRACTION * RATE * (6.0 - SETTLE_SECONDS - 0.1)


async def test_requests_for_a_cold_owner_beyond_its_rate_are_refused_at_once(
    start_fleet,
):
    fleet = await start_fleet(HOSTS, seed=9, cold_per_second=RATE)
    began_at = await play(fleet, [])
    await asyncio.sleep(1.0)
    refusals = [
        (ended_at - arrived_at, verdict)
        for arrived_at, ended_at, _, _, verdict in fleet.verdicts
        if arrived_at > began_at and isinstance(verdict, NotRun)
    ]
    assert refusals
    for seconds, verdict in refusals:
        assert seconds < 0.05
        assert 0.0 < verdict.retry_after_seconds <= 3.0


async def test_the_leader_places_keys_by_the_rate_of_a_cold_target(start_fleet):
    fleet = await start_fleet(9, cold_per_second=RATE)
    await fleet.send_requests(2.0, PER_SECOND)
    await fleet.turn_cold("i-0", COLD_SECONDS)
    await fleet.send_requests(1.0, PER_SECOND)
    assert fleet.hosts["h0"].aggregator.limits == {"i-0": RATE}


async def test_a_target_without_a_rate_gets_requests_as_before(start_fleet):
    fleet = await start_fleet(9)
    await fleet.send_requests(2.0, PER_SECOND)
    await fleet.turn_cold("i-0", COLD_SECONDS)
    await fleet.send_requests(2.0, PER_SECOND)
    assert not any(isinstance(verdict, NotRun) for *_, verdict in fleet.verdicts)
    assert not fleet.hosts["h0"].aggregator.limits


async def test_an_old_entry_that_a_host_reads_at_its_start_limits_no_other_host(
    start_fleet,
):
    fleet = await start_fleet(9, cold_per_second=RATE)
    await fleet.send_requests(2.0, PER_SECOND)
    await fleet.turn_cold("i-0", COLD_SECONDS)
    fleet.entries = [
        entry for host in [fleet.hosts["h1"]] for entry in host.directory.entries
    ]
    await asyncio.sleep(COLD_SECONDS + 1.0)
    late = fleet.add_host("h99")
    await late.start()
    await fleet.send_requests(2.0, PER_SECOND)
    assert late.targets.find("i-0", 1).cold.limit == RATE
    assert fleet.hosts["h0"].targets.find("i-0", 1).cold.limit is None
    served_at = now() - 1.0
    assert not any(
        isinstance(verdict, NotRun)
        for arrived_at, *_, verdict in fleet.verdicts
        if arrived_at > served_at
    )
