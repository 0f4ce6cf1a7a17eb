from __future__ import annotations

import random

import pytest
from hypothesis import settings

from tests.known_red import known_red

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def rng():
    return random.Random(20261204)


def pytest_collection_modifyitems(items):
    """Lets the tests of KNOWN-RED.txt fail; they run like all others."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the tests of KNOWN-RED.txt and what became of them."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {report.nodeid}")
