"""Requests with exclusive keys go to the owner of the key and nowhere else.

A stale route or an expired view would let two targets run requests of the same
key at the same time.
"""

from __future__ import annotations

import asyncio

import pytest

from balsamway.outcome import Reason
from balsamway.ownership.route import NoRoute
from tests.fakes import gateway_target as fake

pytestmark = pytest.mark.looptime

ORDER = "/v1/stock/order"
LOOKUP = "/v1/stock/lookup"


@pytest.fixture
async def owners(path):
    first = await path.add_target(name="s1", service="stock")
    second = await path.add_target(name="s2", service="stock")
    return first, second


@pytest.mark.parametrize("reason", ["wrong-epoch", "grant-lapsed", "target-draining"])
async def test_a_refused_route_is_looked_up_again(path, owners, reason):
    first, second = owners
    first.behaviours.append(fake.refuse(reason))
    path.routes.next_owner = "s2"
    response = await path.post(ORDER, Balsamway_Key="k", Balsamway_Request_Id="r1")
    assert response.verdict == "completed"
    assert (first.ran, second.ran) == ([], ["r1"])
    assert len(path.routes.refusals) == 1


@pytest.mark.parametrize("reason", [Reason.MOVING, Reason.NO_OWNER])
async def test_a_key_without_an_owner_is_refused_as_not_run(path, owners, reason):
    path.routes.no_route = NoRoute(reason)
    response = await path.post(ORDER, Balsamway_Key="k")
    assert (response.status, response.verdict, response.reason) == (
        503,
        "not-run",
        reason,
    )


async def test_nothing_is_sent_under_an_expired_view(path, owners):
    path.routes.valid = False
    response = await path.post(ORDER, Balsamway_Key="k", Balsamway_Timeout_Ms="300")
    assert (response.verdict, response.reason) == ("not-run", "view-lapsed")
    assert owners[0].received == []
    assert path.routes.in_flight == 0


async def test_an_owner_that_enforces_no_epochs_gets_no_time_beyond_the_view(
    path, owners
):
    path.routes.enforces_epochs = False
    path.routes.view_seconds = 0.4
    await path.post(ORDER, Balsamway_Key="k")
    assert int(owners[0].seen[0]["Balsamway-Timeout-Ms"]) <= 400


async def test_an_owner_that_enforces_epochs_gets_the_whole_time(path, owners):
    path.routes.view_seconds = 0.4
    await path.post(ORDER, Balsamway_Key="k")
    assert int(owners[0].seen[0]["Balsamway-Timeout-Ms"]) > 400


async def test_an_uncertain_attempt_is_in_flight_until_its_deadline(path, owners):
    owners[0].behaviours.append(fake.run_and_lose)
    response = await path.post(ORDER, Balsamway_Key="k", Balsamway_Timeout_Ms="500")
    assert response.verdict == "may-have-run"
    assert path.routes.in_flight == 1
    await asyncio.sleep(0.5)
    assert path.routes.in_flight == 0


async def test_a_request_that_waits_for_a_stuck_owner_follows_the_key(path, owners):
    first, second = owners
    first.otherwise = fake.run_for(5.0)
    waiting = [
        asyncio.create_task(path.post(LOOKUP, Balsamway_Key="k")) for _ in range(8)
    ]
    await asyncio.sleep(0.1)
    path.routes.owner = "s2"
    responses = await asyncio.gather(*waiting)
    followed = [response for response in responses if response.verdict == "completed"]
    assert len(followed) == len(second.ran) >= 6


async def test_a_late_lookup_is_hedged_at_the_next_owner(path, owners):
    first, second = owners
    for _ in range(60):
        await path.post(LOOKUP, Balsamway_Key="k")
    await asyncio.sleep(1.0)
    await path.post(LOOKUP, Balsamway_Key="k")
    first.otherwise = fake.run_for(5.0)
    late = asyncio.create_task(
        path.post(LOOKUP, Balsamway_Key="k", Balsamway_Request_Id="late")
    )
    await asyncio.sleep(0.2)
    assert second.received == []
    path.routes.owner = "s2"
    assert (await late).verdict == "completed"
    assert second.ran == ["late"]


async def test_an_owner_that_is_not_listed_yet_is_waited_for(path, owners):
    path.routes.owner = "s3"
    response = asyncio.create_task(path.post(ORDER, Balsamway_Key="k"))
    await asyncio.sleep(0.2)
    assert not response.done()
    await path.add_target(name="s3", service="stock")
    assert (await response).verdict == "completed"


async def test_an_owner_that_is_never_listed_is_refused_by_the_deadline(path, owners):
    path.routes.owner = "s3"
    response = await path.post(ORDER, Balsamway_Key="k", Balsamway_Timeout_Ms="300")
    assert (response.verdict, response.reason) == ("not-run", "no-owner")
