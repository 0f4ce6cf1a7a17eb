"""What a caller is told of each failure, and how often the request ran."""

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
async def test_what_may_have_run_is_not_repeated(path, behaviour, reason):
    target = await path.add_target()
    target.behaviours.append(behaviour)
    answer = await path.post(ORDER, Balsamway_Request_Id="r1")
    assert (answer.status, answer.verdict, answer.reason) == (
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
async def test_an_idempotent_request_is_tried_again(path, behaviour):
    target = await path.add_target()
    target.behaviours.append(behaviour)
    answer = await path.post(LOOKUP, b"x", Balsamway_Request_Id="r1")
    assert (answer.verdict, answer.body) == ("completed", b"ran x")
    assert target.received == ["r1", "r1"]


@pytest.mark.parametrize("reason", ["target-shed", "target-draining", "wrong-epoch"])
async def test_a_refusal_as_not_run_is_followed_by_a_second_attempt(path, reason):
    target = await path.add_target()
    target.behaviours.append(fake.refuse(reason))
    answer = await path.post(ORDER, Balsamway_Request_Id="r1")
    assert answer.verdict == "completed"
    assert target.ran == ["r1"]


async def test_a_target_that_cannot_be_reached_did_not_run_the_request(path):
    path.directory.hosts = (
        Host("s1", HostRole.TARGET, "a", "127.0.0.1:1", "lids", "prices"),
    )
    answer = await path.post(ORDER)
    assert (answer.status, answer.verdict, answer.reason) == (
        503,
        "not-run",
        "connect-failed",
    )


async def test_a_late_answer_is_not_delivered(path):
    target = await path.add_target()
    target.behaviours.append(fake.run_for(5.0))
    answer = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (answer.status, answer.verdict, answer.reason) == (
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
    answer = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (answer.status, answer.verdict) == (504, "not-run")
    assert target.ran == []


async def test_a_cancellation_of_an_earlier_attempt_tells_nothing(path):
    target = await path.add_target(
        cancel_outcome="not-run", cancelled_attempt="an-earlier-one"
    )
    target.behaviours.append(fake.refuse("target-shed"))
    target.behaviours.append(fake.run_for(5.0))
    answer = await path.post(ORDER, Balsamway_Timeout_Ms="200")
    assert (answer.status, answer.verdict) == (504, "may-have-run")
    first, second = (seen["Balsamway-Attempt"] for seen in target.seen)
    assert first != second


async def test_the_target_is_told_the_time_left(path):
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


async def test_a_kept_connection_closed_under_a_request_leaves_it_uncertain(path):
    target = await path.add_target()
    assert (await path.post(ORDER)).verdict == "completed"
    target.behaviours.append(fake.run_and_lose)
    answer = await path.post(ORDER, Balsamway_Request_Id="r2")
    assert (answer.verdict, answer.reason) == ("may-have-run", "connection-lost")
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
