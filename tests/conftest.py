from __future__ import annotations

import random

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def rng():
    return random.Random(20261204)
