"""Malformed, oversized and excess requests are refused as not run.

A target must never receive such a request, and the caller must learn that it
did not run.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from balsamway.gateway import GatewayLimits
from tests.fakes import gateway_target as fake
from tests.fakes.gateway_path import GatewayPath

pytestmark = pytest.mark.looptime

ORDER = "/v1/prices/order"
HEAD = "POST /v1/prices/order HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer lids-token"


@pytest.fixture
async def target(path):
    return await path.add_target()


@pytest.mark.parametrize(
    ("url", "headers", "status", "reason"),
    [
        ("/v1/prices", {}, 404, "unknown-service"),
        ("/", {}, 404, "unknown-service"),
        ("/v1/rates/order", {}, 404, "unknown-service"),
        ("/v1/prices/erase", {}, 404, "unknown-kind"),
        (ORDER, {"Authorization": "Bearer wrong"}, 401, "unauthorized"),
        (ORDER, {"Authorization": "Basic lids-token"}, 401, "unauthorized"),
        (ORDER, {"Authorization": "Bearer lids-\u00e9"}, 401, "unauthorized"),
        (ORDER, {"Balsamway-Timeout-Ms": "soon"}, 400, "bad-request"),
        (ORDER, {"Balsamway-Timeout-Ms": "-5"}, 400, "bad-request"),
        (ORDER, {"Balsamway-Timeout-Ms": "1e3"}, 400, "bad-request"),
        (ORDER, {"Balsamway-Timeout-Ms": "9" * 40}, 400, "bad-request"),
        (ORDER, {"Balsamway-Timeout-Ms": "0"}, 504, "deadline-exceeded"),
        (ORDER, {"Balsamway-Request-Id": "a b"}, 400, "bad-request"),
        (ORDER, {"Balsamway-Request-Id": "x" * 65}, 400, "bad-request"),
        (ORDER, {"Balsamway-Key": "k" * 513}, 400, "bad-request"),
        (ORDER, {"Balsamway-Key": "lid-\u00e9"}, 400, "bad-request"),
        (ORDER, {"Balsamway-Key": "a\tb"}, 400, "bad-request"),
        ("/v1/stock/order", {}, 400, "bad-request"),
        (ORDER, {"X-Large": "x" * 9000}, 431, "headers-too-large"),
        (ORDER, {f"X-{i}": "x" for i in range(100)}, 431, "headers-too-large"),
    ],
)
async def test_bad_input_is_refused_as_not_run(
    path, target, url, headers, status, reason
):
    response = await path.post(url, b"x", **headers)
    assert (response.status, response.verdict, response.reason) == (
        status,
        "not-run",
        reason,
    )
    body = json.loads(response.body)
    assert (body["verdict"], body["reason"]) == ("not-run", reason)
    assert body["request_id"] == response.headers["Balsamway-Request-Id"]
    assert target.received == []
    assert (await path.post(ORDER)).verdict == "completed"


async def test_another_method_is_refused(path, target):
    async with path.caller.get(f"http://{path.listener.address}{ORDER}") as response:
        assert response.status == 400
        assert response.headers["Balsamway-Verdict"] == "not-run"


@pytest.mark.parametrize(
    "text",
    [
        "nonsense\r\n\r\n",
        "POST /v1/prices/order HTTP/1.1\r\nNo colon here\r\n\r\n",
        HEAD + "\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        HEAD + "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + "\r\nBalsamway-Key: a\x00b\r\n\r\n",
        HEAD + "\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
    ],
)
async def test_malformed_http_is_refused_as_not_run(path, target, text):
    reader, writer = await asyncio.open_connection(
        *path.listener.address.rsplit(":", 1)
    )
    writer.write(text.encode("latin-1"))
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 400") or head.startswith(b"HTTP/1.0 400")
    assert b"Balsamway-Verdict: not-run" in head
    assert target.received == []


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_beyond_the_limit_of_its_kind_is_refused(path, target, chunked):
    async def chunks():
        for _ in range(11):
            yield b"x" * 100

    response = await path.post(ORDER, chunks() if chunked else b"x" * 1100)
    assert (response.status, response.reason) == (413, "body-too-large")
    assert target.received == []
    assert (await path.post(ORDER, b"x" * 1000)).verdict == "completed"


async def test_a_body_that_never_ends_is_refused_at_the_deadline(path, target):
    reader, writer = await asyncio.open_connection(
        *path.listener.address.rsplit(":", 1)
    )
    writer.write((HEAD + "\r\nContent-Length: 10\r\n\r\nhalf").encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert b" 504 " in head.splitlines()[0]
    assert b"Balsamway-Verdict: not-run" in head
    assert target.received == []


@pytest.mark.parametrize(
    ("limits", "status", "reason"),
    [
        (GatewayLimits(requests_per_workspace=2), 429, "too-many-requests"),
        (GatewayLimits(requests=2), 503, "overloaded"),
    ],
)
async def test_too_many_requests_are_refused(limits, status, reason):
    path = await GatewayPath(limits=limits).start()
    target = await path.add_target(otherwise=fake.run_for(0.5))
    accepted = [asyncio.create_task(path.post(ORDER)) for _ in range(2)]
    await asyncio.sleep(0.1)
    response = await path.post(ORDER)
    assert (response.status, response.verdict, response.reason) == (
        status,
        "not-run",
        reason,
    )
    assert int(response.headers["Retry-After"]) >= 1
    assert all(
        response.verdict == "completed" for response in await asyncio.gather(*accepted)
    )
    assert len(target.ran) == 2
    await path.stop()


async def test_a_stopping_gateway_ends_its_requests_and_refuses_new_ones(path, target):
    target.behaviours.append(fake.run_for(0.8))
    accepted = asyncio.create_task(path.post(ORDER, b"x"))
    reader, writer = await asyncio.open_connection(
        *path.listener.address.rsplit(":", 1)
    )
    await asyncio.sleep(0.1)
    stop = asyncio.create_task(path.listener.stop())
    await asyncio.sleep(0.1)
    writer.write((HEAD + "\r\nContent-Length: 0\r\n\r\n").encode())
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 503 " in head.splitlines()[0]
    assert b"Balsamway-Reason: stopping" in head
    assert b"Connection: close" in head
    assert not accepted.done()
    response = await accepted
    assert (response.verdict, response.body) == ("completed", b"ran x")
    await stop
    writer.close()
