from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.matrix.callers import Probe


def find_longest_outage(probes: Iterable[Probe], since: float) -> float:
    """Return the longest time in seconds during which a key was not served.

    An outage lasts from the start of the first failed request to the end of
    the next served request for the same key.
    """
    by_key: dict[str, list[Probe]] = defaultdict(list)
    for probe in probes:
        if probe.counted and probe.end >= since:
            by_key[probe.key].append(probe)
    return max(
        (_longest_outage(key_probes) for key_probes in by_key.values()), default=0.0
    )


def _longest_outage(probes: list[Probe]) -> float:
    longest = 0.0
    failing_since: float | None = None
    for probe in sorted(probes, key=lambda probe: probe.start):
        if failing_since is None and not probe.served:
            failing_since = probe.start
        if failing_since is not None:
            longest = max(longest, probe.end - failing_since)
        if probe.served:
            failing_since = None
    return longest
