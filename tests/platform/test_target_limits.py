from __future__ import annotations

import pytest

from balsamway.limits import NamedLimit, NoLimit, UnreadableLimit
from tests.fakes.scripted_target import answer


@pytest.fixture
def limit_of(scripted, send):
    """Return a function that returns the limit of a response with headers."""

    async def limit_of(extra, status=200, request_id="r1", signature="sig"):
        async def script(received, writer, number):
            writer.write(answer(request_id, b"own", status, signature, extra))

        return (await send(await scripted(script))).limit

    return limit_of


@pytest.mark.parametrize("text, value", [("6", 6.0), ("2.75", 2.75), ("0", 0.0)])
async def test_a_decimal_number_is_the_limit(limit_of, text, value):
    assert await limit_of(f"Server-Limit: {text}") == NamedLimit(value)


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e300", "many", "0x10"])
async def test_anything_else_is_an_unreadable_limit(limit_of, text):
    assert await limit_of(f"Server-Limit: {text}") == UnreadableLimit(text)


async def test_of_two_limits_in_one_head_the_lower_one_counts(limit_of):
    assert await limit_of("Server-Limit: 9\r\nServer-Limit: 4") == NamedLimit(4.0)


async def test_an_unreadable_one_beside_another_is_not_skipped(limit_of):
    limit = await limit_of("Server-Limit: 9\r\nServer-Limit: x")
    assert limit == UnreadableLimit("x")


@pytest.mark.parametrize("status", [503, 500, 421])
async def test_refusals_and_failures_name_a_limit_but_do_not_end_one(limit_of, status):
    refused = "Balsamway-Not-Executed: 1\r\nServer-Limit: 2"
    assert await limit_of(refused, status) == NamedLimit(2.0)
    assert await limit_of("X-Own: yes", status) is None


async def test_a_success_without_a_limit_says_that_there_is_none(limit_of):
    assert await limit_of("X-Own: yes") == NoLimit()


async def test_an_untrusted_response_says_nothing(limit_of):
    assert await limit_of("Server-Limit: 2", request_id=None) is None
    assert await limit_of("X-Own: yes", signature=None) is None
