"""The real transport against a target stand-in with faulty responses.

A swapped or truncated response must not reach the caller. The checker must
find the fault when the protection against it is switched off.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from balsamway.outcome import Completed, MayHaveRun, NotRun
from balsamway.standins.checker import Invariant, check
from balsamway.standins.journal import AnswerCheck, Journal, Told, ToldVerdict
from balsamway.standins.target import (
    RunTimes,
    TargetFaults,
    TargetSettings,
    TargetStandin,
)
from balsamway.targets import http_transport
from balsamway.targets.http_transport import HttpTransport
from balsamway.targets.request import TargetRequest


@pytest.fixture
async def target():
    settings = TargetSettings("s1", "a", "m", "s", run_times=RunTimes(0.001))
    async with TargetStandin(settings) as standin:
        yield standin


@pytest.fixture
async def transport():
    transport = HttpTransport(lambda host: 4)
    yield transport
    await transport.close()


async def send(transport, target):
    request = TargetRequest("m", "s", "order", "r1", "", 2.0, b"body")
    start = asyncio.get_running_loop().time()
    verdict = await transport.send(target.host, request)
    end = asyncio.get_running_loop().time()
    caller_verdict, response_check = _caller_record(verdict)
    return Journal(
        told=(
            Told(
                "m",
                "s",
                "order",
                "r1",
                "",
                False,
                caller_verdict,
                "",
                0,
                response_check,
                start,
                end,
            ),
        )
    )


def _caller_record(verdict):
    match verdict:
        case Completed(body=body):
            return ToldVerdict.COMPLETED, _check_body(body)
        case NotRun():
            return ToldVerdict.NOT_RUN, AnswerCheck.NONE
        case MayHaveRun():
            return ToldVerdict.MAY_HAVE_RUN, AnswerCheck.NONE


def _check_body(body):
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return AnswerCheck.TRUNCATED
    is_whole = fields.get("request_id") == "r1"
    return AnswerCheck.WHOLE if is_whole else AnswerCheck.SWAPPED


async def _trust_any_response(response, request):
    try:
        body = await response.read()
    except http_transport.aiohttp.ClientPayloadError:
        body = b"{"
    return Completed(response.status, {}, body)


FAULTS = {
    Invariant.ANSWER_FROM_RUN: TargetFaults(shedding=True),
    Invariant.ANSWER_WHOLE: TargetFaults(swap_answers=True),
}


@pytest.mark.parametrize(
    "faults",
    [
        TargetFaults(),
        TargetFaults(shedding=True),
        TargetFaults(swap_answers=True),
        TargetFaults(truncate_answers=True),
        TargetFaults(lose_answers=True),
    ],
    ids=str,
)
async def test_a_faulty_response_is_not_forwarded(transport, target, faults):
    target.faults = faults
    journal = await send(transport, target) + target.journal
    assert check(journal) == ()


@pytest.mark.parametrize("invariant", FAULTS)
async def test_trusting_any_response_is_found(
    transport, target, monkeypatch, invariant
):
    monkeypatch.setattr(http_transport, "parse_response", _trust_any_response)
    target.faults = FAULTS[invariant]
    journal = await send(transport, target) + target.journal
    assert invariant in {violation.invariant for violation in check(journal)}


async def test_trusting_a_truncated_response_is_found(transport, target, monkeypatch):
    monkeypatch.setattr(http_transport, "parse_response", _trust_any_response)
    target.faults = TargetFaults(truncate_answers=True)
    journal = await send(transport, target) + target.journal
    assert Invariant.ANSWER_WHOLE in {
        violation.invariant for violation in check(journal)
    }
