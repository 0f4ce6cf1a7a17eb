from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.matrix.callers import Probe


def longest_unavailable(probes: Iterable[Probe], since: float) -> float:
    """Finds the longest time over which a key was not served.

    Counts from the start of the first request that failed to the end of the
    first one after it that was served.
    """
    by_key: dict[str, list[Probe]] = defaultdict(list)
    for probe in probes:
        if probe.counted and probe.end >= since:
            by_key[probe.key].append(probe)
    return max((_longest(found) for found in by_key.values()), default=0.0)


def _longest(probes: list[Probe]) -> float:
    longest = 0.0
    failing_since: float | None = None
    for probe in sorted(probes, key=lambda one: one.start):
        if failing_since is None and not probe.served:
            failing_since = probe.start
        if failing_since is not None:
            longest = max(longest, probe.end - failing_since)
        if probe.served:
            failing_since = None
    return longest
