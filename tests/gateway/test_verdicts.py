"""The verdict that a caller gets on each failure, and how often it ran.

A lost, truncated or swapped response leaves it unknown whether the target ran
the request. A retry could run it twice, and "not run" could be false.
"""

from __future__ import annotations

import asyncio

import pytest

from balsamway.store import Host, HostRole
from tests.fakes import gateway_target as fake

pytestmark = pytest.mark.looptime

ORDER = "/v1/prices/order"
LOOKUP = "/v1/prices/lookup"


@pytest.mark.parametrize(
    ("behaviour", "reason"),
    [
        (fake.run_and_lose, "connection-lost"),
        (fake.run_and_cut, "answer-truncated"),
        (fake.run_and_swap, "answer-mismatched"),
        (fake.run_without_verdict, "target-error"),
        (fake.refuse("no-such-reason"), "target-error"),
    ],
)
async def test_a_request_that_may_have_run_is_not_retried(path, behaviour, reason):
    target = await path.add_target()
    target.behaviours.append(behaviour)
    response = await path.post(ORDER, Balsamway_Request_Id="r1")
    assert (response.status, response.verdict, response.reason) == (
        502,
        "may-have-run",
        reason,
    )
    assert target.received == ["r1"]


@pytest.mark.parametrize(
    "behaviour",
    [
        fake.run_and_lose,
        fake.run_and_cut,
        fake.run_and_swap,
        fake.run_without_verdict,
    ],
)
async def test_an_idempotent_request_is_retried(path, behaviour):
    target = await path.add_target()
    target.behaviours.append(behaviour)
    response = await path.post(LOOKUP, b"x", Balsamway_Request_Id="r1")
    assert (response.verdict, response.body) == ("completed", b"ran x")
    assert target.received == ["r1", "r1"]


@pytest.mark.parametrize("reason", ["target-shed", "target-draining", "wrong-epoch"])
async def test_a_refusal_as_not_run_is_followed_by_a_second_attempt(path, reason):
    target = await path.add_target()
    target.behaviours.append(fake.refuse(reason))
    response = await path.post(ORDER, Balsamway_Request_Id="r1")
    assert response.verdict == "completed"
    assert target.ran == ["r1"]


async def test_a_target_that_cannot_be_reached_did_not_run_the_request(path):
    path.directory.hosts = (
        Host("s1", HostRole.TARGET, "a", "127.0.0.1:1", "lids", "prices"),
    )
    response = await path.post(ORDER)
    assert (response.status, response.verdict, response.reason) == (
        503,
        "not-run",
        "connect-failed",
    )


async def test_a_late_answer_is_not_delivered(path):
    target = await path.add_target()
    target.behaviours.append(fake.run_for(5.0))
    response = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (response.status, response.verdict, response.reason) == (
        504,
        "may-have-run",
        "deadline-exceeded",
    )
    assert len(target.cancelled) == 1
    following = await path.post(ORDER, b"next")
    assert following.body == b"ran next"


async def test_a_cancellation_that_came_before_the_run_makes_it_not_run(path):
    target = await path.add_target(cancel_outcome="not-run")
    target.behaviours.append(fake.run_for(5.0))
    response = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (response.status, response.verdict) == (504, "not-run")
    assert target.ran == []


async def test_a_cancellation_of_an_earlier_attempt_proves_nothing(path):
    target = await path.add_target(
        cancel_outcome="not-run", cancelled_attempt="an-earlier-one"
    )
    target.behaviours.append(fake.refuse("target-shed"))
    target.behaviours.append(fake.run_for(5.0))
    response = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (response.status, response.verdict) == (504, "may-have-run")
    first, second = (seen["Balsamway-Attempt"] for seen in target.seen)
    assert first != second


async def test_the_target_receives_the_remaining_time(path):
    target = await path.add_target()
    await path.post(ORDER, Balsamway_Timeout_Ms="200")
    await path.post(ORDER, Balsamway_Timeout_Ms="60000")
    first, second = (int(seen["Balsamway-Timeout-Ms"]) for seen in target.seen)
    assert 0 < first <= 200
    assert 200 < second <= 1000


async def test_a_caller_that_leaves_cancels_the_request_at_the_target(path):
    target = await path.add_target()
    target.behaviours.append(fake.run_for(0.9))
    task = asyncio.create_task(path.post(ORDER, Balsamway_Request_Id="r1"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.sleep(0.1)
    assert target.cancelled == ["r1"]
    assert path.listener.in_progress == 0
    await asyncio.sleep(2.0)
    assert target.ran == []


async def test_a_connection_that_the_target_closed_is_not_used_again(path):
    target = await path.add_target()
    target.behaviours.append(fake.run_and_close)
    assert (await path.post(ORDER)).verdict == "completed"
    await asyncio.sleep(0.1)
    assert (await path.post(ORDER)).verdict == "completed"
    assert len(target.ran) == 2


async def test_a_request_on_a_lost_idle_connection_may_have_run(path):
    target = await path.add_target()
    assert (await path.post(ORDER)).verdict == "completed"
    target.behaviours.append(fake.run_and_lose)
    response = await path.post(ORDER, Balsamway_Request_Id="r2")
    assert (response.verdict, response.reason) == ("may-have-run", "connection-lost")
    assert target.received.count("r2") == 1


async def test_a_redirect_is_an_answer_like_any_other(path):
    target = await path.add_target()

    async def redirect(target, request):
        response = await fake.run(target, request)
        response.set_status(307)
        response.headers["Location"] = f"http://{target.address}/elsewhere"
        return response

    target.behaviours.append(redirect)
    response = await path.caller.post(
        f"http://{path.listener.address}{ORDER}",
        headers={"Authorization": "Bearer lids-token"},
        allow_redirects=False,
    )
    assert response.status == 307
    assert len(target.received) == 1
