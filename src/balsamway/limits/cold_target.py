"""How long a target remains cold, as this entry host knows it."""

from __future__ import annotations

from balsamway.clock import now

SETTLE_SECONDS = 1.0
"""How long a target that turned cold gets no tokens. An entry reaches the
hosts within about this time, and those that it has not reached send as
before."""
MIN_EXTENSION_SECONDS = 0.3
"""The least extension of the cold time that hosts tell each other. Entries and
messages that arrive a little later than at other hosts are none."""


class ColdTarget:
    """Tracks until when one incarnation of a target is cold.

    It is cold for the time in its entry, counted from when the entry arrived,
    or longer if another host reports that. An entry that this host read when
    it started may be old, so other hosts are not told about it.
    """

    def __init__(
        self,
        left_seconds: float,
        is_observed: bool,
        requests_per_second: float | None = None,
    ) -> None:
        """Start with the target's first entry.

        Args:
            left_seconds: How long the target is cold.
            is_observed: Whether this host saw the target start, rather than
                read its entry when the host itself started.
            requests_per_second: The rate of the service's cold targets, None
                if it names none.
        """
        self.requests_per_second = requests_per_second
        self._entry_ends_at = now() + left_seconds
        self._report_ends_at = float("-inf")
        self._settles_at = float("-inf")
        self._is_observed = is_observed
        self._has_news = is_observed and left_seconds > 0

    @property
    def left_seconds(self) -> float:
        """How long the target remains cold, in seconds; 0 if it is warm."""
        ends_at = max(self._entry_ends_at, self._report_ends_at)
        return max(0.0, ends_at - now())

    @property
    def limit(self) -> float | None:
        """The requests per second that the target accepts while it is cold.

        None if it is warm, or if its service names no such rate.
        """
        return self.requests_per_second if self.left_seconds else None

    @property
    def settle_seconds(self) -> float:
        """How long the target gets no tokens from now on, in seconds."""
        return max(0.0, self._settles_at - now())

    @property
    def left_to_report(self) -> float:
        """How long the target remains cold, as far as any host saw it."""
        is_reported = self._report_ends_at > now()
        return self.left_seconds if self._is_observed or is_reported else 0.0

    @property
    def left_observed(self) -> float:
        """How long the target remains cold, as far as this host saw it.

        What others reported is left out. Otherwise a report that was delayed
        would be passed back to the leader, and extend the time for all hosts.
        """
        return max(0.0, self._entry_ends_at - now()) if self._is_observed else 0.0

    def on_entry(self, left_seconds: float) -> None:
        """Apply a new entry of the target.

        Args:
            left_seconds: How long the target remains cold.
        """
        if left_seconds > self.left_seconds + MIN_EXTENSION_SECONDS:
            self._extend(left_seconds)
            self._has_news = self._is_observed = True
        # An entry that is older than a report may arrive after it, and does
        # not shorten what was reported.
        self._entry_ends_at = now() + left_seconds

    def on_report(self, left_seconds: float) -> bool:
        """Apply the report of another host.

        Args:
            left_seconds: How long the target remains cold.

        Returns:
            Whether it is longer than this host knew.
        """
        if left_seconds <= self.left_seconds + MIN_EXTENSION_SECONDS:
            return False
        self._extend(left_seconds)
        self._report_ends_at = now() + left_seconds
        return True

    def settle(self) -> None:
        """Give the target no tokens for a while.

        It restarted at its address, where hosts that do not know it yet send
        as before.
        """
        self._settles_at = now() + min(SETTLE_SECONDS, self.left_seconds)

    def take_news(self) -> bool:
        """Return whether an entry showed a longer time since the last call."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def dump(self) -> dict[str, object]:
        """Return the cold time for the state dump."""
        return {
            "cold_seconds": round(self.left_seconds, 3),
            "cold_requests_per_second": self.requests_per_second,
            "settle_seconds": round(self.settle_seconds, 3),
        }

    def _extend(self, left_seconds: float) -> None:
        # Hosts where the target is about to be warm send as before.
        if self.left_seconds < SETTLE_SECONDS:
            self._settles_at = now() + min(SETTLE_SECONDS, left_seconds)
