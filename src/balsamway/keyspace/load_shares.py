"""Decides how much of a service's load each target is to serve.

It answers targets that differ in speed by a factor of two and more. While
there is room, a fast target with a short queue answers sooner than a slow one
without any, so it gets more than in proportion to its speed; near the limit
all are filled alike.
"""

from __future__ import annotations

import bisect
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.placed_target import PlacedTarget

LEAST_SHARE = 0.3
"""What a target gets at least, of its share in proportion to speed. Its speed
is known from requests only, and one that recovered must be noticed."""
FULLEST = 0.85
"""The part of a target's capacity up to which queues are estimated; beyond it
they grow without bound and the shares are in proportion to speed."""
STEPS = 100
"""The parts into which the utilization is divided for the search."""
HALVINGS = 30
"""The steps of the search for the cost that all targets share."""


def load_shares(
    rate: float, targets: Mapping[Holder, PlacedTarget]
) -> dict[Holder, float]:
    """Shares a load out so that requests take the least time on average.

    Args:
        rate: The requests a second to share out.
        targets: The targets, at least one.

    Returns:
        The requests a second for each target, which add up to the rate.
    """
    speeds = sum(one.speed for one in targets.values())
    if not rate or rate >= FULLEST * speeds:
        return {name: rate * one.speed / speeds for name, one in targets.items()}
    least = {
        name: LEAST_SHARE * rate * one.speed / speeds for name, one in targets.items()
    }
    rest = _least_time(rate, targets)
    scale = 1 - LEAST_SHARE
    return {name: least[name] + scale * rest[name] for name in targets}


def _least_time(
    rate: float, targets: Mapping[Holder, PlacedTarget]
) -> dict[Holder, float]:
    """Finds the loads at which one more request costs the same everywhere."""
    curves = {one.slots: _cost_curve(one.slots) for one in targets.values()}
    seconds = {name: one.slots / one.speed for name, one in targets.items()}
    low = min(seconds.values())
    high = max(seconds.values()) * max(curve[-1] for curve in curves.values())
    loads: dict[Holder, float] = {}
    for _ in range(HALVINGS):
        cost = (low + high) / 2
        loads = {
            name: one.speed * _utilization(curves[one.slots], cost / seconds[name])
            for name, one in targets.items()
        }
        if sum(loads.values()) < rate:
            low = cost
        else:
            high = cost
    total = sum(loads.values())
    return {name: rate * load / total for name, load in loads.items()}


def _cost_curve(slots: int) -> list[float]:
    """Gives what one more request costs at each utilization.

    The cost is the time that it takes, and by which it delays the others, in
    units of the time without a queue. The wait is Sakasegawa's approximation
    for a queue with several servers.
    """
    power = math.sqrt(2 * (slots + 1)) - 1

    def cost(used: float) -> float:
        free = 1 - used
        wait = (power + 1) * used**power * free + used ** (power + 1)
        return 1 + wait / (slots * free**2)

    return [cost(FULLEST * step / STEPS) for step in range(STEPS + 1)]


def _utilization(curve: list[float], cost: float) -> float:
    """Gives the utilization at which one more request costs that much."""
    place = bisect.bisect_right(curve, cost)
    if place == 0:
        return 0.0
    if place == len(curve):
        return FULLEST
    part = (cost - curve[place - 1]) / (curve[place] - curve[place - 1])
    return FULLEST * (place - 1 + part) / STEPS
