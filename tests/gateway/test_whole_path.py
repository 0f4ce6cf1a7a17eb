"""A request passes through the whole gateway to its target and back."""

from __future__ import annotations

import asyncio

import pytest

from tests.fakes import gateway_target as fake

pytestmark = pytest.mark.looptime


async def test_a_request_without_an_owner_is_answered(path):
    target = await path.add_target()
    response = await path.post(body=b"lid 7", Balsamway_Request_Id="r1")
    assert response.status == 200
    assert response.body == b"ran lid 7"
    assert response.verdict == "completed"
    assert response.headers["Balsamway-Request-Id"] == "r1"
    assert target.ran == ["r1"]


async def test_a_request_with_a_key_goes_to_its_owner_with_the_token(path):
    await path.add_target(name="s1")
    owner = await path.add_target(name="s2", service="stock")
    path.routes.owner = "s2"
    response = await path.post("/v1/stock/order", Balsamway_Key="lid-7")
    assert response.verdict == "completed"
    seen = owner.seen[0]
    assert seen["Balsamway-Epoch"] == "7"
    assert seen["Balsamway-Key"] == "lid-7"
    assert seen["Balsamway-Shard"].startswith("lids/stock/")
    assert path.routes.in_flight == 0
    assert len(path.recorder.records) == 1


async def test_the_gauges_show_attempts_in_flight_and_waiting_requests(path):
    await path.add_target(otherwise=fake.run_for(0.3))
    requests = [asyncio.create_task(path.post("/v1/prices/order")) for _ in range(9)]
    await asyncio.sleep(0.1)
    in_flight = path.registry.get_sample_value("balsamway_in_flight")
    waiting = path.registry.get_sample_value("balsamway_waiting")
    assert in_flight >= 1
    assert in_flight + waiting == 9
    await asyncio.gather(*requests)
    assert path.registry.get_sample_value("balsamway_in_flight") == 0


async def test_load_reported_by_targets_does_not_affect_the_choice(path):
    reports = {"idle": 0.0, "full": 1.0, "half": 0.5}
    for name, load in reports.items():
        health = {"state": "ready", "load": load, "in_flight": int(load * 100)}
        await path.add_target(name=name, health=health)
    for _ in range(20):
        await asyncio.gather(*(path.post("/v1/prices/order") for _ in range(6)))
    ran = [len(target.ran) for target in path.targets]
    assert sum(ran) == 120
    assert min(ran) > 120 / 3 / 2
