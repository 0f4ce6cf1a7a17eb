"""Records measurements while one policy runs a workload for keys."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from balsamway.observe.measures import Churn, Imbalance

WINDOW_SECONDS = 60
"""The length of the windows for which imbalance is measured."""

MICROSECONDS_PER_SECOND = 1_000_000

MAX_LATENCY_SECONDS = 600
"""The longest latency that the histogram can record."""


@dataclass(frozen=True, slots=True)
class SliceMove:
    """A slice that changed owner."""

    at: float
    """When it moved, in seconds since the start of the run."""
    key_share: float
    """Its share of the key space."""
    traffic_share: float
    """Its share of the traffic."""


class KeyedTrace:
    """Records busy times by window, latencies, moves and refused requests."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(
            1, MAX_LATENCY_SECONDS * MICROSECONDS_PER_SECOND, 3
        )
        self.requests = 0
        self.refused = 0
        self.refused_by_second: dict[int, int] = defaultdict(int)
        self._moves: list[SliceMove] = []
        self.max_slices = 0
        self._busy_by_window: dict[int, dict[str, float]] = defaultdict(dict)
        self._key_load_by_window: dict[int, dict[int, float]] = defaultdict(dict)
        self._last_owners: dict[int, str] = {}

    def record_run(
        self, target: str, position: int, at: float, service: float, latency: float
    ) -> None:
        """Record a request that a target ran.

        Args:
            target: The target.
            position: The hash position of the key.
            at: When it arrived, in seconds since the start of the run.
            service: Its service time, in seconds.
            latency: The time from its arrival to its response, in seconds.
        """
        window = int(at) // WINDOW_SECONDS
        busy = self._busy_by_window[window]
        busy[target] = busy.get(target, 0.0) + service
        keys = self._key_load_by_window[window]
        keys[position] = keys.get(position, 0.0) + service
        self._last_owners[position] = target
        self.requests += 1
        self.latencies.record_value(round(latency * MICROSECONDS_PER_SECOND))

    def record_move(self, move: SliceMove) -> None:
        """Record a slice that changed owner."""
        self._moves.append(move)

    def churn(
        self,
        start: float,
        end: float,
        least_key_space: float = 0.0,
        least_traffic: float = 0.0,
    ) -> Churn:
        """Measure what moved within a period.

        Args:
            start: Its start, in seconds since the start of the run.
            end: Its end, in seconds since the start of the run.
            least_key_space: The fraction of the key space that had to move.
            least_traffic: The fraction of the traffic that had to move.

        Returns:
            The churn of the period.
        """
        moves = [move for move in self._moves if start <= move.at <= end]
        return Churn(
            end - start,
            len(moves),
            sum(move.key_share for move in moves),
            sum(move.traffic_share for move in moves),
            least_key_space,
            least_traffic,
        )

    def record_refusal(self, at: float) -> None:
        """Record a request that was refused because its owner had failed."""
        self.requests += 1
        self.refused += 1
        self.refused_by_second[int(at)] += 1

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000.0

    def close_window(self, window: int, targets: list[str]) -> Imbalance:
        """Measure the imbalance of a window, and discard its loads by key.

        Args:
            window: The index of the window.
            targets: The targets that were live throughout the window.

        Returns:
            The imbalance over these targets.
        """
        busy = {name: self._busy_by_window[window].get(name, 0.0) for name in targets}
        heaviest: dict[str, float] = {}
        for position, load in self._key_load_by_window.pop(window, {}).items():
            owner = self._last_owners[position]
            if owner in busy and load > heaviest.get(owner, 0.0):
                heaviest[owner] = load
        return Imbalance.of(busy, heaviest)

    def whole_run(self) -> Imbalance:
        """Measure the imbalance of the busy times of all windows together."""
        total: dict[str, float] = defaultdict(float)
        for window in self._busy_by_window.values():
            for name, busy in window.items():
                total[name] += busy
        return Imbalance.of(total)
