"""Targets that repeat a refusal, or stop within the head of a response."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, MayHaveRun, NotRun
from tests.fakes.scripted_target import answer
from tests.platform.conftest import entry_request

NOT_EXECUTED = "Balsamway-Not-Executed: 1"
OTHER_TARGET = "Balsamway-Instance-Id: i-9"
HEAD_AND_BODY = (
    b"HTTP/1.1 200 OK\r\n"
    b"Balsamway-Request-Id: r1\r\n"
    b"Balsamway-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Content-Length: 12\r\n"
    b"Connection: close\r\n"
    b"\r\n"
    b"all 12 bytes"
)
HEAD_BYTES = HEAD_AND_BODY.index(b"\r\n\r\n") + 4


@pytest.mark.parametrize("status", [421, 503, 429])
async def test_a_repeated_refusal_is_not_taken_for_the_retry_of_its_request(
    scripted, send, status
):
    refusal = answer("r1", b"", status, None, NOT_EXECUTED)

    async def script(received, writer, number):
        if number == 1:
            writer.write(refusal)
            return
        if received.connection_requests > 1:
            writer.write(refusal)
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(answer("r1", b"own"))

    target = await scripted(script)
    refused = await send(target, entry_request("POST", "r1"))
    assert isinstance(refused.verdict, NotRun)
    if refused.outcome is AttemptOutcome.SHED:
        # Such a request is not sent to the same target again.
        return
    retried = await send(target, entry_request("POST", "r1"))
    assert isinstance(retried.verdict, Completed)
    assert retried.verdict.body == b"own"


@pytest.mark.parametrize("status", [421, 503, 429])
@pytest.mark.parametrize("request_id", ["r1", None])
async def test_a_repeated_refusal_is_not_taken_for_the_refusal_of_a_later_request(
    scripted, send, status, request_id
):
    async def script(received, writer, number):
        if number == 1:
            writer.write(answer("r1", b"own"))
            return
        extra = f"{NOT_EXECUTED}\r\n{OTHER_TARGET}"
        writer.write(answer(request_id, b"", status, None, extra))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(answer("r2", b"own"))

    target = await scripted(script)
    await send(target, entry_request("POST", "r1"))
    later = await send(target, entry_request("POST", "r2"))
    assert not isinstance(later.verdict, NotRun)


async def test_another_target_at_the_address_is_recognised_without_a_request_id(
    scripted, send
):
    async def script(received, writer, number):
        writer.write(answer(None, b"", 421, None, OTHER_TARGET))

    target = await scripted(script)
    for number in range(3):
        result = await send(target, entry_request("POST", f"r{number}"))
        assert result.outcome is AttemptOutcome.WRONG_TARGET


@pytest.mark.parametrize("sent_bytes", range(HEAD_BYTES))
async def test_a_response_that_stops_within_its_head_is_not_complete(
    scripted, send, sent_bytes
):
    async def script(received, writer, number):
        writer.write(HEAD_AND_BODY[:sent_bytes])
        await writer.drain()
        writer.close()

    result = await send(await scripted(script))
    assert isinstance(result.verdict, MayHaveRun)


@pytest.mark.parametrize("sent_bytes", range(HEAD_BYTES, len(HEAD_AND_BODY)))
async def test_a_response_that_stops_within_its_body_is_not_complete(
    scripted, send, sent_bytes
):
    async def script(received, writer, number):
        writer.write(HEAD_AND_BODY[:sent_bytes])
        await writer.drain()
        writer.close()

    result = await send(await scripted(script))
    assert isinstance(result.verdict, MayHaveRun)


@pytest.mark.parametrize("ending", [b"", b"\r", b"\n", b"\r\n"])
async def test_a_head_without_its_empty_line_is_not_complete_on_a_kept_connection(
    scripted, send, ending
):
    async def script(received, writer, number):
        if number == 1:
            writer.write(answer("r1", b"own"))
            return
        head = HEAD_AND_BODY[: HEAD_AND_BODY.index(b"\r\nContent-Length")]
        writer.write(head.replace(b"r1", b"r2") + ending)
        await writer.drain()
        writer.close()

    target = await scripted(script)
    await send(target, entry_request(request_id="r1"))
    result = await send(target, entry_request(request_id="r2"))
    assert isinstance(result.verdict, MayHaveRun)
