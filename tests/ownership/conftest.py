from __future__ import annotations

import pytest

from tests.fakes.world import World


@pytest.fixture
async def world():
    made = World()
    await made.start()
    await made.until_served()
    yield made
    await made.stop()


@pytest.fixture
async def unchecked_world():
    made = World(checks=False)
    await made.start()
    await made.until_served()
    yield made
    await made.stop()
