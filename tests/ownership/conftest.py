from __future__ import annotations

import pytest

from tests.fakes.world import World


@pytest.fixture
def world():
    """Not started yet, because the simulated time runs only in the test."""
    return World()


@pytest.fixture
def unchecked_world():
    return World(checks=False)
