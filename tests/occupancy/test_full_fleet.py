"""Hosts with old counts, and targets that reset when they are full."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balsamway.occupancy import TargetLoad
from tests.fakes.full_fleet import Fleet, FullFleet, true_load

pytestmark = pytest.mark.looptime

SEED = 1
SMALL = Fleet(hosts=12, targets=8, seconds=10.0, count_seconds=0.2)


def reports_none_when_full(other):
    """Report a load of 0 while full, and the true one otherwise."""
    return TargetLoad(0, 0, 4) if other.held >= 15 else true_load(other)


def reports_much_when_empty(other):
    """Report a huge load always, by every fourth target."""
    return TargetLoad(4, 9_000, 4) if other.index % 4 == 0 else true_load(other)


async def test_a_grown_fleet_has_fewer_resets_and_serves_no_less():
    """Guards against orders that end with 502 because a target was full."""
    grown = Fleet(seconds=12.0)
    before = await FullFleet(replace(grown, is_bounded=False), SEED).run()
    after = await FullFleet(grown, SEED).run()
    print("before", dict(before.counts))
    print("after", dict(after.counts))
    assert before.counts["requests"] == after.counts["requests"]
    assert before.counts["unsafe reset"] > 0.1 * before.counts["requests"]
    assert after.counts["unsafe reset"] < 0.5 * before.counts["unsafe reset"]
    assert after.counts["served"] >= before.counts["served"]


@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize(
    "load_of", [None, true_load, reports_none_when_full, reports_much_when_empty]
)
async def test_false_loads_do_little_harm(load_of, resets):
    """Guards against targets that a false load floods or leaves idle."""
    silent = replace(SMALL, resets=resets)
    plain = await FullFleet(replace(silent, is_bounded=False), SEED).run()
    told = await FullFleet(replace(silent, load_of=load_of), SEED).run()
    print("plain", dict(plain.counts))
    print("told", dict(told.counts))
    assert told.counts["served"] >= 0.95 * plain.counts["served"]
    assert told.counts["unsafe reset"] <= plain.counts["unsafe reset"]
    for index, other in enumerate(told.targets.values()):
        alike = list(plain.targets.values())[index]
        assert other.completed >= 0.5 * alike.completed
