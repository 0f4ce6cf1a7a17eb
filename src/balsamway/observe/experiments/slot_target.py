"""Simulates a target with slots and an unbounded queue."""

from __future__ import annotations

import heapq


class SlotTarget:
    """Runs requests in order of arrival, one in each slot at a time."""

    def __init__(self, slots: int = 3) -> None:
        """Create an idle target.

        Args:
            slots: The number of requests that run at once.
        """
        self._free_at = [0.0] * slots

    def serve(self, at: float, service_seconds: float) -> float:
        """Run a request.

        Args:
            at: When it arrives, in seconds.
            service_seconds: How long it occupies a slot.

        Returns:
            When its response is sent, in seconds.
        """
        start = max(at, self._free_at[0])
        heapq.heapreplace(self._free_at, start + service_seconds)
        return start + service_seconds
