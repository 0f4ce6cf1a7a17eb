from __future__ import annotations

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.rest_answer import RestAsked, UnreadableRest
from balsamway.occupancy import TargetLoad, UnreadableLoad
from tests.fakes.scripted_target import answer


@pytest.fixture
def result_of(scripted, send):
    """Return a function that returns the result of a response with headers."""

    async def result_of(extra, status=200, request_id="r1", signature="sig"):
        async def script(received, writer, number):
            writer.write(answer(request_id, b"own", status, signature, extra))

        return await send(await scripted(script))

    return result_of


@pytest.mark.parametrize("status", [200, 404, 421, 429, 500, 503])
async def test_a_target_says_with_any_status_that_it_is_leaving(result_of, status):
    refused = "Balsamway-Not-Executed: 1\r\n" if status in (421, 429, 503) else ""
    result = await result_of(f"{refused}Server-Leaving: 1", status)
    assert result.is_leaving


@pytest.mark.parametrize("text", ["", "0", "true", "10", "1.0"])
async def test_other_values_do_not_say_that_the_target_is_leaving(result_of, text):
    assert not (await result_of(f"Server-Leaving: {text}")).is_leaving


async def test_a_response_without_the_header_is_of_a_target_that_stays(result_of):
    assert not (await result_of("X-Own: yes")).is_leaving


async def test_another_target_at_the_address_does_not_say_it_for_this_one(result_of):
    other = "Balsamway-Instance-Id: i-9\r\nServer-Leaving: 1"
    assert not (await result_of(other, 421)).is_leaving


async def test_a_response_to_no_request_does_not_say_it(result_of):
    assert not (await result_of("Server-Leaving: 1", request_id=None)).is_leaving


REFUSED = "Balsamway-Not-Executed: 1\r\n"


@pytest.mark.parametrize(
    "text, seconds",
    [("2", 2.0), ("0.75", 0.75), ("0", 0.0), ("1" * 30, float("1" * 30))],
)
async def test_a_refusal_asks_for_rest_in_decimal_seconds(result_of, text, seconds):
    result = await result_of(f"{REFUSED}Retry-After: {text}", 503)
    assert result.rest == RestAsked(seconds)


@pytest.mark.parametrize(
    "text", ["", "-1", "nan", "inf", "1e3", "0x2", "soon", "1" * 41]
)
async def test_a_rest_of_another_form_is_unreadable(result_of, text):
    result = await result_of(f"{REFUSED}Retry-After: {text}", 503)
    assert result.rest == UnreadableRest(text)


async def test_a_date_is_an_unreadable_rest(result_of):
    date = "Sat, 05 Dec 2026 08:00:00 GMT"
    result = await result_of(f"{REFUSED}Retry-After: {date}", 503)
    assert isinstance(result.rest, UnreadableRest)


async def test_of_two_rests_in_one_head_the_longer_one_counts(result_of):
    twice = "Retry-After: 2\r\nRetry-After: 3"
    assert (await result_of(REFUSED + twice, 503)).rest == RestAsked(3.0)


@pytest.mark.parametrize("status", [200, 421, 429, 500])
async def test_other_responses_ask_for_no_rest(result_of, status):
    assert (await result_of(f"{REFUSED}Retry-After: 2", status)).rest is None


async def test_a_refusal_of_no_request_asks_for_no_rest(result_of):
    result = await result_of(f"{REFUSED}Retry-After: 2", 503, request_id=None)
    assert result.rest is None


@pytest.mark.parametrize("status", [200, 421, 500, 503])
async def test_a_target_reports_its_load_with_any_status(result_of, status):
    result = await result_of(f"{REFUSED}Balsamway-Instance-Load: 3,12,4", status)
    assert result.load == TargetLoad(3, 12, 4)


async def test_a_load_may_say_how_slow_the_target_is(result_of):
    result = await result_of("Balsamway-Instance-Load: 4,0,4,310")
    assert result.load == TargetLoad(4, 0, 4, 3.1)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "1",
        "1,2",
        "1,2,0",
        "1,2,4,0",
        "1,2,4,100,5",
        "-1,2,4",
        "1,2,4,-100",
        "1.5,2,4",
        "1,2,4,",
        "1,,4",
        "1e3,2,4",
        "99999,2,4",
        "1,2,4,100000",
        "nan,2,4",
        "\u0661,2,4",
        "1,2,4\r\nBalsamway-Instance-Load: 1,2,4",
    ],
)
async def test_a_load_of_another_form_is_unreadable(result_of, text):
    result = await result_of(f"Balsamway-Instance-Load: {text}")
    assert isinstance(result.load, UnreadableLoad)
    assert result.outcome is AttemptOutcome.SERVED


async def test_a_response_without_the_header_reports_no_load(result_of):
    assert (await result_of("X-Own: yes")).load is None
