"""The pace of one target, as the leader reported it to this host."""

from __future__ import annotations


class PaceLimit:
    """Keeps the last reported pace.

    It neither rises nor ends while no leader reports.
    """

    def __init__(self) -> None:
        self._requests_per_second: float | None = None

    @property
    def limit(self) -> float | None:
        """The pace in requests per second, None if the target has none."""
        return self._requests_per_second

    def on_report(self, requests_per_second: float | None) -> None:
        """Apply the leader's report.

        Args:
            requests_per_second: The pace, None if it has ended.
        """
        self._requests_per_second = requests_per_second
