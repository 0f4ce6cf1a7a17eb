"""Loads that reach the leader through the relay of a zone."""

from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.keyspace.messages import LoadNotice
from balsamway.keyspace.zone_load_sum import REPORT_EXPIRY_SECONDS, ZoneLoadSum

pytestmark = pytest.mark.looptime

HOSTS = [f"h{number}" for number in range(33)]
TARGETS = [f"i-{number}" for number in range(20)]


def load_notice(host, targets=(), keys=(), is_draining=False):
    return LoadNotice(
        host, "z2", f"{host}:1", dict(targets), dict(keys), {}, "", is_draining
    )


def in_flight(aggregator):
    return {
        name: load.total_in_flight()
        for name, load in aggregator.targets().items()
        if load.total_in_flight()
    }


async def test_sums_of_a_zone_equal_the_reports_of_its_hosts():
    rng = random.Random(7)
    direct, relayed, zone_sum = LoadAggregator(), LoadAggregator(), ZoneLoadSum()
    for _ in range(12):
        for host in HOSTS:
            targets = {
                name: (rng.randrange(3), rng.randrange(2), 0, 0)
                for name in rng.sample(TARGETS, 4)
            }
            keys = {"k": {rng.randrange(9): rng.randrange(1, 4)}}
            # Each notice names all targets that the last one named.
            notice = load_notice(host, dict.fromkeys(TARGETS, (0, 0, 0, 0)) | targets)
            notice = load_notice(host, notice.targets, keys)
            direct.add(notice)
            zone_sum.add(notice)
        relayed.add_zone(zone_sum.take("h0", "z2", {}))
        assert in_flight(relayed) == in_flight(direct)
        assert relayed.key_rates("k") == pytest.approx(direct.key_rates("k"))
        assert set(relayed.hosts) == set(direct.hosts)
        await asyncio.sleep(0.3)


async def test_a_host_that_begins_to_report_through_a_relay_is_counted_once():
    aggregator, zone_sum = LoadAggregator(), ZoneLoadSum()
    notice = load_notice("h1", {"i-1": (4, 0, 0, 0)})
    aggregator.add(notice)
    zone_sum.add(notice)
    aggregator.add_zone(zone_sum.take("h0", "z2", {}))
    assert in_flight(aggregator) == {"i-1": 4}


async def test_a_host_that_stops_reporting_to_its_relay_is_dropped():
    zone_sum = ZoneLoadSum()
    zone_sum.add(load_notice("h1", {"i-1": (4, 0, 0, 0)}))
    zone_sum.add(load_notice("h2", is_draining=True))
    notice = zone_sum.take("h0", "z2", {})
    assert (notice.hosts, notice.draining) == ({"h1": "h1:1", "h2": "h2:1"}, ("h2",))
    await asyncio.sleep(REPORT_EXPIRY_SECONDS + 0.1)
    notice = zone_sum.take("h0", "z2", {})
    assert not notice.hosts
    # The leader learns that the target's requests are no longer counted.
    assert notice.targets == {"i-1": (0, 0, 0, 0)}
    assert not zone_sum.take("h0", "z2", {}).targets
