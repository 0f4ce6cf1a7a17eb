from __future__ import annotations

import pytest

from tests.fakes.gateway_path import GatewayPath


@pytest.fixture
async def path():
    path = await GatewayPath().start()
    yield path
    await path.stop()
