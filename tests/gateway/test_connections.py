"""Limits on connections to targets, warm connections and the retry budget.

A target refuses connections beyond its limit, so all gateways together must
stay within it, also while gateways join and leave.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.configuration import Zone
from balsamway.gateway.connection_budget import MIN_SUBSET_AGE_SECONDS, ConnectionBudget
from balsamway.gateway.connection_warmer import ConnectionWarmer
from balsamway.gateway.retry_budget import MAX_TOKENS, RetryBudget
from balsamway.gateway.subset import equal_share, is_in_subset
from balsamway.store import Host, HostRole
from tests.fakes import gateway_target as fake
from tests.fakes.gateway_configurations import LIDS, PRICES, GatewayConfigurations
from tests.fakes.gateway_directory import GatewayDirectory
from tests.fakes.gateway_path import GatewayPath

services = st.builds(
    lambda connections, at_most, exclusive, shards: replace(
        PRICES,
        connections=connections,
        gateways_at_most=at_most,
        exclusive_keys=exclusive,
        shards=shards,
    ),
    st.integers(0, 130),
    st.integers(1, 60),
    st.booleans(),
    st.integers(1, 4),
)


@given(services, st.integers(0, 60))
def test_a_target_never_gets_more_connections_than_it_accepts(service, count):
    gateways = [f"g{number}" for number in range(min(count, service.gateways_at_most))]
    share = equal_share(service)
    total = share * len(gateways)
    if not share:
        total = sum(is_in_subset(service, "s1", name, gateways) for name in gateways)
    assert total <= service.connections


@pytest.mark.looptime
async def test_a_gateway_new_in_a_subset_waits_before_it_connects():
    service = replace(PRICES, connections=3, gateways_at_most=16)
    configurations = GatewayConfigurations(replace(LIDS, services=(service,)))
    directory = GatewayDirectory()
    host = fake.GatewayTarget(address="127.0.0.1:1").host
    budget = ConnectionBudget("g1", directory, configurations)
    assert budget.limit(host) == 0
    await asyncio.sleep(MIN_SUBSET_AGE_SECONDS)
    assert budget.limit(host) == 1
    directory.gateways = tuple(f"g{number}" for number in range(200))
    assert budget.limit(host) == 0


@pytest.mark.looptime
async def test_connections_stay_within_the_share_and_are_used_again():
    service = replace(PRICES, connections=50)
    configurations = GatewayConfigurations(replace(LIDS, services=(service,)))
    path = await GatewayPath(configurations=configurations).start()
    target = await path.add_target(otherwise=fake.run_for(0.01))
    for _ in range(3):
        responses = await asyncio.gather(
            *(path.post("/v1/prices/order") for _ in range(20))
        )
        assert {response.verdict for response in responses} == {"completed"}
    assert 1 <= len(target.connections) <= equal_share(service) == 3
    opened = path.registry.get_sample_value("balsamway_connections_opened_total")
    assert opened == len(target.connections)
    await path.stop()


@pytest.mark.looptime
async def test_the_first_request_finds_a_warm_connection(path):
    target = await path.add_target()
    warmer = ConnectionWarmer(
        path.directory, path.configurations, path.transport, path.budget
    )
    async with warmer:
        await asyncio.sleep(0.5)
        assert len(target.connections) == 1
        response = await path.post("/v1/prices/order")
        await asyncio.sleep(50.0)
    assert response.verdict == "completed"
    opened = path.registry.get_sample_value("balsamway_connections_opened_total")
    assert opened == len(target.connections) == 1


@pytest.mark.looptime
async def test_retries_are_a_tenth_of_the_requests_and_a_little_more():
    budget = RetryBudget()
    while budget.try_spend():
        pass
    for _ in range(100):
        budget.on_request()
    assert sum(budget.try_spend() for _ in range(100)) in (9, 10)
    await asyncio.sleep(2.0)
    assert sum(budget.try_spend() for _ in range(100)) == 2
    await asyncio.sleep(1000.0)
    assert budget.try_spend()
    assert budget.tokens <= MAX_TOKENS


def test_a_gateway_outside_the_zones_of_a_workspace_has_no_share():
    directory = GatewayDirectory()
    directory.gateways = ("g1",)
    local = ConnectionBudget("g1", directory, GatewayConfigurations(LIDS))
    zones = (Zone("elsewhere", "r", 3),)
    elsewhere = GatewayConfigurations(replace(LIDS, zones=zones))
    other = ConnectionBudget("g1", directory, elsewhere)
    target = Host("s1", HostRole.TARGET, "a", "127.0.0.1:1", "lids", "prices")
    assert local.limit(target) == equal_share(PRICES)
    assert other.limit(target) == 0
