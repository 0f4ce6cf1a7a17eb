"""What was measured while one policy carried a keyed workload."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from balsamway.observe.measures import Churn, Imbalance

WINDOW_SECONDS = 60
MICROSECONDS = 1_000_000
LONGEST_LATENCY_SECONDS = 600


@dataclass(frozen=True, slots=True)
class Moved:
    """A slice that changed owner."""

    at: float
    key_share: float
    traffic_share: float


class KeyedTrace:
    """Busy times by window, latencies, moves and refusals."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(1, LONGEST_LATENCY_SECONDS * MICROSECONDS, 3)
        self.requests = 0
        self.refused = 0
        self.refused_by_second: dict[int, int] = defaultdict(int)
        self._moved: list[Moved] = []
        self.slices_at_most = 0
        self._busy: dict[int, dict[str, float]] = defaultdict(dict)
        self._keys: dict[int, dict[int, float]] = defaultdict(dict)
        self._owners: dict[int, str] = {}

    def on_run(
        self, target: str, position: int, at: float, service: float, latency: float
    ) -> None:
        """Counts a request that a target ran.

        Args:
            target: The target.
            position: The key's position.
            at: When it arrived.
            service: The time that it kept a slot busy.
            latency: The time from its arrival to its answer.
        """
        window = int(at) // WINDOW_SECONDS
        busy = self._busy[window]
        busy[target] = busy.get(target, 0.0) + service
        keys = self._keys[window]
        keys[position] = keys.get(position, 0.0) + service
        self._owners[position] = target
        self.requests += 1
        self.latencies.record_value(round(latency * MICROSECONDS))

    def on_moved(self, moved: Moved) -> None:
        """Counts a slice that changed owner."""
        self._moved.append(moved)

    def churn(
        self,
        start: float,
        end: float,
        least_key_space: float = 0.0,
        least_traffic: float = 0.0,
    ) -> Churn:
        """Measures what moved in a time.

        Args:
            start: Its start, in seconds.
            end: Its end, in seconds.
            least_key_space: What had to move, as a share of the key space.
            least_traffic: What had to move, as a share of the traffic.

        Returns:
            The churn.
        """
        moved = [each for each in self._moved if start <= each.at <= end]
        return Churn(
            end - start,
            len(moved),
            sum(each.key_share for each in moved),
            sum(each.traffic_share for each in moved),
            least_key_space,
            least_traffic,
        )

    def on_refused(self, at: float) -> None:
        """Counts a request that found no living owner."""
        self.requests += 1
        self.refused += 1
        self.refused_by_second[int(at)] += 1

    def latency_ms(self, percentile: float) -> float:
        """Gives a percentile of the latencies, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000.0

    def close_window(self, window: int, targets: list[str]) -> Imbalance:
        """Measures the imbalance of a window, and forgets its keys.

        Args:
            window: The window's number.
            targets: The targets that were live all through it.

        Returns:
            The imbalance over these targets.
        """
        busy = {name: self._busy[window].get(name, 0.0) for name in targets}
        heaviest: dict[str, float] = {}
        for position, load in self._keys.pop(window, {}).items():
            owner = self._owners[position]
            if owner in busy and load > heaviest.get(owner, 0.0):
                heaviest[owner] = load
        return Imbalance.of(busy, heaviest)

    def whole_run(self) -> Imbalance:
        """Measures the imbalance of the sums over all windows."""
        total: dict[str, float] = defaultdict(float)
        for window in self._busy.values():
            for name, busy in window.items():
                total[name] += busy
        return Imbalance.of(total)
