"""A target with a few slots and a queue."""

from __future__ import annotations

import heapq


class SlotTarget:
    """Runs requests in order of arrival, a few at a time."""

    def __init__(self, slots: int = 3) -> None:
        """Creates an idle target.

        Args:
            slots: How many requests it runs at once.
        """
        self._free_at = [0.0] * slots

    def serve(self, at: float, service_seconds: float) -> float:
        """Runs a request.

        Args:
            at: When it arrives; no earlier than the last.
            service_seconds: How long a slot works on it.

        Returns:
            When its answer is sent.
        """
        start = max(at, self._free_at[0])
        heapq.heapreplace(self._free_at, start + service_seconds)
        return start + service_seconds
