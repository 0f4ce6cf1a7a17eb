"""Hosts that share the ends of targets."""

from __future__ import annotations

import asyncio
import random

import pytest
from prometheus_client import CollectorRegistry

from balsamway.outcome import Reason
from balsamway.quarantine.quarantine import Quarantine
from balsamway.quarantine.quarantine_metrics import QuarantineMetrics
from balsamway.quarantine.suspect_table import (
    CERTAIN_QUARANTINE_SECONDS,
    QUARANTINE_SECONDS,
)
from balsamway.quarantine.trials import TRIAL_SECONDS
from tests.fakes.faults import Faults
from tests.fakes.network import FakeNetwork

pytestmark = pytest.mark.looptime

RETRY_SECONDS = 0.01
"""A caller's retry takes longer, with its new connection."""


class Fleet:
    """Hosts without targets; `refusing` has the addresses that refuse."""

    def __init__(self, host_count, leader="h0"):
        self.network = FakeNetwork(Faults(), 0.001)
        self.refusing = set()
        self.leader = leader
        self.names = [f"h{index}" for index in range(host_count)]
        self.hosts = [
            Quarantine(
                name,
                self.network.peers(name),
                lambda: self.leader,
                lambda: self.names,
                self.is_refusing,
                QuarantineMetrics(CollectorRegistry()),
            )
            for name in self.names
        ]

    async def is_refusing(self, address):
        await asyncio.sleep(0.001)
        return address in self.refusing

    async def end(self, host, target, *requests):
        self.refusing.add(target.address)
        lost = [self.hosts[host].on_lost(request, target) for request in requests]
        await asyncio.gather(*lost)

    def refusing_hosts(self, request):
        return sum(host.refusal(request) is not None for host in self.hosts)


@pytest.mark.parametrize("host_count", [9, 12, 91, 195])
async def test_second_end_reaches_all_hosts_before_a_retry(
    host_count, request_to, target
):
    fleet = Fleet(host_count)
    await fleet.end(1, target("i-1"), request_to("/deadly"))
    await asyncio.sleep(RETRY_SECONDS)
    assert fleet.refusing_hosts(request_to("/deadly")) == 0
    await asyncio.sleep(1)
    messages = fleet.network.messages
    await fleet.end(2, target("i-2"), request_to("/deadly"))
    await asyncio.sleep(RETRY_SECONDS)
    assert fleet.refusing_hosts(request_to("/deadly")) == host_count
    assert fleet.refusing_hosts(request_to("/innocent")) == 0
    assert fleet.network.messages - messages == host_count - 1
    refusal = fleet.hosts[0].refusal(request_to("/deadly"))
    assert refusal.reason is Reason.QUARANTINED


async def test_lost_connection_of_a_live_target_is_no_end(request_to, target):
    fleet = Fleet(2)
    for name in ("i-1", "i-2", "i-3"):
        await fleet.hosts[1].on_lost(request_to("/a"), target(name))
        await asyncio.sleep(1)
    assert fleet.refusing_hosts(request_to("/a")) == 0
    assert fleet.network.messages == 0


async def test_answer_clears_the_suspicion_on_all_hosts(request_to, target):
    fleet = Fleet(9)
    for name in ("i-1", "i-2"):
        await fleet.end(1, target(name), request_to("/a"))
        await asyncio.sleep(1)
    assert fleet.refusing_hosts(request_to("/a")) == 9
    fleet.hosts[5].on_answered(request_to("/a"))
    await asyncio.sleep(RETRY_SECONDS)
    assert fleet.refusing_hosts(request_to("/a")) == 0


async def test_host_without_a_leader_counts_the_ends_that_it_notices(
    request_to, target
):
    fleet = Fleet(9, leader=None)
    for name in ("i-1", "i-2"):
        await fleet.end(1, target(name), request_to("/a"))
        await asyncio.sleep(1)
    assert fleet.refusing_hosts(request_to("/a")) == 1


# Guards against a suspect request that all hosts send at the same moment.
@pytest.mark.parametrize("host_count", [9, 91, 195])
async def test_a_quarantine_that_ends_lets_one_host_try_at_a_time(
    host_count, request_to, target
):
    fleet = Fleet(host_count)
    for name in ("i-1", "i-2"):
        await fleet.end(1, target(name), request_to("/deadly"))
        await asyncio.sleep(1)
    assert fleet.refusing_hosts(request_to("/deadly")) == host_count
    await asyncio.sleep(QUARANTINE_SECONDS)
    assert fleet.refusing_hosts(request_to("/deadly")) >= host_count - 1


async def test_requests_lost_at_one_end_are_reported_together(request_to, target):
    fleet = Fleet(9)
    requests = [request_to(f"/{index}") for index in range(20)]
    await fleet.end(1, target("i-1"), *requests)
    await asyncio.sleep(RETRY_SECONDS)
    assert fleet.network.messages == 8


async def end_quarantine(fleet, request_to, target):
    for name in ("i-1", "i-2"):
        await fleet.end(1, target(name), request_to("/deadly"))
        await asyncio.sleep(1)
    await asyncio.sleep(QUARANTINE_SECONDS)


async def admitting_hosts(fleet, request):
    refusals = await asyncio.gather(*(host.admit(request) for host in fleet.hosts))
    return refusals.count(None)


# Guards against a suspect request that several hosts send after they asked the
# leader at the same moment, and against one that no host may ever try.
@pytest.mark.parametrize("host_count", [9, 91, 195])
async def test_the_leader_lets_exactly_one_host_try_at_a_time(
    host_count, request_to, target
):
    fleet = Fleet(host_count)
    await end_quarantine(fleet, request_to, target)
    for _ in range(3):
        assert await admitting_hosts(fleet, request_to("/deadly")) == 1
        assert await admitting_hosts(fleet, request_to("/deadly")) == 0
        await asyncio.sleep(TRIAL_SECONDS)
    fleet.hosts[3].on_answered(request_to("/deadly"))
    await asyncio.sleep(RETRY_SECONDS)
    assert await admitting_hosts(fleet, request_to("/deadly")) == host_count


# Guards against hosts that all try once their leader is lost.
@pytest.mark.parametrize("host_count", [9, 91, 195])
async def test_few_hosts_try_while_the_leader_is_lost(host_count, request_to, target):
    fleet = Fleet(host_count)
    for index, host in enumerate(fleet.hosts):
        host._rng = random.Random(index)
    await end_quarantine(fleet, request_to, target)
    fleet.network.down.add("h0")
    fleet.hosts = fleet.hosts[1:]
    admitted = 0
    for _ in range(20):
        admitted += await admitting_hosts(fleet, request_to("/deadly"))
        await asyncio.sleep(0.05)
    assert admitted <= 3


# Guards against a request that ended three targets and that all hosts send at
# the same moment a minute later.
async def test_a_certain_quarantine_that_ends_lets_one_host_try(request_to, target):
    fleet = Fleet(9)
    for name in ("i-1", "i-2", "i-3"):
        await fleet.end(1, target(name), request_to("/deadly"))
        await asyncio.sleep(1)
    await asyncio.sleep(CERTAIN_QUARANTINE_SECONDS)
    assert await admitting_hosts(fleet, request_to("/deadly")) == 1


# Guards against a trial that the check on arrival takes, so that the request
# is refused when it is about to be sent.
@pytest.mark.parametrize("host", [0, 5])
@pytest.mark.parametrize("leader", ["h0", None])
async def test_a_request_on_probation_passes_both_checks(
    host, leader, request_to, target
):
    fleet = Fleet(9, leader="h0")
    await end_quarantine(fleet, request_to, target)
    fleet.leader = leader
    request = request_to("/deadly")
    assert fleet.hosts[host].early_refusal(request) is None
    refusal = await fleet.hosts[host].admit(request)
    assert (refusal is None) == (leader is not None)
