from __future__ import annotations

import pytest

from tests.fakes.limited_fleet import LimitedFleet


@pytest.fixture
async def start_fleet():
    """Return a function that starts fleets, which are stopped at the end."""
    fleets = []

    async def start(host_count, target_count=2, is_keyed=True, seed=1, **options):
        fleet = LimitedFleet(host_count, target_count, is_keyed, seed, **options)
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.stop()
