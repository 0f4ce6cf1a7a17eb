from __future__ import annotations

import asyncio

import pytest

pytestmark = pytest.mark.looptime


@pytest.fixture
async def seconds_at_setup():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def seconds_at_yield():
    yield asyncio.get_running_loop().time()


# A fixture on another event loop than the test would read a different
# clock.
async def test_fixtures_read_the_paused_clock(seconds_at_setup, seconds_at_yield):
    now = asyncio.get_running_loop().time()
    assert 0.0 <= seconds_at_setup <= seconds_at_yield <= now < 1.0


# 100 s pass at once on the paused clock, also after a fixture has run.
async def test_the_paused_clock_advances_after_a_fixture(seconds_at_setup):
    await asyncio.sleep(100.0)
    assert asyncio.get_running_loop().time() - seconds_at_setup >= 100.0
