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

GATEWAY_EXPIRY_SECONDS = 5.0
"""How long after its last report a gateway's load is dropped."""

MAX_HOT_KEYS = 64
"""The most keys that the estimate lists."""


class LoadEstimate:
    """Merges the load that the gateways of a shard report.

    Only the load that gateways measure on their own requests counts. A target
    that misreports its load thus cannot influence placement.
    """

    def __init__(self) -> None:
        self._gateways: dict[str, GatewayLoad] = {}
        self._steady_keys = SteadyLoads[int]()
        self._steady_slices = SteadyLoads["KeyRange"]()
        self._hot_keys: tuple[KeyLoad, ...] = ()

    def update(self, gateway: str, report: LoadReport, now: float) -> None:
        """Add a report.

        Args:
            gateway: The entry host that sent the report.
            report: The report.
            now: The event loop time, in seconds.
        """
        gateway_load = self._gateways.setdefault(gateway, GatewayLoad(now))
        gateway_load.update(report, now)

    def drop_silent_gateways(self, now: float) -> None:
        """Drop the gateways that have not reported lately.

        Args:
            now: The event loop time, in seconds.
        """
        self._gateways = {
            name: load
            for name, load in self._gateways.items()
            if now - load.heard_at <= GATEWAY_EXPIRY_SECONDS
        }

    def hot_keys(self) -> tuple[KeyLoad, ...]:
        """Return the keys of the last estimate, the most load first."""
        return self._hot_keys

    def loads(self, ranges: Sequence[KeyRange], now: float) -> tuple[SliceLoad, ...]:
        """Estimate the load of each slice.

        Reports may be on slices as they were before a split or merge. The
        load of a known key is added to the slice that contains the key. The
        rest of a reported slice's load is spread evenly over its positions.

        Args:
            ranges: The present slices, in order.
            now: The event loop time, in seconds.

        Returns:
            One estimate for each slice.
        """
        request_cost = self._mean_request_cost()
        keys = self._merge_keys()
        reported = self._merge_ranges()
        loads = [0.0] * len(ranges)
        starts = [slice_range.start for slice_range in ranges]
        other_loads = _subtract_keys(reported, keys)
        for slice_range, load in other_loads:
            _spread(slice_range, load, ranges, starts, loads)
        for key in keys:
            loads[bisect_right(starts, key.position) - 1] += key.busy_seconds
        recent = dict(zip(ranges, loads, strict=True))
        steady = self._steady_slices.update(
            recent, request_cost, SMOOTHING_SECONDS, now
        )
        self._hot_keys = self._steady_hot_keys(keys, request_cost, now)
        return tuple(
            SliceLoad(slice_range, load) for slice_range, load in steady.items()
        )

    def dump(self) -> dict[str, object]:
        """Return the estimate for the state dump."""
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
        """Return the keys with the most load, summed over all gateways."""
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
        return tuple(order[:MAX_HOT_KEYS])

    def _steady_hot_keys(
        self, keys: tuple[KeyLoad, ...], request_cost: float, now: float
    ) -> tuple[KeyLoad, ...]:
        """Return the keys with their long averages, the most load first."""
        recent = {key.position: key.busy_seconds for key in keys}
        steady = self._steady_keys.update(recent, request_cost, SMOOTHING_SECONDS, now)
        found = [
            KeyLoad(key.position, key.requests, steady[key.position]) for key in keys
        ]
        return tuple(sorted(found, key=lambda key: (-key.busy_seconds, key.position)))

    def _mean_request_cost(self) -> float:
        """Return the mean busy seconds of one request."""
        requests = sum(gateway.requests for gateway in self._gateways.values())
        load = sum(sum(gateway.ranges.values()) for gateway in self._gateways.values())
        return load / requests if requests > 0.0 else 0.0

    def _merge_ranges(self) -> dict[KeyRange, float]:
        """Return the load of each reported slice, summed over all gateways."""
        merged: dict[KeyRange, float] = {}
        for gateway in self._gateways.values():
            for slice_range, load in gateway.ranges.items():
                merged[slice_range] = merged.get(slice_range, 0.0) + load
        return merged


def _subtract_keys(
    reported: dict[KeyRange, float], keys: Iterable[KeyLoad]
) -> list[tuple[KeyRange, float]]:
    """Subtract the load of known keys from the slices that contain them."""
    order = sorted(reported)
    starts = [slice_range.start for slice_range in order]
    largest = max((slice_range.size for slice_range in order), default=0)
    remaining = [reported[slice_range] for slice_range in order]
    for key in keys:
        remaining_load = key.busy_seconds
        first = bisect_right(starts, key.position - largest)
        last = bisect_right(starts, key.position)
        for index in range(first, last):
            if key.position in order[index]:
                subtracted = min(remaining[index], remaining_load)
                remaining[index] -= subtracted
                remaining_load -= subtracted
    return list(zip(order, remaining, strict=True))


def _spread(
    slice_range: KeyRange,
    load: float,
    ranges: Sequence[KeyRange],
    starts: Sequence[int],
    loads: list[float],
) -> None:
    """Add a reported slice's load to the slices that it overlaps.

    Args:
        slice_range: The reported slice.
        load: Its load without that of known keys.
        ranges: The present slices, in order.
        starts: The starts of the present slices.
        loads: The loads of the present slices, which are increased.
    """
    index = max(bisect_right(starts, slice_range.start) - 1, 0)
    while index < len(ranges) and ranges[index].start < slice_range.end:
        start = max(slice_range.start, ranges[index].start)
        end = min(slice_range.end, ranges[index].end)
        loads[index] += load * max(end - start, 0) / slice_range.size
        index += 1
