"""The leader's estimate of the load of each slice of a shard."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from balsamway.balance._gateway_load import SMOOTHING_SECONDS, GatewayLoad
from balsamway.balance._steady_loads import SteadyLoads
from balsamway.balance.placement_input import SliceLoad
from balsamway.ownership.messages.key_load import KeyLoad

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from balsamway.ownership.messages.load_report import LoadReport
    from balsamway.slices import KeyRange

SILENCE_SECONDS = 5.0
"""A gateway not heard from for this long no longer counts."""

HOT_KEYS_MERGED = 64
"""How many keys the estimate names at most."""


class LoadEstimate:
    """Merges what the gateways of a shard saw.

    Only what gateways measured of their own requests counts. What targets
    say of their load has no way in, so a target that misreports its load
    cannot steer placement.
    """

    def __init__(self) -> None:
        self._gateways: dict[str, GatewayLoad] = {}
        self._steady_keys = SteadyLoads[int]()
        self._steady_slices = SteadyLoads["KeyRange"]()
        self._hot_keys: tuple[KeyLoad, ...] = ()

    def update(self, gateway: str, report: LoadReport, now: float) -> None:
        """Takes in a report.

        Args:
            gateway: The entry host that sent it.
            report: The report.
            now: The runtime's clock, in seconds.
        """
        found = self._gateways.setdefault(gateway, GatewayLoad(now))
        found.update(report, now)

    def forget_silent(self, now: float) -> None:
        """Drops the gateways that have gone silent.

        Args:
            now: The runtime's clock, in seconds.
        """
        self._gateways = {
            name: load
            for name, load in self._gateways.items()
            if now - load.heard_at <= SILENCE_SECONDS
        }

    def hot_keys(self) -> tuple[KeyLoad, ...]:
        """Lists the keys that the last estimate knew, the greatest first."""
        return self._hot_keys

    def loads(self, ranges: Sequence[KeyRange], now: float) -> tuple[SliceLoad, ...]:
        """Estimates the load of each slice.

        Reports may be of slices as they were before a split or a merge. The
        load of a known key is counted where the key is, and the rest of a
        reported slice is spread evenly over its positions.

        Args:
            ranges: The slices as they are now, in order.
            now: The runtime's clock, in seconds.

        Returns:
            One estimate for each slice.
        """
        cost = self._cost()
        keys = self._merge_keys()
        reported = self._reported()
        loads = [0.0] * len(ranges)
        starts = [item.start for item in ranges]
        unnamed = _without_keys(reported, keys)
        for item, load in unnamed:
            _spread(item, load, ranges, starts, loads)
        for key in keys:
            loads[bisect_right(starts, key.position) - 1] += key.busy_seconds
        recent = dict(zip(ranges, loads, strict=True))
        steady = self._steady_slices.update(recent, cost, SMOOTHING_SECONDS, now)
        self._hot_keys = self._steady(keys, cost, now)
        return tuple(SliceLoad(item, load) for item, load in steady.items())

    def dump(self) -> dict[str, object]:
        """Describes the estimate for the state dump."""
        return {
            "gateways": {
                name: {
                    "heard_at": load.heard_at,
                    "busy_seconds_a_second": sum(load.ranges.values()),
                }
                for name, load in sorted(self._gateways.items())
            },
            "hot_keys": [
                {"position": key.position, "load": key.busy_seconds}
                for key in self.hot_keys()[:8]
            ],
        }

    def _merge_keys(self) -> tuple[KeyLoad, ...]:
        merged: dict[int, KeyLoad] = {}
        for gateway in self._gateways.values():
            for position, (requests, load) in gateway.keys.items():
                found = merged.get(position, KeyLoad(position, 0.0, 0.0))
                merged[position] = KeyLoad(
                    position, found.requests + requests, found.busy_seconds + load
                )
        order = sorted(
            merged.values(), key=lambda key: (-key.busy_seconds, key.position)
        )
        return tuple(order[:HOT_KEYS_MERGED])

    def _steady(
        self, keys: tuple[KeyLoad, ...], cost: float, now: float
    ) -> tuple[KeyLoad, ...]:
        recent = {key.position: key.busy_seconds for key in keys}
        steady = self._steady_keys.update(recent, cost, SMOOTHING_SECONDS, now)
        found = [
            KeyLoad(key.position, key.requests, steady[key.position]) for key in keys
        ]
        return tuple(sorted(found, key=lambda key: (-key.busy_seconds, key.position)))

    def _cost(self) -> float:
        """Gives the busy seconds of one request, on average."""
        requests = sum(each.requests for each in self._gateways.values())
        load = sum(sum(each.ranges.values()) for each in self._gateways.values())
        return load / requests if requests > 0.0 else 0.0

    def _reported(self) -> dict[KeyRange, float]:
        merged: dict[KeyRange, float] = {}
        for gateway in self._gateways.values():
            for item, load in gateway.ranges.items():
                merged[item] = merged.get(item, 0.0) + load
        return merged


def _without_keys(
    reported: dict[KeyRange, float], keys: Iterable[KeyLoad]
) -> list[tuple[KeyRange, float]]:
    """Takes the load of known keys out of the slices that contain them."""
    order = sorted(reported)
    starts = [item.start for item in order]
    largest = max((item.size for item in order), default=0)
    rest = [reported[item] for item in order]
    for key in keys:
        left = key.busy_seconds
        first = bisect_right(starts, key.position - largest)
        last = bisect_right(starts, key.position)
        for index in range(first, last):
            if key.position in order[index]:
                taken = min(rest[index], left)
                rest[index] -= taken
                left -= taken
    return list(zip(order, rest, strict=True))


def _spread(
    item: KeyRange,
    load: float,
    ranges: Sequence[KeyRange],
    starts: Sequence[int],
    loads: list[float],
) -> None:
    """Adds a reported slice's load to the slices that it overlaps."""
    index = max(bisect_right(starts, item.start) - 1, 0)
    while index < len(ranges) and ranges[index].start < item.end:
        start = max(item.start, ranges[index].start)
        end = min(item.end, ranges[index].end)
        loads[index] += load * max(end - start, 0) / item.size
        index += 1
