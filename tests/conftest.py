from __future__ import annotations

import inspect
import random

import pytest
from hypothesis import settings

from tests.known_red import read_known_red

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def rng():
    return random.Random(20261204)


def _is_async(function):
    return inspect.iscoroutinefunction(function) or inspect.isasyncgenfunction(function)


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_fixture_setup(fixturedef, request):
    """Lets the fixtures of a test with a paused clock read that clock.

    looptime pauses the clock for the body of a test alone. What a fixture
    noted by the machine's clock, which counts from its start, would lie in
    the test's future.
    """
    if not _is_async(fixturedef.func) or fixturedef.scope != "function":
        return (yield)
    if request.node.get_closest_marker("looptime") is None:
        return (yield)
    loop = request.getfixturevalue("_function_scoped_runner").get_loop()
    with loop.looptime_enabled():
        return (yield)


def pytest_collection_modifyitems(items):
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")
