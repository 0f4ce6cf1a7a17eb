from __future__ import annotations

import pytest

from tests.fakes.fake_deployment import FakeDeployment


@pytest.fixture
def deployment():
    """Not started yet, because the simulated time runs only in the test."""
    return FakeDeployment()


@pytest.fixture
def deployment_without_fencing():
    return FakeDeployment(checks=False)
