from __future__ import annotations

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from balsamway.node import event_loop_delay
from balsamway.node.event_loop_delay import EventLoopDelay

pytestmark = pytest.mark.looptime

METRIC = "balsamway_entry_event_loop_delay_seconds"


@pytest.fixture
async def registry():
    registry = CollectorRegistry()
    service = EventLoopDelay(registry)
    await service.start()
    yield registry
    await service.stop()


def value(registry, suffix):
    return registry.get_sample_value(METRIC + suffix)


async def test_an_event_loop_in_time_has_no_delay(registry, caplog):
    await asyncio.sleep(5.5)
    assert value(registry, "_count") == 5
    assert value(registry, "_sum") < 0.01
    assert not caplog.records


# Guards against a host that stands still without a sign of it.
async def test_a_late_event_loop_is_counted_and_logged(registry, caplog, monkeypatch):
    await asyncio.sleep(0.5)
    clock = event_loop_delay.now
    monkeypatch.setattr(event_loop_delay, "now", lambda: clock() + 3.0)
    await asyncio.sleep(1.0)
    assert value(registry, "_sum") == pytest.approx(3.0, abs=0.01)
    line = caplog.records[-1]
    assert (line.message, line.seconds) == ("event-loop-late", pytest.approx(3.0, 0.01))
