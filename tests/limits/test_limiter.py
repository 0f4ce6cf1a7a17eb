from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.limits import Admitted, HeldBack
from balsamway.limits.limiter import Limiter
from balsamway.limits.local_share import LocalShare

pytestmark = pytest.mark.looptime

TARGET = ("i-1", 1)


async def admitted(take, seconds, per_second):
    """Ask for tokens at a steady rate, and return how many were admitted."""
    count = 0
    for _ in range(int(seconds * per_second)):
        count += isinstance(take(), Admitted)
        await asyncio.sleep(1 / per_second)
    return count


@pytest.mark.parametrize("limit", [0.5, 1.0, 6.0, 40.0, 1000.0])
async def test_tokens_are_handed_out_at_the_rate_of_the_limit(limit):
    limiter = Limiter()
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    seconds = min(20.0, 2000.0 / limit)
    count = await admitted(lambda: limiter.take(TARGET, limit, 0), seconds, 3 * limit)
    seconds = loop.time() - began_at
    # One token may be incomplete at the end.
    assert 0.9 * seconds * limit - 1 <= count <= seconds * limit


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 6.0, 40.0])
async def test_an_idle_time_saves_up_less_than_the_limit_allows_at_once(limit):
    limiter = Limiter()
    limiter.take(TARGET, limit, 0)
    await asyncio.sleep(25.0)
    count = await admitted(lambda: limiter.take(TARGET, limit, 0), 4.0, 100.0)
    assert count <= 1.5 * 4 * limit + 5


async def test_a_lower_limit_holds_at_once(limit=100.0):
    limiter = Limiter()
    await admitted(lambda: limiter.take(TARGET, limit, 0), 5.0, 50.0)
    count = await admitted(lambda: limiter.take(TARGET, 1.0, 0), 4.0, 50.0)
    assert count <= 1.5 * 4 + 5


async def test_requests_that_return_in_time_find_a_token_each():
    limiter = Limiter()
    waits = []
    for _ in range(5):
        admission = limiter.take(TARGET, 4.0, 0)
        assert isinstance(admission, HeldBack)
        waits.append(admission.retry_after_seconds)
    started_at = asyncio.get_running_loop().time()
    for wait in waits:
        await asyncio.sleep(started_at + wait - asyncio.get_running_loop().time())
        assert isinstance(limiter.take(TARGET, 4.0, 0), Admitted)


async def test_less_urgent_requests_leave_tokens_to_urgent_ones():
    limiter = Limiter()
    limiter.take(TARGET, 10.0, 0)
    await asyncio.sleep(5.0)
    while isinstance(limiter.take(TARGET, 10.0, 2), Admitted):
        pass
    assert isinstance(limiter.take(TARGET, 10.0, 0), Admitted)


async def test_targets_do_not_share_tokens():
    limiter = Limiter()
    limiter.take(TARGET, 1.0, 0)
    limiter.take(("i-2", 1), 1.0, 0)
    await asyncio.sleep(1.2)
    assert isinstance(limiter.take(TARGET, 1.0, 0), Admitted)
    assert isinstance(limiter.take(("i-2", 1), 1.0, 0), Admitted)


@pytest.mark.parametrize("host_count", [9, 91, 195, 1000])
async def test_shares_without_a_leader_stay_within_what_the_limit_allows(host_count):
    shares = [LocalShare(random.Random(number)) for number in range(host_count)]
    rng = random.Random(1)
    most = 0
    for share in shares:
        share.take(TARGET, 2.0, host_count)
    await asyncio.sleep(20.0)
    for _ in range(5):
        count = await admitted(
            lambda: rng.choice(shares).take(TARGET, 2.0, host_count), 4.0, 100.0
        )
        most = max(most, count)
    assert most <= 1.5 * 4 * 2.0 + 5
